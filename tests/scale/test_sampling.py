"""Bytes of each role from the counters of a run, and the rates made of them."""

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


def test_relays_receive_from_the_registry_and_planners_and_send_the_reverse() -> None:
    by_role = reading(0.0).by_role()
    assert by_role[Role.REGISTRY] == ByteCounts(100, 9_000)
    assert by_role[Role.HOLLOW_PLANNER] == ByteCounts(800, 80)
    assert by_role[Role.REAL_PLANNER] == ByteCounts(70, 7)
    assert by_role[Role.FULL_LIST_PLANNER] == ByteCounts(4_000, 10)
    lists_received = 800 - 40 + 70  # by hollow planners without datagrams, and real ones
    calls_sent = 80 - 30 + 7
    assert by_role[Role.RELAY] == ByteCounts(received=9_000 - 4_000 + calls_sent, sent=100 - 10 + lists_received)


def test_figures_are_means_of_one_and_the_highest_second() -> None:
    sampler = Sampler()
    for at, factor in ((10.0, 1), (11.0, 2), (13.0, 3)):
        sampler.add_traffic(reading(at, factor))
    figures = sampler.figures(Role.HOLLOW_PLANNER, 4, 2.0)
    assert figures.bytes_in_per_s == pytest.approx(2 * 800 / 2.0 / 4)
    assert figures.bytes_out_per_s == pytest.approx(2 * 80 / 2.0 / 4)
    assert (figures.highest_second_in, figures.highest_second_out) == (800, 80)


def test_readings_close_together_give_no_rate() -> None:
    series = ByteSeries()
    series.add(ByteCounts(0, 0), 1.0)
    series.add(ByteCounts(1_000, 100), 1.1)
    assert (series.highest_received, series.highest_sent) == (0.0, 0.0)
    assert series.total() == ByteCounts(1_000, 100)
