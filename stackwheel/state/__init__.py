"""State of a planner (endpoints, proxy streams, weight tables and their updates), and the actor that owns it."""
