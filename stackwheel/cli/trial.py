"""`stackwheel trial`: seeds and scripts on the virtual clock."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn
from rich.table import Table

from stackwheel.rules.violations import Rule
from stackwheel.trials import measure as sizes
from stackwheel.trials.defects.catalogue import ALL_DEFECTS, find_defect
from stackwheel.trials.defects.planting import planted
from stackwheel.trials.defects.search import search_all
from stackwheel.trials.draw import draw
from stackwheel.trials.runner import (
    Summary,
    by_rule,
    default_jobs,
    run_chunk,
    run_file_chunk,
    run_relay_chunk,
    run_seeds,
)
from stackwheel.trials.script import Script, ScriptError, describe, encode, load
from stackwheel.trials.shrink import MAX_RUNS, Shrinker
from stackwheel.trials.simulation import run_script

SHOWN = 20  # broken seeds told one by one
SEEDS_MOST = 10_000_000


class Seeds(click.ParamType[range]):
    """A:B, from A up to but without B; or one number."""

    name = "A:B"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> range:
        if isinstance(value, range):
            return value
        first, colon, end = str(value).partition(":")
        if not first.isdecimal() or (colon and not end.isdecimal()):
            self.fail(f"{value!r} is no range of seeds such as 0:1000", param, ctx)
        found = range(int(first), int(end) if colon else int(first) + 1)
        if not found or len(found) > SEEDS_MOST:
            self.fail(f"{value!r} holds {len(found)} seeds; between 1 and {SEEDS_MOST} can be run", param, ctx)
        return found


SEEDS = Seeds()


files_flag = click.option("--files", is_flag=True, help="Forwarders are spoken to by files; other scripts are drawn.")
relays_flag = click.option(
    "--relays", is_flag=True, help="Two relays stand between discovery and planners; other scripts are drawn."
)


def script_of(text: str, files: bool = False, relays: bool = False) -> Script:
    """The script of a seed, or of a file."""
    try:
        return draw(int(text), files, relays) if text.isdecimal() else load(Path(text))
    except ScriptError as error:
        raise click.UsageError(str(error)) from None


@click.group()
def trial() -> None:
    """Run the service on a virtual clock against faults drawn from seeds, with every rule checked."""


def progress(console: Console, off: bool) -> Progress:
    return Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
        console=console,
        disable=off,
        transient=True,
    )


@trial.command("run")
@click.option("--seeds", type=SEEDS, required=True, help="A:B, from A up to but without B.")
@click.option("--jobs", type=click.IntRange(1, 256), default=default_jobs, help="Processes; all cores if not given.")
@files_flag
@relays_flag
@click.option("--json", "as_json", is_flag=True, help="End with one JSON object.")
def run(seeds: range, jobs: int, files: bool, relays: bool, as_json: bool) -> int:
    """Run seeds; exit 1 where a rule was broken."""
    console = Console(stderr=as_json)
    summary, began, stopped = Summary(), time.perf_counter(), False
    if files and relays:
        raise click.UsageError("--files and --relays are drawn apart; give one of them")
    results = run_seeds(seeds, jobs, run_file_chunk if files else run_relay_chunk if relays else run_chunk)
    with progress(console, as_json) as bar:
        task = bar.add_task("seeds", total=len(seeds))
        try:
            for result in results:
                summary.add(result)
                bar.advance(task)
        except KeyboardInterrupt:
            stopped = True
    results.close()  # type: ignore[attr-defined]
    summary.wall_seconds = time.perf_counter() - began
    if as_json:
        print(json.dumps({**summary.document(), **({"stopped": True} if stopped else {})}))
    else:
        report(console, summary, jobs, stopped)
    return 1 if summary.broken else 130 if stopped else 0


def report(console: Console, summary: Summary, jobs: int, stopped: bool) -> None:
    if summary.broken:
        table = Table("seed", "at", "rule", "who and what")
        for result in summary.broken[:SHOWN]:
            if result.error:
                table.add_row(str(result.seed), "", "the trial itself failed", result.error.strip().splitlines()[-1])
            for verdict in result.verdicts[:2]:
                table.add_row(str(result.seed), f"{verdict.at / 1000.0:.2f}", verdict.rule.value, str(verdict))
        console.print(table)
        for rule, results in by_rule(summary.broken).items():
            console.print(f"{rule.value}: {len(results)} seeds, the first {results[0].seed}")
    rate = summary.seeds / max(1e-9, summary.wall_seconds)
    console.print(
        f"{'stopped after ' if stopped else ''}{summary.seeds} seeds, {len(summary.broken)} broken; "
        f"{summary.virtual_seconds:.0f} virtual s in {summary.wall_seconds:.1f} s on {jobs} processes: "
        f"{rate:.1f} seeds/s, {summary.virtual_seconds / max(1e-9, summary.cpu_seconds):.0f} virtual s a core "
        f"second; mean service {summary.service:.3f}; digest {summary.hasher.hexdigest()}"
    )


@trial.command()
@click.argument("what", metavar="SEED|FILE")
@click.option("--trace", is_flag=True, help="Print what happens as it does.")
@click.option("--defect", type=click.Choice([d.name for d in ALL_DEFECTS]), help="With a deliberate defect planted.")
@files_flag
@relays_flag
@click.option("--json", "as_json", is_flag=True, help="End with one JSON object.")
def replay(what: str, trace: bool, defect: str | None, files: bool, relays: bool, as_json: bool) -> int:
    """Run one seed or script file again, step by step the same."""
    script = script_of(what, files, relays)
    with planted(find_defect(defect)):
        found = run_script(script, trace=click.echo if trace else None)
    if as_json:
        print(
            json.dumps(
                {
                    "digest": found.digest,
                    "broken": [
                        {"seed": script.seed, "rule": v.rule.value, "at": round(v.at / 1000.0, 3)}
                        for v in found.verdicts
                    ],
                    "service": round(found.service, 4),
                    "virtual_seconds": found.virtual_seconds,
                }
            )
        )
    else:
        for verdict in found.verdicts:
            click.echo(str(verdict))
            for line in verdict.trail:
                click.echo(f"    {line}")
        figures = ", ".join(f"{name.replace('_', ' ')} {value:g}" for name, value in found.figures.items())
        click.echo(
            f"{len(found.verdicts)} verdicts; {found.requests} requests, service {found.service:.3f}, "
            f"{found.callbacks_run} steps; {figures}; digest {found.digest}"
        )
    return 1 if found.verdicts else 0


@trial.command()
@click.argument("what", metavar="SEED|FILE")
@click.option("--out", type=click.Path(dir_okay=False, path_type=Path), required=True, help="Where the script goes.")
@click.option(
    "--rule", type=click.Choice([r.name.lower() for r in Rule]), help="The rule; the first broken if not given."
)
@click.option("--runs", type=click.IntRange(1, 100_000), default=MAX_RUNS, show_default=True, help="Trials at most.")
@click.option("--defect", type=click.Choice([d.name for d in ALL_DEFECTS]), help="With a deliberate defect planted.")
@files_flag
@relays_flag
def shrink(what: str, out: Path, rule: str | None, runs: int, defect: str | None, files: bool, relays: bool) -> int:
    """Find the smallest script that still breaks the same rule, and save it."""
    script = script_of(what, files, relays)
    with planted(find_defect(defect)):
        verdicts = run_script(script).verdicts
        wanted = [v for v in verdicts if rule is None or v.rule is Rule[rule.upper()]]
        if not wanted:
            raise click.UsageError(f"{what} breaks no rule" + (f" {Rule[rule.upper()].value!r}" if rule else ""))
        chosen = min(wanted, key=lambda v: v.at).rule
        found = Shrinker(script, chosen, runs).run()
    try:
        out.write_bytes(encode(found.script))
    except OSError as error:
        raise click.UsageError(f"{out}: {error.strerror or error}") from None
    click.echo("\n".join(describe(found.script)))
    click.echo(f"breaks at {found.at:.2f} s: {chosen.value}; {found.runs} trials; saved as {out}")
    return 0


@trial.command()
@click.argument("what", metavar="SEED|FILE")
@files_flag
@relays_flag
@click.option("--json", "as_json", is_flag=True, help="The script itself, as a file would hold it.")
def show(what: str, files: bool, relays: bool, as_json: bool) -> None:
    """Tell a seed's script in words."""
    script = script_of(what, files, relays)
    click.echo(encode(script).decode().rstrip() if as_json else "\n".join(describe(script)))


