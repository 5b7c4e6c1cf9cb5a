"""Tests of sweeps with short measurements of real processes between stand-ins."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest

from stackwheel.scale import relay_bench, sweep
from stackwheel.scale.bench import BenchError
from stackwheel.scale.choice_timing import time_choice
from stackwheel.scale.planner_bench import PlannerBench
from stackwheel.scale.points import SINGLE_POINTS, SWEEP_PLANS, Point, RelayPoint
from stackwheel.scale.slopes import MIN_DISTINCT_SIZES, Repeat
from stackwheel.scale.sweep import SizedPoint, Timing, measure, measure_repeats

TEST_TIMEOUT_S = 60.0

SHORT_TIMING = Timing(span_s=1.2, settle_s=0.1)


def test_measuring_a_planner_counts_the_traffic_of_its_channels() -> None:
    repeats: list[Repeat] = []

    async def run_measurement() -> None:
        repeats.append(
            await measure(Point(servers=8, zones=2, proxies=3, planners=2, changes=5.0), SHORT_TIMING, 1, 8.0)
        )

    asyncio.run(asyncio.wait_for(run_measurement(), TEST_TIMEOUT_S))
    (repeat,) = repeats
    assert 0 < repeat.usage.core < 1
    assert 10 < repeat.usage.rss_mb < 200
    assert repeat.peak.core >= repeat.usage.core
    assert repeat.start_list_bytes > 8 * 100
    assert repeat.updates >= 3
    assert repeat.channels["list"].bytes_in > 0
    assert repeat.channels["list"].messages_in > 2
    assert repeat.channels["peers"].bytes_in > 0
    assert repeat.channels["peers"].messages_out > 0
    assert repeat.channels["streams"].messages_in > 3
    assert repeat.channels["collectors"].messages_in > 4
    control = repeat.channels["list"].bytes_in + repeat.channels["peers"].bytes_in
    assert repeat.usage.control_bytes_in == pytest.approx(control, abs=0.1)


def test_measuring_a_relay_counts_the_traffic_of_its_watchers() -> None:
    repeats: list[Repeat] = []

    async def run_measurement() -> None:
        repeats.append(await measure(RelayPoint(servers=46, watchers=4, changes=10.0), SHORT_TIMING, 1, 4.0))

    asyncio.run(asyncio.wait_for(run_measurement(), TEST_TIMEOUT_S))
    (repeat,) = repeats
    assert 0 < repeat.usage.core < 1
    assert repeat.usage.rss_mb > 10
    assert repeat.channels["list"].messages_in > 4
    assert repeat.channels["watches"].messages_out > 8
    assert repeat.usage.data_bytes_out == 0


def test_a_planner_that_ends_during_the_measurement_raises_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    class KillingBench(PlannerBench):
        def start_list_changes(self) -> None:
            (child,) = Path(f"/proc/self/task/{os.getpid()}/children").read_text().split()
            os.kill(int(child), signal.SIGKILL)

    monkeypatch.setattr(sweep, "create_bench", KillingBench)

    async def run_measurement() -> None:
        with pytest.raises(BenchError, match="process under test ended during the measurement"):
            await measure(Point(servers=2, proxies=1), SHORT_TIMING, 1, 2.0)

    asyncio.run(asyncio.wait_for(run_measurement(), TEST_TIMEOUT_S))


def test_a_relay_that_does_not_serve_its_watchers_in_time_raises_an_error(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(relay_bench, "START_TIMEOUT_S", 0.0)

    async def run_measurement() -> None:
        with pytest.raises(BenchError, match="0 of 4 watchers received their list"):
            await measure(RelayPoint(servers=46, watchers=4), SHORT_TIMING, 1, 4.0)

    asyncio.run(asyncio.wait_for(run_measurement(), TEST_TIMEOUT_S))


def test_concurrent_measurements_do_not_exceed_the_number_of_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    running: list[int] = []
    running_counts: list[int] = []

    async def count_running(_point: Point, _timing: Timing, seed: int, _size: float) -> Repeat:
        running.append(seed)
        running_counts.append(len(running))
        await asyncio.sleep(0)
        running.remove(seed)
        raise BenchError(f"{seed}")

    monkeypatch.setattr(sweep, "measure", count_running)

    async def run_measurement() -> None:
        points = [SizedPoint(float(size), Point(servers=size)) for size in (1, 2, 3)]
        with pytest.raises(BenchError):
            await measure_repeats(points, SHORT_TIMING, 3, 1, 2, lambda _: None)

    asyncio.run(asyncio.wait_for(run_measurement(), TEST_TIMEOUT_S))
    assert max(running_counts) == 2


def test_each_sweep_has_enough_sizes_for_a_fit_and_holds_out_twice_the_largest() -> None:
    for plan in SWEEP_PLANS:
        assert len(set(plan.sizes)) >= MIN_DISTINCT_SIZES, plan.name
        assert plan.held_out_size == 2 * max(plan.sizes), plan.name
    assert len({plan.name for plan in SWEEP_PLANS}) == len(SWEEP_PLANS)


def test_the_lost_zone_of_the_full_list_has_565_servers() -> None:
    point = SINGLE_POINTS["whole list, zone lost"]
    assert sum(point.zone(number) == point.zone(0) for number in range(point.servers)) == 565


def test_timing_a_choice_returns_the_table_size_and_all_repeats() -> None:
    choice = time_choice(23, 2, repeats=3, calls=50)
    assert choice.lines == 23
    assert len(choice.repeats) == 3
    assert 0 < choice.min_us <= choice.median_us <= max(choice.repeats) < 10_000
