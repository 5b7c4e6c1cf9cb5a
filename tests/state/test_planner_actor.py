"""The module's actor: batches, streams that are replaced, faults."""

import asyncio
import itertools
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import pytest
from policy_harness import SETTINGS

from stackwheel import interface as face
from stackwheel.endpoints import MAX_LIST_AGE, MIN_REMOVED_KEPT, EndpointList, Instance
from stackwheel.interface import Action, Availability, Event, Settings
from stackwheel.policy import gossip
from stackwheel.policy.planner import Planner
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.planner_actor import (
    EndpointListFailed,
    HealthCheckCompleted,
    HealthCheckTarget,
    Item,
    PlannerActor,
    StreamEnded,
    StreamMessage,
    TimerElapsed,
)
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.state.streams import MAX_PENDING_NONCES, ProxyStream, StreamConnection
from stackwheel.state.table_updates import NONCES_PER_INCARNATION, ProxyUpdate


class Wire:
    def __init__(self) -> None:
        self.replaced = 0

    def on_superseded(self) -> None:
        self.replaced += 1

    def on_attached(self) -> None:
        pass


class RecordingPorts:
    def __init__(self) -> None:
        self.said: list[tuple[Any, ...]] = []

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        self.said += [("message", message.proxy, message) for _, message in messages]

    def watch_endpoints(self, on: bool) -> None:
        self.said.append(("watch", on))

    def fetch_endpoints(self) -> None:
        self.said.append(("fetch",))

    def start_health_check(self, server: face.Server, asked: HealthCheckTarget) -> None:
        self.said.append(("probe", server, asked))

    def send_gossip(self, payload: bytes, peer: int | None) -> None:
        self.said.append(("tell", payload, peer))


