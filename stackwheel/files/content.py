"""The tables that a proxy ends up with: from a complete update and a delta on it; and the delta between two states."""

from __future__ import annotations

from dataclasses import dataclass, field

from stackwheel.files.records import TableLevel, TableUpdate, WeightTable


@dataclass(slots=True)
class TableContent:
    """Everything that is in force after an update.

    Attributes:
        tables: weight by server, by request class; no weight is 0.
        levels: admission level by request class.
        ejected: servers that must not be used.
    """

    tables: dict[str, dict[str, float]] = field(default_factory=dict)
    levels: dict[str, TableLevel | None] = field(default_factory=dict)
    ejected: tuple[str, ...] = ()

    def copy(self) -> TableContent:
        """An independent copy."""
        tables = {request_class: dict(lines) for request_class, lines in self.tables.items()}
        return TableContent(tables, dict(self.levels), self.ejected)


def positive_lines(lines: dict[str, float]) -> dict[str, float]:
    """The lines that are in the table: weight 0 removes a server."""
    return {server: weight for server, weight in lines.items() if weight > 0}


def content_of(base: TableUpdate, delta: TableUpdate | None = None) -> TableContent:
    """What is in force after a complete update, and after a delta on it."""
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
    former = content.tables.get(request_class, {})
    content.tables[request_class] = positive_lines({**former, **table.lines})
    content.levels[request_class] = table.level if table.level is not None else content.levels.get(request_class)


def complete_tables(content: TableContent) -> tuple[WeightTable, ...]:
    """The tables of a complete update, in the order of their classes."""
    return tuple(
        WeightTable(request_class, dict(sorted(lines.items())), content.levels.get(request_class))
        for request_class, lines in sorted(content.tables.items())
    )


def delta_tables(base: TableUpdate, content: TableContent) -> tuple[WeightTable, ...]:
    """The tables of a delta that turns a complete update into a content; unchanged tables are left out."""
    former = content_of(base)
    found: list[WeightTable] = []
    for request_class in sorted({*former.tables, *content.tables}):
        table = _delta_table(request_class, former, content)
        if table is not None:
            found.append(table)
    return tuple(found)


def _delta_table(request_class: str, former: TableContent, content: TableContent) -> WeightTable | None:
    old_lines = former.tables.get(request_class, {})
    new_lines = content.tables.get(request_class, {})
    old_level = former.levels.get(request_class)
    new_level = content.levels.get(request_class)
    if new_level is None and old_level is not None:  # a delta can't remove a level: the table is replaced with it
        return WeightTable(request_class, dict(sorted(new_lines.items())), None, True)
    lines = {
        server: new_lines.get(server, 0.0)
        for server in sorted({*old_lines, *new_lines})
        if old_lines.get(server) != new_lines.get(server)
    }
    if not lines and new_level == old_level:
        return None
    return WeightTable(request_class, lines, new_level if new_level != old_level else None)
