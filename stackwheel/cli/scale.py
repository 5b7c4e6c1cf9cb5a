"""`stackwheel scale`: runs at the fleet's size on one machine."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterator

import click
from rich.console import Console
from rich.table import Table

from stackwheel.cli.scale_slopes import capacity, capacity_option, slopes
from stackwheel.scale import report as reports
from stackwheel.scale.bounds import ScaleError
from stackwheel.scale.children import Role
from stackwheel.scale.control import ControlError
from stackwheel.scale.fleet import MAX_ZONES, default_zones
from stackwheel.scale.report import Arguments, Report
from stackwheel.scale.run import run_scale
from stackwheel.scale.scenarios import Scenario, default_event_rate

SERVERS_MOST = 1_000_000
PLANNERS_MOST = 65_536  # each has an address of its own on the loopback network
RELAYS_MOST = 200
DURATION_MOST = 3_600.0
SCENARIOS = [one.value for one in Scenario]
INTERRUPTED = 130  # the exit code after Ctrl-C or SIGTERM


@click.group()
@capacity_option
def scale() -> None:
    """Run a registry, planners and relays at the fleet's size on this machine, and compare what they hold."""


scale.add_command(slopes)
scale.add_command(capacity)


@scale.command("run")
@click.option("--scenario", type=click.Choice(SCENARIOS), help="What happens; it has to be given.")
@click.option("--servers", type=click.IntRange(1, SERVERS_MOST), default=1_000, show_default=True)
@click.option("--zones", type=click.IntRange(1, MAX_ZONES), help="85 for 48,000 servers, if not given.")
@click.option("--planners", type=click.IntRange(0, PLANNERS_MOST), default=20, show_default=True, help="Hollow ones.")
@click.option("--real-planners", type=click.IntRange(0, 250), default=0, show_default=True, help="Beside them.")
@click.option("--relays", type=click.IntRange(0, RELAYS_MOST), default=0, show_default=True, help="0: none.")
@click.option(
    "--whole-list-planners",
    type=click.IntRange(0, 50),
    default=0,
    show_default=True,
    help="Real ones that follow the registry itself, to compare with those behind relays.",
)
@click.option("--duration", type=click.FloatRange(1, DURATION_MOST), default=10.0, show_default=True, help="Seconds.")
@click.option("--seed", type=click.IntRange(0), default=0, show_default=True, help="Repeats the draw.")
@click.option(
    "--event-rate",
    type=click.FloatRange(0, 10_000, min_open=True),
    help="Servers that drain, go and return a second; an ordinary day 60 times as fast if not given.",
)
@click.option("--fault", type=click.Choice(["kill-relay"]), help="Kill a relay at two fifths of the time.")
@click.option("--plant", type=click.Choice(["drop-entry"]), help="Lose an entry on purpose; must exit 1.")
@click.option("--json", "as_json", is_flag=True, help="Only JSON on standard output.")
def run(
    scenario: str | None,
    servers: int,
    zones: int | None,
    planners: int,
    real_planners: int,
    relays: int,
    whole_list_planners: int,
    duration: float,
    seed: int,
    event_rate: float | None,
    fault: str | None,
    plant: str | None,
    as_json: bool,
) -> int:
    """Make one run; exit 1 where a planner ends with one entry wrong or missing."""
    if scenario is None:
        raise click.UsageError(f"--scenario is missing: {', '.join(SCENARIOS)}")
    if planners + real_planners == 0:
        raise click.UsageError("no planner: give --planners or --real-planners")
    if fault and not relays:
        raise click.UsageError("--fault kill-relay: give --relays")
    if whole_list_planners and not relays:
        raise click.UsageError("--whole-list-planners: without --relays all planners hold the whole list")
    if planners + real_planners > PLANNERS_MOST:
        raise click.UsageError(f"{planners + real_planners} planners; {PLANNERS_MOST} are the most")
    if plant and not planners:
        raise click.UsageError("--plant loses an entry of a hollow planner: give --planners")
    if relays == 1:
        raise click.UsageError("--relays 1: each cell needs two relays")
    zones = zones if zones is not None else default_zones(servers)
    if zones > servers:
        raise click.UsageError(f"--zones {zones} is more than the {servers} servers")
    arguments = Arguments(
        scenario,
        servers,
        zones,
        planners,
        real_planners,
        relays,
        duration,
        seed,
        event_rate if event_rate is not None else default_event_rate(servers),
        plant or "",
        whole_list_planners,
        fault or "",
    )
    return made(arguments, as_json)


def made(arguments: Arguments, as_json: bool) -> int:
    """Make the run and print it; the exit code."""
    told = Console(stderr=True)
    try:
        with told.status("starting") as status:
            report = asyncio.run(interruptible(arguments, status.update))
    except (KeyboardInterrupt, asyncio.CancelledError):
        told.print("interrupted; all processes have ended")
        return INTERRUPTED
    except (ScaleError, ControlError) as error:
        raise click.ClickException(str(error)) from None
    except TimeoutError:
        raise click.ClickException("the run did not end in time; all processes have ended") from None
    if not as_json:
        Console().print(table_of(report))
    click.echo(reports.encode(report))
    return 0 if report.passed() else 1


async def interruptible(arguments: Arguments, progress: reports.Progress) -> Report:
    """The run; SIGTERM ends it as Ctrl-C does, with all its processes."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_scale(arguments, progress)


def table_of(report: Report) -> Table:
    """The report for a reader."""
    table = Table("role", "count", "core", "RSS MB", "bytes in/s", "bytes out/s", "highest s in", "highest s out")
    for role in Role:
        found = report.figures(role)
        figures = (
            found.core,
            found.rss_mb,
            found.bytes_in_per_s,
            found.bytes_out_per_s,
            found.highest_second_in,
            found.highest_second_out,
        )
        table.add_row(role.value, str(found.count), *map(shown, figures))
    table.caption = "\n".join(captions(report))
    return table


def captions(report: Report) -> Iterator[str]:
    """What stands under the table."""
    force = report.in_force_ms
    yield f"{report.planners} of {report.planners_expected} planners right"
    yield f"{report.wrong_entries} of {report.entries_compared} entries wrong"
    yield f"in force after {shown(force.p50)} ms (p50), {shown(force.p99)} (p99), {shown(force.max)} (last)"
    yield f"{force.count} times measured, {force.missing} missing"
    yield from report.wrong[:3]


def shown(value: float | None) -> str:
    """A figure, or that there is none."""
    return "-" if value is None else f"{value:,.4g}" if value < 100 else f"{value:,.0f}"
