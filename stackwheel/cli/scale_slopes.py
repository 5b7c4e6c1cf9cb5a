"""`stackwheel scale slopes` and `stackwheel scale capacity`: measure slopes, and work out the fleet from them."""

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
@click.option("--out", type=FILE_PATH, required=True, help="The result file; replaced only when all is measured.")
@click.option("--only", multiple=True, help="A sweep by its name (may be given again); all if left out.")
@click.option("--repeats", type=click.IntRange(1, 20), default=3, show_default=True, help="Of each size.")
@click.option("--span", type=click.FloatRange(0.5, 600), default=6.0, show_default=True, help="s that are counted.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of stand-ins and planner.")
@click.option("--no-direct", is_flag=True, help="Leave out the points that are measured by themselves.")
@click.option("--replace", is_flag=True, help="Keep what --out already holds beside what is measured now.")
def slopes(
    replace: bool, out: Path, only: tuple[str, ...], repeats: int, span: float, seed: int, no_direct: bool
) -> int:
    """Measure what a real planner and a real relay cost against each size; takes twelve minutes, up to two cores."""
    from stackwheel.scale.bench import BenchError
    from stackwheel.scale.choice_timing import time_choices

    plans = select_plans(only)
    points = [] if no_direct else list(SINGLE_POINTS)
    former = load_result(out) if replace else None
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
    write_result(out, result if former is None else merge_results(former, result))
    click.echo(f"written: {out}")
    return 0


@click.command()
@click.argument("file", type=FILE_PATH)
def capacity(file: Path) -> int:
    """Work out each role's cost at the design size from a result file, as docs/CAPACITY.md has it."""
    click.echo(render_capacity(file), nl=False)
    return 0


def show_capacity(ctx: click.Context, _param: click.Parameter, value: Path | None) -> None:
    """`stackwheel scale --capacity FILE`: the same as `stackwheel scale capacity FILE`."""
    if value is not None:
        click.echo(render_capacity(value), nl=False)
        ctx.exit(0)


capacity_option = click.option(
    "--capacity",
    type=FILE_PATH,
    is_eager=True,
    expose_value=False,
    callback=show_capacity,
    help="Work out each role's cost from a result file of `scale slopes`.",
)


def select_plans(names: Sequence[str]) -> list[SweepPlan]:
    """The sweeps of some names, or all; a usage error (exit 2) if a name is unknown."""
    plans = {plan.name: plan for plan in SWEEP_PLANS}
    for name in names:
        if name not in plans:
            raise click.UsageError(f"no sweep {name!r}; known are {', '.join(plans)}")
    return [plans[name] for name in names] or list(plans.values())


def print_progress(text: str) -> None:
    """How far the measurement is."""
    click.echo(text, err=True)


def load_result(path: Path) -> Result:
    """The result in a file; a usage error (exit 2) if it can't be used."""
    try:
        return read_result(path)
    except ResultError as error:
        raise click.UsageError(str(error)) from error


def render_capacity(path: Path) -> str:
    """The generated part of docs/CAPACITY.md from a result file; a usage error (exit 2) if it can't be used."""
    from stackwheel.scale.capacity_page import render

    try:
        return render(load_result(path))
    except ResultError as error:
        raise click.UsageError(f"{path}: {error}") from error
