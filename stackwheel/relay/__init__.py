"""Relay: serves each cell its endpoint list as a resumable watch; decided without I/O or a clock of its own."""
