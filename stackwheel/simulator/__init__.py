"""Adapter between the policy and the simulator, which exchange binary frames over standard input and output."""
