"""Deliberate defects, one module for each layer that they are planted in: they prove that the checks can fail."""
