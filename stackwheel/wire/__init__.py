"""Network I/O: the line protocol's messages and connections, HTTP calls, the discovery client and gossip datagrams."""
