"""What a planner keeps: endpoints, streams, tables and their updates; and the actor that owns them."""
