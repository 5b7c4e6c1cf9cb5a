"""Protocol of the discovery service: the path, the format of addresses, and the JSON format of endpoint lists."""

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
"""Path for the complete list and, with the query `?follow=1`, for a watch (see `discovery_calls.py`)."""

INVALID_NAME = re.compile(r"[\s,\x00-\x1f\x7f]")
"""Characters that a server's name must not contain, because they would end the name in update lines to proxies."""

AVAILABILITY_BY_LIFECYCLE = {
    "in_service": Availability.READY,
    "terminating": Availability.DRAINING,
    "terminated": Availability.REMOVED,
}
"""Availability of a server by the `lifecycle` field of its entry."""

MAX_QUOTED_CHARACTERS = 40
"""Maximum length of an invalid value in an error message."""

MAX_LOGGED_ERROR_CHARACTERS = 200
"""Maximum length of an error message in the log; an endpoint list may be wrong in every entry."""


def replica_addresses(address: str) -> list[str]:
    """Split the comma-separated addresses of a discovery service.

    The replicas of a service have the same endpoint list with the same generations.
    """
    return address.split(",")


def parse_endpoint_list(data: bytes) -> EndpointList:
    """Parse the endpoint list in the body of a response; malformed entries are logged and skipped.

    Raises:
        InvalidInputError: the body is not an endpoint list.
    """
    try:
        return read_endpoint_list(json.loads(data), _log_unreadable_entry)
    except InvalidInputError:
        raise
    except (ValueError, RecursionError) as error:
        raise InvalidInputError("", f"not JSON: {error}") from error


def _log_unreadable_entry(error: InvalidInputError) -> None:
    logger.warning("endpoint list entry skipped: reason={}", str(error)[:MAX_LOGGED_ERROR_CHARACTERS])


def read_endpoint_list(document: object, on_unreadable: Callable[[InvalidInputError], None]) -> EndpointList:
    """Convert a JSON document to an endpoint list.

    Malformed entries are skipped, and their names are added to the list's attribute `unreadable`.

    Args:
        document: the result of `json.loads`.
        on_unreadable: called with the error of each malformed entry; it may raise the error.

    Raises:
        InvalidInputError: the document is not an endpoint list.
    """
    if not isinstance(document, dict):
        raise InvalidInputError("", f"expected an object, found {type(document).__name__}")
    generation, complete, items = _read_header(document)
    instances: list[Instance] = []
    unreadable: set[str] = set()
    for index, item in enumerate(items):
        try:
            instances.append(_read_instance(item))
        except InvalidInputError as error:
            name = item.get("instanceId") if isinstance(item, dict) else None
            unreadable.add(name if isinstance(name, str) else "")
            location = f"list {generation}: entry {index} ({_quote(name)})"
            location = f"{location}: {error.location}" if error.location else location
            on_unreadable(InvalidInputError(location, error.problem))
    return EndpointList(generation, complete, tuple(instances), frozenset(unreadable))


def _read_header(document: dict[str, object]) -> tuple[int, bool, list[object]]:
    """Return the generation, whether the list is complete, and the decoded but unchecked entries."""
    items = _required(document, "instances")
    if not isinstance(items, list):
        raise InvalidInputError("instances", "not a list")
    generation = _required(document, "generation")
    if type(generation) is not int:
        raise InvalidInputError("generation", f"expected an integer, found {type(generation).__name__}")
    if generation < 0:
        raise InvalidInputError("generation", f"negative: {_quote(generation)}")
    complete = _required(document, "reset")
    if not isinstance(complete, bool):
        raise InvalidInputError("reset", f"expected true or false, found {type(complete).__name__}")
    return generation, complete, items


def _read_instance(item: object) -> Instance:
    if not isinstance(item, dict):
        raise InvalidInputError("", f"expected an object, found {type(item).__name__}")
    name = _required_string(item, "instanceId")
    if not name or INVALID_NAME.search(name):
        raise InvalidInputError("instanceId", f"empty, or with a space, comma or control character: {_quote(name)}")
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
        raise InvalidInputError("lifecycle", f"not one of {', '.join(AVAILABILITY_BY_LIFECYCLE)}: {_quote(lifecycle)}")
    return AVAILABILITY_BY_LIFECYCLE[lifecycle]


def _required(record: dict[str, object], field: str) -> object:
    if field not in record:
        raise InvalidInputError(field, "missing")
    return record[field]


def _required_string(record: dict[str, object], field: str) -> str:
    value = _required(record, field)
    if not isinstance(value, str):
        raise InvalidInputError(field, f"expected a string, found {type(value).__name__}")
    return value


def _number(record: dict[str, object], field: str, default: float) -> float:
    value = record.get(field, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise InvalidInputError(field, f"not a finite, non-negative number: {_quote(value)}")
    return float(value)


def _quote(value: object) -> str:
    """Return an invalid value in quotes, truncated to MAX_QUOTED_CHARACTERS."""
    return repr(str(value)[:MAX_QUOTED_CHARACTERS])
