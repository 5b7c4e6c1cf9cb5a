"""Incremental check of the rules: each event triggers only the checks of the rules that it may affect.

All times are in ms. Time limits that may expire without an event are stored in a heap, so that advancing the time
costs one comparison. Callers report the actual state of the run, not the state assumed by a planner.
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
from stackwheel.rules.violations import READY_GRACE_MS, Limits, Rule, Violation

MAX_VIOLATIONS = 100
"""Maximum number of violations that are reported for one run."""

WINDOW_MARGIN_MS = 1.0
"""Reduction of the message cap's window, so that messages at its very end are not counted."""

MAX_ANSWER_DELAY_MS = 1.0
"""Maximum time from the end of the last attempt to the final answer."""

MIN_CAPACITY = 1e-9
"""Lower bound of a capacity that is used as a divisor."""

AVAILABILITY_LABELS = {
    Availability.READY: "READY",
    Availability.DRAINING: "DRAINING",
    Availability.REMOVED: "GONE",
}
"""Names of the availabilities in event trails; they are part of the output of `stackwheel trial replay`."""


class DeadlineKind(IntEnum):
    """The check that is due at a deadline."""

    UNSERVED = 0
    """Check whether a proxy still has no server for a class."""

    SERVER_WARM = 1
    """Update the zones and classes for which a planner knows a warm server, because a listed server has become warm.

    From then on, the proxies of this planner may not remain without a server for these classes.
    """


class Deadline(NamedTuple):
    """A pending check and the time at which it is due.

    Attributes:
        at: time at which the check is due, ms.
        kind: the check.
        subject: number of the proxy without a server for `UNSERVED`; number of the planner that lists the server for
            `SERVER_WARM`.
        request_class: index of the request class for `UNSERVED`; otherwise 0.
    """

    at: float
    kind: DeadlineKind
    subject: int
    request_class: int


class Execution(NamedTuple):
    """One execution of a request by a server, which took effect.

    Attributes:
        scope: number of the server's deduplication scope, the set of servers that share received idempotency keys.
        at: time of the execution, ms.
    """

    scope: int
    at: float


class ReportKey(NamedTuple):
    """Rule and subjects of a violation; only the first violation with the same key is reported."""

    rule: Rule
    planner: int | None
    proxy: int | None
    server: str | None


