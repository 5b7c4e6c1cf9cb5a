"""The planner: takes events in, and composes the decisions of all modules of the policy into actions.

Types of events and actions: `stackwheel/interface/`. Once a slot it turns the reports into estimates, places every
zone's demand by class on servers, moves the tables a step towards that and sends what moved; what the operators' rules
require is sent at once.
"""

from __future__ import annotations

import contextlib
import math
from collections.abc import Iterable
from random import Random

from stackwheel.interface import (
    Acknowledged,
    Action,
    DemandReport,
    EndpointUpdate,
    Event,
    GossipReceived,
    HealthCheckResult,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
    SetTimer,
    Settings,
    TimerFired,
    WatchEndpoints,
)
from stackwheel.policy.allocation import Allocator
from stackwheel.policy.capacity import CapacityEstimates
from stackwheel.policy.channel import ChannelBudget
from stackwheel.policy.demand import DemandTracker
from stackwheel.policy.endpoints import EndpointTracker
from stackwheel.policy.estimates import LoadEstimates
from stackwheel.policy.gossip import MalformedGossipError
from stackwheel.policy.health_checks import HealthChecks
from stackwheel.policy.joins import JoinScheduler
from stackwheel.policy.load_shedding import LoadShedding
from stackwheel.policy.outlier_ejection import OutlierEjection
from stackwheel.policy.peer_planners import PeerPlanners
from stackwheel.policy.proxies import ProxyView
from stackwheel.policy.servers import ServerPool
from stackwheel.policy.table_groups import TableGroups
from stackwheel.policy.timers import ENDPOINT_LIST_TIMER, SLOT_TIMER, Slot
from stackwheel.policy.updates import UpdateScheduler

MIN_SLOT_INTERVALS = 0.6
"""Report intervals between slots that new reports start; two reports of one interval make one slot."""

MAX_SLOT_INTERVALS = 1.25
"""Report intervals after which a slot starts without reports."""


