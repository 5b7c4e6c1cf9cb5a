"""Cells: the planners that share a part of the endpoint list, computed from a plan file.

Apart from reading and writing the plan file, the package does no I/O.
"""
