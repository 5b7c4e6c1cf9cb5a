"""Measures one real process between stand-ins at each size: start, settle, measure over a span, stop."""

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
    compare_prediction,
    fit_metrics,
    max_of_usages,
    mean_usage,
    predict,
)

SAMPLE_INTERVAL_S = 1.0
TABLES_TIMEOUT_S = 8.0  # wait for every proxy's first weight table; the measurement goes on when it expires
DEFAULT_SETTLE_S = 2.0  # two report intervals, in which complete weight tables replace the first partial ones
REPEAT_OVERHEAD_TIMEOUT_S = 60.0  # duration of a repeat in addition to its span


@dataclass(frozen=True, slots=True)
class Timing:
    """The durations of a measurement.

    Attributes:
        span_s: the measured time in seconds.
        settle_s: the time in seconds to wait before the span.
    """

    span_s: float
    settle_s: float = DEFAULT_SETTLE_S


@dataclass(frozen=True, slots=True)
class SizedPoint:
    """A point and the size of the swept variable at it."""

    size: float
    point: Point | RelayPoint


@dataclass(frozen=True, slots=True)
class Measurements:
    """The results of all sweeps, and the repeats of each single point by its name."""

    sweeps: list[Sweep]
    direct: dict[str, list[Repeat]]


async def measure(point: Point | RelayPoint, timing: Timing, seed: int, size: float) -> Repeat:
    """Measure one repeat at one point.

    Raises:
        BenchError: the process ended during the measurement, or the repeat exceeded its time limit.
    """
    try:
        async with asyncio.timeout(REPEAT_OVERHEAD_TIMEOUT_S + timing.span_s):
            return await measure_without_timeout(point, timing, seed, size)
    except TimeoutError as error:
        raise BenchError(
            f"measurement not finished within {REPEAT_OVERHEAD_TIMEOUT_S + timing.span_s:g} s: {point}"
        ) from error


def create_bench(point: Point | RelayPoint, seed: int) -> Bench:
    """Create the bench for a point."""
    return PlannerBench(point, seed) if isinstance(point, Point) else RelayBench(point, seed)


async def measure_without_timeout(point: Point | RelayPoint, timing: Timing, seed: int, size: float) -> Repeat:
    """Measure one repeat at one point, without a time limit."""
    bench = create_bench(point, seed)
    async with bench.running() as process:
        await wait_until(bench.all_clients_served, TABLES_TIMEOUT_S)
        await asyncio.sleep(timing.settle_s)
        start_list_bytes = bench.counters[Channel.LIST].bytes_in
        bench.start_list_changes()
        try:
            readings = await take_readings(process.pid, bench.counters, timing.span_s)
        except AccountingError as error:
            raise BenchError(f"process under test ended during the measurement at {point}: {error}") from error
        first = readings[0]
        last = readings[-1]
        span_s = last.monotonic_s - first.monotonic_s
        traffic = last.traffic.since(first.traffic)
        return Repeat(
            size=size,
            usage=usage_between(first, last),
            span_seconds=round(span_s, 3),
            peak=max_of_usages([usage_between(before, after) for before, after in pairwise(readings)]),
            channels={channel.value: channel_rates(counts, span_s) for channel, counts in traffic.channels.items()},
            load_average=round(os.getloadavg()[0], 2),
            start_list_bytes=start_list_bytes,
            updates=bench.updates_received(),
        )


@dataclass(frozen=True, slots=True)
class Reading:
    """The usage of a process and its traffic at one moment of the monotonic clock."""

    monotonic_s: float
    process_usage: ProcessUsage
    traffic: TrafficCounters


async def take_readings(pid: int, counters: TrafficCounters, span_s: float) -> list[Reading]:
    """Take a reading every second over a span in seconds, including its start and end."""
    readings = [Reading(time.monotonic(), read_usage(pid), counters.snapshot())]
    end_s = readings[0].monotonic_s + span_s
    while (remaining_s := end_s - time.monotonic()) > 0:
        await asyncio.sleep(min(SAMPLE_INTERVAL_S, remaining_s))
        readings.append(Reading(time.monotonic(), read_usage(pid), counters.snapshot()))
    return readings


