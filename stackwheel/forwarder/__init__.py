"""Model of a proxy as defined by the protocol: it parses updates, stores tables and chooses servers.

The package uses neither I/O nor a clock.
"""
