"""Relay: the registry's list, kept and told cell by cell; decided without I/O or a clock of its own."""
