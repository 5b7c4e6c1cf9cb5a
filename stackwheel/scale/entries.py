"""Entries of the published list as typed values, as the registry stand-in writes them."""

from __future__ import annotations

import msgspec

MACHINE_TYPE = "m1"  # of every server: nothing that is measured depends on it

# Values of `Entry.lifecycle`, as published.
IN_SERVICE = "in_service"
TERMINATING = "terminating"
TERMINATED = "terminated"


class Entry(msgspec.Struct, frozen=True, rename="camel"):
    """One server as discovery lists it; the names of the fields, in camel case, are the published ones."""

    instance_id: str
    host_port: str
    zone: str
    lifecycle: str = IN_SERVICE
    started_at_ms: int = 0  # Unix ms
    machine_type: str = MACHINE_TYPE
    cell: int = 0
    weight: float = 1.0
