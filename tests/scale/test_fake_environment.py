"""Tests of the stand-ins around one planner: the lists and the datagrams that they send."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterator
from types import FrameType

import pytest

from stackwheel.endpoints import EndpointList
from stackwheel.interface import Availability
from stackwheel.scale.accounting import Traffic
from stackwheel.scale.entries import Entry
from stackwheel.scale.fake_environment import FakeDiscovery, FakePeerPlanners, known_generation
from stackwheel.wire.discovery_protocol import parse_endpoint_list

TEST_TIMEOUT_S = 60.0


def fake_discovery(count: int = 4) -> FakeDiscovery:
    return FakeDiscovery([Entry(f"s-{n}", "10.0.0.1:80", f"zone-{n % 2:02d}") for n in range(count)], Traffic())


def sent_list(discovery: FakeDiscovery, known: int | None) -> EndpointList:
    endpoint_list = parse_endpoint_list(discovery.list.encode_since(known))
    assert isinstance(endpoint_list, EndpointList)
    return endpoint_list


def test_a_planner_reads_every_entry_of_the_full_list() -> None:
    endpoint_list = sent_list(fake_discovery(), None)
    assert endpoint_list.complete
    assert endpoint_list.generation == 1
    assert [(instance.name, instance.zone) for instance in endpoint_list.instances] == [
        ("s-0", "zone-00"), ("s-1", "zone-01"), ("s-2", "zone-00"), ("s-3", "zone-01"),
    ]  # fmt: skip


def test_successive_changes_drain_remove_and_restart_one_server_after_another() -> None:
    discovery = fake_discovery()
    steps = []
    for _ in range(4):
        generation = discovery.list.generation
        discovery.change()
        (instance,) = sent_list(discovery, generation).instances
        steps.append((instance.name, instance.availability, instance.started_at > 0))
    assert steps == [
        ("s-0", Availability.DRAINING, False),
        ("s-0", Availability.REMOVED, False),
        ("s-0", Availability.READY, True),
        ("s-1", Availability.DRAINING, False),
    ]


def test_a_zone_is_removed_in_one_generation_and_is_absent_from_the_full_list() -> None:
    discovery = fake_discovery()
    discovery.remove_zone("zone-00")
    delta = sent_list(discovery, 1)
    assert {instance.name for instance in delta.instances} == {"s-0", "s-2"}
    assert delta.generation == 2
    assert all(instance.availability is Availability.REMOVED for instance in delta.instances)
    assert [instance.name for instance in sent_list(discovery, None).instances] == ["s-1", "s-3"]


@pytest.mark.parametrize(
    ("target", "generation"), [("/x?follow=1&since=41", 41), ("/x?follow=1", None), ("/x", None), ("/x?since=a", None)]
)
def test_the_known_generation_is_read_from_the_since_parameter(target: str, generation: int | None) -> None:
    assert known_generation(target) == generation


@pytest.fixture
def no_spinning() -> Iterator[None]:
    """Fail a test whose coroutine never yields; a timeout of the event loop would not interrupt it."""

    def fail(_signal: int, _frame: FrameType | None) -> None:
        raise AssertionError("the coroutine did not finish within 5 s")

    former = signal.signal(signal.SIGALRM, fail)
    signal.setitimer(signal.ITIMER_REAL, 5.0)
    yield
    signal.setitimer(signal.ITIMER_REAL, 0.0)
    signal.signal(signal.SIGALRM, former)


@pytest.mark.usefixtures("no_spinning")
def test_a_planner_without_peers_is_sent_nothing() -> None:
    traffic = Traffic()

    async def work() -> None:
        peers = FakePeerPlanners(["s-0"], 128, traffic)
        await peers.open(0)
        await peers.run(("127.0.0.1", 9))
        peers.close()

    asyncio.run(asyncio.wait_for(work(), TEST_TIMEOUT_S))
    assert traffic == Traffic()


def test_nothing_is_sent_if_the_datagrams_exceed_the_limit() -> None:
    traffic = Traffic()

    async def work() -> None:
        peers = FakePeerPlanners([f"s-{n}" for n in range(62)], 3, traffic)  # Two peers with two datagrams each.
        await peers.open(2)
        await asyncio.wait_for(peers.run(("127.0.0.1", 9)), 10)
        peers.close()

    asyncio.run(asyncio.wait_for(work(), TEST_TIMEOUT_S))
    assert traffic == Traffic()
