"""The planner: converts events to actions by combining the decisions of all modules of the policy.

`stackwheel/interface/` defines the types of events and actions. Once per slot the planner updates its estimates from
the reports, allocates the demand of each zone and request class to servers, moves the weight tables a step towards the
allocation, and sends the weights that changed. Changes that the operators' rules require are sent at once.
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
    Log,
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
from stackwheel.policy.plausibility import FigureLimiter
from stackwheel.policy.proxies import ProxyView
from stackwheel.policy.servers import ServerPool
from stackwheel.policy.table_groups import TableGroups
from stackwheel.policy.timers import ENDPOINT_LIST_TIMER, SLOT_TIMER, Slot
from stackwheel.policy.updates import UpdateScheduler

MIN_SLOT_INTERVALS = 0.6
"""Minimum number of report intervals between two slots, so that all reports of one interval lead to one slot."""

MAX_SLOT_INTERVALS = 1.25
"""Number of report intervals after which the next slot starts even if no reports have arrived."""


class Planner:
    """The policy of one planner; its actions depend only on the settings, the seed and the events so far.

    If `Settings.key_range_count` is not 0, tables are assigned to key ranges, which this policy does not support: it
    ignores all events and returns no actions.

    Attributes:
        settings: the settings of the policy.
        actions: actions of the current call, in order.
        slot: the current slot.
        has_new_reports: whether a usable load report has arrived since the last slot.
        proxies: connected proxies by number.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        random = Random(seed)
        self.settings = settings
        self.actions: list[Action] = []
        self.slot = Slot()
        self.has_new_reports = False
        self.proxies: dict[int, ProxyView] = {}
        self.limiter = FigureLimiter()
        self.channel = ChannelBudget(settings)
        self.pool = ServerPool(settings)
        self.endpoints = EndpointTracker(settings, random, self.actions, self.pool)
        self.demand = DemandTracker(settings, self.proxies, self.limiter)
        self.peers = PeerPlanners(settings, self.pool)
        self.estimates = LoadEstimates(settings, self.pool, self.demand, self.limiter)
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
        """Process a batch of events and return the resulting actions.

        A call consists of these steps:

        1. Advance the estimate of the channel's queue, open the watch on the endpoint list in the first call if the
           settings require it, and process all events.
        2. If a slot is due, recompute estimates and tables, and send what has changed.
        3. Otherwise send urgent or deferred changes, if there are any and the queue is short enough.
        4. Assign tables to proxies that have none, as far as the capacity of the channel allows.

        Args:
            now: time on the planner's clock, ms.
            events: the events since the last call, in order.

        Returns:
            The actions, in the order in which the adapter has to execute them.
        """
        self.actions.clear()
        self.channel.start_call(now, self.proxies)
        if self.settings.key_range_count:
            return []
        is_first_call = self.slot.started_at == -math.inf
        if is_first_call and self.settings.endpoint_list_on_request:
            self.actions.append(WatchEndpoints())
        is_slot_due = is_first_call
        for event in events:
            is_slot_due |= self.process_event(event, now)
        slot_age_ms = now - self.slot.started_at
        if is_slot_due or (self.has_new_reports and slot_age_ms >= MIN_SLOT_INTERVALS * self.settings.report_interval):
            self.run_slot(now)
        elif self.updates.should_send(now):
            if self.updates.has_urgent_change:
                # Only once per urgent change: repeated updates of the shares while the queue is full would change them
                # by more than MAX_SHARE_STEP per slot.
                self.groups.update_all_shares(now)
            self.send_updates(now)
        self.joins.assign_tables(now)
        return self.actions + self.channel.commit()

    def process_event(self, event: Event, now: float) -> bool:
        """Process one event and return whether it is the timer that starts the next slot."""
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
                # Malformed datagrams are ignored, because planners do not send any.
                with contextlib.suppress(MalformedGossipError):
                    self.peers.record(sender, payload, now)
            case ProxyJoined(proxy):
                self.proxies[proxy] = self.demand.create_proxy_view(event, now)
                self.joins.waiting[proxy] = None
            case ProxyLeft(proxy):
                self.remove_proxy(proxy)
            case TimerFired(token):
                return self.process_timer(token)
        return False

    def apply_endpoints(self, update: EndpointUpdate) -> None:
        """Apply an update of the endpoint list; a changed availability or a restarted server makes changes urgent."""
        if self.endpoints.apply(update):
            self.updates.request_urgent_update()

    def remove_proxy(self, number: int) -> None:
        """Remove a proxy and subtract its demand."""
        self.joins.waiting.pop(number, None)
        proxy = self.proxies.pop(number, None)
        if proxy is not None:
            proxy.group.users.pop(number, None)
            self.demand.subtract_proxy(proxy)

    def process_timer(self, token: int) -> bool:
        """Process an expired timer and return whether it starts the next slot."""
        if token == ENDPOINT_LIST_TIMER:
            self.actions.append(WatchEndpoints())
        return token == SLOT_TIMER + self.slot.number

    def run_slot(self, now: float) -> None:
        """Recompute estimates, ejections, load shedding and tables, send the changes, and set the next slot's timer."""
        self.slot.begin(now)
        has_reports = self.has_new_reports
        self.has_new_reports = False
        if has_reports:
            self.update_estimates(now)
            if self.ejection.update_ejections(now):
                self.updates.request_urgent_update()
            self.shedding.update(now)
            self.actions += self.health_checks.start(now)
        if limited_count := self.limiter.take_limited_count():
            self.actions.append(Log(f"reported figures over the plausible limit: count={limited_count}"))
        # Planners without proxies also send gossip, as peers would otherwise reserve part of the load limits of warming
        # servers for them.
        if has_reports or not self.proxies:
            self.actions += self.peers.announce(len(self.proxies))
        self.groups.remove_unused()
        self.groups.update_all_shares(now)
        self.send_updates(now)
        next_slot_ms = MAX_SLOT_INTERVALS * self.settings.report_interval
        self.actions.append(SetTimer(next_slot_ms, SLOT_TIMER + self.slot.number))

    def update_estimates(self, now: float) -> None:
        """Update the estimates of demand, latency and capacity for one slot."""
        median_latency_ms = self.estimates.median_latency()
        self.demand.update_rates(now)
        self.estimates.decay_unconfirmed(median_latency_ms, now)
        self.estimates.update_lowest_latency(median_latency_ms)
        self.capacity.update_capacities(median_latency_ms, now)

    def send_updates(self, now: float) -> None:
        """Send changed weights and admission levels, after the first tables of proxies whose assignment is overdue."""
        if self.joins.are_overdue(now):
            self.joins.assign_tables(now)
        self.updates.send(bool(self.joins.waiting), now)