@trial.command()
@click.option("--seeds", type=SEEDS, default="0:500", show_default=True)
@click.option("--jobs", type=click.IntRange(1, 256), default=default_jobs)
@click.option("--only", multiple=True, type=click.Choice([d.name for d in ALL_DEFECTS]))
@click.option("--json", "as_json", is_flag=True)
def defects(seeds: range, jobs: int, only: Sequence[str], as_json: bool) -> int:
    """Plant each deliberate defect and tell how many seeds it takes to find it; exit 1 where one is not found."""
    chosen = [d for d in ALL_DEFECTS if not only or d.name in only]
    rows = []
    for defect, found in zip(chosen, search_all([d.name for d in chosen], seeds, jobs), strict=True):
        rows.append(
            {
                "defect": defect.name,
                "where": defect.layer,
                "what": defect.description,
                "seeds": found.seeds_run,
                "seed": found.seed,
                "rule": found.rule.value if found.rule is not None else None,
            }
        )
        if not as_json:
            told = found.rule.value if found.rule is not None else "NOT FOUND"
            click.echo(f"{defect.name:26} {defect.layer:16} {found.seeds_run:>5} {found.seed:>6}  {told}")
    if as_json:
        print(json.dumps(rows))
    return 0 if all(row["rule"] for row in rows) else 1


@trial.command()
@click.option("--span", type=click.FloatRange(1, 600), default=10.0, show_default=True, help="Virtual seconds of each.")
@click.option("--json", "as_json", is_flag=True)
def measure(span: float, as_json: bool) -> None:
    """Measure what a virtual second costs, from 8 to 500 proxies, and what the rules' checks take of it."""
    rows = []
    for row in sizes.measure(span):
        rows.append(row)
        if not as_json:
            click.echo(
                f"{row.proxies:4} proxies {row.servers:4} servers {row.planners} planners: "
                f"{row.cpu_per_second * 1000:8.1f} ms a virtual second, {row.callbacks_per_second:8.0f} steps, "
                f"{row.requests_per_second:6.0f} requests, checks {row.checks_share:.1%}, "
                f"{row.verdicts} verdicts, {row.memory_mb:.0f} MB"
            )
    if as_json:
        print(json.dumps([row.document() for row in rows]))
