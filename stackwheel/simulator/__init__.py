"""The adapter between the policy and the simulator's wire: binary frames on two pipes."""
