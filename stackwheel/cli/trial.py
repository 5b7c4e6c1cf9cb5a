"""`stackwheel trial`: run, replay, shrink and show seeds and scripts on the virtual clock."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import click
from rich.console import Console

from stackwheel.cli.options import FILE_PATH, json_option
from stackwheel.cli.root import EXIT_INTERRUPTED
from stackwheel.cli.trial_output import (
    defect_document,
    defect_line,
    measurement_line,
    print_summary,
    progress_bar,
    replay_document,
    replay_lines,
)
from stackwheel.rules.violations import Rule, Violation
from stackwheel.trials import measure as measurement
from stackwheel.trials.defects.catalogue import ALL_DEFECTS, find_defect
from stackwheel.trials.defects.planting import planted
from stackwheel.trials.defects.search import search_all
from stackwheel.trials.draw import draw
from stackwheel.trials.runner import (
    SeedResult,
    Summary,
    default_jobs,
    run_chunk,
    run_file_chunk,
    run_relay_chunk,
    run_seeds,
)
from stackwheel.trials.script import Script, ScriptError, describe, encode, load
from stackwheel.trials.shrink import MAX_RUNS, Shrinker, ShrinkResult
from stackwheel.trials.simulation import run_script

MAX_SEEDS = 10_000_000  # of one run; more would take weeks
MAX_JOBS = 256
DEFECT_NAMES = [defect.name for defect in ALL_DEFECTS]
RULE_NAMES = [rule.name.lower() for rule in Rule]


class SeedRangeParameter(click.ParamType[range]):
    """A:B, from A up to but without B; or one number."""

    name = "A:B"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> range:
        """The seeds of an option's text."""
        if isinstance(value, range):
            return value
        first, colon, end = str(value).partition(":")
        if not first.isdecimal() or (colon and not end.isdecimal()):
            self.fail(f"{value!r} is no range of seeds such as 0:1000", param, ctx)
        seeds = range(int(first), int(end) if colon else int(first) + 1)
        if not seeds or len(seeds) > MAX_SEEDS:
            self.fail(f"{value!r} holds {len(seeds)} seeds; between 1 and {MAX_SEEDS} can be run", param, ctx)
        return seeds


SEED_RANGE = SeedRangeParameter()
script_argument = click.argument("seed_or_file", metavar="SEED|FILE")
files_option = click.option(
    "--files", is_flag=True, help="Forwarders get their tables by files; other scripts are drawn."
)
relays_option = click.option(
    "--relays", is_flag=True, help="Two relays stand between discovery and planners; other scripts are drawn."
)
defect_option = click.option("--defect", type=click.Choice(DEFECT_NAMES), help="With a deliberate defect planted.")


@click.group()
def trial() -> None:
    """Run the service on a virtual clock against faults drawn from seeds, with every rule checked."""


@trial.command()
@click.option("--seeds", type=SEED_RANGE, required=True, help="A:B, from A up to but without B.")
@click.option("--jobs", type=click.IntRange(1, MAX_JOBS), default=default_jobs, help="Processes; all cores by default.")
@files_option
@relays_option
@json_option
def run(seeds: range, jobs: int, files: bool, relays: bool, as_json: bool) -> int:
    """Run seeds; exit 1 if a rule was broken."""
    if files and relays:
        raise click.UsageError("--files and --relays are drawn apart; give one of them")
    console = Console(stderr=as_json)
    summary = Summary()
    started_at = time.perf_counter()
    stopped = collect_results(summary, seeds, jobs, chunk_runner(files, relays), console, quiet=as_json)
    summary.wall_seconds = time.perf_counter() - started_at
    if as_json:
        click.echo(json.dumps({**summary.document(), **({"stopped": True} if stopped else {})}))
    else:
        print_summary(console, summary, jobs, stopped)
    if summary.broken:
        return 1
    return EXIT_INTERRUPTED if stopped else 0


@trial.command()
@script_argument
@click.option("--trace", is_flag=True, help="Print what happens as it does.")
@defect_option
@files_option
@relays_option
@json_option
def replay(seed_or_file: str, trace: bool, defect: str | None, files: bool, relays: bool, as_json: bool) -> int:
    """Run one seed or script file again, step by step the same."""
    script = load_script(seed_or_file, files, relays)
    with planted(find_defect(defect)):
        result = run_script(script, trace=click.echo if trace else None)
    if as_json:
        click.echo(json.dumps(replay_document(script.seed, result)))
    else:
        for line in replay_lines(result):
            click.echo(line)
    return 1 if result.verdicts else 0


