"""The published list's entries as typed values, for the registry stand-in's side."""

from __future__ import annotations

import msgspec

MACHINE_TYPE = "m1"  # every server has the same: nothing measured here depends on it


class Entry(msgspec.Struct, frozen=True, rename="camel"):
    """One server as discovery lists it; field names as published."""

    instance_id: str
    host_port: str
    zone: str
    lifecycle: str = "in_service"
    started_at_ms: int = 0
    machine_type: str = MACHINE_TYPE
    cell: int = 0
    weight: float = 1.0


class Document(msgspec.Struct, frozen=True):
    """An answer of discovery: the whole list, or what has changed."""

    generation: int
    reset: bool
    instances: list[Entry]


IN_SERVICE = "in_service"
TERMINATING = "terminating"
TERMINATED = "terminated"