def channel_rates(traffic: Traffic, span_s: float) -> ChannelRates:
    """Return the traffic of a channel per second over a span in seconds."""
    return ChannelRates(
        bytes_in=round(traffic.bytes_in / span_s, 2),
        bytes_out=round(traffic.bytes_out / span_s, 2),
        messages_in=round(traffic.messages_in / span_s, 2),
        messages_out=round(traffic.messages_out / span_s, 2),
    )


def usage_between(before: Reading, after: Reading) -> Usage:
    """Return the rates between two readings, and the memory at the later one."""
    span_s = after.monotonic_s - before.monotonic_s
    traffic = after.traffic.since(before.traffic)
    control_traffic = list(traffic.control_channels())
    data_traffic = list(traffic.data_channels())
    rates = {
        f"{name}_{field}": round(sum(getattr(channel, field) for channel in group_traffic) / span_s, 2)
        for name, group_traffic in (("control", control_traffic), ("data", data_traffic))
        for field in ("bytes_in", "bytes_out", "messages_in", "messages_out")
    }
    core = (after.process_usage.cpu_seconds - before.process_usage.cpu_seconds) / span_s
    return Usage(core=round(core, 6), rss_mb=round(after.process_usage.rss_mb, 2), **rates)


async def measure_repeats(
    points: Sequence[SizedPoint],
    timing: Timing,
    repeats: int,
    seed: int,
    jobs: int,
    progress: Callable[[str], None],
) -> list[Repeat]:
    """Measure each point several times.

    Args:
        points: the points to measure.
        timing: the durations of each repeat.
        repeats: the number of repeats of each point.
        seed: the seed of the first repeat; each further repeat adds one.
        jobs: the maximum number of concurrent measurements.
        progress: called with one line of text after each repeat.

    Returns:
        The first repeat of each point in the order of the points, then the second repeat of each, and so on.
    """
    semaphore = asyncio.Semaphore(jobs)

    async def measure_repeat(sized_point: SizedPoint, number: int) -> Repeat:
        """Measure one repeat of one point once fewer than `jobs` measurements are running."""
        async with semaphore:
            repeat = await measure(sized_point.point, timing, seed + number, sized_point.size)
        usage = repeat.usage
        progress(f"{sized_point.size:g}, repeat {number + 1}: {usage.core:.4f} core, {usage.rss_mb:.0f} MB")
        return repeat

    measurements = (measure_repeat(sized_point, number) for number in range(repeats) for sized_point in points)
    return list(await asyncio.gather(*measurements))


async def run_sweep(plan: SweepPlan, timing: Timing, repeats: int, seed: int, progress: Callable[[str], None]) -> Sweep:
    """Measure and fit all sizes, predict the held-out size from the fits, then measure the held-out size."""
    progress(f"sweep of {plan.role} against {plan.variable}")
    points = [SizedPoint(float(size), plan.point(size)) for size in plan.sizes]
    measured = await measure_repeats(points, timing, repeats, seed, plan.jobs, progress)
    fits = fit_metrics(measured)
    predicted = predict(fits, plan.held_out_size)
    progress(f"predicted at {plan.held_out_size}: {predicted['core']:.4f} core, {predicted['rss_mb']:.0f} MB")
    held_out_point = SizedPoint(float(plan.held_out_size), plan.point(plan.held_out_size))
    held_out_repeats = await measure_repeats([held_out_point], timing, repeats, seed, plan.jobs, progress)
    prediction = compare_prediction(predicted, held_out_repeats)
    progress(prediction_error_text(prediction))
    return Sweep(plan.role, plan.variable, plan.fixed(), measured, fits, prediction)


def prediction_error_text(prediction: HeldOut) -> str:
    """Return a line of text with the measured usage and the error of the prediction."""
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
    """Run all sweeps, then measure the single points named by `direct`, one point after another."""
    sweeps = [await run_sweep(plan, timing, repeats, seed, progress) for plan in plans]
    direct_repeats: dict[str, list[Repeat]] = {}
    for name in direct:
        progress(name)
        points = [SizedPoint(float(SINGLE_POINTS[name].servers), SINGLE_POINTS[name])]
        direct_repeats[name] = await measure_repeats(points, timing, repeats, seed, SINGLE_POINT_JOBS, progress)
    return Measurements(sweeps, direct_repeats)


def this_machine() -> Machine:
    """Return the properties of the machine that this process runs on."""
    return Machine(os.cpu_count() or 1, platform.python_version(), f"{platform.system()} {platform.release()}")