@trial.command()
@script_argument
@click.option("--out", type=FILE_PATH, required=True, help="Where the script goes.")
@click.option("--rule", type=click.Choice(RULE_NAMES), help="The rule; the first broken if not given.")
@click.option("--runs", type=click.IntRange(1, 100_000), default=MAX_RUNS, show_default=True, help="Trials at most.")
@defect_option
@files_option
@relays_option
def shrink(
    seed_or_file: str, out: Path, rule: str | None, runs: int, defect: str | None, files: bool, relays: bool
) -> int:
    """Find the smallest script that still breaks the same rule, and save it."""
    script = load_script(seed_or_file, files, relays)
    with planted(find_defect(defect)):
        shrunk = shrink_script(script, seed_or_file, rule, runs)
    try:
        out.write_bytes(encode(shrunk.script))
    except OSError as error:
        raise click.UsageError(f"{out}: {error.strerror or error}") from error
    click.echo("\n".join(describe(shrunk.script)))
    click.echo(f"breaks at {shrunk.broken_at:.2f} s: {shrunk.rule.value}; {shrunk.runs} trials; saved as {out}")
    return 0


@trial.command()
@script_argument
@files_option
@relays_option
@click.option("--json", "as_json", is_flag=True, help="The script itself, as a file would hold it.")
def show(seed_or_file: str, files: bool, relays: bool, as_json: bool) -> None:
    """Show a seed's script in words."""
    script = load_script(seed_or_file, files, relays)
    click.echo(encode(script).decode().rstrip() if as_json else "\n".join(describe(script)))


@trial.command()
@click.option("--seeds", type=SEED_RANGE, default="0:500", show_default=True, help="A:B, from A up to but without B.")
@click.option("--jobs", type=click.IntRange(1, MAX_JOBS), default=default_jobs, help="Processes; all cores by default.")
@click.option("--only", multiple=True, type=click.Choice(DEFECT_NAMES), help="A defect by its name; all if left out.")
@json_option
def defects(seeds: range, jobs: int, only: Sequence[str], as_json: bool) -> int:
    """Plant each deliberate defect and show how many seeds it takes to find it; exit 1 if one is not found."""
    selected = [defect for defect in ALL_DEFECTS if not only or defect.name in only]
    documents = []
    results = search_all([defect.name for defect in selected], seeds, jobs)
    for defect, result in zip(selected, results, strict=True):
        documents.append(defect_document(defect, result))
        if not as_json:
            click.echo(defect_line(defect, result))
    if as_json:
        click.echo(json.dumps(documents))
    return 0 if all(document["rule"] for document in documents) else 1


@trial.command()
@click.option("--span", type=click.FloatRange(1, 600), default=10.0, show_default=True, help="Virtual seconds of each.")
@json_option
def measure(span: float, as_json: bool) -> None:
    """Measure what a virtual second costs, from 8 to 500 proxies, and what the rules' checks take of it."""
    rows = []
    for row in measurement.measure(span):
        rows.append(row)
        if not as_json:
            click.echo(measurement_line(row))
    if as_json:
        click.echo(json.dumps([row.document() for row in rows]))


def load_script(seed_or_file: str, files: bool, relays: bool) -> Script:
    """The script that a seed draws or a file holds; a usage error (exit 2) if the file can't be used."""
    try:
        if seed_or_file.isdecimal():
            return draw(int(seed_or_file), files, relays)
        return load(Path(seed_or_file))
    except ScriptError as error:
        raise click.UsageError(str(error)) from error


def chunk_runner(files: bool, relays: bool) -> Callable[[Sequence[int]], list[SeedResult]]:
    """What runs a few seeds in one process, with scripts of the wanted kind."""
    if files:
        return run_file_chunk
    return run_relay_chunk if relays else run_chunk


def collect_results(
    summary: Summary,
    seeds: range,
    jobs: int,
    chunk: Callable[[Sequence[int]], list[SeedResult]],
    console: Console,
    quiet: bool,
) -> bool:
    """Run seeds and add their results to the summary as they come; whether Ctrl-C stopped it."""
    stopped = False
    results = run_seeds(seeds, jobs, chunk)
    with progress_bar(console, disabled=quiet) as bar:
        task = bar.add_task("seeds", total=len(seeds))
        try:
            for result in results:
                summary.add(result)
                bar.advance(task)
        except KeyboardInterrupt:
            stopped = True
    results.close()  # type: ignore[attr-defined]  # it is a generator: closing it ends its processes
    return stopped


def shrink_script(script: Script, name: str, rule_name: str | None, max_runs: int) -> ShrinkResult:
    """Shrink a script by the rule that it breaks first, or by a given one; a usage error if it breaks none."""
    rule = None if rule_name is None else Rule[rule_name.upper()]
    violations = [violation for violation in run_script(script).verdicts if rule in (None, violation.rule)]
    if not violations:
        raise click.UsageError(f"{name} breaks no rule" + ("" if rule is None else f" {rule.value!r}"))
    first = min(violations, key=violation_time)
    return Shrinker(script, first.rule, max_runs).run()


def violation_time(violation: Violation) -> float:
    """When a rule was broken, in ms of the trial."""
    return violation.at
