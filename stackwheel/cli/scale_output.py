"""Formats the report of a scale run as a table."""

from __future__ import annotations

from collections.abc import Iterator

from rich.table import Table

from stackwheel.scale.children import Role
from stackwheel.scale.report import Report

MAX_SHOWN_WRONG_ENTRIES = 3


def report_table(report: Report) -> Table:
    """Return a table of the figures of each role, with the result as its caption."""
    table = Table(
        "role", "count", "CPU cores", "RSS MB", "bytes in/s", "bytes out/s", "peak bytes in/s", "peak bytes out/s"
    )
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
    """Yield the lines of the caption: the result of the run and the first wrong entries."""
    in_force = report.in_force_ms
    p50 = format_figure(in_force.p50)
    p99 = format_figure(in_force.p99)
    maximum = format_figure(in_force.max)
    yield f"{report.planners} of {report.planners_expected} planners right"
    yield f"{report.wrong_entries} of {report.entries_compared} entries wrong"
    yield f"updates in force after {p50} ms (p50), {p99} ms (p99), {maximum} ms (maximum)"
    yield f"{in_force.count} delays measured, {in_force.missing} missing"
    yield from report.wrong[:MAX_SHOWN_WRONG_ENTRIES]


def format_figure(value: float | None) -> str:
    """Return a figure with four significant digits, or a dash for None."""
    if value is None:
        return "-"
    return f"{value:,.4g}" if value < 100 else f"{value:,.0f}"
