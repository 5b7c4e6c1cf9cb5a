"""The published list format, as a relay writes it."""

from __future__ import annotations

import json
from collections.abc import Iterable

from stackwheel.endpoints import Instance
from stackwheel.interface import Availability

LIFECYCLES = {
    Availability.READY: "in_service",
    Availability.DRAINING: "terminating",
    Availability.REMOVED: "terminated",
}


def encode_instance(instance: Instance) -> bytes:
    """One entry of a list, a JSON object."""
    return _compact(
        {
            "instanceId": instance.name,
            "hostPort": instance.address,
            "zone": instance.zone,
            "machineType": instance.kind,
            "cell": instance.cell,
            "lifecycle": LIFECYCLES[instance.availability],
            "weight": _plain(instance.weight),
            "startedAtMs": _plain(instance.started_at),
        }
    )


def encode_unreadable(name: str) -> bytes:
    """An entry that no client can read, so that none takes its absence for a departure; "" for one without a name."""
    return _compact({"instanceId": name} if name else {})


def encode_line(generation: int, whole: bool, entries: Iterable[bytes]) -> bytes:
    """A list as one line: the whole one, or changes."""
    reset = b"true" if whole else b"false"
    return b'{"generation":%d,"reset":%b,"instances":[%b]}\n' % (generation, reset, b",".join(entries))


def _plain(value: float) -> float | int:
    return int(value) if value.is_integer() else value


def _compact(value: object) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()
