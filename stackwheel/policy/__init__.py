"""The policy: every decision of a planner, one module a concern; `planner.py` composes them.

The types of what goes in and out are in `stackwheel/interface/`, the reasons for each decision in `docs/design.md`.
"""
