"""Results of trials as `stackwheel trial` prints them: lines and tables for a reader, documents for `--json`."""

from __future__ import annotations

from collections.abc import Iterator

from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from stackwheel.trials.defects.planting import Defect
from stackwheel.trials.defects.search import SearchResult
from stackwheel.trials.measure import Measurement
from stackwheel.trials.runner import Summary, group_by_rule
from stackwheel.trials.simulation import Result

MAX_BROKEN_SEEDS = 20  # shown one by one
MAX_VIOLATIONS = 2  # shown of one seed
MIN_SECONDS = 1e-9  # a rate's divisor is never zero


def progress_bar(console: Console, disabled: bool) -> Progress:
    """The bar of seeds that have been run; it goes away with the end of the run."""
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=console,
        disable=disabled,
        transient=True,
    )


def print_summary(console: Console, summary: Summary, jobs: int, stopped: bool) -> None:
    """Broken seeds, if there are any, and one line on the run."""
    if summary.broken:
        console.print(broken_seeds_table(summary))
        for rule, results in group_by_rule(summary.broken).items():
            console.print(f"{rule.value}: {len(results)} seeds, the first {results[0].seed}")
    console.print(summary_line(summary, jobs, stopped))


def broken_seeds_table(summary: Summary) -> Table:
    """The first broken seeds with what happened in them."""
    table = Table("seed", "at", "rule", "who and what")
    for result in summary.broken[:MAX_BROKEN_SEEDS]:
        seed = str(result.seed)
        if result.error:
            table.add_row(seed, "", "the trial itself failed", result.error.strip().splitlines()[-1])
        for violation in result.verdicts[:MAX_VIOLATIONS]:
            table.add_row(seed, f"{violation.at / 1000.0:.2f}", violation.rule.value, str(violation))
    return table


def summary_line(summary: Summary, jobs: int, stopped: bool) -> str:
    """Seeds, times and the digest of a run."""
    seeds_per_s = summary.seeds / max(MIN_SECONDS, summary.wall_seconds)
    virtual_s_per_core_s = summary.virtual_seconds / max(MIN_SECONDS, summary.cpu_seconds)
    return (
        f"{'stopped after ' if stopped else ''}{summary.seeds} seeds, {len(summary.broken)} broken; "
        f"{summary.virtual_seconds:.0f} virtual s in {summary.wall_seconds:.1f} s on {jobs} processes: "
        f"{seeds_per_s:.1f} seeds/s, {virtual_s_per_core_s:.0f} virtual s a core "
        f"second; mean service {summary.service:.3f}; digest {summary.hasher.hexdigest()}"
    )


def replay_document(seed: int, result: Result) -> dict[str, object]:
    """One trial."""
    violations = [
        {"seed": seed, "rule": violation.rule.value, "at": round(violation.at / 1000.0, 3)}
        for violation in result.verdicts
    ]
    return {
        "digest": result.digest,
        "broken": violations,
        "service": round(result.service, 4),
        "virtual_seconds": result.virtual_seconds,
    }


def replay_lines(result: Result) -> Iterator[str]:
    """One trial: each violation with what led to it, then one line on the trial."""
    for violation in result.verdicts:
        yield str(violation)
        for line in violation.trail:
            yield f"    {line}"
    figures = ", ".join(f"{name.replace('_', ' ')} {value:g}" for name, value in result.figures.items())
    yield (
        f"{len(result.verdicts)} verdicts; {result.requests} requests, service {result.service:.3f}, "
        f"{result.callbacks_run} steps; {figures}; digest {result.digest}"
    )


def defect_document(defect: Defect, result: SearchResult) -> dict[str, object]:
    """How a planted defect was found."""
    return {
        "defect": defect.name,
        "where": defect.layer,
        "what": defect.description,
        "seeds": result.seeds_run,
        "seed": result.seed,
        "rule": None if result.rule is None else result.rule.value,
    }


def defect_line(defect: Defect, result: SearchResult) -> str:
    """How a planted defect was found, in one line."""
    rule = "NOT FOUND" if result.rule is None else result.rule.value
    return f"{defect.name:26} {defect.layer:16} {result.seeds_run:>5} {result.seed:>6}  {rule}"


def measurement_line(row: Measurement) -> str:
    """What a virtual second costs at one size."""
    return (
        f"{row.proxies:4} proxies {row.servers:4} servers {row.planners} planners: "
        f"{row.cpu_per_second * 1000:8.1f} ms a virtual second, {row.callbacks_per_second:8.0f} steps, "
        f"{row.requests_per_second:6.0f} requests, checks {row.checks_share:.1%}, "
        f"{row.verdicts} verdicts, {row.memory_mb:.0f} MB"
    )
