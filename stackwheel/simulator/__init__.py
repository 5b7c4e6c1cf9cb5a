"""Adapter between the policy and the simulator, which exchanges binary frames over standard input and output."""
