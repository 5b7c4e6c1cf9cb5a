"""Compares two table updates field by field and weight line by weight line."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from stackwheel.files.records import TableUpdate, WeightTable

COMPARED_FIELDS = {
    "planner": "planner",
    "sequence": "sequence",
    "zone": "zone",
    "proxy": "proxy",
    "base": "base_sequence",
    "made": "created_at",
    "until": "expires_at",
}
"""Attributes of `TableUpdate` whose values are compared directly, by their field name in the file."""


class Difference(NamedTuple):
    """A value that differs between two files, with its field name in the files."""

    name: str
    old: object
    new: object


def compare_updates(old: TableUpdate, new: TableUpdate) -> list[Difference]:
    """Return all differences: fields, then tables by request class, then ejected servers and reservations."""
    return [difference for difference in _compared_values(old, new) if difference.old != difference.new]


def _compared_values(old: TableUpdate, new: TableUpdate) -> Iterator[Difference]:
    for name, attribute in COMPARED_FIELDS.items():
        yield Difference(name, getattr(old, attribute), getattr(new, attribute))
    yield Difference("incarnation", msgspec.to_builtins(old.incarnation), msgspec.to_builtins(new.incarnation))
    old_tables = {table.request_class: table for table in old.tables}
    new_tables = {table.request_class: table for table in new.tables}
    for request_class in sorted({*old_tables, *new_tables}):
        yield from _compared_table_values(request_class, old_tables.get(request_class), new_tables.get(request_class))
    yield Difference("withdrawn", list(old.ejected), list(new.ejected))
    yield Difference("bookings", _reservation_ids(old), _reservation_ids(new))


def _compared_table_values(
    request_class: str, old: WeightTable | None, new: WeightTable | None
) -> Iterator[Difference]:
    old_lines = {} if old is None else old.lines
    new_lines = {} if new is None else new.lines
    for server in sorted({*old_lines, *new_lines}):
        yield Difference(f"{request_class} {server}", old_lines.get(server), new_lines.get(server))
    yield Difference(f"{request_class} level", _encoded_level(old), _encoded_level(new))


def _encoded_level(table: WeightTable | None) -> object:
    return None if table is None else msgspec.to_builtins(table.level)


def _reservation_ids(update: TableUpdate) -> list[str]:
    return [reservation.id for reservation in update.reservations]