class Checker:
    """Checks the rules for events that are passed in chronological order.

    Attributes:
        limits: limits of the rules.
        classes: the request classes.
        zone_count: number of zones.
        planners: state of the planners that are ready, by number.
        proxies: state of all proxies, by number.
        deadlines: heap of the pending checks, by the time at which they are due.
        executions: executions of each request that may still have running attempts; removed by `forget_request`.
        overloaded_since: time since which each overloaded server that is warming up has been overloaded, ms.
        violations: the reported violations, one per rule and subjects; at most `MAX_VIOLATIONS`.
        events: the most recent events, from which trails are taken.
        check_count: number of checks so far.
    """

    def __init__(self, limits: Limits, classes: tuple[RequestClass, ...], zone_count: int) -> None:
        self.limits = limits
        self.classes = classes
        self.zone_count = zone_count
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
        """Record an event for the event trail shown with later violations."""
        self.events.record(now, text, *subjects)

    def report_violation(
        self,
        now: float,
        rule: Rule,
        detail: str,
        planner: int | None = None,
        proxy: int | None = None,
        server: str | None = None,
    ) -> None:
        """Report a violation unless one of the same rule and subjects has been reported before."""
        key = ReportKey(rule, planner, proxy, server)
        if key in self._reported or len(self.violations) >= MAX_VIOLATIONS:
            return
        self._reported.add(key)
        subjects = {f"planner-{planner}", f"proxy-{proxy}", server} - {None, "planner-None", "proxy-None"}
        trail = self.events.trail(subjects)
        self.violations.append(Violation(now, rule, planner, proxy, server, detail, trail))

    # Planners

    def planner_ready(self, planner: int, now: float) -> None:
        """Record the first response of a planner process; notifications to an earlier process do not apply to it."""
        self.planners[planner] = PlannerView(now, now + READY_GRACE_MS)
        self.record_event(now, "ready", f"planner-{planner}")

    def planner_stopped(self, planner: int, now: float) -> None:
        """Record that a planner process has ended, which also ends its streams."""
        self.planners.pop(planner, None)
        for proxy, state in self.proxies.items():
            if state.planner == planner:
                self.proxy_left(proxy, now)
        self.record_event(now, "gone", f"planner-{planner}")

    def suspend_limits(self, planner: int, until: float) -> None:
        """Apply no limit to a planner before `until` (ms), as after a reload or while its process is suspended."""
        if planner in self.planners:
            view = self.planners[planner]
            view.limits_from = max(view.limits_from, until)
            self._schedule_proxies_of(planner)

    def suspend_proxy_limits(self, proxy: int, until: float) -> None:
        """Apply no limit to a proxy before `until` (ms), because it is suspended until then."""
        state = self.proxies[proxy]
        state.limits_from = max(state.limits_from, until)
        self._schedule(proxy, state)

    def endpoint_notified(self, planner: int, now: float, server: str, listed: ListedEndpoint) -> None:
        """Record that the discovery service has notified a planner of an entry that is not outdated."""
        view = self.planners.get(planner)
        if view is None:
            return
        self.record_event(now, f"told {AVAILABILITY_LABELS[listed.availability]}", f"planner-{planner}", server)
        view.record_notification(server, listed, now, self.limits.removal_is_advisory)
        if listed.availability is Availability.READY and listed.warm_at > now:
            heapq.heappush(self.deadlines, Deadline(listed.warm_at, DeadlineKind.SERVER_WARM, planner, 0))
        self._update_serviceable(planner, now)

    def _update_serviceable(self, planner: int, now: float) -> None:
        if self.planners[planner].update_serviceable(self.classes, self.zone_count, now):
            self._schedule_proxies_of(planner)

    # Proxies

    def proxy_started(self, proxy: int, zone: int) -> None:
        """Add a proxy, which has not joined a planner yet."""
        self.proxies[proxy] = ProxyState(zone)

    def proxy_joined(self, proxy: int, planner: int, now: float) -> None:
        """Record that a proxy has opened its stream to a planner."""
        state = self.proxies[proxy]
        state.planner = planner
        state.joined_at = now
        self.record_event(now, "joined", f"proxy-{proxy}", f"planner-{planner}")
        self._schedule(proxy, state)

    def proxy_left(self, proxy: int, now: float) -> None:
        """Record that the stream of a proxy has ended; the proxy may have had none."""
        state = self.proxies[proxy]
        if state.planner is not None:
            self.record_event(now, "left", f"proxy-{proxy}", f"planner-{state.planner}")
        state.planner = None

    def record_class_availability(self, proxy: int, request_class: int, has_server: bool, now: float) -> None:
        """Record whether a proxy has an available server for a class."""
        state = self.proxies[proxy]
        if has_server:
            state.unserved_since.pop(request_class, None)
        elif request_class not in state.unserved_since:
            state.unserved_since[request_class] = now
            self._schedule_class(proxy, state, request_class)

    def check_deadlines(self, now: float) -> None:
        """Make all checks that are due by `now`."""
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
        since_s = state.unserved_since[request_class] / 1000.0
        self.report_violation(
            now,
            Rule.SERVED,
            f"no available server for class {request_class} since {since_s:.3f} s",
            state.planner,
            proxy,
        )

    def _unserved_deadline(self, state: ProxyState, request_class: int) -> float:
        """Return the time at which a proxy has been without a server for too long; infinite if no limit applies."""
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
        """Record an attempt that a proxy has sent to a server, and check whether the server may still be used."""
        state = self.proxies[proxy]
        view = self.planners.get(state.planner) if state.planner is not None else None
        if view is None or server not in view.unavailable_since:
            return
        self.check_count += 1
        since = max(view.unavailable_since[server], state.joined_at, view.limits_from, state.limits_from)
        if now > since + self.limits.drain_grace:
            detail = f"attempt sent {(now - since) / 1000.0:.2f} s after the server was reported draining or removed"
            self.report_violation(now, Rule.DRAINS, detail, state.planner, proxy, server)

    def record_execution(
        self, request: int, request_class: int, scope: int, proxy: int, server: str, now: float
    ) -> None:
        """Record an execution of a request that took effect, and check whether the request had taken effect before.

        The deduplication scope with the number `scope` is the set of servers that share received idempotency keys.
        Callers do not report repeats that these servers recognize by the key, since the servers do not execute them.
        """
        executions = self.executions.get(request)
        if executions is None:
            self.executions[request] = [Execution(scope, now)]
            return
        if self.classes[request_class].idempotency == "repeatable":
            return
        self.check_count += 1
        executions.append(Execution(scope, now))
        detail = f"request {request} of class {request_class} was executed {len(executions)} times"
        self.report_violation(now, Rule.ONCE, detail, self.proxies[proxy].planner, proxy, server)

    def forget_request(self, request: int) -> None:
        """Remove a request that can have no further executions."""
        self.executions.pop(request, None)

    def request_answered(self, request: int, proxy: int, decided_at: float, now: float) -> None:
        """Record a final answer that a proxy has sent, and check its delay since it was known at `decided_at` (ms)."""
        state = self.proxies[proxy]
        if now - max(decided_at, state.limits_from) > MAX_ANSWER_DELAY_MS:
            detail = f"request {request} was answered {now - decided_at:.0f} ms after the end of its last attempt"
            self.report_violation(now, Rule.PROMPT, detail, state.planner, proxy)

    # Servers that are warming up

    def warming_server_load(self, server: str, load: float, capacity: float, now: float) -> None:
        """Check the load that all joined proxies send to a server that is warming up.

        Args:
            server: name of the server.
            load: load in the unit of `capacity`.
            capacity: current capacity of the server.
            now: time, ms.
        """
        self.check_count += 1
        if load <= self.limits.overload_multiple * capacity:
            self.overloaded_since.pop(server, None)
            return
        since = self.overloaded_since.setdefault(server, now)
        if now - since >= self.limits.overload_duration:
            multiple = load / max(MIN_CAPACITY, capacity)
            detail = f"load of {multiple:.1f} times the current capacity, overloaded for {(now - since) / 1000.0:.1f} s"
            self.report_violation(now, Rule.COLD, detail, server=server)

    def record_warmup_end(self, server: str) -> None:
        """Record that a server has reached its full capacity, has stopped or has failed.

        In each case the limit on the load of warming servers no longer applies to it.
        """
        self.overloaded_since.pop(server, None)

    # The channel

    def check_queued_lines(self, planner: int, lines: float, now: float) -> None:
        """Check the number of a planner's lines that are queued in the channel against the queue limit."""
        self.check_count += 1
        limit = self.limits.queue_limit
        if limit and lines > limit:
            self.report_violation(now, Rule.QUEUE, f"{lines:.0f} lines queued, over the limit of {limit:.0f}", planner)

    def message_written(self, planner: int, proxy: int, now: float) -> None:
        """Record a message that a planner has written to a proxy, and check the message cap."""
        cap = self.limits.message_cap
        window = self.limits.message_window
        view = self.planners.get(planner)
        if view is None or not cap:
            return
        self.check_count += 1
        times = view.message_times.setdefault(proxy, deque(maxlen=cap + 1))
        times.append(now)
        while now - times[0] >= window - WINDOW_MARGIN_MS:
            times.popleft()
        if len(times) > cap:
            self.report_violation(
                now, Rule.CAP, f"more than {cap} messages within {window / 1000.0:g} s", planner, proxy
            )
