"""The planner actor, which collects messages in a mailbox and passes them to the policy in batches.

If the policy raises an exception, it is replaced by a new incarnation, whose state is built from the cached endpoints
and the open streams.
"""

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
"""Maximum number of queued messages; a full mailbox accepts only messages whose loss no later message can correct."""

MIN_RESTART_INTERVAL_MS = 1000.0
"""Minimum time between two restarts of a policy that fails again and again."""

NOT_LISTED_START_TIME = -1.0
"""Start time used for servers that are not listed; no process has this start time."""


class PolicyOptions(NamedTuple):
    """How to create the policy.

    Attributes:
        settings: settings of the policy.
        seed: random seed of the first incarnation; each later one uses the next integer.
        factory: creates a policy from settings and a seed.
    """

    settings: Settings
    seed: int
    factory: Callable[[Settings, int], Planner] = Planner

    def create(self, incarnation: int) -> Planner:
        """Create the policy of an incarnation; the first one is 0."""
        return self.factory(self.settings, self.seed + incarnation)


class PlannerActor:
    """Owns the policy, the streams and the tables; no other component changes them.

    Attributes:
        policy: options with which each incarnation of the policy is created.
        batch_delay: time from the first message of a batch until the batch is processed, ms.
        clock: the planner's clock.
        endpoints: the endpoint cache.
        ports: the transports that execute the policy's actions.
        streams: the streams of the connected proxies.
        updates: the weight tables and the updates that result from their changes.
        planner: the current policy; None between a failure and the restart.
        incarnation: number of restarts of the policy.
        last_restart_at: scheduled time of the latest restart of the policy, ms.
        mailbox: unprocessed messages in order of arrival. At most `MAX_MAILBOX_MESSAGES`, except for messages that
            are always accepted, of which each connection and the discovery client post few at a time.
        mailbox_filled: set while the mailbox is not empty.
        timers: pending timers of the current policy, which limits their number.
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
        """Create the actor and the first policy; `ack_timeout` (ms) is passed to `ProxyStreams`."""
        self.policy = policy
        self.batch_delay = batch_delay
        self.clock = clock
        self.endpoints = endpoints
        self.ports = ports
        self.streams = ProxyStreams(ack_timeout)
        self.updates = TableUpdates(len(policy.settings.classes), self.streams)
        self.planner: Planner | None = policy.create(0)
        self.incarnation = 0
        self.last_restart_at = -math.inf
        self.mailbox: list[PlannerMessage] = []
        self.mailbox_filled = asyncio.Event()
        self.timers: set[asyncio.TimerHandle] = set()

    # Mailbox

    def post(self, message: PlannerMessage) -> None:
        """Append a message to the mailbox.

        While the mailbox is full, only the opening and the end of streams, endpoint lists and failed calls for them
        are accepted. All other messages are dropped and logged: load and demand reports, gossip, acknowledgements,
        results of health checks, and timers of the policy.
        """
        is_always_accepted = isinstance(message, ProxyStream | StreamEnded | EndpointList | EndpointListFailed)
        if len(self.mailbox) >= MAX_MAILBOX_MESSAGES and not is_always_accepted:
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
            except Exception as error:  # a bug outside the policy must not stop the actor
                logger.opt(exception=True).error("batch failed: reason={!r}", error)

    def process_batch(self) -> None:
        """Process all messages in the mailbox, in order, with one call of the policy."""
        messages = self.mailbox
        self.mailbox = []
        self.mailbox_filled.clear()
        events = [event for message in messages for event in self._events(message)]
        confirmed = self.endpoints.confirmed_snapshot(self.clock.now())
        if confirmed is not None:
            logger.warning(
                "deferred endpoint list accepted: generation={} duration_s={:g} reason=no newer list was received",
                confirmed.generation,
                MAX_LIST_AGE_MS / 1000.0,
            )
            events.append(self.endpoints.apply(confirmed))
        if self.endpoints.take_refetch_needed():
            logger.warning("endpoint list requested: kind=full reason=changes superseded a deferred list")
            self.ports.fetch_endpoints()
        self.run_policy([*events, *self.streams.time_out(self.clock.now())])
        self._forget_removed_servers()

    def run_policy(self, events: list[Event]) -> None:
        """Call the policy and execute its actions; the policy is restarted if it raises an exception.

        The count in the log line of a failure is the number of events in the call.
        """
        if self.planner is None:
            return
        started_at = self.clock.now()
        try:
            updates = self._execute(self.planner.handle(started_at, events))
            elapsed = self.clock.now() - started_at
            logger.opt(lazy=True).debug("{}", lambda: describe_batch(events, updates, elapsed))
        except Exception as error:
            logger.opt(exception=True).error("policy failed: count={} reason={!r}", len(events), error)
            self._restart_policy()

    # Incoming messages

    def _events(self, message: PlannerMessage) -> Iterable[Event]:
        """Apply a message to the state, and return the events that result for the policy."""
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
        """Return the result unless the policy, the server's process or its address has changed in the meantime."""
        return [result] if target == self._health_check_target(result.server) else []

    def _timer_events(self, incarnation: int, token: int) -> list[Event]:
        """Return the event of a timer, or none if an earlier incarnation of the policy set it."""
        return [TimerFired(token)] if incarnation == self.incarnation else []

    def _stream_events(self, message: StreamMessage) -> list[Event]:
        stream_events = self.streams.message_received(message.proxy, message.connection)
        if stream_events is None:
            return []
        match message.event:
            case Acknowledged():
                return [*stream_events, *self._acknowledgement_events(message.event)]
            case DemandReport():
                return [*stream_events, message.event]
        return list(stream_events)

    def _acknowledgement_events(self, event: Acknowledged) -> list[Event]:
        """Return the acknowledgement event with the nonce that the policy has attached.

        Acknowledgements are ignored if the nonce belongs to an earlier incarnation, is not pending, or was sent later
        than the duration in the acknowledgement allows.
        """
        if not self.streams.acknowledge(event.proxy, event.nonce, event.elapsed, self.clock.now()):
            logger.warning(
                "acknowledgement ignored: proxy={} nonce={} duration_s={:g} "
                "reason=the nonce is not pending or was sent less than duration_s ago",
                event.proxy,
                event.nonce,
                event.elapsed / 1000.0,
            )
            return []
        nonce = self.updates.policy_nonce(event.nonce)
        return [] if nonce is None else [Acknowledged(event.proxy, nonce, event.elapsed)]

    def _is_current(self, report: Report) -> bool:
        """Return whether a report is usable.

        A demand report has to come from a connected proxy, and a load report must not cover an earlier process of its
        server.
        """
        match report:
            case LoadReport(server=server, window=window):
                return not self.endpoints.predates_current_process(server, self.clock.now() - window)
            case DemandReport(proxy=proxy):
                return proxy in self.streams.by_proxy
            case GossipReceived():
                return True

    def _health_check_target(self, server: ServerId) -> HealthCheckTarget:
        """Return the current target of a health check of a server."""
        entry = self.endpoints.entries.get(server)
        started_at = entry.started_at if entry is not None else NOT_LISTED_START_TIME
        return HealthCheckTarget(self.incarnation, started_at, self.endpoints.addresses.get(server, ""))

    def _forget_removed_servers(self) -> None:
        """Forget removed servers in excess of the limit, unless a table, an ejection or a stream refers to them."""
        for server in self.endpoints.excess_removed():
            if not self.updates.references(server):
                self.endpoints.forget(server)
                self.updates.forget(server)
                self.streams.forget(server)

    # Actions of the policy

    def _execute(self, actions: list[Action]) -> list[ProxyUpdate]:
        """Send the updates that result from the policy's actions, then execute the other actions in order."""
        updates = self.updates.apply_actions(actions)
        streams = self.streams.by_proxy
        self.ports.deliver([(streams[update.proxy].connection, update) for update in updates])
        now = self.clock.now()
        for update in updates:
            if update.nonce is not None:
                self.streams.nonce_sent(update.proxy, update.nonce, now)
        for action in actions:
            self._execute_action(action)
        return updates

    def _execute_action(self, action: Action) -> None:
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
                pass  # `TableUpdates` has already applied the changes to tables

    def set_timer(self, delay: float, token: int) -> None:
        """Post `TimerElapsed` after `delay` ms, unless the policy fails before."""
        incarnation = self.incarnation

        def fire() -> None:
            """Remove the timer and post `TimerElapsed`."""
            self.timers.discard(handle)
            self.post(TimerElapsed(incarnation, token))

        handle = asyncio.get_running_loop().call_later(max(0.0, delay) / 1000.0, fire)
        self.timers.add(handle)

    # Restart

    def _restart_policy(self) -> None:
        """Drop the failed policy with its timers, and schedule a new one.

        Restarts are at least `MIN_RESTART_INTERVAL_MS` apart.
        """
        for handle in self.timers:
            handle.cancel()
        self.timers.clear()
        self.incarnation += 1
        self.planner = None
        self.updates.restart()
        delay = max(0.0, self.last_restart_at + MIN_RESTART_INTERVAL_MS - self.clock.now())
        self.last_restart_at = self.clock.now() + delay
        asyncio.get_running_loop().call_later(delay / 1000.0, self._start_policy)

    def _start_policy(self) -> None:
        """Start a new policy with the cached endpoints and the open streams.

        The new policy requests the endpoint list itself, so queued failures of earlier calls are discarded.
        """
        self.mailbox = [message for message in self.mailbox if not isinstance(message, EndpointListFailed)]
        self.planner = self.policy.create(self.incarnation)
        self.run_policy([self.endpoints.cached_update(), *self.streams.rejoin()])


def describe_batch(events: Sequence[Event], updates: Sequence[ProxyUpdate], elapsed: float) -> str:
    """Return the log line of a batch that took `elapsed` ms: events by kind, number of updates, lines and nonces."""
    event_counts = Counter(type(event).__name__ for event in events)
    kinds = ",".join(f"{name}:{count}" for name, count in event_counts.items())
    lines = sum(update.cost() for update in updates)
    nonces = ",".join(str(nonce) for nonce in sorted({sent.nonce for sent in updates if sent.nonce is not None}))
    return (
        f"batch processed: kind={kinds or '-'} count={len(updates)} lines={lines} nonce={nonces or '-'} "
        f"duration_s={elapsed / 1000.0:.4f}"
    )
