"""The policy: all decisions of a planner, with one module per concern; `planner.py` combines them.

The types of its inputs and outputs are defined in `stackwheel/interface/`. `docs/design.md` explains the decisions.
"""
