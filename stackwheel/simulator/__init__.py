"""The adapter between the policy and the simulator's wire."""
