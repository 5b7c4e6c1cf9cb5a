"""The policy: every decision of a planner, one module a concern; `planner.py` composes them."""