class Planner:
    """One planner's policy: a function of the settings, the seed, and the events so far.

    With `key_range_count` set nothing is decided: tables then belong to key ranges, which this policy does not serve.
    All events are dropped, no endpoint list is asked for, and no action is ever returned.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        random = Random(seed)
        self.settings = settings
        self.actions: list[Action] = []
        """Of the present call, in order."""
        self.slot = Slot()
        self.has_new_reports = False
        self.proxies: dict[int, ProxyView] = {}
        self.channel = ChannelBudget(settings)
        self.pool = ServerPool(settings)
        self.endpoints = EndpointTracker(settings, random, self.actions, self.pool)
        self.demand = DemandTracker(settings, self.proxies)
        self.peers = PeerPlanners(settings, self.pool)
        self.estimates = LoadEstimates(settings, self.pool)
        self.capacity = CapacityEstimates(settings, self.pool, self.demand, self.peers, self.estimates)
        self.ejection = OutlierEjection(settings, self.pool, self.estimates)
        self.shedding = LoadShedding(settings, self.pool, self.proxies, self.demand, self.peers, self.estimates)
        self.allocator = Allocator(settings, self.pool, self.demand, self.peers, self.estimates, self.shedding)
        self.groups = TableGroups(
            settings, random, self.actions, self.pool, self.proxies, self.capacity, self.allocator
        )
        self.health_checks = HealthChecks(settings, self.pool, self.demand, self.estimates, self.groups)
        self.updates = UpdateScheduler(
            settings, self.actions, self.slot, self.pool, self.channel, self.shedding, self.groups
        )
        self.joins = JoinScheduler(settings, self.actions, self.proxies, self.channel, self.groups, self.updates)

    def handle(self, now: float, events: Iterable[Event]) -> list[Action]:
        """Take a batch of events in and decide what to do about it.

        One call does, in this order:

        1. Start: time passes for the channel, the first call may watch the endpoint list, and all events are taken in.
        2. Slot: if one is due, everything is recomputed and what changed is sent.
        3. Otherwise urgent or deferred changes are sent, if there are any and the queue is short.
        4. Joins: proxies that wait are assigned tables, as many as the channel has capacity for.

        Args:
            now: ms on the planner's clock.
            events: all that happened since the last call, in order.

        Returns:
            The actions, in the order in which they count.
        """
        self.actions.clear()
        self.channel.start_call(now, self.proxies)
        if self.settings.key_range_count:
            return []
        is_starting = self.slot.started_at == -math.inf
        if is_starting and self.settings.endpoint_list_on_request:
            self.actions.append(WatchEndpoints())
        starts_slot = is_starting
        for event in events:
            starts_slot |= self.take(event, now)
        since_slot = now - self.slot.started_at
        if starts_slot or (self.has_new_reports and since_slot >= MIN_SLOT_INTERVALS * self.settings.report_interval):
            self.run_slot(now)
        elif self.updates.should_send(now):
            if self.updates.is_urgent:
                # Move once per cause: moving again in each batch while the queue is full would break the step cap.
                self.groups.move_all(now)
            self.send_updates(now)
        self.joins.assign_tables(now)
        return self.actions + self.channel.commit()

    def take(self, event: Event, now: float) -> bool:
        """Take in one event; True if it is the timer of the next slot."""
        match event:
            case LoadReport():
                self.has_new_reports |= self.estimates.record(event, now)
            case DemandReport():
                self.demand.record(event, now)
            case Acknowledged(proxy, nonce, _):
                self.channel.acknowledge(proxy, nonce)
            case HealthCheckResult():
                self.estimates.record_health_check(event, now)
            case EndpointUpdate():
                self.apply_endpoints(event)
            case GossipReceived(sender, payload):
                with contextlib.suppress(MalformedGossipError):  # no planner's: nothing to learn from it
                    self.peers.record(sender, payload, now)
            case ProxyJoined(proxy):
                self.proxies[proxy] = self.demand.joined(event, now)
                self.joins.waiting[proxy] = None
            case ProxyLeft(proxy):
                self.proxy_left(proxy)
            case TimerFired(token):
                return self.timer_fired(token)
        return False

    def apply_endpoints(self, update: EndpointUpdate) -> None:
        """Follow the endpoint list; what changes a server's availability or process is urgent."""
        if self.endpoints.apply(update):
            self.updates.request_urgent()

    def proxy_left(self, number: int) -> None:
        """Forget a proxy, with its part of the demand."""
        self.joins.waiting.pop(number, None)
        proxy = self.proxies.pop(number, None)
        if proxy is not None:
            proxy.group.users.pop(number, None)
            self.demand.left(proxy)

    def timer_fired(self, token: int) -> bool:
        """Act on a timer of ours; True if it is that of the next slot."""
        if token == ENDPOINT_LIST_TIMER:
            self.actions.append(WatchEndpoints())
        return token == SLOT_TIMER + self.slot.number

    def run_slot(self, now: float) -> None:
        """The periodic recomputation: estimates, health, shedding, tables, and what of them is sent."""
        self.slot.begin(now)
        has_reports = self.has_new_reports
        self.has_new_reports = False
        if has_reports:
            self.update_estimates(now)
            if self.ejection.judge(now):
                self.updates.request_urgent()
            self.shedding.update(now)
            self.actions += self.health_checks.start(now)
        if has_reports or not self.proxies:  # without proxies too, or our part of warming servers lies idle
            self.actions += self.peers.announce(len(self.proxies))
        self.groups.forget_unused()
        self.groups.move_all(now)
        self.send_updates(now)
        next_slot_ms = MAX_SLOT_INTERVALS * self.settings.report_interval
        self.actions.append(SetTimer(next_slot_ms, SLOT_TIMER + self.slot.number))

    def update_estimates(self, now: float) -> None:
        """A slot's step of demand, latency and capacity."""
        median_latency_ms = self.estimates.median_latency()
        self.demand.count(now)
        self.estimates.fade(median_latency_ms, now)
        self.estimates.learn_quickest(median_latency_ms)
        self.capacity.learn(median_latency_ms, now)

    def send_updates(self, now: float) -> None:
        """Send changes of tables, after proxies that have waited too long for their first ones."""
        if self.joins.are_overdue(now):
            self.joins.assign_tables(now)
        self.updates.send(bool(self.joins.waiting), now)
