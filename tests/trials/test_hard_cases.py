"""The failures this is meant for, each caused by a script; each test shows that its failure did happen."""

from __future__ import annotations

from typing import Any

import pytest

from stackwheel.forwarder.updates import ConfigUpdate
from stackwheel.interface import Availability
from stackwheel.trials import script as s
from stackwheel.trials.events import kill_planner
from stackwheel.trials.proxies import Stream
from stackwheel.trials.world import Result, World

SHAPE = s.Shape(planners=2, zones=2, proxies=8, servers=8, cap=12, channel_rate=1000.0, backlog=2000.0)


class Watched(World):
    """Notes what the tests ask about; the trial itself is the same."""

    def __init__(self, *faults: s.Fault, shape: s.Shape = SHAPE, span: float = 30.0) -> None:
        self.tries: list[tuple[float, int, str, bool]] = []  # when, proxy, server, whether it is joined
        self.orders: list[tuple[float, int, ConfigUpdate]] = []  # when, planner
        self.applied: list[tuple[float, int, int]] = []  # when, planner, proxy
        super().__init__(s.check(s.Script(7, span, shape, faults)))

    def try_server(self, request: Any, proxy: Any, name: str, until: float) -> Any:
        joined = self.checker.proxies[proxy.number].planner is not None
        self.tries.append((self.loop.now, proxy.number, name, joined))
        return super().try_server(request, proxy, name, until)

    def channel_takes(self, stream: Stream, order: ConfigUpdate) -> None:
        self.orders.append((self.loop.now, stream.planner, order))
        super().channel_takes(stream, order)

    def go(self) -> Result:
        found = self.run()
        assert [str(verdict) for verdict in found.verdicts] == []
        return found


def test_half_of_the_forwarders_lose_their_planner_for_17_s_while_a_server_drains() -> None:
    half = tuple(f"proxy-{n}" for n in range(4))
    world = Watched(s.Cut(5.0, half, ("planners",), 17.0), s.Drain(8.0, ("server-0",), 10.0))
    world.go()
    alone = [(at, proxy) for at, proxy, _, joined in world.tries if not joined and 9.0 < at < 21.0]
    assert {proxy for _, proxy in alone} == {0, 1, 2, 3}  # they kept forwarding
    drained = [at for at, proxy, name, joined in world.tries if name == "s-0" and at > 13.0]
    assert drained and max(drained) < 30.0
    assert not [at for at, proxy, name, joined in world.tries if name == "s-0" and joined and at > 26.0]


@pytest.mark.parametrize("sign", [True, False])
def test_a_planner_is_killed_between_the_write_of_a_withdrawal_and_its_ack(sign: bool) -> None:
    killed: list[float] = []

    class Killing(Watched):
        def channel_takes(self, stream: Stream, order: ConfigUpdate) -> None:
            super().channel_takes(stream, order)
            out = any(w == 0 for part in order.parts for name, w in part.lines if name == "s-0")
            if out and not killed:
                killed.append(self.loop.now)
                self.loop.at(self.loop.now, None, kill_planner, self, stream.planner, 0.5, sign)

    world = Killing(s.Drain(8.0, ("server-0",), 15.0))
    world.go()
    assert killed and max(host.lives for host in world.hosts) == 2
    assert not [at for at, _, name, joined in world.tries if name == "s-0" and joined and at > 15.0]


def test_the_bytes_of_an_older_stream_arrive_after_the_newer_one_has_joined() -> None:
    world = Watched(s.Doubled(8.0, ("proxies",), 2.0), s.Drain(9.0, ("server-0",), 5.0))
    joins: list[tuple[float, int]] = []
    honest = world.checker.proxy_joined
    world.checker.proxy_joined = lambda proxy, planner, now: (joins.append((now, proxy)), honest(proxy, planner, now))  # type: ignore[method-assign, assignment]
    world.go()
    assert len([1 for at, _ in joins if 8000.0 < at < 9000.0]) == 8


@pytest.mark.parametrize("renewed", [False, True])
def test_a_watch_tells_a_drain_six_seconds_late(monkeypatch: pytest.MonkeyPatch, renewed: bool) -> None:
    """The rule holds either way; a watch that is renewed, as it beats and tells nothing, learns it sooner."""
    if not renewed:
        monkeypatch.setattr("stackwheel.wire.timing.watch_renewal_interval", lambda planners: 1e9)
    world = Watched(s.Discovery(5.0, 12.0, "late", 6.0), s.Drain(6.0, ("server-0",), 12.0))
    world.go()
    last = max(at for at, _, name, joined in world.tries if name == "s-0" and joined)
    assert (12.0 < last < 16.0) if not renewed else (6.0 < last < 12.0)


