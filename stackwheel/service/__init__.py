"""One planner or relay as a process: configuration, composition, reload, logging and shutdown."""
