"""A proxy as defined by the protocol: it parses updates, stores tables and chooses servers, without I/O or a clock."""
