"""A proxy as the protocol defines it: reads updates, keeps tables, chooses servers. No I/O, no clock of its own."""
