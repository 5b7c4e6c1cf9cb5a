"""The module's actor: one mailbox, one call of the policy for all that came in since the last."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Protocol, TypeAlias

from loguru import logger

from stackwheel import interface as face
from stackwheel.endpoints import EndpointList
from stackwheel.interface import Action, Event, Settings
from stackwheel.policy.planner import Planner
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.streams import ProxyStream, ProxyStreams, StreamConnection
from stackwheel.state.table_updates import ProxyUpdate, TableUpdates

MAILBOX_MOST = 100_000  # items; reports beyond it are dropped
FAULTS_APART = 1000.0  # ms: a policy that fails again and again begins anew no sooner


@dataclass(frozen=True, slots=True)
class StreamEnded:
    """A stream's connection has ended."""

    proxy: int
    connection: StreamConnection


@dataclass(frozen=True, slots=True)
class StreamMessage:
    """What a proxy said over its stream; it counts only while that stream carries the proxy."""

    proxy: int
    event: face.Acknowledged | face.DemandReport | None  # None: what can't be used, but it lives
    connection: StreamConnection


@dataclass(frozen=True, slots=True)
class EndpointListFailed:
    """A call for the list failed, or the watch ended."""


@dataclass(frozen=True, slots=True)
class HealthCheckTarget:
    """Whom a probe was meant for: by which policy, and which process at which address."""

    incarnation: int
    started_at: float
    address: str


@dataclass(frozen=True, slots=True)
class HealthCheckCompleted:
    """How a probe ended. It counts only for the policy that asked and the process that was meant."""

    target: HealthCheckTarget
    result: face.HealthCheckResult


@dataclass(frozen=True, slots=True)
class TimerElapsed:
    """A timer of a policy's has fired; no later policy hears of it."""

    incarnation: int
    token: int


Report: TypeAlias = face.LoadReport | face.DemandReport | face.GossipReceived
Item: TypeAlias = (
    ProxyStream
    | StreamEnded
    | StreamMessage
    | EndpointList
    | EndpointListFailed
    | HealthCheckCompleted
    | TimerElapsed
    | Report
)


class PlannerPorts(Protocol):
    """Where orders go: whatever protocol is spoken there. None of these may block or raise."""

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None: ...

    def watch_endpoints(self, on: bool) -> None: ...

    def fetch_endpoints(self) -> None: ...

    def start_health_check(self, server: face.Server, asked: HealthCheckTarget) -> None: ...

    def send_gossip(self, payload: bytes, peer: int | None) -> None: ...


