"""The failures that trials are meant for, each caused by a script; each test shows that its failure did happen."""

from __future__ import annotations

from typing import Any, NamedTuple

import pytest

from stackwheel.forwarder.updates import ConfigUpdate
from stackwheel.interface import Availability
from stackwheel.trials import faults
from stackwheel.trials.process_faults import kill_planner
from stackwheel.trials.proxies import PlannerStream
from stackwheel.trials.script import Script, check
from stackwheel.trials.shape import ScriptClass, Shape
from stackwheel.trials.simulation import Result, run_world
from stackwheel.trials.world import World

SHAPE = Shape(planners=2, zones=2, proxies=8, servers=8, message_cap=12, channel_rate=1000.0, queue_limit=2000.0)


class AttemptRecord(NamedTuple):
    """An attempt at a server, and whether its proxy was joined."""

    at: float
    proxy: int
    server: str
    joined: bool


class ObservedWorld(World):
    """Notes what the tests ask about; the run itself is the same."""

    def __init__(self, *script_faults: faults.Fault, shape: Shape = SHAPE, span: float = 30.0) -> None:
        super().__init__(check(Script(7, span, shape, script_faults)))
        self.recorded_attempts: list[AttemptRecord] = []
        self.updates: list[tuple[float, ConfigUpdate]] = []
        self.original_attempt = self.attempts.attempt
        self.original_enter = self.channels.enter
        self.attempts.attempt = self.record_attempt  # type: ignore[method-assign]
        self.channels.enter = self.update_enters  # type: ignore[method-assign]

    def record_attempt(self, request: Any, proxy: Any, name: str, until: float) -> Any:
        joined = self.checker.proxies[proxy.number].planner is not None
        self.recorded_attempts.append(AttemptRecord(self.loop.now, proxy.number, name, joined))
        return self.original_attempt(request, proxy, name, until)

    def update_enters(self, stream: Any, update: ConfigUpdate) -> None:
        self.updates.append((self.loop.now, update))
        self.original_enter(stream, update)

    def attempts_at(self, server: str) -> list[AttemptRecord]:
        return [attempt for attempt in self.recorded_attempts if attempt.server == server]

    def joined_attempts_after(self, server: str, at: float) -> list[AttemptRecord]:
        return [attempt for attempt in self.attempts_at(server) if attempt.joined and attempt.at > at]

    def run_without_verdicts(self) -> Result:
        result = run_world(self)
        assert [str(verdict) for verdict in result.verdicts] == []
        return result


def test_half_of_the_proxies_lose_their_planner_for_17_s_while_a_server_drains() -> None:
    half = tuple(f"proxy-{number}" for number in range(4))
    world = ObservedWorld(faults.Cut(5.0, half, ("planners",), 17.0), faults.Drain(8.0, ("server-0",), 10.0))
    world.run_without_verdicts()
    unjoined = [attempt for attempt in world.recorded_attempts if not attempt.joined and 9.0 < attempt.at < 21.0]
    assert {attempt.proxy for attempt in unjoined} == {0, 1, 2, 3}  # they kept forwarding
    drained = [attempt.at for attempt in world.attempts_at("s-0") if attempt.at > 13.0]
    assert drained
    assert max(drained) < 30.0
    assert not world.joined_attempts_after("s-0", 26.0)


@pytest.mark.parametrize("resets_connections", [True, False])
def test_planner_is_killed_between_the_write_of_a_removal_and_its_acknowledgement(resets_connections: bool) -> None:
    killed: list[float] = []

    class KillingWorld(ObservedWorld):
        def update_enters(self, stream: Any, update: ConfigUpdate) -> None:
            super().update_enters(stream, update)
            removes = any(weight == 0 for part in update.parts for name, weight in part.lines if name == "s-0")
            if removes and not killed:
                killed.append(self.loop.now)
                planner = self.planners[stream.planner]
                self.context.schedule_after(0.0, kill_planner, self, planner, 0.5, resets_connections)

    world = KillingWorld(faults.Drain(8.0, ("server-0",), 15.0))
    world.run_without_verdicts()
    assert killed
    assert max(planner.incarnation for planner in world.planners) == 2
    assert not world.joined_attempts_after("s-0", 15.0)


def test_bytes_of_an_older_stream_arrive_after_the_newer_one_has_joined() -> None:
    world = ObservedWorld(faults.SecondStream(8.0, ("proxies",), 2.0), faults.Drain(9.0, ("server-0",), 5.0))
    joins: list[float] = []
    original = world.checker.proxy_joined

    def joined(proxy: int, planner: int, now: float) -> None:
        joins.append(now)
        original(proxy, planner, now)

    world.checker.proxy_joined = joined  # type: ignore[method-assign]
    world.run_without_verdicts()
    assert len([at for at in joins if 8000.0 < at < 9000.0]) == 8


@pytest.mark.parametrize("renewed", [False, True])
def test_watch_sends_a_drain_six_seconds_late(monkeypatch: pytest.MonkeyPatch, renewed: bool) -> None:
    """The rule holds either way; a watch that is renewed, as it sends heartbeats and no change, learns it sooner."""
    if not renewed:
        monkeypatch.setattr("stackwheel.wire.timing.watch_renewal_interval", lambda _planners: 1e9)
    late = faults.DiscoveryFault(5.0, 12.0, "late", 6.0)
    world = ObservedWorld(late, faults.Drain(6.0, ("server-0",), 12.0))
    world.run_without_verdicts()
    last = max(attempt.at for attempt in world.attempts_at("s-0") if attempt.joined)
    assert (12.0 < last < 16.0) if not renewed else (6.0 < last < 12.0)


