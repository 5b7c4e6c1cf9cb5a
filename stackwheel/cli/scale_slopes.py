"""`stackwheel scale slopes` and `stackwheel scale capacity`: measure slopes, and work out the fleet from them."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

import click

from stackwheel.scale.slopes import Result, ResultError, read_result

Measured = TypeVar("Measured")
RESULT = click.Path(dir_okay=False, path_type=Path)


@click.command()
@click.option("--out", type=RESULT, required=True, help="The result file; replaced only when all is measured.")
@click.option("--only", multiple=True, help="A sweep by its name (may be given again); all if left out.")
@click.option("--repeats", type=click.IntRange(1, 20), default=3, show_default=True, help="Of each size.")
@click.option("--span", type=click.FloatRange(0.5, 600), default=6.0, show_default=True, help="s that are counted.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="Of stand-ins and planner.")
@click.option("--no-direct", is_flag=True, help="Leave out the whole points measured as such.")
@click.option("--replace", is_flag=True, help="Keep what --out already holds beside what is measured now.")
def slopes(
    replace: bool, out: Path, only: tuple[str, ...], repeats: int, span: float, seed: int, no_direct: bool
) -> int:
    """Measure what a real planner and a real relay cost against each size; takes twelve minutes, up to two cores."""
    from stackwheel.scale import sweep
    from stackwheel.scale.bench import BenchError
    from stackwheel.scale.choice_timing import time_choices
    from stackwheel.scale.points import DIRECT, PLANS
    from stackwheel.scale.slopes import VERSION, merged, write_result

    known = {plan.name: plan for plan in PLANS}
    if unknown := [name for name in only if name not in known]:
        raise click.UsageError(f"no sweep {unknown[0]!r}; known are {', '.join(known)}")
    plans = [known[name] for name in only] or list(known.values())
    direct = [] if no_direct else list(DIRECT)
    former = checked_result(out) if replace else None
    work = sweep.run_all(plans, direct, sweep.Timing(span), repeats, seed, lambda text: click.echo(text, err=True))
    try:
        measured = asyncio.run(until_told_to_stop(work))
    except asyncio.CancelledError:
        raise click.Abort from None
    except BenchError as error:
        click.echo(f"stackwheel: {error}", err=True)
        return 1
    arguments = {"repeats": float(repeats), "span": span, "seed": float(seed)}
    found = Result(VERSION, arguments, sweep.this_machine(), measured.sweeps, measured.direct, time_choices())
    write_result(out, found if former is None else merged(former, found))
    click.echo(f"written: {out}")
    return 0


async def until_told_to_stop(work: Coroutine[Any, Any, Measured]) -> Measured:
    """SIGTERM ends a run as Ctrl-C does: what it has started ends with it."""
    task = asyncio.ensure_future(work)
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await task


def checked_result(path: Path) -> Result:
    """The result in a file; a usage error (exit 2) if it cannot be used."""
    try:
        return read_result(path)
    except ResultError as error:
        raise click.UsageError(str(error)) from None


def told(path: Path) -> str:
    """The generated part of docs/CAPACITY.md from a result file; a usage error (exit 2) if it cannot be used."""
    from stackwheel.scale.capacity_page import render

    try:
        return render(checked_result(path))
    except ResultError as error:
        raise click.UsageError(f"{path}: {error}") from None


@click.command()
@click.argument("file", type=RESULT)
def capacity(file: Path) -> int:
    """Work out each role's cost at the design size from a result file, as docs/CAPACITY.md has it."""
    click.echo(told(file), nl=False)
    return 0


def show_capacity(ctx: click.Context, _param: click.Parameter, value: Path | None) -> None:
    """`stackwheel scale --capacity FILE`: the same as `stackwheel scale capacity FILE`."""
    if value is not None:
        click.echo(told(value), nl=False)
        ctx.exit(0)


capacity_option = click.option(
    "--capacity",
    type=RESULT,
    is_eager=True,
    expose_value=False,
    callback=show_capacity,
    help="Work out each role's cost from a result file of `scale slopes`.",
)