def test_a_watch_tells_a_drain_in_an_older_generation_after_a_newer_one() -> None:
    """And one that tells the state before it, in its generation, does not bring the server back."""

    class Reordered(Watched):
        def list_now(self, records: Any) -> None:
            super().list_now(records)
            if any(r.state is Availability.DRAINING for r in records):
                entry = self.discovery.log[-1]
                old = entry[2]
                assert old is not None
                for _ in range(3):
                    self.discovery.spread((old,), entry[0] - 1)

    world = Reordered(s.Drain(8.0, ("server-0",), 15.0))
    world.go()
    assert not [at for at, _, name, joined in world.tries if name == "s-0" and joined and at > 13.0]
    for host in world.hosts:
        assert host.service is not None
        assert host.service.endpoints.generation == world.discovery.generation


def test_orders_arrive_but_acks_do_not() -> None:
    world = Watched(s.Cut(6.0, ("proxies",), ("planners",), 9.0, True), s.Drain(8.0, ("server-0",), 12.0))
    world.go()
    assert [at for at, _, _ in world.orders if 6.5 < at < 14.0]  # written, and on their way to proxies
    for host in world.hosts:
        assert host.service is not None
        assert len(host.service.planner.streams.by_proxy) + len(host.service.planner.streams.timed_out) > 0


def test_a_zone_is_lost_and_back_cold_while_both_planners_restart() -> None:
    world = Watched(s.LoseZone(8.0, 0, 4.0, proxies=True), s.Kill(8.1, ("planners",), 3.0))
    world.go()
    assert [host.lives for host in world.hosts] == [2, 2]
    back = [server for server in world.slots if server.zone == 0]
    assert all(server.life == 1 and server.alive and not server.fallen for server in back)
    assert {name for at, _, name, _ in world.tries if at > 26.0} >= {server.name for server in back}


def test_sighup_to_a_new_discovery_in_the_middle_of_a_whole_list() -> None:
    shape = s.Shape(planners=2, zones=2, proxies=8, servers=60, use=0.05)
    world = Watched(
        s.Renumber(7.9),
        s.Way(7.9, 3.0, 200.0, 1.0),
        s.Reload(8.05),
        s.Reload(8.4),
        s.Drain(12.0, ("server-0",), 12.0),
        shape=shape,
    )
    found = world.go()
    assert found.service > 0.7
    for host in world.hosts:
        assert host.service is not None
        discovery = host.service.transport.discovery
        assert discovery.address == discovery.source == "{}:{}".format(*world.discovery.address)
        assert len(host.service.endpoints.entries) == 60 - 0 - (
            1 if world.servers["s-0"].state is Availability.REMOVED else 0
        )


def test_a_stalled_planner_wakes_to_ten_seconds_of_events_at_once() -> None:
    world = Watched(
        s.Stall(6.0, ("planner-0",), 10.0), s.Drain(8.0, ("server-0", "server-1"), 4.0), s.Reset(9.0, ("proxies",))
    )
    largest = 0
    host = world.hosts[0]

    def look() -> None:
        nonlocal largest
        largest = max(largest, len(host.machine.parked))
        world.loop.at(world.loop.now + 0.1, None, look)

    world.loop.at(6.0, None, look)
    world.go()
    assert largest > 20


def test_a_proxy_resets_in_the_middle_of_a_message_of_several_parts() -> None:
    broken: list[int] = []
    shape = s.Shape(
        planners=1,
        zones=1,
        proxies=4,
        servers=8,
        classes=(s.Class("a", 0.5, 120.0), s.Class("b", 0.5, 240.0, 1000.0, 3000.0, 5.0, "once")),
    )
    world = Watched(s.MidMessage(5.0, ("proxies",)), s.Drain(6.0, ("server-0",), 10.0), shape=shape)
    for proxy in world.proxies:
        honest = proxy.break_stream

        def note(stream: Stream, honest: Any = honest, number: int = proxy.number) -> None:
            broken.append(number)
            honest(stream)

        proxy.break_stream = note  # type: ignore[method-assign]
    world.go()
    assert sorted(broken) == [0, 1, 2, 3]
    assert not [at for at, _, name, joined in world.tries if name == "s-0" and joined and at > 14.0]


def test_cold_servers_are_fed_by_proxies_of_three_planners_that_do_not_hear_each_other() -> None:
    shape = s.Shape(planners=3, zones=1, proxies=12, servers=6, use=0.6, cold=17000.0, fall_multiple=2.5)
    world = Watched(
        s.Cut(3.0, ("planners",), ("planners",), 27.0), s.Die(6.0, ("server-0", "server-1"), 3.0), shape=shape
    )
    world.go()
    assert {
        world.proxies[proxy].stream.planner
        for _, proxy, name, _ in world.tries  # type: ignore[union-attr]
        if name in ("s-0", "s-1")
    } == {0, 1, 2}
    for name in ("s-0", "s-1"):
        assert world.servers[name].life == 1 and not world.servers[name].fallen
