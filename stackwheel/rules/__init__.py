"""Checks of the protocol's rules and the service's invariants as the events of a run arrive; without I/O or a clock."""
