"""The rules, checked as each event arrives: what an event may break is looked at, and nothing else.

Times are ms. A limit that runs out while nothing happens is in a heap, so that a step of time costs one comparison.
Whoever feeds the checker says what is the case, not what a planner believes.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from enum import IntEnum
from typing import NamedTuple

from stackwheel.interface import Availability, RequestClass
from stackwheel.rules.event_log import EventLog
from stackwheel.rules.views import ListedEndpoint, PlannerView, ProxyState, ZoneClass
from stackwheel.rules.violations import READY_GRACE, Limits, Rule, Violation

MAX_VIOLATIONS = 100
"""Violations reported of one run; more say nothing new."""

WINDOW_MARGIN = 1.0
"""ms: a message at the very end of the cap's window has left it."""

MAX_ANSWER_DELAY = 1.0
"""ms from the end of the last attempt to the answer."""

MIN_CAPACITY = 1e-9
"""In place of a capacity of 0 where a load is divided by it."""

AVAILABILITY_LABELS = {
    Availability.READY: "READY",
    Availability.DRAINING: "DRAINING",
    Availability.REMOVED: "GONE",
}
"""How a violation's trail names a server's state: part of the output of `stackwheel trial replay`."""


class DeadlineKind(IntEnum):
    """What has to be looked at when a deadline passes."""

    UNSERVED = 0
    """A proxy that has had no server for a class."""

    SERVER_WARM = 1
    """The servers listed at a planner, one of which has its full capacity now."""


class Deadline(NamedTuple):
    """A time at which something has to be looked at; `subject` is a proxy or planner by `kind`."""

    at: float
    kind: DeadlineKind
    subject: int
    request_class: int


class Execution(NamedTuple):
    """A request took effect: at which servers, by the number of their deduplication scope, and when (ms)."""

    scope: int
    at: float


class ReportKey(NamedTuple):
    """What a violation is reported once for."""

    rule: Rule
    planner: int | None
    proxy: int | None
    server: str | None


