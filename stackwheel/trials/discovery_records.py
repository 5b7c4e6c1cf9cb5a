"""What the simulated discovery service lists, and how it is encoded."""

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
    """A server as listed; `started_at` is Unix ms (0: long ago), `warm_at` s of the trial's clock."""

    name: str
    address: str
    zone: int
    kind: int
    availability: Availability
    started_at: float
    warm_at: float


class LoggedChange(NamedTuple):
    """One entry of discovery's log: what a generation changed."""

    generation: int
    record: ServerRecord
    previous: ServerRecord | None


@dataclass(frozen=True, slots=True)
class SentUpdate:
    """What was sent on a connection.

    Attributes:
        end_offset: The caller has received it once it has taken so many bytes of the answer.
        records: The servers named.
        complete: Whether it names all servers.
        generation: Of the list.
        written_at: When it was written, in s.
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
    """The endpoint list or a change to it, as discovery answers it; entries of `unreadable` servers can't be read."""
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
    """A document as one line."""
    return json.dumps(document, separators=(",", ":")).encode() + b"\n"
