"""The protocol's rules and the service's own invariants, checked as events arrive. No I/O, no clock of its own."""
