"""The five rules, checked as each event comes: what an event may break is looked at, and nothing else.

Times are ms. A limit that runs out while nothing happens stands in a heap, so that a step of time costs one
comparison. Whoever feeds the checker says what the world knows, not what a planner believes.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass, field

from stackwheel.interface import Availability, RequestClass
from stackwheel.rules.violations import AFTER_READY, Limits, Rule, Violation

TRAIL = 12  # last events told with a verdict
RECENT = 400  # events remembered at all
VERDICTS_MOST = 100  # of one run; more say nothing new
WINDOW_MARGIN = 1.0  # ms: a message at the very end of the cap's window has left it
PROMPT_WITHIN = 1.0  # ms from the end of the last try to the answer


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """A server as a planner has been told of it."""

    availability: Availability
    zone: int
    kind: int
    warm_at: float
    started: float = 0.0  # when its process did; 0: long ago


@dataclass(slots=True)
class PlannerView:
    """What binds one planner in this life: what it was told, and since when its limits run."""

    ready_at: float
    holds_from: float  # no limit runs before
    listed: dict[str, ListedEndpoint] = field(default_factory=dict)
    away: dict[str, float] = field(default_factory=dict)  # told that it drains or is gone, and when
    started: dict[str, float] = field(default_factory=dict)  # of the process told of last
    since: dict[str, float] = field(default_factory=dict)  # of a listed server: when its start was told
    able: dict[tuple[int, int], float] = field(default_factory=dict)  # zone and class: a warm server since
    written: dict[int, deque[float]] = field(default_factory=dict)  # messages to a proxy within the window

    def superseded(self, server: str, listed: ListedEndpoint) -> bool:
        """Whether a word of an older generation says nothing any more: it is of a process that a later one has
        followed under the same name, or has one ready that was told to drain or to be gone since."""
        latest = self.started.get(server, listed.started)
        if listed.started != latest:
            return listed.started < latest
        return listed.availability is Availability.READY and server in self.away


@dataclass(slots=True)
class ProxyState:
    zone: int
    planner: int | None = None
    joined_at: float = 0.0
    holds_from: float = 0.0  # no limit runs before: it stands still
    bare: dict[int, float] = field(default_factory=dict)  # class: without a line since


class Checker:
    """Fed with events in order of time; `verdicts` holds what they broke, one for each rule and subject."""

    def __init__(self, limits: Limits, classes: tuple[RequestClass, ...], zones: int) -> None:
        self.limits, self.classes, self.zones = limits, classes, zones
        self.planners: dict[int, PlannerView] = {}
        self.proxies: dict[int, ProxyState] = {}
        self.due: list[tuple[float, int, int, int]] = []  # when, kind, proxy or planner, class
        self.effects: dict[int, list[tuple[int, float]]] = {}  # request: groups that it had an effect in
        self.over: dict[str, float] = {}  # cold server: sent too much since
        self.verdicts: list[Violation] = []
        self.told: set[tuple[object, ...]] = set()
        self.recent: deque[tuple[float, str, tuple[object, ...]]] = deque(maxlen=RECENT)
        self.checks = 0

    # what is remembered for the trail

    def note(self, now: float, what: str, *about: object) -> None:
        self.recent.append((now, what, about))

    def break_rule(
        self,
        now: float,
        rule: Rule,
        detail: str,
        planner: int | None = None,
        proxy: int | None = None,
        server: str | None = None,
    ) -> None:
        key = (rule, planner, proxy, server)
        if key in self.told or len(self.verdicts) >= VERDICTS_MOST:
            return
        self.told.add(key)
        concerned = {f"planner-{planner}", f"proxy-{proxy}", server} - {None, "planner-None", "proxy-None"}
        trail = [
            f"{at / 1000.0:.3f} s {what} {' '.join(map(str, about))}".rstrip()
            for at, what, about in self.recent
            if not concerned or concerned & set(about) or not about
        ]
        self.verdicts.append(Violation(now, rule, planner, proxy, server, detail, tuple(trail[-TRAIL:])))

    # planners

    def planner_ready(self, planner: int, now: float) -> None:
        """It has answered for the first time in this life; what a killed one held is no duty of it."""
        self.planners[planner] = PlannerView(now, now + AFTER_READY)
        self.note(now, "ready", f"planner-{planner}")

    def planner_gone(self, planner: int, now: float) -> None:
        self.planners.pop(planner, None)
        for proxy, state in self.proxies.items():
            if state.planner == planner:
                self.left(proxy, now)
        self.note(now, "gone", f"planner-{planner}")

    def hold_off(self, planner: int, until: float) -> None:
        """No limit runs before that time: after a reload, or while it stands still."""
        if planner in self.planners:
            view = self.planners[planner]
            view.holds_from = max(view.holds_from, until)
            self.look_again(planner)

    def hold_off_proxy(self, proxy: int, until: float) -> None:
        """A forwarder that stands still does nothing, and so breaks nothing."""
        state = self.proxies[proxy]
        state.holds_from = max(state.holds_from, until)
        for place in state.bare:
            self.watch(proxy, state, place)

    def tell(self, planner: int, now: float, server: str, listed: ListedEndpoint) -> None:
        """Discovery has told a planner of a server, and nothing newer before."""
        view = self.planners.get(planner)
        if view is None:
            return
        self.note(now, f"told {listed.availability.name}", f"planner-{planner}", server)
        view.started[server] = listed.started
        known = view.listed.get(server)
        if listed.availability is Availability.REMOVED:
            view.listed.pop(server, None)
            view.since.pop(server, None)
            if known is not None and not self.limits.removal_is_advisory:
                view.away.setdefault(server, now)
        else:
            if known is None or known.warm_at != listed.warm_at:
                view.since[server] = now
            view.listed[server] = listed
            if listed.availability is Availability.DRAINING:
                view.away.setdefault(server, now)
            else:
                view.away.pop(server, None)
                if listed.warm_at > now:
                    heapq.heappush(self.due, (listed.warm_at, 1, planner, 0))
        self.refresh(planner, now)

    def refresh(self, planner: int, now: float) -> None:
        """Which zones and classes have a warm server listed, and since when without a break."""
        view = self.planners[planner]
        warm = [s for s in view.listed.values() if s.availability is Availability.READY and s.warm_at <= now]
        able: dict[tuple[int, int], float] = {}
        for place, wanted in enumerate(self.classes):
            fit = [
                s
                for s in warm
                if (not wanted.allowed_zones or s.zone in wanted.allowed_zones)
                and (not wanted.allowed_kinds or s.kind in wanted.allowed_kinds)
            ]
            for zone in range(self.zones):
                if any(s.zone == zone for s in fit) if wanted.zone_local else fit:
                    able[zone, place] = view.able.get((zone, place), now)
        grown = able.keys() - view.able.keys()
        view.able = able
        if grown:
            self.look_again(planner)

    def look_again(self, planner: int) -> None:
        for proxy, state in self.proxies.items():
            if state.planner == planner:
                for place in state.bare:
                    self.watch(proxy, state, place)

    # proxies

    def proxy_comes(self, proxy: int, zone: int) -> None:
        self.proxies[proxy] = ProxyState(zone)

    def joined(self, proxy: int, planner: int, now: float) -> None:
        state = self.proxies[proxy]
        state.planner, state.joined_at = planner, now
        self.note(now, "joined", f"proxy-{proxy}", f"planner-{planner}")
        for place in state.bare:
            self.watch(proxy, state, place)

    def left(self, proxy: int, now: float) -> None:
        state = self.proxies[proxy]
        if state.planner is not None:
            self.note(now, "left", f"proxy-{proxy}", f"planner-{state.planner}")
        state.planner = None

    def lines(self, proxy: int, place: int, some: bool, now: float) -> None:
        """Whether it has a line to pick for a class."""
        state = self.proxies[proxy]
        if some:
            state.bare.pop(place, None)
        elif place not in state.bare:
            state.bare[place] = now
            self.watch(proxy, state, place)

    def bare_until(self, state: ProxyState, place: int) -> float:
        """When the limit on a class without a line runs out; never while no limit runs."""
        view = self.planners.get(state.planner) if state.planner is not None else None
        since = state.bare.get(place)
        able = view.able.get((state.zone, place)) if view is not None else None
        if view is None or since is None or able is None:
            return math.inf
        return max(since, able, state.joined_at, view.holds_from, state.holds_from) + self.limits.unserved

    def watch(self, proxy: int, state: ProxyState, place: int) -> None:
        until = self.bare_until(state, place)
        if until < math.inf:
            heapq.heappush(self.due, (until, 0, proxy, place))

    def advance(self, now: float) -> None:
        """Time has moved: limits that ran out are looked at."""
        due = self.due
        while due and due[0][0] <= now:
            _, kind, subject, place = heapq.heappop(due)
            self.checks += 1
            if kind == 1:
                if subject in self.planners:
                    self.refresh(subject, now)
            elif subject in self.proxies:
                state = self.proxies[subject]
                until = self.bare_until(state, place)
                if until <= now:
                    self.break_rule(
                        now,
                        Rule.SERVED,
                        f"no line for class {place} since {state.bare[place] / 1000.0:.3f} s",
                        state.planner,
                        subject,
                    )
                elif until < math.inf:
                    heapq.heappush(due, (until, 0, subject, place))

    # requests

    def sent(self, proxy: int, server: str, now: float) -> None:
        """A try has left a proxy for a server."""
        state = self.proxies[proxy]
        view = self.planners.get(state.planner) if state.planner is not None else None
        if view is None or server not in view.away:
            return
        self.checks += 1
        since = max(view.away[server], state.joined_at, view.holds_from, state.holds_from)
        if now > since + self.limits.drain:
            self.break_rule(
                now, Rule.DRAINS, f"sent {(now - since) / 1000.0:.2f} s after it was told", state.planner, proxy, server
            )

    def effect(self, request: int, place: int, group: int, proxy: int, server: str, now: float) -> None:
        """A request has had its effect; `group`: the servers that drop its repeats among themselves."""
        done = self.effects.get(request)
        if done is None:
            self.effects[request] = [(group, now)]
            return
        wanted = self.classes[place]
        if wanted.idempotency == "repeatable":
            return
        self.checks += 1
        done.append((group, now))
        self.break_rule(
            now,
            Rule.ONCE,
            f"request {request} of class {place} took effect {len(done)} times",
            self.proxies[proxy].planner,
            proxy,
            server,
        )

    def forget_request(self, request: int) -> None:
        """Nothing of it can run any more."""
        self.effects.pop(request, None)

    def answered(self, request: int, proxy: int, decided: float, now: float) -> None:
        """A final answer went out; `decided`: when it could have."""
        state = self.proxies[proxy]
        if now - max(decided, state.holds_from) > PROMPT_WITHIN:
            self.break_rule(
                now,
                Rule.PROMPT,
                f"request {request} answered {now - decided:.0f} ms after its end",
                state.planner,
                proxy,
            )

    # servers

    def cold_load(self, server: str, load: float, bears: float, now: float) -> None:
        """What all joined proxies together send to a cold server, and what it can do, in the same unit."""
        self.checks += 1
        if load <= self.limits.overload_multiple * bears:
            self.over.pop(server, None)
            return
        since = self.over.setdefault(server, now)
        if now - since >= self.limits.overload:
            self.break_rule(
                now,
                Rule.COLD,
                f"sent {load / max(1e-9, bears):.1f} times what it can do for {(now - since) / 1000.0:.1f} s",
                server=server,
            )

    def server_warm(self, server: str) -> None:
        self.over.pop(server, None)

    # the channel

    def queued(self, planner: int, lines: float, now: float) -> None:
        self.checks += 1
        if self.limits.backlog and lines > self.limits.backlog:
            self.break_rule(now, Rule.QUEUE, f"{lines:.0f} lines wait, {self.limits.backlog:.0f} may", planner)

    def wrote(self, planner: int, proxy: int, now: float) -> None:
        """A planner has written a message to a proxy."""
        view = self.planners.get(planner)
        if view is None or not self.limits.cap:
            return
        self.checks += 1
        times = view.written.setdefault(proxy, deque(maxlen=self.limits.cap + 1))
        times.append(now)
        while now - times[0] >= self.limits.cap_window - WINDOW_MARGIN:
            times.popleft()
        if len(times) > self.limits.cap:
            self.break_rule(
                now,
                Rule.CAP,
                f"over {self.limits.cap} messages within {self.limits.cap_window / 1000.0:g} s",
                planner,
                proxy,
            )
