"""Measures one real process between stand-ins, size by size: start, settle, count over a span, end."""

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
from stackwheel.scale.points import SINGLE_POINT_JOBS, SINGLE_POINTS, Point, RelayPoint, SweepPlan
from stackwheel.scale.proxies import wait_until
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

SAMPLE_INTERVAL = 1.0  # s between two readings
TABLES_SECONDS = 8.0  # from joining until every proxy has a table; the span begins then in any case
SETTLE_SECONDS = 2.0  # after that: two report intervals, so that complete tables follow the first short ones
MEASURE_SECONDS = 60.0  # beyond the span, for one repeat from start to end


@dataclass(frozen=True, slots=True)
class Timing:
    """How long a point is measured."""

    span: float  # s that are counted
    settle: float = SETTLE_SECONDS  # s before the span


@dataclass(frozen=True, slots=True)
class SizedPoint:
    """A point, and the size of the swept variable there."""

    size: float
    point: Point | RelayPoint


@dataclass(frozen=True, slots=True)
class Measurements:
    """The results of all sweeps, and the repeats of the single points by name."""

    sweeps: list[Sweep]
    direct: dict[str, list[Repeat]]


async def measure(point: Point | RelayPoint, timing: Timing, seed: int, size: float) -> Repeat:
    """Measure one repeat at one point; BenchError if the process ends meanwhile or the repeat takes far too long."""
    try:
        async with asyncio.timeout(MEASURE_SECONDS + timing.span):
            return await measure_untimed(point, timing, seed, size)
    except TimeoutError as error:
        raise BenchError(f"not measured within {MEASURE_SECONDS + timing.span:g} s: {point}") from error


def bench_of(point: Point | RelayPoint, seed: int) -> Bench:
    """The bench on which a point is measured."""
    return PlannerBench(point, seed) if isinstance(point, Point) else RelayBench(point, seed)


async def measure_untimed(point: Point | RelayPoint, timing: Timing, seed: int, size: float) -> Repeat:
    """Measure one repeat at one point, without a time limit."""
    bench = bench_of(point, seed)
    async with bench.running() as process:
        await wait_until(bench.all_clients_served, TABLES_SECONDS)
        await asyncio.sleep(timing.settle)
        start_list_bytes = bench.counters[Channel.LIST].bytes_in
        bench.start_list_changes()
        try:
            readings = await sample(process.pid, bench.counters, timing.span)
        except AccountingError as error:
            raise BenchError(f"ended while it was measured at {point}: {error}") from error
        first = readings[0]
        last = readings[-1]
        span = last.at - first.at
        traffic = last.traffic.since(first.traffic)
        return Repeat(
            size=size,
            usage=usage_between(first, last),
            span_seconds=round(span, 3),
            peak=highest([usage_between(before, after) for before, after in pairwise(readings)]),
            channels={channel.value: channel_rates(counts, span) for channel, counts in traffic.channels.items()},
            load_average=round(os.getloadavg()[0], 2),
            start_list_bytes=start_list_bytes,
            updates=bench.updates_received(),
        )


@dataclass(frozen=True, slots=True)
class Reading:
    """A process and its traffic at one moment."""

    at: float  # s on the monotonic clock
    process: ProcessUsage
    traffic: TrafficCounters


async def sample(pid: int, counters: TrafficCounters, span: float) -> list[Reading]:
    """Take a reading each second over a span in seconds, and at its start and end."""
    readings = [Reading(time.monotonic(), read_usage(pid), counters.snapshot())]
    end = readings[0].at + span
    while (remaining := end - time.monotonic()) > 0:
        await asyncio.sleep(min(SAMPLE_INTERVAL, remaining))
        readings.append(Reading(time.monotonic(), read_usage(pid), counters.snapshot()))
    return readings


def channel_rates(traffic: Traffic, span: float) -> ChannelRates:
    """A channel's traffic per second over a span in seconds."""
    return ChannelRates(
        bytes_in=round(traffic.bytes_in / span, 2),
        bytes_out=round(traffic.bytes_out / span, 2),
        messages_in=round(traffic.messages_in / span, 2),
        messages_out=round(traffic.messages_out / span, 2),
    )


