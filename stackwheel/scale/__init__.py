"""Scale runs: a registry stand-in and hollow planners beside real ones, at sizes no single test reaches.

Nothing below this package imports it.
"""
