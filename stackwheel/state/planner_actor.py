"""The planner's actor: one mailbox, and one call of the policy for all that arrived since the last."""

from __future__ import annotations

import asyncio
import math
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from loguru import logger

from stackwheel.endpoints import MAX_LIST_AGE_MS, EndpointList
from stackwheel.interface import (
    Acknowledged,
    Action,
    DemandReport,
    Event,
    FetchEndpoints,
    GossipReceived,
    HealthCheckResult,
    LoadReport,
    Log,
    SendGossip,
    ServerId,
    SetTimer,
    Settings,
    StartHealthCheck,
    TimerFired,
    WatchEndpoints,
)
from stackwheel.policy.planner import Planner
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.messages import (
    EndpointListFailed,
    HealthCheckCompleted,
    HealthCheckTarget,
    PlannerMessage,
    Report,
    StreamEnded,
    StreamMessage,
    TimerElapsed,
)
from stackwheel.state.ports import PlannerPorts
from stackwheel.state.streams import ProxyStream, ProxyStreams
from stackwheel.state.table_updates import ProxyUpdate, TableUpdates

MAX_MAILBOX_MESSAGES = 100_000
"""Messages that may wait; beyond it only those that change what is known for good are taken."""

MIN_RESTART_INTERVAL = 1000.0
"""ms between two restarts of a policy that fails again and again."""

NO_PROCESS = -1.0
"""As the start time of a server that is not listed: no process has it."""


class PolicyOptions(NamedTuple):
    """What a policy is made of.

    Attributes:
        settings: what it is configured with.
        seed: of its random numbers; each incarnation has its own.
        factory: makes a policy from settings and seed.
    """

    settings: Settings
    seed: int
    factory: Callable[[Settings, int], Planner] = Planner

    def create(self, incarnation: int) -> Planner:
        """Make the policy of an incarnation, the first of which is 0."""
        return self.factory(self.settings, self.seed + incarnation)


