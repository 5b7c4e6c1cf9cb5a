"""`stackwheel scale`: runs a fleet of full size on one machine."""

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
MAX_PLANNERS = 65_536  # each has its own loopback address
MAX_REAL_PLANNERS = 250  # each is a process
MAX_FULL_LIST_PLANNERS = 50  # each is a process with the endpoint list of the entire fleet
MAX_RELAYS = 200
MAX_DURATION_S = 3_600.0
MAX_EVENTS_PER_S = 10_000
SCENARIOS = [scenario.value for scenario in Scenario]


@dataclass(frozen=True, slots=True)
class RunOptions:
    """Options of `stackwheel scale run`; `duration` is in seconds, `event_rate` in servers per second."""

    scenario: str | None
    servers: int
    zones: int | None
    planners: int
    real_planners: int
    relays: int
    full_list_planners: int
    duration: float
    seed: int
    event_rate: float | None
    fault: str | None
    plant: str | None

    def contradictions(self) -> Iterator[str]:
        """Yield a message for each invalid combination of options."""
        yield from self._missing_options()
        yield from self._invalid_values()

    def _missing_options(self) -> Iterator[str]:
        """Yield a message for each option that the run or another option requires and that is not given."""
        if self.scenario is None:
            yield f"missing option --scenario, one of: {', '.join(SCENARIOS)}"
        if self.planners + self.real_planners == 0:
            yield "no planners: --planners or --real-planners has to be at least 1"
        if self.fault and not self.relays:
            yield "--fault kill-relay requires relays; give --relays"
        if self.full_list_planners and not self.relays:
            yield "--whole-list-planners has no effect without --relays, because all planners have the full list"

    def _invalid_values(self) -> Iterator[str]:
        """Yield a message for each value that is out of range or contradicts another option."""
        planners = self.planners + self.real_planners
        if planners > MAX_PLANNERS:
            yield f"{planners} planners requested, the maximum is {MAX_PLANNERS}"
        if self.plant and not self.planners:
            yield "--plant drops an entry of a hollow planner: give --planners"
        if self.relays == 1:
            yield "--relays 1: each cell requires two relays"
        if self.zones is not None and self.zones > self.servers:
            yield f"--zones {self.zones} exceeds the number of servers, {self.servers}"

    def arguments(self) -> Arguments:
        """Return the arguments of the run with defaults; raises UsageError (exit 2) if the options are invalid."""
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
    """Run the discovery service, planners and relays at the size of a fleet on this machine.

    At the end of a run, the endpoint lists of all planners are compared with that of the discovery service.
    """


scale.add_command(slopes)
scale.add_command(capacity)


@scale.command()
@click.option("--scenario", type=click.Choice(SCENARIOS), help="Kind of events during the run; required.")
@click.option("--servers", type=click.IntRange(1, MAX_SERVERS), default=1_000, show_default=True)
@click.option(
    "--zones", type=click.IntRange(1, MAX_ZONES), help="Number of zones; by default in proportion to the servers."
)
@click.option(
    "--planners", type=click.IntRange(0, MAX_PLANNERS), default=20, show_default=True, help="Hollow planners."
)
@click.option(
    "--real-planners", type=click.IntRange(0, MAX_REAL_PLANNERS), default=0, show_default=True, help="Real planners."
)
@click.option("--relays", type=click.IntRange(0, MAX_RELAYS), default=0, show_default=True, help="Relays; 0 for none.")
@click.option(
    "--whole-list-planners",
    "full_list_planners",
    type=click.IntRange(0, MAX_FULL_LIST_PLANNERS),
    default=0,
    show_default=True,
    help="Real planners that follow the discovery service directly, for comparison with those behind relays.",
)
@click.option(
    "--duration", type=click.FloatRange(1, MAX_DURATION_S), default=10.0, show_default=True, help="Duration in seconds."
)
@click.option("--seed", type=click.IntRange(0), default=0, show_default=True, help="Seed of the random events.")
@click.option(
    "--event-rate",
    type=click.FloatRange(0, MAX_EVENTS_PER_S, min_open=True),
    help="Servers per second that drain, leave and return; by default 60 times that of an ordinary day.",
)
@click.option("--fault", type=click.Choice(["kill-relay"]), help="Kill a relay after two fifths of the duration.")
@click.option(
    "--plant", type=click.Choice(["drop-entry"]), help="Remove an entry from a hollow planner; the run has to exit 1."
)
@click.option("--json", "as_json", is_flag=True, help="Print only JSON to standard output.")
def run(as_json: bool, **options: object) -> int:
    """Run a scenario; exit 1 if a planner has a wrong or missing entry at the end."""
    run_options = RunOptions(**options)  # type: ignore[arg-type]  # click has converted each to its type
    return run_and_print(run_options.arguments(), as_json)


def run_and_print(arguments: Arguments, as_json: bool) -> int:
    """Execute the run, print its report and return the exit code."""
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
        raise click.ClickException("the run timed out; all processes have ended") from error
    if not as_json:
        Console().print(report_table(report))
    click.echo(encode_report(report))
    return 0 if report.passed() else 1
