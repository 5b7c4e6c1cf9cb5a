"""Rules of the protocol and invariants of the service, checked as events arrive; without I/O or a clock."""