def usage_between(before: Reading, after: Reading) -> Usage:
    """Rates between two readings; memory is that of the later one."""
    span = after.at - before.at
    traffic = after.traffic.since(before.traffic)
    control = list(traffic.control_channels())
    data = list(traffic.data_channels())
    rates = {
        f"{name}_{field}": round(sum(getattr(channel, field) for channel in group) / span, 2)
        for name, group in (("control", control), ("data", data))
        for field in ("bytes_in", "bytes_out", "messages_in", "messages_out")
    }
    core = (after.process.cpu_seconds - before.process.cpu_seconds) / span
    return Usage(core=round(core, 6), rss_mb=round(after.process.rss_mb, 2), **rates)


async def repeats_of(
    points: Sequence[SizedPoint],
    timing: Timing,
    repeats: int,
    seed: int,
    jobs: int,
    progress: Callable[[str], None],
) -> list[Repeat]:
    """Measure all points several times.

    Args:
        points: that are measured.
        timing: of each repeat.
        repeats: of each point.
        seed: of the first repeat; each further one has the next number.
        jobs: how many are measured concurrently.
        progress: called with a line about each repeat.

    Returns:
        The first repeats of all points in their order, then the second ones, and so on.
    """
    limit = asyncio.Semaphore(jobs)

    async def measure_repeat(sized: SizedPoint, number: int) -> Repeat:
        """Measure one repeat of one point when its turn has come."""
        async with limit:
            repeat = await measure(sized.point, timing, seed + number, sized.size)
        usage = repeat.usage
        progress(f"{sized.size:g}, repeat {number + 1}: {usage.core:.4f} core, {usage.rss_mb:.0f} MB")
        return repeat

    work = (measure_repeat(sized, number) for number in range(repeats) for sized in points)
    return list(await asyncio.gather(*work))


async def run_sweep(plan: SweepPlan, timing: Timing, repeats: int, seed: int, progress: Callable[[str], None]) -> Sweep:
    """Measure the sizes, fit, predict the held-out size, and only then measure that."""
    progress(f"{plan.role} against {plan.variable}")
    points = [SizedPoint(float(size), plan.point(size)) for size in plan.sizes]
    measured = await repeats_of(points, timing, repeats, seed, plan.jobs, progress)
    fits = fit_all(measured)
    predicted = predict(fits, plan.held_out)
    progress(f"predicted at {plan.held_out}: {predicted['core']:.4f} core, {predicted['rss_mb']:.0f} MB")
    held_out_point = SizedPoint(float(plan.held_out), plan.point(plan.held_out))
    held_out_repeats = await repeats_of([held_out_point], timing, repeats, seed, plan.jobs, progress)
    prediction = held_out(predicted, held_out_repeats)
    progress(prediction_error_text(prediction))
    return Sweep(plan.role, plan.variable, plan.fixed(), measured, fits, prediction)


def prediction_error_text(prediction: HeldOut) -> str:
    """A line about what was measured, and the error of the prediction."""
    measured = mean_usage(prediction.repeats)
    error = prediction.error
    return (
        f"measured at {prediction.size:g}: {measured.core:.4f} core ({error['core']:+.0%} against the prediction), "
        f"{measured.rss_mb:.0f} MB ({error['rss_mb']:+.0%})"
    )


async def measure_all(
    plans: Sequence[SweepPlan],
    direct: Sequence[str],
    timing: Timing,
    repeats: int,
    seed: int,
    progress: Callable[[str], None],
) -> Measurements:
    """Run all sweeps, then measure the single points named by `direct`, one after another."""
    sweeps = [await run_sweep(plan, timing, repeats, seed, progress) for plan in plans]
    direct_repeats: dict[str, list[Repeat]] = {}
    for name in direct:
        progress(name)
        points = [SizedPoint(float(SINGLE_POINTS[name].servers), SINGLE_POINTS[name])]
        direct_repeats[name] = await repeats_of(points, timing, repeats, seed, SINGLE_POINT_JOBS, progress)
    return Measurements(sweeps, direct_repeats)


def this_machine() -> Machine:
    """The machine that this process runs on."""
    return Machine(os.cpu_count() or 1, platform.python_version(), f"{platform.system()} {platform.release()}")