class Checker:
    """Fed with events in order of time.

    Attributes:
        limits: the figures of the rules.
        classes: the request classes.
        zones: number of zones.
        planners: the planners that answer; one entry each.
        proxies: all proxies.
        deadlines: heap of the times at which limits run out.
        executions: for each request that may still run, how it took effect; removed by `forget_request`.
        overloaded_since: servers that warm up and are overloaded, since when.
        violations: what was broken, once for each rule and subject; at most `MAX_VIOLATIONS`.
        events: the last events, for the trail of a violation.
        check_count: how often a rule was looked at.
    """

    def __init__(self, limits: Limits, classes: tuple[RequestClass, ...], zones: int) -> None:
        self.limits = limits
        self.classes = classes
        self.zones = zones
        self.planners: dict[int, PlannerView] = {}
        self.proxies: dict[int, ProxyState] = {}
        self.deadlines: list[Deadline] = []
        self.executions: dict[int, list[Execution]] = {}
        self.overloaded_since: dict[str, float] = {}
        self.violations: list[Violation] = []
        self.events = EventLog()
        self.check_count = 0
        self._reported: set[ReportKey] = set()

    # Reports

    def record_event(self, now: float, text: str, *subjects: object) -> None:
        """Remember an event for the trail of a violation."""
        self.events.note(now, text, *subjects)

    def report_violation(
        self,
        now: float,
        rule: Rule,
        detail: str,
        planner: int | None = None,
        proxy: int | None = None,
        server: str | None = None,
    ) -> None:
        """Report a violation, unless the same rule was reported for the same subjects before."""
        key = ReportKey(rule, planner, proxy, server)
        if key in self._reported or len(self.violations) >= MAX_VIOLATIONS:
            return
        self._reported.add(key)
        subjects = {f"planner-{planner}", f"proxy-{proxy}", server} - {None, "planner-None", "proxy-None"}
        trail = self.events.trail(subjects)
        self.violations.append(Violation(now, rule, planner, proxy, server, detail, trail))

    # Planners

    def planner_ready(self, planner: int, now: float) -> None:
        """A planner's process has answered for the first time; nothing that a former one knew binds it."""
        self.planners[planner] = PlannerView(now, now + READY_GRACE)
        self.record_event(now, "ready", f"planner-{planner}")

    def planner_stopped(self, planner: int, now: float) -> None:
        """A planner's process has ended, and with it its streams."""
        self.planners.pop(planner, None)
        for proxy, state in self.proxies.items():
            if state.planner == planner:
                self.proxy_left(proxy, now)
        self.record_event(now, "gone", f"planner-{planner}")

    def suspend_limits(self, planner: int, until: float) -> None:
        """Run no limit of a planner before that time: after a reload, or while its process is suspended."""
        if planner in self.planners:
            view = self.planners[planner]
            view.limits_from = max(view.limits_from, until)
            self._schedule_proxies_of(planner)

    def suspend_proxy_limits(self, proxy: int, until: float) -> None:
        """Run no limit of a proxy before that time: while it is suspended, it does nothing that breaks a rule."""
        state = self.proxies[proxy]
        state.limits_from = max(state.limits_from, until)
        self._schedule(proxy, state)

    def endpoint_notified(self, planner: int, now: float, server: str, listed: ListedEndpoint) -> None:
        """Discovery has notified a planner of a server, and of nothing newer before."""
        view = self.planners.get(planner)
        if view is None:
            return
        self.record_event(now, f"told {AVAILABILITY_LABELS[listed.availability]}", f"planner-{planner}", server)
        view.notified(server, listed, now, self.limits.removal_is_advisory)
        if listed.availability is Availability.READY and listed.warm_at > now:
            heapq.heappush(self.deadlines, Deadline(listed.warm_at, DeadlineKind.SERVER_WARM, planner, 0))
        self._update_serviceable(planner, now)

    def _update_serviceable(self, planner: int, now: float) -> None:
        if self.planners[planner].update_serviceable(self.classes, self.zones, now):
            self._schedule_proxies_of(planner)

    # Proxies without a server

    def proxy_started(self, proxy: int, zone: int) -> None:
        """A proxy exists from now on."""
        self.proxies[proxy] = ProxyState(zone)

    def proxy_joined(self, proxy: int, planner: int, now: float) -> None:
        """A proxy has opened its stream to a planner."""
        state = self.proxies[proxy]
        state.planner = planner
        state.joined_at = now
        self.record_event(now, "joined", f"proxy-{proxy}", f"planner-{planner}")
        self._schedule(proxy, state)

    def proxy_left(self, proxy: int, now: float) -> None:
        """A proxy's stream has ended; it may have none."""
        state = self.proxies[proxy]
        if state.planner is not None:
            self.record_event(now, "left", f"proxy-{proxy}", f"planner-{state.planner}")
        state.planner = None

    def lines_changed(self, proxy: int, request_class: int, has_lines: bool, now: float) -> None:
        """Whether a proxy has a server for a class now."""
        state = self.proxies[proxy]
        if has_lines:
            state.unserved_since.pop(request_class, None)
        elif request_class not in state.unserved_since:
            state.unserved_since[request_class] = now
            self._schedule_class(proxy, state, request_class)

    def check_deadlines(self, now: float) -> None:
        """Time has moved: look at the limits that have run out."""
        while self.deadlines and self.deadlines[0].at <= now:
            deadline = heapq.heappop(self.deadlines)
            self.check_count += 1
            if deadline.kind is DeadlineKind.SERVER_WARM:
                if deadline.subject in self.planners:
                    self._update_serviceable(deadline.subject, now)
            elif deadline.subject in self.proxies:
                self._check_served(deadline.subject, deadline.request_class, now)

    def _check_served(self, proxy: int, request_class: int, now: float) -> None:
        state = self.proxies[proxy]
        if self._unserved_deadline(state, request_class) > now:
            self._schedule_class(proxy, state, request_class)
            return
        since = state.unserved_since[request_class] / 1000.0
        self.report_violation(
            now, Rule.SERVED, f"no line for class {request_class} since {since:.3f} s", state.planner, proxy
        )

    def _unserved_deadline(self, state: ProxyState, request_class: int) -> float:
        """When the limit on a class without a server runs out; infinite while no limit runs."""
        view = self.planners.get(state.planner) if state.planner is not None else None
        since = state.unserved_since.get(request_class)
        if view is None or since is None:
            return math.inf
        serviceable_since = view.serviceable_since.get(ZoneClass(state.zone, request_class))
        if serviceable_since is None:
            return math.inf
        started_at = max(since, serviceable_since, state.joined_at, view.limits_from, state.limits_from)
        return started_at + self.limits.max_unserved_time

    def _schedule_proxies_of(self, planner: int) -> None:
        for proxy, state in self.proxies.items():
            if state.planner == planner:
                self._schedule(proxy, state)

    def _schedule(self, proxy: int, state: ProxyState) -> None:
        for request_class in state.unserved_since:
            self._schedule_class(proxy, state, request_class)

    def _schedule_class(self, proxy: int, state: ProxyState, request_class: int) -> None:
        at = self._unserved_deadline(state, request_class)
        if at < math.inf:
            heapq.heappush(self.deadlines, Deadline(at, DeadlineKind.UNSERVED, proxy, request_class))

    # Requests

    def attempt_sent(self, proxy: int, server: str, now: float) -> None:
        """A proxy has sent an attempt to a server."""
        state = self.proxies[proxy]
        view = self.planners.get(state.planner) if state.planner is not None else None
        if view is None or server not in view.unavailable_since:
            return
        self.check_count += 1
        since = max(view.unavailable_since[server], state.joined_at, view.limits_from, state.limits_from)
        if now > since + self.limits.drain_grace:
            detail = f"sent {(now - since) / 1000.0:.2f} s after it was told"
            self.report_violation(now, Rule.DRAINS, detail, state.planner, proxy, server)

    def request_executed(
        self, request: int, request_class: int, scope: int, proxy: int, server: str, now: float
    ) -> None:
        """A request has taken effect; `scope`: number of the servers that drop its repeats among themselves."""
        executions = self.executions.get(request)
        if executions is None:
            self.executions[request] = [Execution(scope, now)]
            return
        if self.classes[request_class].idempotency == "repeatable":
            return
        self.check_count += 1
        executions.append(Execution(scope, now))
        detail = f"request {request} of class {request_class} took effect {len(executions)} times"
        self.report_violation(now, Rule.ONCE, detail, self.proxies[proxy].planner, proxy, server)

    def forget_request(self, request: int) -> None:
        """No attempt of a request can run any more."""
        self.executions.pop(request, None)

    def request_answered(self, request: int, proxy: int, decided_at: float, now: float) -> None:
        """A proxy has sent its final answer, which it could have sent at `decided_at`."""
        state = self.proxies[proxy]
        if now - max(decided_at, state.limits_from) > MAX_ANSWER_DELAY:
            detail = f"request {request} answered {now - decided_at:.0f} ms after its end"
            self.report_violation(now, Rule.PROMPT, detail, state.planner, proxy)

    # Servers that warm up

    def warming_server_load(self, server: str, load: float, capacity: float, now: float) -> None:
        """What all joined proxies together send to a server that warms up, and its present capacity; same unit."""
        self.check_count += 1
        if load <= self.limits.overload_multiple * capacity:
            self.overloaded_since.pop(server, None)
            return
        since = self.overloaded_since.setdefault(server, now)
        if now - since >= self.limits.overload_duration:
            multiple = load / max(MIN_CAPACITY, capacity)
            detail = f"sent {multiple:.1f} times what it can do for {(now - since) / 1000.0:.1f} s"
            self.report_violation(now, Rule.COLD, detail, server=server)

    def server_warmed_up(self, server: str) -> None:
        """A server has its full capacity, or no longer runs."""
        self.overloaded_since.pop(server, None)

    # The channel

    def lines_queued(self, planner: int, lines: float, now: float) -> None:
        """So many lines of a planner wait in the channel."""
        self.check_count += 1
        limit = self.limits.queue_limit
        if limit and lines > limit:
            self.report_violation(now, Rule.QUEUE, f"{lines:.0f} lines wait, {limit:.0f} may", planner)

    def message_written(self, planner: int, proxy: int, now: float) -> None:
        """A planner has written a message to a proxy."""
        cap = self.limits.message_cap
        window = self.limits.message_window
        view = self.planners.get(planner)
        if view is None or not cap:
            return
        self.check_count += 1
        times = view.message_times.setdefault(proxy, deque(maxlen=cap + 1))
        times.append(now)
        while now - times[0] >= window - WINDOW_MARGIN:
            times.popleft()
        if len(times) > cap:
            self.report_violation(now, Rule.CAP, f"over {cap} messages within {window / 1000.0:g} s", planner, proxy)
