"""Deterministic simulation of the service on a virtual clock and network, with faults drawn from seeds."""
