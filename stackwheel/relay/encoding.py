"""Encodes endpoint lists in the JSON format of the discovery service, one list per line."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Final

from stackwheel.endpoints import Instance
from stackwheel.interface import Availability

LIFECYCLES: Final = {
    Availability.READY: "in_service",
    Availability.DRAINING: "terminating",
    Availability.REMOVED: "terminated",
}


def encode_instance(instance: Instance) -> bytes:
    """Encode one entry of a list as a JSON object."""
    return _compact_json(
        {
            "instanceId": instance.name,
            "hostPort": instance.address,
            "zone": instance.zone,
            "machineType": instance.kind,
            "cell": instance.cell,
            "lifecycle": LIFECYCLES[instance.availability],
            "weight": _integer_if_exact(instance.weight),
            "startedAtMs": _integer_if_exact(instance.started_at),
        }
    )


def encode_unreadable(name: str) -> bytes:
    """Encode a placeholder for an unreadable entry, so that clients do not treat the server as removed.

    Args:
        name: name of the server; empty if the entry has no readable name.
    """
    return _compact_json({"instanceId": name} if name else {})


def encode_line(generation: int, complete: bool, entries: Iterable[bytes]) -> bytes:
    """Encode a list as one line, which is a snapshot if the list is complete and a delta otherwise."""
    reset = b"true" if complete else b"false"
    return b'{"generation":%d,"reset":%b,"instances":[%b]}\n' % (generation, reset, b",".join(entries))


def _integer_if_exact(value: float) -> float | int:
    return int(value) if value.is_integer() else value


def _compact_json(value: object) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
