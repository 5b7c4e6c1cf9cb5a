"""Table files and what readers do with them, as `stackwheel files` prints them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from stackwheel.files.records import Document, ProxyStatus, TableUpdate, WeightTable


def describe_document(document: Document) -> Iterator[str]:
    """A file in lines for a reader."""
    if isinstance(document, TableUpdate):
        yield from describe_update(document)
    else:
        yield describe_status(document)


def describe_status(status: ProxyStatus) -> str:
    """What a proxy reports by a file, in one line."""
    return (
        f"answer {status.sequence} of proxy {status.proxy} in {status.zone}: applied "
        f"{status.applied_sequence} of {status.planner or 'nobody'}, {len(status.demand)} classes, "
        f"{len(status.observations)} servers met"
    )


def describe_update(update: TableUpdate) -> Iterator[str]:
    """What a planner orders by a file."""
    if update.complete:
        kind = f"whole file {update.sequence}"
    else:
        kind = f"change {update.sequence} on whole file {update.base_sequence}"
    receiver = "all" if update.proxy is None else f"proxy {update.proxy}"
    incarnation = update.incarnation
    lifetime_s = (update.expires_at - update.created_at) / 1000.0
    yield (
        f"{kind} of {update.planner}, life {incarnation.epoch}.{incarnation.started}.{incarnation.salt}, "
        f"for {receiver} in {update.zone}, usable for {lifetime_s:g} s from {update.created_at / 1000.0:.3f}"
    )
    for table in update.tables:
        yield from describe_table(table)
    if update.ejected:
        yield f"  withdrawn: {', '.join(update.ejected)}"
    for reservation in update.reservations:
        yield f"  booking order {reservation.id}: {reservation.requests} of {reservation.request_class}"


def describe_table(table: WeightTable) -> Iterator[str]:
    """One weight table with its lines."""
    level = ""
    if table.level is not None:
        level = f", level {table.level.admitted:g}, policy {table.level.retry}"
    yield f"  {table.request_class}: {len(table.lines)} lines{level}"
    for server, weight in sorted(table.lines.items()):
        yield f"    {server} {weight:g}"


def describe_outcome(outcome: Mapping[str, object]) -> str:
    """What a reader did with a file, given as the JSON object of it."""
    if not outcome["taken"]:
        return f"refused {outcome['file']}: {outcome['stage']}: {outcome['reason']}"
    kind = "whole" if outcome["whole"] else "change"
    return f"applied {outcome['file']}: number {outcome['sequence']}, {kind}"
