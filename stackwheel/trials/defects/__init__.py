"""Deliberate defects of the program, one module for each layer; they verify that the checks can fail."""