def test_watch_sends_a_drain_in_an_older_generation_after_a_newer_one() -> None:
    """And one that sends the state before it, in its generation, does not restore the server."""
    world = ObservedWorld(faults.Drain(8.0, ("server-0",), 15.0))
    original = world.fleet.change_list

    def change_list(records: Any) -> None:
        original(records)
        if any(record.availability is Availability.DRAINING for record in records):
            change = world.discovery.log[-1]
            assert change.previous is not None
            for _ in range(3):
                world.discovery.notify_watches((change.previous,), change.generation - 1)

    world.fleet.change_list = change_list  # type: ignore[method-assign]
    world.run_without_verdicts()
    assert not world.joined_attempts_after("s-0", 13.0)
    for planner in world.planners:
        assert planner.service is not None
        assert planner.service.endpoints.generation == world.discovery.generation


def test_updates_arrive_but_acknowledgements_do_not() -> None:
    cut = faults.Cut(6.0, ("proxies",), ("planners",), 9.0, True)
    world = ObservedWorld(cut, faults.Drain(8.0, ("server-0",), 12.0))
    world.run_without_verdicts()
    assert [at for at, _ in world.updates if 6.5 < at < 14.0]  # written, and on their way to proxies
    for planner in world.planners:
        assert planner.service is not None
        streams = planner.service.planner.streams
        assert len(streams.by_proxy) + len(streams.timed_out) > 0


def test_zone_is_lost_and_warms_up_while_both_planners_restart() -> None:
    world = ObservedWorld(faults.LoseZone(8.0, 0, 4.0, proxies=True), faults.Kill(8.1, ("planners",), 3.0))
    world.run_without_verdicts()
    assert [planner.incarnation for planner in world.planners] == [2, 2]
    returned = [server for server in world.fleet.current_servers if server.zone == 0]
    assert all(server.incarnation == 1 and server.alive and not server.overloaded for server in returned)
    used = {attempt.server for attempt in world.recorded_attempts if attempt.at > 26.0}
    assert used >= {server.name for server in returned}


def test_sighup_moves_to_a_new_discovery_in_the_middle_of_a_complete_list() -> None:
    shape = Shape(planners=2, zones=2, proxies=8, servers=60, utilization=0.05)
    world = ObservedWorld(
        faults.RestartGenerations(7.9),
        faults.PathConditions(7.9, 3.0, 200.0, 1.0),
        faults.Reload(8.05),
        faults.Reload(8.4),
        faults.Drain(12.0, ("server-0",), 12.0),
        shape=shape,
    )
    result = world.run_without_verdicts()
    assert result.service > 0.7
    removed = 1 if world.fleet.servers["s-0"].availability is Availability.REMOVED else 0
    for planner in world.planners:
        assert planner.service is not None
        discovery = planner.service.transport.discovery
        assert discovery.address == discovery.source == "{}:{}".format(*world.discovery.address)
        assert len(planner.service.endpoints.entries) == 60 - removed


def test_stalled_planner_wakes_to_ten_seconds_of_events_at_once() -> None:
    world = ObservedWorld(
        faults.Stall(6.0, ("planner-0",), 10.0),
        faults.Drain(8.0, ("server-0", "server-1"), 4.0),
        faults.Reset(9.0, ("proxies",)),
    )
    largest = 0
    planner = world.planners[0]

    def observe() -> None:
        nonlocal largest
        largest = max(largest, len(planner.machine.parked_callbacks))
        world.context.schedule_after(0.1, observe)

    world.context.schedule_after(6.0, observe)
    world.run_without_verdicts()
    assert largest > 20


def test_proxy_resets_in_the_middle_of_a_message_of_several_parts() -> None:
    broken: list[int] = []
    classes = (
        ScriptClass("a", 0.5, 120.0),
        ScriptClass("b", 0.5, 240.0, 1000.0, 3000.0, 5.0, "once"),
    )
    shape = Shape(planners=1, zones=1, proxies=4, servers=8, classes=classes)
    world = ObservedWorld(faults.MidMessage(5.0, ("proxies",)), faults.Drain(6.0, ("server-0",), 10.0), shape=shape)
    for proxy in world.proxies:
        original = proxy.break_stream

        def break_stream(stream: PlannerStream, original: Any = original, number: int = proxy.number) -> None:
            broken.append(number)
            original(stream)

        proxy.break_stream = break_stream  # type: ignore[method-assign]
    world.run_without_verdicts()
    assert sorted(broken) == [0, 1, 2, 3]
    assert not world.joined_attempts_after("s-0", 14.0)


def test_servers_warm_up_under_three_planners_that_do_not_hear_each_other() -> None:
    shape = Shape(
        planners=3, zones=1, proxies=12, servers=6, utilization=0.6, slow_start_duration=17000.0, overload_multiple=2.5
    )
    world = ObservedWorld(
        faults.Cut(3.0, ("planners",), ("planners",), 27.0),
        faults.Crash(6.0, ("server-0", "server-1"), 3.0),
        shape=shape,
    )
    world.run_without_verdicts()
    streams = [
        world.proxies[attempt.proxy].stream for attempt in world.recorded_attempts if attempt.server in ("s-0", "s-1")
    ]
    assert None not in streams
    assert {stream.planner for stream in streams if stream is not None} == {0, 1, 2}
    for name in ("s-0", "s-1"):
        assert world.fleet.servers[name].incarnation == 1
        assert not world.fleet.servers[name].overloaded
