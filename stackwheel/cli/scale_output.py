"""A scale run's report as a table for a reader."""

from __future__ import annotations

from collections.abc import Iterator

from rich.table import Table

from stackwheel.scale.children import Role
from stackwheel.scale.report import Report

MAX_WRONG_ENTRIES = 3  # shown under the table


def report_table(report: Report) -> Table:
    """The figures of each role, with the result under them."""
    table = Table("role", "count", "core", "RSS MB", "bytes in/s", "bytes out/s", "highest s in", "highest s out")
    for role in Role:
        figures = report.figures(role)
        cells = (
            figures.core,
            figures.rss_mb,
            figures.bytes_in_per_s,
            figures.bytes_out_per_s,
            figures.highest_second_in,
            figures.highest_second_out,
        )
        table.add_row(role.value, str(figures.count), *map(format_figure, cells))
    table.caption = "\n".join(caption_lines(report))
    return table


def caption_lines(report: Report) -> Iterator[str]:
    """What stands under the table."""
    in_force = report.in_force_ms
    p50 = format_figure(in_force.p50)
    p99 = format_figure(in_force.p99)
    last = format_figure(in_force.max)
    yield f"{report.planners} of {report.planners_expected} planners right"
    yield f"{report.wrong_entries} of {report.entries_compared} entries wrong"
    yield f"in force after {p50} ms (p50), {p99} (p99), {last} (last)"
    yield f"{in_force.count} times measured, {in_force.missing} missing"
    yield from report.wrong[:MAX_WRONG_ENTRIES]


def format_figure(value: float | None) -> str:
    """A figure with four digits, or a dash where there is none."""
    if value is None:
        return "-"
    return f"{value:,.4g}" if value < 100 else f"{value:,.0f}"
