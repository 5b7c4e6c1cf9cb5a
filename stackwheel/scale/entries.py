"""Entries of the published endpoint list in the form that the registry stand-in writes."""

from __future__ import annotations

import msgspec

MACHINE_TYPE = "m1"  # The same for all servers, because no measurement depends on it.

# Published values of `Entry.lifecycle`.
IN_SERVICE = "in_service"
TERMINATING = "terminating"
TERMINATED = "terminated"


class Entry(msgspec.Struct, frozen=True, rename="camel"):
    """One server of the published list, in which the field names are written in camel case.

    Attributes:
        instance_id: name of the server.
        host_port: address of the server.
        zone: name of the server's zone.
        lifecycle: one of `IN_SERVICE`, `TERMINATING` and `TERMINATED`.
        started_at_ms: start of the server's process, Unix ms.
        machine_type: machine kind of the server.
        cell: number of the server's cell.
        weight: relative capacity of the server.
    """

    instance_id: str
    host_port: str
    zone: str
    lifecycle: str = IN_SERVICE
    started_at_ms: int = 0
    machine_type: str = MACHINE_TYPE
    cell: int = 0
    weight: float = 1.0
