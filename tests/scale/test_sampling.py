"""Tests of the bytes of each role and of the rates that are computed from the counters of a run."""

from __future__ import annotations

import pytest

from stackwheel.scale.children import Role
from stackwheel.scale.control import Traffic
from stackwheel.scale.sampling import ByteCounts, ByteSeries, Sampler, TrafficReading


def reading(at: float, factor: int = 1) -> TrafficReading:
    return TrafficReading(
        monotonic_s=at,
        registry=Traffic(bytes_in=100 * factor, bytes_out=9_000 * factor),
        hollow_processes=[
            Traffic(500 * factor, 60 * factor, peer_bytes_in=40 * factor, peer_bytes_out=30 * factor),
            Traffic(300 * factor, 20 * factor),
        ],
        real_planners=ByteCounts(received=70 * factor, sent=7 * factor),
        full_list_planners=ByteCounts(received=4_000 * factor, sent=10 * factor),
    )


def test_bytes_of_relays_are_computed_from_those_of_the_registry_and_the_planners() -> None:
    by_role = reading(0.0).by_role()
    assert by_role[Role.REGISTRY] == ByteCounts(100, 9_000)
    assert by_role[Role.HOLLOW_PLANNER] == ByteCounts(800, 80)
    assert by_role[Role.REAL_PLANNER] == ByteCounts(70, 7)
    assert by_role[Role.FULL_LIST_PLANNER] == ByteCounts(4_000, 10)
    lists_received = 800 - 40 + 70  # by hollow planners, without gossip, and by real planners
    calls_sent = 80 - 30 + 7
    assert by_role[Role.RELAY] == ByteCounts(received=9_000 - 4_000 + calls_sent, sent=100 - 10 + lists_received)


def test_figures_are_the_means_of_one_planner_and_the_rates_of_the_highest_second() -> None:
    sampler = Sampler()
    for at, factor in ((10.0, 1), (11.0, 2), (13.0, 3)):
        sampler.add_traffic(reading(at, factor))
    figures = sampler.figures(Role.HOLLOW_PLANNER, 4, 2.0)
    assert figures.bytes_in_per_s == pytest.approx(2 * 800 / 2.0 / 4)
    assert figures.bytes_out_per_s == pytest.approx(2 * 80 / 2.0 / 4)
    assert (figures.highest_second_in, figures.highest_second_out) == (800, 80)


def test_readings_less_than_half_a_second_apart_give_no_rate() -> None:
    series = ByteSeries()
    series.add(ByteCounts(0, 0), 1.0)
    series.add(ByteCounts(1_000, 100), 1.1)
    assert (series.highest_received_per_s, series.highest_sent_per_s) == (0.0, 0.0)
    assert series.total() == ByteCounts(1_000, 100)
