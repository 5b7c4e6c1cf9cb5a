"""Computes the tables that result from a complete update and a delta, and the delta between two contents."""

from __future__ import annotations

from dataclasses import dataclass, field

from stackwheel.files.records import TableLevel, TableUpdate, WeightTable


@dataclass(slots=True)
class TableContent:
    """All tables, admission levels and ejections that are in force after an update.

    Attributes:
        tables: weight by server, by request class; all weights are positive.
        levels: admission level, by request class.
        ejected: names of the servers that must not be used.
    """

    tables: dict[str, dict[str, float]] = field(default_factory=dict)
    levels: dict[str, TableLevel | None] = field(default_factory=dict)
    ejected: tuple[str, ...] = ()

    def copy(self) -> TableContent:
        """Return a copy that shares no mutable state with this content."""
        tables = {request_class: dict(lines) for request_class, lines in self.tables.items()}
        return TableContent(tables, dict(self.levels), self.ejected)


def positive_lines(lines: dict[str, float]) -> dict[str, float]:
    """Return the lines without those of weight 0, which remove a server from a table."""
    return {server: weight for server, weight in lines.items() if weight > 0}


def resulting_content(base: TableUpdate, delta: TableUpdate | None = None) -> TableContent:
    """Return the content after a complete update and, if given, a delta on it."""
    content = TableContent(
        {table.request_class: positive_lines(table.lines) for table in base.tables},
        {table.request_class: table.level for table in base.tables},
        base.ejected,
    )
    if delta is None:
        return content
    for table in delta.tables:
        _apply_table(content, table)
    content.ejected = delta.ejected
    return content


def _apply_table(content: TableContent, table: WeightTable) -> None:
    request_class = table.request_class
    if table.complete:
        content.tables[request_class] = positive_lines(table.lines)
        content.levels[request_class] = table.level
        return
    old_lines = content.tables.get(request_class, {})
    content.tables[request_class] = positive_lines({**old_lines, **table.lines})
    content.levels[request_class] = table.level if table.level is not None else content.levels.get(request_class)


def complete_tables(content: TableContent) -> tuple[WeightTable, ...]:
    """Return the tables of a complete update with this content, sorted by request class."""
    return tuple(
        WeightTable(request_class, dict(sorted(lines.items())), content.levels.get(request_class))
        for request_class, lines in sorted(content.tables.items())
    )


def delta_tables(base: TableUpdate, content: TableContent) -> tuple[WeightTable, ...]:
    """Return the changed tables of a delta that leads from a complete update to a content."""
    old = resulting_content(base)
    changed: list[WeightTable] = []
    for request_class in sorted({*old.tables, *content.tables}):
        table = _delta_table(request_class, old, content)
        if table is not None:
            changed.append(table)
    return tuple(changed)


def _delta_table(request_class: str, old: TableContent, new: TableContent) -> WeightTable | None:
    old_lines = old.tables.get(request_class, {})
    new_lines = new.tables.get(request_class, {})
    old_level = old.levels.get(request_class)
    new_level = new.levels.get(request_class)
    if new_level is None and old_level is not None:  # only a complete table can remove the level
        return WeightTable(request_class, dict(sorted(new_lines.items())), None, True)
    lines = {
        server: new_lines.get(server, 0.0)
        for server in sorted({*old_lines, *new_lines})
        if old_lines.get(server) != new_lines.get(server)
    }
    if not lines and new_level == old_level:
        return None
    return WeightTable(request_class, lines, new_level if new_level != old_level else None)
