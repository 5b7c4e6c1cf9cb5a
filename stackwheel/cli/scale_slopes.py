"""`stackwheel scale slopes` and `stackwheel scale capacity`: measure costs by size, and extrapolate to the fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

import click

from stackwheel.cli.interrupts import cancelled_by_sigterm
from stackwheel.cli.options import FILE_PATH
from stackwheel.scale.points import SINGLE_POINTS, SWEEP_PLANS, SweepPlan
from stackwheel.scale.slopes import VERSION, Result, ResultError, merge_results, read_result, write_result
from stackwheel.scale.sweep import Timing, measure_all, this_machine


@click.command()
@click.option(
    "--out", type=FILE_PATH, required=True, help="The result file; replaced after all measurements are complete."
)
@click.option("--only", multiple=True, help="Name of a sweep; may be repeated; all by default.")
@click.option("--repeats", type=click.IntRange(1, 20), default=3, show_default=True, help="Measurements per size.")
@click.option(
    "--span", type=click.FloatRange(0.5, 600), default=6.0, show_default=True, help="Seconds per measurement."
)
@click.option(
    "--seed",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="Seed of the simulated peers and of the planner.",
)
@click.option("--no-direct", is_flag=True, help="Skip the measurements that belong to no sweep.")
@click.option("--replace", is_flag=True, help="Keep the results in --out that are not measured again.")
def slopes(
    replace: bool, out: Path, only: tuple[str, ...], repeats: int, span: float, seed: int, no_direct: bool
) -> int:
    """Measure the cost of a planner and a relay by size; takes twelve minutes on up to two cores."""
    from stackwheel.scale.bench import BenchError
    from stackwheel.scale.choice_timing import time_choices

    plans = select_plans(only)
    points = [] if no_direct else list(SINGLE_POINTS)
    previous = load_result(out) if replace else None
    work = measure_all(plans, points, Timing(span), repeats, seed, print_progress)
    try:
        measured = asyncio.run(cancelled_by_sigterm(work))
    except asyncio.CancelledError as error:
        raise click.Abort from error
    except BenchError as error:
        click.echo(f"stackwheel: {error}", err=True)
        return 1
    arguments = {"repeats": float(repeats), "span": span, "seed": float(seed)}
    result = Result(VERSION, arguments, this_machine(), measured.sweeps, measured.direct, time_choices())
    write_result(out, result if previous is None else merge_results(previous, result))
    click.echo(f"written: {out}")
    return 0


@click.command()
@click.argument("file", type=FILE_PATH)
def capacity(file: Path) -> int:
    """Compute the cost of each role at the design size from a result file, in the format of docs/CAPACITY.md."""
    click.echo(render_capacity(file), nl=False)
    return 0


def show_capacity(ctx: click.Context, _param: click.Parameter, value: Path | None) -> None:
    """Print the capacity and exit, for `stackwheel scale --capacity FILE`."""
    if value is not None:
        click.echo(render_capacity(value), nl=False)
        ctx.exit(0)


capacity_option = click.option(
    "--capacity",
    type=FILE_PATH,
    is_eager=True,
    expose_value=False,
    callback=show_capacity,
    help="Compute the cost of each role from a result file of `scale slopes`, and exit.",
)


def select_plans(names: Sequence[str]) -> list[SweepPlan]:
    """Return the sweeps with the given names, or all if none is given; raises UsageError if a name is unknown."""
    plans = {plan.name: plan for plan in SWEEP_PLANS}
    for name in names:
        if name not in plans:
            raise click.UsageError(f"unknown sweep {name!r}, expected one of: {', '.join(plans)}")
    return [plans[name] for name in names] or list(plans.values())


def print_progress(text: str) -> None:
    """Print the progress of the measurement to standard error."""
    click.echo(text, err=True)


def load_result(path: Path) -> Result:
    """Load the result in a file; raises UsageError (exit 2) if it is invalid."""
    try:
        return read_result(path)
    except ResultError as error:
        raise click.UsageError(str(error)) from error


def render_capacity(path: Path) -> str:
    """Render the generated part of docs/CAPACITY.md from a result file; raises UsageError (exit 2) if it is invalid."""
    from stackwheel.scale.capacity_page import render

    try:
        return render(load_result(path))
    except ResultError as error:
        raise click.UsageError(f"{path}: {error}") from error
