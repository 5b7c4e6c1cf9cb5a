"""The stand-ins around one planner: what they tell is what the planner reads."""

from __future__ import annotations

import asyncio
import signal
from types import FrameType

import pytest

from stackwheel.endpoints import EndpointList
from stackwheel.interface import Availability
from stackwheel.scale.accounting import Traffic
from stackwheel.scale.entries import Entry
from stackwheel.scale.fake_environment import FakeDiscovery, FakePeerPlanners, known_generation
from stackwheel.wire.discovery_protocol import parse_endpoint_list

WORK_MOST = 60.0  # s that one test may take


def feed(count: int = 4) -> FakeDiscovery:
    return FakeDiscovery([Entry(f"s-{n}", "10.0.0.1:80", f"zone-{n % 2:02d}") for n in range(count)], Traffic())


def told(found: FakeDiscovery, known: int | None) -> EndpointList:
    listing = parse_endpoint_list(found.list.since(known))
    assert isinstance(listing, EndpointList)
    return listing


def test_the_whole_list_is_read_by_a_planner_entry_by_entry() -> None:
    listing = told(feed(), None)
    assert listing.complete
    assert listing.generation == 1
    assert [(one.name, one.zone) for one in listing.instances] == [
        ("s-0", "zone-00"), ("s-1", "zone-01"), ("s-2", "zone-00"), ("s-3", "zone-01"),
    ]  # fmt: skip


def test_a_restart_drains_leaves_and_comes_back_as_a_new_process() -> None:
    found = feed()
    seen = []
    for _ in range(4):
        generation = found.list.generation
        found.change()
        (entry,) = told(found, generation).instances
        seen.append((entry.name, entry.availability, entry.started_at > 0))
    assert seen == [
        ("s-0", Availability.DRAINING, False),
        ("s-0", Availability.REMOVED, False),
        ("s-0", Availability.READY, True),
        ("s-1", Availability.DRAINING, False),
    ]


def test_a_lost_zone_leaves_in_one_generation_and_is_not_in_the_whole_list() -> None:
    found = feed()
    found.remove_zone("zone-00")
    changes = told(found, 1)
    assert {one.name for one in changes.instances} == {"s-0", "s-2"}
    assert changes.generation == 2
    assert all(one.availability is Availability.REMOVED for one in changes.instances)
    assert [one.name for one in told(found, None).instances] == ["s-1", "s-3"]


@pytest.mark.parametrize(
    ("target", "generation"), [("/x?follow=1&since=41", 41), ("/x?follow=1", None), ("/x", None), ("/x?since=a", None)]
)
def test_known_generation(target: str, generation: int | None) -> None:
    assert known_generation(target) == generation


@pytest.fixture
def no_spinning(request: pytest.FixtureRequest) -> None:
    """A loop that never gives way ends with an error, as no time limit of the event loop could end it."""

    def fail(_signal: int, _frame: FrameType | None) -> None:
        raise AssertionError("it spins")

    former = signal.signal(signal.SIGALRM, fail)
    signal.setitimer(signal.ITIMER_REAL, 5.0)
    request.addfinalizer(lambda: signal.signal(signal.SIGALRM, former))
    request.addfinalizer(lambda: signal.setitimer(signal.ITIMER_REAL, 0.0))


@pytest.mark.usefixtures("no_spinning")
def test_a_planner_without_peers_is_told_nothing() -> None:
    traffic = Traffic()

    async def work() -> None:
        peers = FakePeerPlanners(["s-0"], 128, traffic)
        await peers.open(0)
        await peers.run(("127.0.0.1", 9))
        peers.close()

    asyncio.run(asyncio.wait_for(work(), WORK_MOST))
    assert traffic == Traffic()


def test_over_the_most_that_a_planner_reads_nothing_is_sent() -> None:
    traffic = Traffic()

    async def work() -> None:
        peers = FakePeerPlanners([f"s-{n}" for n in range(62)], 3, traffic)  # two datagrams each, of two peers
        await peers.open(2)
        await asyncio.wait_for(peers.run(("127.0.0.1", 9)), 10)
        peers.close()

    asyncio.run(asyncio.wait_for(work(), WORK_MOST))
    assert traffic == Traffic()