class PlannerActor:
    """Owns the policy, the streams and the tables; nothing else changes them.

    Attributes:
        policy: what each incarnation of the policy is made of.
        batch_delay: ms from the first message that arrives to the batch that includes it.
        clock: the planner's clock.
        endpoints: the endpoint cache.
        ports: where the policy's actions go.
        streams: the joined proxies.
        updates: the weight tables and the updates that follow from them.
        planner: the policy; None from a failure to the restart.
        incarnation: how often the policy was restarted.
        failed_at: ms, when the policy was last due to restart.
        mailbox: messages not yet processed, in order; at most `MAX_MAILBOX_MESSAGES` but for those that are always
            taken, of which a connection or the discovery client posts few at a time.
        mailbox_filled: set while the mailbox is not empty.
        timers: the running timers of the present policy, which bounds them.
    """

    def __init__(
        self,
        policy: PolicyOptions,
        batch_delay: float,
        clock: Clock,
        endpoints: EndpointCache,
        ports: PlannerPorts,
        ack_timeout: float = math.inf,
    ) -> None:
        """Set the actor up; `ack_timeout` (ms) is that of `ProxyStreams`."""
        self.policy = policy
        self.batch_delay = batch_delay
        self.clock = clock
        self.endpoints = endpoints
        self.ports = ports
        self.streams = ProxyStreams(ack_timeout)
        self.updates = TableUpdates(len(policy.settings.classes), self.streams)
        self.planner: Planner | None = policy.create(0)
        self.incarnation = 0
        self.failed_at = -math.inf
        self.mailbox: list[PlannerMessage] = []
        self.mailbox_filled = asyncio.Event()
        self.timers: set[asyncio.TimerHandle] = set()

    # The mailbox

    def post(self, message: PlannerMessage) -> None:
        """Put a message into the mailbox.

        While the mailbox is full, only streams that open or end, endpoint lists and failed calls for them are taken.
        All else is dropped, with a log line each: load and demand reports, gossip, acknowledgements, results of
        health checks, and timers of the policy.
        """
        always_taken = isinstance(message, ProxyStream | StreamEnded | EndpointList | EndpointListFailed)
        if len(self.mailbox) >= MAX_MAILBOX_MESSAGES and not always_taken:
            logger.error("message dropped: kind={} reason=the mailbox is full", type(message).__name__)
            return
        self.mailbox.append(message)
        self.mailbox_filled.set()

    async def run(self) -> None:
        """Process batches until cancelled."""
        while True:
            await self.mailbox_filled.wait()
            await asyncio.sleep(self.batch_delay / 1000.0)
            try:
                self.process_batch()
            except Exception as error:  # a fault of this package, not of the policy: it goes on as well
                logger.opt(exception=True).error("batch failed: reason={!r}", error)

    def process_batch(self) -> None:
        """Process everything in the mailbox, in order, with one call of the policy."""
        messages = self.mailbox
        self.mailbox = []
        self.mailbox_filled.clear()
        events = [event for message in messages for event in self._events(message)]
        confirmed = self.endpoints.confirmed_snapshot(self.clock.now())
        if confirmed is not None:
            logger.warning(
                "endpoint list accepted: generation={} duration_s={:g} reason=it was deferred and nothing newer came",
                confirmed.generation,
                MAX_LIST_AGE_MS / 1000.0,
            )
            events.append(self.endpoints.apply(confirmed))
        if self.endpoints.take_refetch_needed():
            logger.warning("endpoint list requested: kind=full reason=changes overtook a deferred list")
            self.ports.fetch_endpoints()
        self.run_policy([*events, *self.streams.time_out(self.clock.now())])
        self._forget_removed_servers()

    def run_policy(self, events: list[Event]) -> None:
        """Call the policy and carry out its actions; a policy that fails is restarted."""
        if self.planner is None:
            return
        started_at = self.clock.now()
        try:
            updates = self._carry_out(self.planner.handle(started_at, events))
            elapsed = self.clock.now() - started_at
            logger.opt(lazy=True).debug("{}", lambda: describe_batch(events, updates, elapsed))
        except Exception as error:
            logger.opt(exception=True).error("policy failed: count={} reason={!r}", len(events), error)
            self._restart_policy()

    # Messages in

    def _events(self, message: PlannerMessage) -> Iterable[Event]:
        """What a message means for the policy."""
        match message:
            case ProxyStream():
                return self.streams.join(message)
            case StreamEnded(proxy, connection):
                return self.streams.leave(proxy, connection)
            case StreamMessage():
                return self._stream_events(message)
            case EndpointList():
                return [self.endpoints.apply(message, self.clock.now())]
            case EndpointListFailed():
                return [self.endpoints.failed_update()]
            case HealthCheckCompleted(target, result):
                return self._health_check_events(target, result)
            case TimerElapsed(incarnation, token):
                return self._timer_events(incarnation, token)
            case LoadReport() | DemandReport() | GossipReceived():
                return [message] if self._is_current(message) else []
        return []

    def _health_check_events(self, target: HealthCheckTarget, result: HealthCheckResult) -> list[Event]:
        """The result, unless the policy or the server's process or address is another one by now."""
        return [result] if target == self._health_check_target(result.server) else []

    def _timer_events(self, incarnation: int, token: int) -> list[Event]:
        """The timer of the present policy; none of an earlier one."""
        return [TimerFired(token)] if incarnation == self.incarnation else []

    def _stream_events(self, message: StreamMessage) -> list[Event]:
        alive = self.streams.message_received(message.proxy, message.connection)
        if alive is None:
            return []
        match message.event:
            case Acknowledged():
                return [*alive, *self._acknowledgement_events(message.event)]
            case DemandReport():
                return [*alive, message.event]
        return list(alive)

    def _acknowledgement_events(self, event: Acknowledged) -> list[Event]:
        """The acknowledgement with the policy's nonce, unless an earlier policy set it or it can't be genuine."""
        if not self.streams.acknowledge(event.proxy, event.nonce, event.elapsed, self.clock.now()):
            logger.warning(
                "acknowledgement ignored: proxy={} nonce={} duration_s={:g} reason=no such nonce was pending that long",
                event.proxy,
                event.nonce,
                event.elapsed / 1000.0,
            )
            return []
        nonce = self.updates.policy_nonce(event.nonce)
        return [] if nonce is None else [Acknowledged(event.proxy, nonce, event.elapsed)]

    def _is_current(self, report: Report) -> bool:
        """Whether a report is of what is known now: its window may reach back to an earlier process of its server."""
        match report:
            case LoadReport(server=server, window=window):
                return not self.endpoints.predates_current_process(server, self.clock.now() - window)
            case DemandReport(proxy=proxy):
                return proxy in self.streams.by_proxy
            case GossipReceived():
                return True

    def _health_check_target(self, server: ServerId) -> HealthCheckTarget:
        """What a health check of that server is meant for now."""
        entry = self.endpoints.entries.get(server)
        started_at = entry.started_at if entry is not None else NO_PROCESS
        return HealthCheckTarget(self.incarnation, started_at, self.endpoints.addresses.get(server, ""))

    def _forget_removed_servers(self) -> None:
        """Forget removed servers beyond the bound that nothing names any more."""
        for server in self.endpoints.excess_removed():
            if not self.updates.references(server):
                self.endpoints.forget(server)
                self.updates.forget(server)
                self.streams.forget(server)

    # Actions out

    def _carry_out(self, actions: list[Action]) -> list[ProxyUpdate]:
        """Send the updates that follow from a reply, then carry out its other actions in order."""
        updates = self.updates.apply_action(actions)
        streams = self.streams.by_proxy
        self.ports.deliver([(streams[update.proxy].connection, update) for update in updates])
        now = self.clock.now()
        for update in updates:
            if update.nonce is not None:
                self.streams.nonce_sent(update.proxy, update.nonce, now)
        for action in actions:
            self._carry_out_action(action)
        return updates

    def _carry_out_action(self, action: Action) -> None:
        match action:
            case SetTimer(delay, token):
                self.set_timer(delay, token)
            case WatchEndpoints(enabled):
                self.ports.watch_endpoints(enabled)
            case FetchEndpoints():
                self.ports.fetch_endpoints()
            case StartHealthCheck(server):
                self.ports.start_health_check(server, self._health_check_target(server))
            case SendGossip(payload, peer):
                self.ports.send_gossip(payload, peer)
            case Log(text):
                logger.info("policy message: {}", text)
            case _:
                pass  # the tables have applied it

    def set_timer(self, delay: float, token: int) -> None:
        """Post `TimerElapsed` after `delay` ms, unless the policy has been restarted by then."""
        incarnation = self.incarnation

        def fire() -> None:
            """Post that the timer has elapsed."""
            self.timers.discard(handle)
            self.post(TimerElapsed(incarnation, token))

        handle = asyncio.get_running_loop().call_later(max(0.0, delay) / 1000.0, fire)
        self.timers.add(handle)

    # Restart

    def _restart_policy(self) -> None:
        """Drop a policy that failed, with its timers, and start a new one, `MIN_RESTART_INTERVAL` after the last."""
        for handle in self.timers:
            handle.cancel()
        self.timers.clear()
        self.incarnation += 1
        self.planner = None
        self.updates.restart()
        delay = max(0.0, self.failed_at + MIN_RESTART_INTERVAL - self.clock.now())
        self.failed_at = self.clock.now() + delay
        asyncio.get_running_loop().call_later(delay / 1000.0, self._start_policy)

    def _start_policy(self) -> None:
        """Start a policy from the endpoints and streams as known.

        It asks for the list itself, so that a failed call of the former policy is nothing that it has to know.
        """
        self.mailbox = [message for message in self.mailbox if not isinstance(message, EndpointListFailed)]
        self.planner = self.policy.create(self.incarnation)
        self.run_policy([self.endpoints.cached_update(), *self.streams.rejoin()])


def describe_batch(events: Sequence[Event], updates: Sequence[ProxyUpdate], elapsed: float) -> str:
    """The log line of a batch that took `elapsed` ms: events by kind, updates sent, their lines and nonces."""
    kinds = Counter(type(event).__name__ for event in events)
    kinds_text = ",".join(f"{name}:{count}" for name, count in kinds.items())
    lines = sum(update.cost() for update in updates)
    nonces = ",".join(str(nonce) for nonce in sorted({one.nonce for one in updates if one.nonce is not None}))
    return (
        f"batch processed: kind={kinds_text or '-'} count={len(updates)} lines={lines} nonce={nonces or '-'} "
        f"duration_s={elapsed / 1000.0:.4f}"
    )
