"""The planner and relay processes: configuration, composition, reload, logging and shutdown."""
