"""The protocol of the discovery service: its path, its addresses and the JSON of an endpoint list."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable

from loguru import logger

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.errors import InvalidInputError
from stackwheel.interface import Availability

INSTANCES_PATH = "/registry/instances"
"""Answers with the complete list, and with `?follow=1` with a watch."""

UNENCODABLE_NAME = re.compile(r"[\s,\x00-\x1f\x7f]")
"""What a server's name can't hold: in a line of an update it would end the name."""

AVAILABILITY_BY_LIFECYCLE = {
    "in_service": Availability.READY,
    "terminating": Availability.DRAINING,
    "terminated": Availability.REMOVED,
}
"""The values of an entry's lifecycle."""

MAX_NAME_SHOWN = 40
"""Characters of a name or a value in an error."""

MAX_ERROR_SHOWN = 200
"""Characters of an error in a log line: an endpoint list may be wrong in every entry."""


def replica_addresses(address: str) -> list[str]:
    """The addresses of a service that is named "host:port,host:port".

    Its replicas have the same list in the same generations.
    """
    return address.split(",")


def parse_endpoint_list(data: bytes) -> EndpointList:
    """The endpoint list of a response's body; entries that can't be read are logged and left out.

    Raises:
        InvalidInputError: the body is no endpoint list.
    """
    try:
        return read_endpoint_list(json.loads(data), _log_unreadable_entry)
    except InvalidInputError:
        raise
    except (ValueError, RecursionError) as error:
        raise InvalidInputError("", f"not JSON: {error}") from error


def _log_unreadable_entry(error: InvalidInputError) -> None:
    logger.warning("endpoint list entry left out: reason={}", str(error)[:MAX_ERROR_SHOWN])


def read_endpoint_list(document: object, on_unreadable: Callable[[InvalidInputError], None]) -> EndpointList:
    """The endpoint list of a JSON document.

    An entry that can't be read does not make the list unusable: its name is kept in `unreadable`, and the others count.

    Args:
        document: as `json.loads` returns it.
        on_unreadable: called with the error of each entry that is left out; it may raise it.

    Raises:
        InvalidInputError: the document is no endpoint list.
    """
    if not isinstance(document, dict):
        raise InvalidInputError("", "no list of instances")
    generation, complete, items = _read_header(document)
    instances: list[Instance] = []
    unreadable: set[str] = set()
    for index, item in enumerate(items):
        try:
            instances.append(_read_instance(item))
        except InvalidInputError as error:
            name = item.get("instanceId") if isinstance(item, dict) else None
            unreadable.add(name if isinstance(name, str) else "")
            place = f"list {generation}: entry {index} ({_shown(name)})"
            place = f"{place}: {error.location}" if error.location else place
            on_unreadable(InvalidInputError(place, error.problem))
    return EndpointList(generation, complete, tuple(instances), frozenset(unreadable))


def _read_header(document: dict[str, object]) -> tuple[int, bool, list[object]]:
    """Generation, whether the list is complete, and the entries, not read yet."""
    items = _required(document, "instances")
    if not isinstance(items, list):
        raise InvalidInputError("instances", "not a list")
    generation = _required(document, "generation")
    if type(generation) is not int:
        raise InvalidInputError("generation", f"a whole number expected, found {type(generation).__name__}")
    if generation < 0:
        raise InvalidInputError("generation", f"negative: {_shown(generation)}")
    complete = _required(document, "reset")
    if not isinstance(complete, bool):
        raise InvalidInputError("reset", f"true or false expected, found {type(complete).__name__}")
    return generation, complete, items


def _read_instance(item: object) -> Instance:
    if not isinstance(item, dict):
        raise InvalidInputError("", f"an object expected, found {type(item).__name__}")
    name = _required_string(item, "instanceId")
    if not name or UNENCODABLE_NAME.search(name):
        raise InvalidInputError("instanceId", f"a name that no update can carry: {_shown(name)}")
    return Instance(
        name=name,
        address=_required_string(item, "hostPort"),
        zone=_required_string(item, "zone"),
        kind=str(item.get("machineType", "")),
        cell=int(_number(item, "cell", 0.0)),
        availability=_read_lifecycle(item),
        weight=_number(item, "weight", 1.0),
        started_at=_number(item, "startedAtMs", 0.0),
    )


def _read_lifecycle(item: dict[str, object]) -> Availability:
    lifecycle = str(_required(item, "lifecycle"))
    if lifecycle not in AVAILABILITY_BY_LIFECYCLE:
        raise InvalidInputError("lifecycle", f"none of {', '.join(AVAILABILITY_BY_LIFECYCLE)}: {_shown(lifecycle)}")
    return AVAILABILITY_BY_LIFECYCLE[lifecycle]


def _required(record: dict[str, object], field: str) -> object:
    if field not in record:
        raise InvalidInputError(field, "missing")
    return record[field]


def _required_string(record: dict[str, object], field: str) -> str:
    value = _required(record, field)
    if not isinstance(value, str):
        raise InvalidInputError(field, f"a string expected, found {type(value).__name__}")
    return value


def _number(record: dict[str, object], field: str, default: float) -> float:
    value = record.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise InvalidInputError(field, f"not a number from 0 on: {_shown(value)}")
    return float(value)


def _shown(value: object) -> str:
    """A value in an error, shortened."""
    return repr(str(value)[:MAX_NAME_SHOWN])
