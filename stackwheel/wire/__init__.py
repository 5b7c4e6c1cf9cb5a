"""Network I/O: the line protocol and its connections, HTTP calls, the discovery client, and gossip datagrams."""
