"""Compares two table files field by field and line by line."""

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
"""Plain fields by their name in the file, with the attribute that holds them."""


class Difference(NamedTuple):
    """Something that two files state differently, by the names that the files use."""

    name: str
    old: object
    new: object


def compare_updates(old: TableUpdate, new: TableUpdate) -> list[Difference]:
    """All differences: fields, then tables by class, then ejected servers and reservations."""
    return [difference for difference in _pairs(old, new) if difference.old != difference.new]


def _pairs(old: TableUpdate, new: TableUpdate) -> Iterator[Difference]:
    for name, attribute in COMPARED_FIELDS.items():
        yield Difference(name, getattr(old, attribute), getattr(new, attribute))
    yield Difference("incarnation", msgspec.to_builtins(old.incarnation), msgspec.to_builtins(new.incarnation))
    old_tables = {table.request_class: table for table in old.tables}
    new_tables = {table.request_class: table for table in new.tables}
    for request_class in sorted({*old_tables, *new_tables}):
        yield from _table_pairs(request_class, old_tables.get(request_class), new_tables.get(request_class))
    yield Difference("withdrawn", list(old.ejected), list(new.ejected))
    yield Difference("bookings", _reservation_ids(old), _reservation_ids(new))


def _table_pairs(request_class: str, old: WeightTable | None, new: WeightTable | None) -> Iterator[Difference]:
    old_lines = {} if old is None else old.lines
    new_lines = {} if new is None else new.lines
    for server in sorted({*old_lines, *new_lines}):
        yield Difference(f"{request_class} {server}", old_lines.get(server), new_lines.get(server))
    yield Difference(f"{request_class} level", _level(old), _level(new))


def _level(table: WeightTable | None) -> object:
    return None if table is None else msgspec.to_builtins(table.level)


def _reservation_ids(update: TableUpdate) -> list[str]:
    return [reservation.id for reservation in update.reservations]
