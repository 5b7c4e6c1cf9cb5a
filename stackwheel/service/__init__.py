"""Start and stop: configuration, clock, logging."""
