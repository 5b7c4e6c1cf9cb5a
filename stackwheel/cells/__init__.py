"""Cells: which planners share which part of the endpoint list, computed without I/O from a plan file."""
