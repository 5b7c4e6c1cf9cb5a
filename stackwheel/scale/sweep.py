"""Measures one real planner between stand-ins, size by size: start, settle, count over a span, end."""

from __future__ import annotations

import asyncio
import os
import platform
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import pairwise

from stackwheel.scale.accounting import AccountingError, Channel, ProcessUsage, Traffic, TrafficCounters, read_usage
from stackwheel.scale.bench import Bench, BenchError
from stackwheel.scale.planner_bench import PlannerBench
from stackwheel.scale.points import DIRECT, DIRECT_JOBS, Plan, Point, RelayPoint
from stackwheel.scale.proxies import until
from stackwheel.scale.relay_bench import RelayBench
from stackwheel.scale.slopes import (
    ChannelRates,
    HeldOut,
    Machine,
    Repeat,
    Sweep,
    Usage,
    fit_all,
    held_out,
    highest,
    mean_usage,
    predict,
)

SECOND = 1.0
TABLES_SECONDS = 8.0  # from joining until every proxy holds a table, before the span begins anyway
SETTLE_SECONDS = 2.0  # after that: two cycles of reports, so that whole tables follow short ones
MEASURE_SECONDS = 60.0  # beyond the span, for one repeat from start to end


@dataclass(frozen=True, slots=True)
class Timing:
    """How long a point is measured."""

    span: float  # s
    settle: float = SETTLE_SECONDS


async def measure(point: Point | RelayPoint, timing: Timing, seed: int, size: float) -> Repeat:
    """One repeat at one point; BenchError if the planner ends meanwhile or the repeat takes far too long."""
    try:
        async with asyncio.timeout(MEASURE_SECONDS + timing.span):
            return await measure_within(point, timing, seed, size)
    except TimeoutError:
        raise BenchError(f"not measured within {MEASURE_SECONDS + timing.span:g} s: {point}") from None


def bench_of(point: Point | RelayPoint, seed: int) -> Bench:
    """What a point is measured on."""
    return PlannerBench(point, seed) if isinstance(point, Point) else RelayBench(point, seed)


async def measure_within(point: Point | RelayPoint, timing: Timing, seed: int, size: float) -> Repeat:
    """One repeat at one point, without a limit of time."""
    bench = bench_of(point, seed)
    async with bench.running() as process:
        await until(bench.all_served, TABLES_SECONDS)
        await asyncio.sleep(timing.settle)
        listed = bench.counters[Channel.LIST].bytes_in
        bench.start_disturbances()
        try:
            seconds = await sample(process.pid, bench.counters, timing.span)
        except AccountingError as error:
            raise BenchError(f"ended while it was measured at {point}: {error}") from None
        first = seconds[0]
        last = seconds[-1]
        span = last.at - first.at
        counted = last.traffic.since(first.traffic)
        peak = highest([usage_between(one, other) for one, other in pairwise(seconds)])
        channels = {channel.value: channel_rates(one, span) for channel, one in counted.channels.items()}
        load = os.getloadavg()[0]
        orders = bench.updates_received()
        return Repeat(size, usage_between(first, last), round(span, 3), peak, channels, round(load, 2), listed, orders)


@dataclass(frozen=True, slots=True)
class Reading:
    """A process and its traffic at a moment of the monotonic clock, in seconds."""

    at: float
    process: ProcessUsage
    traffic: TrafficCounters


async def sample(pid: int, counters: TrafficCounters, span: float) -> list[Reading]:
    """Readings once a second over a span, first and last included."""
    found = [Reading(time.monotonic(), read_usage(pid), counters.reading())]
    end = found[0].at + span
    while (left := end - time.monotonic()) > 0:
        await asyncio.sleep(min(SECOND, left))
        found.append(Reading(time.monotonic(), read_usage(pid), counters.reading()))
    return found


def channel_rates(traffic: Traffic, span: float) -> ChannelRates:
    """A channel's traffic a second."""
    counts = (traffic.bytes_in, traffic.bytes_out, traffic.messages_in, traffic.messages_out)
    return ChannelRates(*(round(count / span, 2) for count in counts))


def usage_between(before: Reading, after: Reading) -> Usage:
    """Rates between two readings. Memory is that of the later."""
    span = after.at - before.at
    counted = after.traffic.since(before.traffic)
    control = list(counted.control())
    data = list(counted.data_path())
    rates = {
        f"{name}_{field}": round(sum(getattr(one, field) for one in group) / span, 2)
        for name, group in (("control", control), ("data", data))
        for field in ("bytes_in", "bytes_out", "messages_in", "messages_out")
    }
    core = (after.process.cpu_seconds - before.process.cpu_seconds) / span
    return Usage(core=round(core, 6), rss_mb=round(after.process.rss_mb, 2), **rates)


async def repeats_of(
    points: Sequence[tuple[float, Point | RelayPoint]],
    timing: Timing,
    repeats: int,
    seed: int,
    jobs: int,
    progress: Callable[[str], None],
) -> list[Repeat]:
    """All repeats of all points, so many side by side, in the order of sizes."""
    turn = asyncio.Semaphore(jobs)

    async def one(size: float, point: Point | RelayPoint, repeat: int) -> Repeat:
        async with turn:
            found = await measure(point, timing, seed + repeat, size)
        progress(f"{size:g}, repeat {repeat + 1}: {found.usage.core:.4f} core, {found.usage.rss_mb:.0f} MB")
        return found

    return list(await asyncio.gather(*(one(s, p, r) for r in range(repeats) for s, p in points)))


async def run_sweep(plan: Plan, timing: Timing, repeats: int, seed: int, progress: Callable[[str], None]) -> Sweep:
    """Measure the sizes, fit, predict the held-out size, and only then measure that."""
    progress(f"{plan.role} against {plan.variable}")
    points = [(float(size), plan.point(size)) for size in plan.sizes]
    measured = await repeats_of(points, timing, repeats, seed, plan.jobs, progress)
    fits = fit_all(measured)
    predicted = predict(fits, plan.held_out)
    progress(f"predicted at {plan.held_out}: {predicted['core']:.4f} core, {predicted['rss_mb']:.0f} MB")
    beyond = [(float(plan.held_out), plan.point(plan.held_out))]
    found = held_out(predicted, await repeats_of(beyond, timing, repeats, seed, plan.jobs, progress))
    progress(prediction_error_text(found))
    return Sweep(plan.role, plan.variable, plan.fixed(), measured, fits, found)


def prediction_error_text(found: HeldOut) -> str:
    """Prediction beside measurement, in a line."""
    measured = mean_usage(found.repeats)
    return (
        f"measured at {found.size:g}: {measured.core:.4f} core ({found.error['core']:+.0%} against the prediction), "
        f"{measured.rss_mb:.0f} MB ({found.error['rss_mb']:+.0%})"
    )


async def run_all(
    plans: Sequence[Plan],
    direct: Sequence[str],
    timing: Timing,
    repeats: int,
    seed: int,
    progress: Callable[[str], None],
) -> tuple[list[Sweep], dict[str, list[Repeat]]]:
    """All sweeps, one after the other, and the points that are measured as such."""
    sweeps = [await run_sweep(plan, timing, repeats, seed, progress) for plan in plans]
    found: dict[str, list[Repeat]] = {}
    for name in direct:
        progress(name)
        points = [(float(DIRECT[name].servers), DIRECT[name])]
        found[name] = await repeats_of(points, timing, repeats, seed, DIRECT_JOBS, progress)
    return sweeps, found


def this_machine() -> Machine:
    """What it is measured on."""
    return Machine(os.cpu_count() or 1, platform.python_version(), f"{platform.system()} {platform.release()}")
