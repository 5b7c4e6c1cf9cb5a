"""What is kept: ids, the list, streams, tables and outgoing orders; the module's actor."""
