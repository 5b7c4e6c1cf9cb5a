"""Cells: which planners share which part of the registry's list, decided without I/O from a plan file."""
