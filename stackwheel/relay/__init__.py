"""Relay: serves each cell its endpoint list as a resumable watch, with I/O and the clock left to the caller."""
