"""Records of the simulated discovery service and their encoding."""

from __future__ import annotations

import json
from collections.abc import Container, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from stackwheel.interface import Availability

LIFECYCLE_BY_AVAILABILITY = {
    Availability.READY: "in_service",
    Availability.DRAINING: "terminating",
    Availability.REMOVED: "terminated",
}
AVAILABILITY_BY_LIFECYCLE = {lifecycle: state for state, lifecycle in LIFECYCLE_BY_AVAILABILITY.items()}


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """A server in the endpoint list.

    Attributes:
        name: Name of the server.
        address: Host and port.
        zone: Index of the zone.
        kind: Index of the machine type.
        availability: Whether the server is ready, draining or removed.
        started_at: Start of the process, in ms of Unix time; 0 if it started before the trial.
        warm_at: End of the slow start, in s of the virtual clock.
    """

    name: str
    address: str
    zone: int
    kind: int
    availability: Availability
    started_at: float
    warm_at: float


class LoggedChange(NamedTuple):
    """An entry of the log: the generation, the new record of a server and the previous one, if any."""

    generation: int
    record: ServerRecord
    previous: ServerRecord | None


@dataclass(frozen=True, slots=True)
class SentUpdate:
    """An update that was written on a connection.

    Attributes:
        end_offset: Offset in bytes of the end of the update in the response.
        records: The records that the update contains.
        complete: Whether the update is a complete list.
        generation: Generation of the endpoint list.
        written_at: Time of the write, in s.
    """

    end_offset: int
    records: tuple[ServerRecord, ...]
    complete: bool
    generation: int
    written_at: float


def list_document(
    records: Sequence[ServerRecord],
    complete: bool,
    generation: int,
    zones: Sequence[str],
    unreadable: Container[str] = (),
) -> dict[str, object]:
    """Return a complete list or a change as a document; entries of `unreadable` servers have an invalid weight."""
    return {
        "generation": generation,
        "reset": complete,
        "instances": [
            {
                "instanceId": record.name,
                "hostPort": record.address,
                "zone": zones[record.zone],
                "machineType": f"kind-{record.kind}",
                "cell": 0,
                "lifecycle": LIFECYCLE_BY_AVAILABILITY[record.availability],
                "weight": 1.0 if record.name not in unreadable else "unreadable",
                "startedAtMs": record.started_at,
            }
            for record in records
        ],
    }


def encode_list(document: dict[str, object]) -> bytes:
    """Encode a document as one line of JSON."""
    return json.dumps(document, separators=(",", ":")).encode() + b"\n"
