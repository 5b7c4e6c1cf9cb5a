"""Cells: groups of servers, each with the planners that use only these servers, as assigned by a cell plan.

A cell has the servers of one service, in some regions or in all. A service that is too large for one cell is divided
into parts, each of which is a cell. Two relays serve the endpoint list of each cell.

Apart from reading and writing the plan file, the package does no I/O.
"""