class Scripted:
    """In the policy's place: notes what it is given, answers as it is told."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.seed, self.batches, self.answers = seed, [], []  # type: ignore[var-annotated]

    def handle(self, now: float, events: Sequence[Event]) -> list[Action]:
        self.batches.append(list(events))
        answer = self.answers.pop(0) if self.answers else []
        if isinstance(answer, Exception):
            raise answer
        return list(answer)


class Setup:
    def __init__(self) -> None:
        self.lives: list[Scripted] = []
        self.outside = RecordingPorts()
        roster = EndpointCache(("east", "west"), ("small",), ServerIds())
        roster.apply(listing("s-0", "s-1"))
        self.module = PlannerActor(SETTINGS, 0.0, 40, Clock(), roster, self.outside, 5000.0, self.make)

    def make(self, settings: Settings, seed: int) -> Planner:
        self.lives.append(Scripted(settings, seed))
        return self.lives[-1]  # type: ignore[return-value]

    def ask(self, mark: int) -> None:
        """The policy puts a mark into a message to everyone."""
        self.lives[-1].answers.append([face.AttachNonce(mark, True)])
        self.turn()

    def turn(self, *items: Item) -> list[Event]:
        for item in items:
            self.module.post(item)
        self.module.process_batch()
        return list(self.lives[-1].batches[-1])


def listing(*names: str, whole: bool = True, generation: int = 1) -> EndpointList:
    return EndpointList(
        generation,
        whole,
        tuple(Instance(name, "127.0.0.1:1", "east", "small", 0, Availability.READY, 1.0, 0.0) for name in names),
    )


def stream(proxy: int, line: Wire, fresh: bool = True) -> ProxyStream:
    return ProxyStream(proxy, 0, 20.0, fresh, line)


def test_the_whole_list_is_asked_for_where_changes_pass_a_doubted_one() -> None:
    """A discovery that began anew and reached the old generations kept who had left by its first list."""
    setup = Setup()
    drains = replace(listing("s-0").instances[0], availability=Availability.DRAINING)
    setup.turn(EndpointList(5, False, (drains,)))
    setup.turn(listing("s-0", generation=1))  # revives s-0 and lacks s-1
    assert ("fetch",) not in setup.outside.said
    setup.turn(listing("s-2", whole=False, generation=5))
    setup.turn()
    assert setup.outside.said.count(("fetch",)) == 1
    setup.turn(listing("s-0", "s-2", generation=5))
    assert set(setup.module.endpoints.entries) == {server_id("s-0"), server_id("s-2")}


def test_a_batch_is_all_that_came_in_order() -> None:
    setup = Setup()
    line = Wire()
    usage = face.DemandReport(1, 0, 5, 0, 1000.0)
    heard = face.LoadReport(0, server_id("s-0"), 5, 0, 40.0, 1000.0)
    setup.turn(stream(1, line))
    setup.ask(7)
    got = setup.turn(StreamMessage(1, usage, line), heard, usage, StreamMessage(1, face.Acknowledged(1, 7, 3.0), line))
    assert got == [usage, heard, usage, face.Acknowledged(1, 7, 3.0)]
    assert setup.module.mailbox == [] and len(setup.lives[0].batches) == 3


def test_a_second_stream_takes_the_place_of_the_first() -> None:
    setup = Setup()
    old, new = Wire(), Wire()
    setup.turn(stream(1, old))
    assert setup.turn(stream(1, new, fresh=False)) == [face.ProxyLeft(1), face.ProxyJoined(1, 0, 20.0, False)]
    assert (old.replaced, new.replaced) == (1, 0)
    ack = face.Acknowledged(1, 7, 3.0)
    setup.ask(7)
    assert setup.turn(StreamMessage(1, ack, old), StreamEnded(1, old)) == []  # the old end is no news
    assert setup.turn(StreamMessage(1, ack, new), StreamEnded(1, new)) == [ack, face.ProxyLeft(1)]
    assert setup.turn(StreamEnded(1, new)) == []


def test_only_joined_proxies_are_heard() -> None:
    setup = Setup()
    assert (
        setup.turn(face.DemandReport(3, 0, 5, 0, 1000.0), StreamMessage(3, face.Acknowledged(3, 1, 1.0), Wire())) == []
    )


def test_the_list_is_followed() -> None:
    setup = Setup()
    (changes,) = setup.turn(listing("s-2", whole=False, generation=4))
    assert isinstance(changes, face.EndpointUpdate)
    assert (changes.kind, changes.version, [e.server for e in changes.entries]) == (
        face.UpdateKind.DELTA,
        4,
        [server_id("s-2")],
    )
    assert setup.turn(EndpointListFailed()) == [face.EndpointUpdate(face.UpdateKind.FAILED, 4)]
    (whole,) = setup.turn(listing("s-1", generation=6))
    assert isinstance(whole, face.EndpointUpdate) and whole.kind is face.UpdateKind.FULL
    assert list(setup.module.endpoints.entries) == [server_id("s-1")]
    assert setup.module.endpoints.server_ids.name(server_id("s-0")) == "s-0"  # gone, but known


def test_actions_go_out() -> None:
    setup = Setup()
    server = server_id("s-0")
    setup.lives[0].answers = [
        [
            face.WatchEndpoints(),
            face.FetchEndpoints(),
            face.StartHealthCheck(server),
            face.SendGossip(b"hi", 1),
            face.Log("a word"),
            face.SetWeight(0, server, 1.0),
            face.AssignTable(2, 0, ()),
            face.AttachNonce(3, False),
        ]
    ]
    setup.turn(stream(2, Wire()))
    message, *others = setup.outside.said
    assert message[:2] == ("message", 2) and message[2].nonce == 3 and message[2].parts[0].lines == ((server, 1.0),)
    meant = HealthCheckTarget(0, 0.0, "127.0.0.1:1")
    assert others == [("watch", True), ("fetch",), ("probe", server, meant), ("tell", b"hi", 1)]


def test_timers_come_as_events() -> None:
    async def run() -> None:
        setup = Setup()
        setup.lives[0].answers = [[face.SetTimer(1.0, 77)]]
        setup.turn()
        await asyncio.wait_for(setup.module.filled.wait(), 5)
        assert setup.turn() == [face.TimerFired(77)] and not setup.module.timers

    asyncio.run(run())


def test_a_fault_begins_a_fresh_policy_from_list_and_streams() -> None:
    async def run() -> None:
        setup = Setup()
        line = Wire()
        setup.turn(stream(1, line))
        setup.lives[0].answers = [
            [
                face.SetTimer(60_000.0, 5),
                face.SetWeight(0, server_id("s-0"), 1.0),
                face.AssignTable(1, 0, ()),
                face.AttachNonce(9, False),
            ],
            KeyError("table"),
        ]
        setup.turn()
        setup.turn(stream(2, Wire()))  # fails: but the stream has joined
        await asyncio.sleep(0.01)
        assert [life.seed for life in setup.lives] == [40, 41]
        (start,) = setup.lives[1].batches
        assert start == [
            setup.module.endpoints.cached_update(),
            face.ProxyJoined(1, 0, 20.0, False),
            face.ProxyJoined(2, 0, 20.0, False),
        ]
        assert not setup.module.timers and setup.module.tables.tables == {}
        assert setup.turn(StreamMessage(1, face.Acknowledged(1, 9, 1.0), line)) == []  # a mark of the life before
        current = face.Acknowledged(1, 9, 1.0)
        setup.ask(9)
        assert setup.turn(StreamMessage(1, face.Acknowledged(1, NONCES_PER_INCARNATION + 9, 1.0), line)) == [current]

    asyncio.run(run())


def test_a_policy_that_fails_again_waits_but_the_list_is_kept() -> None:
    async def run() -> None:
        setup = Setup()
        for _ in range(2):
            setup.lives[-1].answers = [ValueError("no"), ValueError("no")]
            setup.module.post(TimerElapsed(setup.module.incarnation, 1))
            setup.module.process_batch()
            await asyncio.sleep(0.01)
        assert len(setup.lives) == 2 and setup.module.planner is None  # the third begins a second later
        setup.module.post(listing("s-9"))
        setup.module.process_batch()
        assert list(setup.module.endpoints.entries) == [server_id("s-9")]

    asyncio.run(run())


def test_a_full_mailbox_drops_reports_and_keeps_streams(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("stackwheel.state.planner_actor.MAILBOX_MOST", 2)
    setup = Setup()
    report = face.LoadReport(0, server_id("s-0"), 5, 0, 40.0, 1000.0)
    got = setup.turn(report, report, report, stream(1, Wire()))
    assert got == [report, report, face.ProxyJoined(1, 0, 20.0, True)]


def test_ids_are_the_same_at_every_planner_and_collisions_are_left_out(monkeypatch: pytest.MonkeyPatch) -> None:
    assert server_id("s-5be2a07c") == bytes.fromhex("3178665d73ea") and len(server_id("x")) == 6
    monkeypatch.setattr("stackwheel.state.server_ids.server_id", lambda name: face.Server(b"\0" * 6))
    ids = ServerIds()
    assert ids.learn("s-1") == ids.learn("s-1") == b"\0" * 6
    assert ids.learn("s-2") is None and ids.name(face.Server(b"\0" * 6)) == "s-1"


def test_the_clock_compares_with_start_times_and_never_steps(monkeypatch: pytest.MonkeyPatch) -> None:
    import time

    clock = Clock()
    assert abs(clock.now() - time.time() * 1000.0) < 1000.0
    before = clock.now()
    monkeypatch.setattr(time, "time", lambda: 0.0)
    assert 0 <= clock.now() - before < 60_000.0


def test_unknown_zones_are_left_out_and_unknown_kinds_taken() -> None:
    roster = EndpointCache(("east",), ("small",), ServerIds())
    event = roster.apply(
        EndpointList(
            1,
            True,
            (
                Instance("s-1", "h:1", "north", "small", 0, Availability.READY, 1.0, 0.0),
                Instance("s-2", "h:1", "east", "huge", 3, Availability.DRAINING, 2.0, 1234.5),
            ),
        )
    )
    assert event.entries == (face.EndpointEntry(server_id("s-2"), 0, 1, 3, Availability.DRAINING, 2.0, 1234.5),)


def test_a_stream_that_answers_nothing_counts_as_left_until_it_speaks() -> None:
    """A machine cut off gives no sign: its demand would count on, and its marks be waited for."""
    setup = Setup()
    clock = SetClock()
    setup.module.clock = clock  # type: ignore[assignment]
    line, other = Wire(), Wire()
    usage = face.DemandReport(1, 0, 5, 0, 1000.0)
    setup.turn(stream(1, line), stream(2, other))
    clock.at = 60_000.0
    assert setup.turn() == []  # nothing was asked of it, so its quiet is no silence
    setup.lives[0].answers = [[face.AttachNonce(3, True)]]
    setup.turn()
    clock.at += 4000.0
    assert setup.turn(StreamMessage(2, face.DemandReport(2, 0, 5, 0, 1000.0), other)) == [
        face.DemandReport(2, 0, 5, 0, 1000.0)
    ]
    clock.at += 1001.0
    assert setup.turn() == [face.ProxyLeft(1)]
    setup.outside.said.clear()
    setup.lives[0].answers = [[face.AttachNonce(4, True)]]
    setup.turn()
    assert [said[1] for said in setup.outside.said] == [2]
    assert setup.turn(StreamMessage(1, usage, line)) == [face.ProxyJoined(1, 0, 20.0, False), usage]
    assert setup.turn(StreamEnded(1, line)) == [face.ProxyLeft(1)] and line.replaced == 0


def test_a_silent_stream_that_ends_or_is_replaced_is_no_news() -> None:
    setup = Setup()
    clock = SetClock()
    setup.module.clock = clock  # type: ignore[assignment]
    lines = Wire(), Wire()
    setup.turn(stream(1, lines[0]), stream(2, lines[1]))
    setup.lives[0].answers = [[face.AttachNonce(3, True)]]
    setup.turn()
    clock.at = 6000.0
    assert setup.turn() == [face.ProxyLeft(1), face.ProxyLeft(2)]
    assert setup.turn(StreamEnded(1, lines[0])) == []
    new = Wire()
    assert setup.turn(stream(2, new)) == [face.ProxyJoined(2, 0, 20.0, True)] and lines[1].replaced == 1
    assert setup.turn(StreamMessage(2, face.Acknowledged(2, 3, 1.0), lines[1])) == []


def test_a_fault_outside_the_policy_loses_that_batch_alone(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        setup = Setup()
        running = asyncio.create_task(setup.module.run())
        with monkeypatch.context() as broken:
            broken.setattr(setup.module.endpoints, "apply", lambda listing: 1 / 0)
            setup.module.post(listing("s-2"))
            while setup.module.mailbox:
                await asyncio.sleep(0.001)
        setup.module.post(stream(1, Wire()))
        while not setup.lives[0].batches:
            await asyncio.sleep(0.001)
        assert setup.lives[0].batches == [[face.ProxyJoined(1, 0, 20.0, True)]] and not running.done()
        running.cancel()

    asyncio.run(asyncio.wait_for(work(), 30))


class SetClock:
    def __init__(self) -> None:
        self.at = 0.0

    def now(self) -> float:
        return self.at


def test_answers_to_no_mark_are_left_out_but_show_that_it_lives() -> None:
    setup = Setup()
    clock = SetClock()
    setup.module.clock = clock  # type: ignore[assignment]
    line = Wire()
    setup.turn(stream(1, line))
    for mark in (3, 4, 5):
        setup.ask(mark)
    clock.at = 4900.0
    never, early = face.Acknowledged(1, 8, 1.0), face.Acknowledged(1, 4, 5901.0)
    assert setup.turn(StreamMessage(1, never, line), StreamMessage(1, early, line), StreamMessage(1, None, line)) == []
    clock.at = 5100.0  # over the silence since the marks: but it has spoken
    real = face.Acknowledged(1, 4, 4000.0)
    assert setup.turn(StreamMessage(1, real, line)) == [real]
    assert setup.turn(StreamMessage(1, face.Acknowledged(1, 3, 10.0), line)) == []  # applied with what came after it
    last = face.Acknowledged(1, 5, 10.0)
    assert setup.turn(StreamMessage(1, last, line)) == [last]


def test_a_word_that_cannot_be_used_joins_a_silent_stream_again() -> None:
    setup = Setup()
    clock = SetClock()
    setup.module.clock = clock  # type: ignore[assignment]
    line = Wire()
    setup.turn(stream(1, line))
    setup.ask(3)
    clock.at = 6000.0
    assert setup.turn() == [face.ProxyLeft(1)]
    assert setup.turn(StreamMessage(1, None, line)) == [face.ProxyJoined(1, 0, 20.0, False)]


def test_unanswered_marks_are_bounded() -> None:
    setup = Setup()
    line = Wire()
    setup.turn(stream(1, line))
    for mark in range(200):
        setup.ask(mark)
    assert list(setup.module.streams.by_proxy[1].pending_nonces) == list(range(200 - MAX_PENDING_NONCES, 200))


def replaced(number: int, module: PlannerActor, outside: RecordingPorts, clock: "SetClock", line: Wire) -> None:
    """A server of a new id comes, the oldest drains and goes; reports and the other planner tell of all."""

    def tell(place: int, state: Availability) -> None:
        entry = Instance(
            f"s-{place}", f"127.0.0.1:{place}", ("east", "west")[place % 2], "small", 0, state, 1.0, clock.at - 20_000.0
        )
        module.post(EndpointList(2 + number, False, (entry,)))

    def turn() -> None:
        clock.at += 400.0
        module.post(StreamMessage(1, None, line))
        for place in range(number - 4, number + 1):
            module.post(face.LoadReport(0, server_id(f"s-{place}"), 20, 0, 60.0, 1000.0))
        module.post(face.GossipReceived(1, gossip.encode(1, {server_id(f"s-{number}"): 0.9})[0]))
        module.post(face.DemandReport(1, 0, 40, 0, 1000.0))
        module.process_batch()
        for said in [said for said in outside.said if said[0] == "message" and said[2].nonce is not None]:
            module.post(StreamMessage(1, face.Acknowledged(1, said[2].nonce, 5.0), line))
        outside.said.clear()

    tell(number, Availability.READY)
    turn()
    tell(number - 4, Availability.DRAINING)
    turn()
    tell(number - 4, Availability.REMOVED)
    if number % 10 == 0:  # the stream breaks and returns
        module.post(StreamEnded(1, line))
        module.post(stream(1, line, fresh=False))
    turn()


def test_a_long_day_of_new_servers_is_forgotten() -> None:
    """Each came with a new id, and everything that had ever been listed stayed known."""

    async def work() -> None:
        clock, outside, line = SetClock(), RecordingPorts(), Wire()
        clock.at = 100_000.0
        roster = EndpointCache(("east", "west"), ("small",), ServerIds())
        settings = replace(SETTINGS, planner_count=2, gossip_enabled=True, message_cap=0)
        module = PlannerActor(settings, 0.0, 40, clock, roster, outside, 60_000.0)  # type: ignore[arg-type]
        roster.apply(listing("s-0", "s-1", "s-2", "s-3"))
        module.decide([roster.cached_update()])
        module.post(stream(1, line))
        sizes = []
        for number in range(4, 604):
            replaced(number, module, outside, clock, line)
            if number in (303, 603):
                policy = module.planner
                assert policy is not None
                sizes.append(
                    [
                        len(kept)
                        for kept in (
                            roster.entries,
                            roster.addresses,
                            roster.removed,
                            roster.server_ids.names,
                            module.streams.by_proxy[1].ejected,
                            module.tables.withdrawn,
                            policy.pool.views,
                            policy.peers.figures[1].rates,
                            policy.outbox.unacknowledged,
                            policy.outbox.message_times,
                        )
                    ]
                    + [sum(len(lines) for lines in module.tables.tables.values())]
                )
        assert sizes[0] == sizes[1]
        entries, addresses, gone, names, *_ = sizes[1]
        assert (entries, addresses, gone, names) == (4, 4, MIN_REMOVED_KEPT, MIN_REMOVED_KEPT + 4)

    asyncio.run(work())


def test_a_gone_server_that_something_names_is_kept() -> None:
    setup = Setup()
    held = server_id("s-0")
    setup.lives[0].answers = [[face.SetWeight(0, held, 1.0), face.AssignTable(1, 0, ())]]
    setup.turn(stream(1, Wire()))
    for number in range(2, 200):
        setup.turn(listing(f"s-{number}", generation=number))
    assert (
        setup.module.endpoints.server_ids.name(held) == "s-0"
        and setup.module.endpoints.server_ids.name(server_id("s-2")) is None
    )
    setup.lives[0].answers = [[face.SetWeight(0, held, 0.0)]]
    setup.turn()
    assert setup.module.endpoints.server_ids.name(held) is None
    setup.turn(listing("s-0", generation=300))  # and may come again
    assert setup.module.endpoints.server_ids.name(held) == "s-0" and held in setup.module.endpoints.addresses


def test_what_a_former_policy_asked_for_is_no_news_to_the_next() -> None:
    """Its timers that lay in the mailbox, its probes on the way and its list call reached the new one."""

    async def work() -> None:
        setup = Setup()
        server = server_id("s-0")
        setup.lives[0].answers = [[face.StartHealthCheck(server), face.SetTimer(0.0, 7)], ValueError("a fault")]
        setup.turn()
        ((_, _, asked),) = [said for said in setup.outside.said if said[0] == "probe"]
        while not setup.module.mailbox:  # the timer has fired, and waits
            await asyncio.sleep(0)
        fired = setup.module.mailbox.pop()
        setup.turn(face.DemandReport(0, 0, 1, 0, 1000.0))  # the fault
        setup.module.post(fired)
        setup.module.post(EndpointListFailed())
        while len(setup.lives) < 2:
            await asyncio.sleep(0)
        setup.module.post(fired)
        setup.module.post(HealthCheckCompleted(asked, face.HealthCheckResult(server, 1, 5.0)))
        assert setup.turn() == []
        setup.lives[1].answers = [[face.StartHealthCheck(server)]]
        setup.turn()
        asked = [said for said in setup.outside.said if said[0] == "probe"][-1][2]
        result = face.HealthCheckResult(server, 1, 5.0)
        assert setup.turn(HealthCheckCompleted(asked, result)) == [result]

    asyncio.run(work())


@pytest.mark.parametrize("moved", [False, True])
def test_a_probe_counts_only_for_the_process_it_was_meant_for(moved: bool) -> None:
    """The server left, and came back under its id, or at another address, while the probe was on its way."""
    setup = Setup()
    server = server_id("s-0")
    setup.lives[0].answers = [[face.StartHealthCheck(server)]]
    setup.turn()
    asked = setup.outside.said[-1][2]
    back = Instance(
        "s-0",
        "127.0.0.1:2" if moved else "127.0.0.1:1",
        "east",
        "small",
        0,
        Availability.READY,
        1.0,
        0.0 if moved else 900.0,
    )
    setup.turn(EndpointList(2, False, (back,)))
    assert setup.turn(HealthCheckCompleted(asked, face.HealthCheckResult(server, 2, 5.0))) == []


def test_a_report_of_a_former_process_is_left_out() -> None:
    setup = Setup()
    clock = SetClock()
    setup.module.clock = clock  # type: ignore[assignment]
    clock.at = 10_000.0
    report = face.LoadReport(0, server_id("s-0"), 5, 5, 40.0, 1000.0)
    other = face.LoadReport(0, server_id("s-1"), 5, 5, 40.0, 1000.0)
    back = Instance("s-0", "127.0.0.1:1", "east", "small", 0, Availability.READY, 1.0, 9_500.0)
    setup.turn(EndpointList(2, False, (back,)))
    assert setup.turn(report, other) == [other]  # it began before the process did
    clock.at = 10_500.0
    assert setup.turn(report) == [report]


def test_a_list_held_for_an_older_state_is_believed_in_time() -> None:
    setup = Setup()
    clock = SetClock()
    setup.module.clock = clock  # type: ignore[assignment]
    setup.turn(EndpointList(5, False, (replace(listing("s-0").instances[0], availability=Availability.REMOVED),)))
    (held,) = setup.turn(listing("s-0", "s-1", generation=2))
    assert isinstance(held, face.EndpointUpdate) and held.kind is face.UpdateKind.DELTA
    clock.at += MAX_LIST_AGE - 1.0
    assert setup.turn() == []
    clock.at += 1.0
    (believed,) = setup.turn()
    assert isinstance(believed, face.EndpointUpdate) and believed.kind is face.UpdateKind.FULL
    assert server_id("s-0") in {entry.server for entry in believed.entries} and setup.turn() == []


WORDS = ("join a", "join b", "ack a", "ack b", "end a", "end b")


@pytest.mark.parametrize(
    "order",
    [
        order
        for order in itertools.permutations(WORDS)
        if order.index("join a") < order.index("ack a") < order.index("end a")
        and order.index("join b") < order.index("ack b") < order.index("end b")
    ],
    ids=" ".join,
)
def test_two_streams_of_one_proxy_in_every_order(order: tuple[str, ...]) -> None:
    """Joined and left alternate, only the carrier's answers count, and nothing is left over."""
    setup = Setup()
    lines = {"a": Wire(), "b": Wire()}
    joined, carrier, left = False, "", set()
    for word in order:
        what, who = word.split()
        line = lines[who]
        if what == "join":
            events = setup.turn(stream(1, line))
            assert [type(event) for event in events] == [face.ProxyLeft] * joined + [face.ProxyJoined]
            joined, carrier = True, who
            setup.ask(5)
        elif what == "ack":
            ack = face.Acknowledged(1, 5, 1.0)
            assert setup.turn(StreamMessage(1, ack, line)) == ([ack] if joined and who == carrier else [])
        else:
            left.add(who)
            assert setup.turn(StreamEnded(1, line)) == ([face.ProxyLeft(1)] if joined and who == carrier else [])
            joined = joined and who != carrier
    assert not joined and not setup.module.streams.by_proxy and not setup.module.streams.silent