class PlannerActor:
    """Owns the policy, the streams and the tables; nothing else touches them."""

    def __init__(
        self,
        settings: Settings,
        tick: float,
        seed: int,
        clock: Clock,
        roster: EndpointCache,
        outside: PlannerPorts,
        silence: float = math.inf,
        make: Callable[[Settings, int], Planner] = Planner,
    ) -> None:
        self.settings, self.tick, self.seed, self.planner_factory = settings, tick, seed, make
        self.clock, self.endpoints, self.ports = clock, roster, outside
        self.streams = ProxyStreams(silence)
        self.tables = TableUpdates(len(settings.classes), self.streams, roster)
        self.planner: Planner | None = make(settings, seed)
        self.incarnation, self.failed_at = 0, float("-inf")  # how often the policy began anew, and when
        self.mailbox: list[Item] = []
        self.filled = asyncio.Event()
        self.timers: set[asyncio.TimerHandle] = set()

    def post(self, item: Item) -> None:
        if len(self.mailbox) >= MAILBOX_MOST and not isinstance(
            item, ProxyStream | StreamEnded | EndpointList | EndpointListFailed
        ):
            logger.error("module mailbox is full; a report is dropped")
            return
        self.mailbox.append(item)
        self.filled.set()

    async def run(self) -> None:
        while True:
            await self.filled.wait()
            await asyncio.sleep(self.tick / 1000.0)
            try:
                self.process_batch()
            except Exception as error:  # in what is kept, not in the policy: it too goes on
                logger.opt(exception=True).error("fault in a batch: {!r}", error)

    def process_batch(self) -> None:
        """One batch: everything in the mailbox, in order."""
        items, self.mailbox = self.mailbox, []
        self.filled.clear()
        events = [event for item in items for event in self.events(item)]
        if (listing := self.endpoints.confirmed_snapshot(self.clock.now())) is not None:
            logger.warning("list {} holds: nothing newer has come", listing.generation)
            events.append(self.endpoints.apply(listing))
        if self.endpoints.take_refetch_needed():
            logger.warning("changes passed a list that was doubted: the whole list is asked for")
            self.ports.fetch_endpoints()
        self.decide([*events, *self.streams.fall_silent(self.clock.now())])
        for server in self.endpoints.excess_removed():
            if not self.tables.names(server):
                self.endpoints.forget(server)
                self.tables.forget(server)
                self.streams.forget(server)

    def decide(self, events: list[Event]) -> None:
        """Ask the policy, and do as it says; without one, between two lives, nothing is decided."""
        if self.planner is None:
            return
        began = self.clock.now()
        try:
            messages = self.carry_out(self.planner.handle(began, events))
            took = self.clock.now() - began
            logger.opt(lazy=True).debug("{}", lambda: self.account(events, messages, took))
        except Exception as error:
            logger.opt(exception=True).error("module fault on {} events: {!r}", len(events), error)
            self.start_over()

    def events(self, item: Item) -> Iterable[Event]:
        match item:
            case ProxyStream():
                return self.streams.join(item)
            case StreamEnded(proxy, line):
                return self.streams.leave(proxy, line)
            case StreamMessage(proxy, event, line):
                news = self.streams.heard(proxy, line)
                return [] if news is None else [*news, *self.current(event)]
            case EndpointList():
                return [self.endpoints.apply(item, self.clock.now())]
            case EndpointListFailed():
                return [self.endpoints.failed_update()]
            case HealthCheckCompleted(asked, result):
                return [result] if asked == self.asked(result.server) else []
            case TimerElapsed(life, token):
                return [face.TimerFired(token)] if life == self.incarnation else []
            case face.LoadReport():  # its span may reach back to a former process under that id
                return (
                    []
                    if self.endpoints.predates_current_process(item.server, self.clock.now() - item.window)
                    else [item]
                )
            case face.DemandReport(proxy):
                return [item] if proxy in self.streams.by_proxy else []
            case face.GossipReceived():
                return [item]
        return []

    def asked(self, server: face.Server) -> HealthCheckTarget:
        """Whom a probe of that server is meant for now."""
        entry = self.endpoints.entries.get(server)
        return HealthCheckTarget(
            self.incarnation, entry.started_at if entry is not None else -1.0, self.endpoints.addresses.get(server, "")
        )

    def current(self, event: face.Acknowledged | face.DemandReport | None) -> Iterable[Event]:
        """What a proxy said, unless it answers a mark of an earlier policy, or what can't be."""
        if not isinstance(event, face.Acknowledged):
            return [] if event is None else [event]
        if not self.streams.answered(event.proxy, event.nonce, event.elapsed, self.clock.now()):
            logger.warning(
                "proxy {}: answer to mark {} after {:g} ms left out: no such mark went out then",
                event.proxy,
                event.nonce,
                event.elapsed,
            )
            return []
        own = self.tables.own_mark(event.nonce)
        return [] if own is None else [face.Acknowledged(event.proxy, own, event.elapsed)]

    @staticmethod
    def account(events: list[Event], messages: list[ProxyUpdate], took: float) -> str:
        kinds = Counter(type(event).__name__ for event in events)
        inward = " ".join(f"{name} {count}" for name, count in kinds.items()) or "nothing"
        lines, marks = sum(m.cost() for m in messages), {m.nonce for m in messages}
        return f"batch: {inward}; {len(messages)} messages, {lines} lines, marks {marks or ''}; {took:.1f} ms"

    def carry_out(self, actions: list[Action]) -> list[ProxyUpdate]:
        messages = self.tables.take(actions)
        lines = self.streams.by_proxy
        self.ports.deliver([(lines[m.proxy].connection, m) for m in messages])
        now = self.clock.now()
        for message in messages:
            if message.nonce is not None:
                self.streams.asked(message.proxy, message.nonce, now)
        for action in actions:
            match action:
                case face.SetTimer(delay, token):
                    self.set_timer(delay, token)
                case face.WatchEndpoints(on):
                    self.ports.watch_endpoints(on)
                case face.FetchEndpoints():
                    self.ports.fetch_endpoints()
                case face.StartHealthCheck(server):
                    self.ports.start_health_check(server, self.asked(server))
                case face.SendGossip(payload, peer):
                    self.ports.send_gossip(payload, peer)
                case face.Log(text):
                    logger.info("module: {}", text)
                case _:
                    pass
        return messages

    def set_timer(self, delay: float, token: int) -> None:
        life = self.incarnation

        def fire() -> None:
            self.timers.discard(handle)
            self.post(TimerElapsed(life, token))

        handle = asyncio.get_running_loop().call_later(max(0.0, delay) / 1000.0, fire)
        self.timers.add(handle)

    def start_over(self) -> None:
        """A fresh policy from the present list and the joined streams; the old one's timers are void."""
        for handle in self.timers:
            handle.cancel()
        self.timers.clear()
        self.incarnation, self.planner = self.incarnation + 1, None
        self.tables.start_over()
        wait = max(0.0, self.failed_at + FAULTS_APART - self.clock.now())
        self.failed_at = self.clock.now() + wait
        asyncio.get_running_loop().call_later(wait / 1000.0, self.begin)

    def begin(self) -> None:
        """The new policy asks for the list itself: that a call of the former one's failed is not its news."""
        self.mailbox = [item for item in self.mailbox if not isinstance(item, EndpointListFailed)]
        self.planner = self.planner_factory(self.settings, self.seed + self.incarnation)
        self.decide([self.endpoints.cached_update(), *self.streams.start_over()])
