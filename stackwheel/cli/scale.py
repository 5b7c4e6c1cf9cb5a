"""`stackwheel scale`: runs at the fleet's size on one machine."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

import click
from rich.console import Console

from stackwheel.cli.interrupts import cancelled_by_sigterm
from stackwheel.cli.root import EXIT_INTERRUPTED
from stackwheel.cli.scale_output import report_table
from stackwheel.cli.scale_slopes import capacity, capacity_option, slopes
from stackwheel.scale.bounds import ScaleError
from stackwheel.scale.control import ControlError
from stackwheel.scale.fleet import MAX_ZONES, default_zones
from stackwheel.scale.report import Arguments, encode_report
from stackwheel.scale.run import run_scale
from stackwheel.scale.scenarios import Scenario, default_event_rate

MAX_SERVERS = 1_000_000
MAX_PLANNERS = 65_536  # each has an address of its own on the loopback network
MAX_REAL_PLANNERS = 250  # each is a process
MAX_FULL_LIST_PLANNERS = 50  # each is a process that keeps the list of the entire fleet
MAX_RELAYS = 200
MAX_DURATION_S = 3_600.0
MAX_EVENTS_PER_S = 10_000
SCENARIOS = [scenario.value for scenario in Scenario]


@dataclass(frozen=True, slots=True)
class RunOptions:
    """What a run is asked for: the options of `scale run`."""

    scenario: str | None
    servers: int
    zones: int | None
    planners: int
    real_planners: int
    relays: int
    full_list_planners: int
    duration: float  # s
    seed: int
    event_rate: float | None  # servers a second
    fault: str | None
    plant: str | None

    def contradictions(self) -> Iterator[str]:
        """What can't be run, in the order in which it is reported."""
        yield from self._missing_options()
        yield from self._unusable_values()

    def _missing_options(self) -> Iterator[str]:
        """What the run or another option needs and is not given."""
        if self.scenario is None:
            yield f"--scenario is missing: {', '.join(SCENARIOS)}"
        if self.planners + self.real_planners == 0:
            yield "no planner: give --planners or --real-planners"
        if self.fault and not self.relays:
            yield "--fault kill-relay: give --relays"
        if self.full_list_planners and not self.relays:
            yield "--whole-list-planners: without --relays all planners hold the whole list"

    def _unusable_values(self) -> Iterator[str]:
        """Values that are too large, too small, or have nothing to apply to."""
        planners = self.planners + self.real_planners
        if planners > MAX_PLANNERS:
            yield f"{planners} planners; {MAX_PLANNERS} are the most"
        if self.plant and not self.planners:
            yield "--plant loses an entry of a hollow planner: give --planners"
        if self.relays == 1:
            yield "--relays 1: each cell needs two relays"
        if self.zones is not None and self.zones > self.servers:
            yield f"--zones {self.zones} is more than the {self.servers} servers"

    def arguments(self) -> Arguments:
        """The run's arguments, with what was left out filled in; a usage error (exit 2) if they contradict."""
        for contradiction in self.contradictions():
            raise click.UsageError(contradiction)
        return Arguments(
            scenario=self.scenario or "",
            servers=self.servers,
            zones=default_zones(self.servers) if self.zones is None else self.zones,
            planners=self.planners,
            real_planners=self.real_planners,
            relays=self.relays,
            duration=self.duration,
            seed=self.seed,
            event_rate=default_event_rate(self.servers) if self.event_rate is None else self.event_rate,
            plant=self.plant or "",
            full_list_planners=self.full_list_planners,
            fault=self.fault or "",
        )


@click.group()
@capacity_option
def scale() -> None:
    """Run discovery, planners and relays at the fleet's size on this machine, and compare what they hold."""


scale.add_command(slopes)
scale.add_command(capacity)


@scale.command()
@click.option("--scenario", type=click.Choice(SCENARIOS), help="What happens; required.")
@click.option("--servers", type=click.IntRange(1, MAX_SERVERS), default=1_000, show_default=True)
@click.option("--zones", type=click.IntRange(1, MAX_ZONES), help="85 for 48,000 servers, if not given.")
@click.option("--planners", type=click.IntRange(0, MAX_PLANNERS), default=20, show_default=True, help="Hollow ones.")
@click.option(
    "--real-planners", type=click.IntRange(0, MAX_REAL_PLANNERS), default=0, show_default=True, help="Beside them."
)
@click.option("--relays", type=click.IntRange(0, MAX_RELAYS), default=0, show_default=True, help="0: none.")
@click.option(
    "--whole-list-planners",
    "full_list_planners",
    type=click.IntRange(0, MAX_FULL_LIST_PLANNERS),
    default=0,
    show_default=True,
    help="Real ones that follow discovery itself, to compare with those behind relays.",
)
@click.option("--duration", type=click.FloatRange(1, MAX_DURATION_S), default=10.0, show_default=True, help="Seconds.")
@click.option("--seed", type=click.IntRange(0), default=0, show_default=True, help="Repeats the draw.")
@click.option(
    "--event-rate",
    type=click.FloatRange(0, MAX_EVENTS_PER_S, min_open=True),
    help="Servers that drain, leave and return a second; an ordinary day 60 times as fast if not given.",
)
@click.option("--fault", type=click.Choice(["kill-relay"]), help="Kill a relay at two fifths of the time.")
@click.option("--plant", type=click.Choice(["drop-entry"]), help="Lose an entry on purpose; must exit 1.")
@click.option("--json", "as_json", is_flag=True, help="Only JSON on standard output.")
def run(as_json: bool, **options: object) -> int:
    """Make one run; exit 1 if a planner ends with one entry wrong or missing."""
    run_options = RunOptions(**options)  # type: ignore[arg-type]  # click has converted each to its type
    return run_and_print(run_options.arguments(), as_json)


def run_and_print(arguments: Arguments, as_json: bool) -> int:
    """Make the run and print its report; the exit code."""
    console = Console(stderr=True)
    try:
        with console.status("starting") as status:
            report = asyncio.run(cancelled_by_sigterm(run_scale(arguments, status.update)))
    except (KeyboardInterrupt, asyncio.CancelledError):
        console.print("interrupted; all processes have ended")
        return EXIT_INTERRUPTED
    except (ScaleError, ControlError) as error:
        raise click.ClickException(str(error)) from error
    except TimeoutError as error:
        raise click.ClickException("the run did not end in time; all processes have ended") from error
    if not as_json:
        Console().print(report_table(report))
    click.echo(encode_report(report))
    return 0 if report.passed() else 1
