"""Deterministic simulation of the production service on a virtual clock and network, with faults drawn from seeds."""
