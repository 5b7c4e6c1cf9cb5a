"""Relay: the logic of serving each cell its endpoint list as a resumable watch, without I/O and without a clock."""
