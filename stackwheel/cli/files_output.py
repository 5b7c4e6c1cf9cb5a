"""Formats table files and the outcomes of reading them for `stackwheel files`."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from stackwheel.files.records import Document, ProxyStatus, TableUpdate, WeightTable


def describe_document(document: Document) -> Iterator[str]:
    """Yield the lines that describe a document."""
    if isinstance(document, TableUpdate):
        yield from describe_update(document)
    else:
        yield describe_status(document)


def describe_status(status: ProxyStatus) -> str:
    """Return a line that describes a proxy status."""
    return (
        f"status {status.sequence} of proxy {status.proxy} in zone {status.zone}: applied update "
        f"{status.applied_sequence} of planner {status.planner or '(none)'}, demand of {len(status.demand)} classes, "
        f"measurements of {len(status.observations)} servers"
    )


def describe_update(update: TableUpdate) -> Iterator[str]:
    """Yield the lines that describe a table update."""
    if update.complete:
        kind = f"complete update {update.sequence}"
    else:
        kind = f"delta {update.sequence} on complete update {update.base_sequence}"
    target = "all proxies" if update.proxy is None else f"proxy {update.proxy}"
    incarnation = update.incarnation
    lifetime_s = (update.expires_at - update.created_at) / 1000.0
    yield (
        f"{kind} of planner {update.planner}, "
        f"incarnation {incarnation.epoch}.{incarnation.started}.{incarnation.salt}, "
        f"for {target} in zone {update.zone}, "
        f"valid for {lifetime_s:g} s from Unix time {update.created_at / 1000.0:.3f}"
    )
    for table in update.tables:
        yield from describe_table(table)
    if update.ejected:
        yield f"  ejected servers: {', '.join(update.ejected)}"
    for reservation in update.reservations:
        yield f"  reservation {reservation.id}: {reservation.requests} requests of class {reservation.request_class}"


def describe_table(table: WeightTable) -> Iterator[str]:
    """Yield the lines that describe a weight table."""
    level = ""
    if table.level is not None:
        level = f", admission level {table.level.admitted:g}, retry mode {table.level.retry}"
    yield f"  table {table.request_class}: {len(table.lines)} lines{level}"
    for server, weight in sorted(table.lines.items()):
        yield f"    {server} {weight:g}"


def describe_outcome(outcome: Mapping[str, object]) -> str:
    """Return a line that describes the outcome of reading a file, given as a JSON object."""
    if not outcome["taken"]:
        return f"rejected {outcome['file']}: {outcome['stage']}: {outcome['reason']}"
    kind = "complete update" if outcome["whole"] else "delta"
    return f"applied {outcome['file']}: sequence {outcome['sequence']}, {kind}"
