"""A harness for the policy: sends events to a planner and applies its actions to simulated proxies."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import replace
from typing import TypeVar

from stackwheel import interface
from stackwheel.interface import Availability
from stackwheel.policy.planner import Planner

ActionT = TypeVar("ActionT")

READ = interface.RequestClass("read", 500.0, 1200.0, 1.0, "repeatable")
WRITE = interface.RequestClass("write", 1000.0, 3000.0, 5.0, "once")
SETTINGS = interface.Settings(
    zone_count=2,
    classes=(READ, WRITE),
    load_columns=("utilization",),
    cross_zone_cost=0.1,
    proxy_count=4,
    message_overhead=4.0,
    channel_rate=3000.0,
    queue_limit=6000.0,
    message_cap=0,
    slow_start_min_share=0.2,
    slow_start_duration=10000.0,
    overload_multiple=3.0,
    drain_grace=3000.0,
    admission_mode="share",
)


def server_id(number: int) -> interface.ServerId:
    """Return the id of a test server; byte 3 of the id is its number, if it is below 256."""
    return interface.ServerId(bytes([10, 0, number // 256, number % 256, 1, 1]))


def entry(
    number: int,
    zone: int = 0,
    availability: Availability = Availability.READY,
    started_at: float = 0.0,
    weight: float = 1.0,
    kind: int = 0,
) -> interface.EndpointEntry:
    """Create an entry of the endpoint list."""
    return interface.EndpointEntry(server_id(number), zone, kind, 0, availability, weight, started_at)


class PolicyHarness:
    """Sends events to a planner, and applies its actions as proxies would.

    Attributes:
        settings: settings of the planner.
        planner: the planner.
        now: current time, ms.
        tables: weights by table and server.
        levels: admission levels by table.
        assignments: numbers of the assigned tables by proxy and request class.
        actions: all actions of the planner so far.
        unacknowledged: acknowledgements that the proxies have not sent yet.
        zone_by_proxy: zones of the proxies.
        entries: entries of the endpoint list by server.
    """

    def __init__(
        self,
        settings: interface.Settings = SETTINGS,
        servers: Iterable[interface.EndpointEntry] = (),
        proxies: Iterable[tuple[int, int]] = ((0, 0), (1, 1)),
        now: float = 100000.0,
        **overrides: object,
    ) -> None:
        self.settings = replace(settings, **overrides)  # type: ignore[arg-type]
        self.planner = Planner(self.settings, 7)
        self.now = now
        self.tables: dict[int, dict[interface.ServerId, float]] = {}
        self.levels: dict[int, interface.AdmissionLevel] = {}
        self.assignments: dict[int, dict[int, int]] = {}
        self.actions: list[interface.Action] = []
        self.unacknowledged: list[interface.Event] = []
        self.zone_by_proxy = dict(proxies)
        self.entries = {e.server: e for e in servers}
        self.send(interface.EndpointUpdate(interface.UpdateKind.CACHED, 1, tuple(self.entries.values())))
        self.send(*(interface.ProxyJoined(p, z, 40.0, True) for p, z in self.zone_by_proxy.items()), wait_ms=50.0)

    def send(self, *events: interface.Event, wait_ms: float = 0.0) -> list[interface.Action]:
        """Send the planner a batch of events after `wait_ms`, and return its actions."""
        self.now += wait_ms
        for event in events:
            if isinstance(event, interface.ProxyLeft | interface.ProxyJoined):
                self.assignments.pop(event.proxy, None)
        actions = list(self.planner.handle(self.now, events))
        for action in actions:
            self.apply(action)
        self.actions += actions
        self.unacknowledged += [
            interface.Acknowledged(proxy, action.nonce, 100.0)
            for action in actions
            if isinstance(action, interface.AttachNonce)
            for proxy in self.planner.channel.pending_lines
        ]
        return actions

    def acknowledgements(self) -> list[interface.Event]:
        """Return and clear the acknowledgements of all updates that the proxies were sent."""
        acknowledged = self.unacknowledged
        self.unacknowledged = []
        return acknowledged

    def apply(self, action: interface.Action) -> None:
        """Apply an action to the tables, admission levels and assignments."""
        match action:
            case interface.SetWeight(table, server, weight):
                lines = self.tables.setdefault(table, {})
                lines[server] = weight
                if weight <= 0:
                    del lines[server]
            case interface.ClearTable(table):
                self.tables.pop(table, None)
            case interface.AssignTable(proxy, table, classes):
                self.assignments.setdefault(proxy, {}).update(dict.fromkeys(classes, table))
            case interface.SetAdmission(table, _, level, retry):
                self.levels[table] = interface.AdmissionLevel(level, retry)

    def shares(self, proxy: int, request_class: int = 0) -> dict[interface.ServerId, float]:
        """Return the shares of a proxy's table for a class, by server."""
        lines = self.tables.get(self.assignments[proxy][request_class], {})
        total = sum(lines.values())
        return {server: weight / total for server, weight in lines.items()}

    def level(self, proxy: int, request_class: int = 0) -> interface.AdmissionLevel:
        """Return the admission level of a proxy for a class."""
        return self.levels[self.assignments[proxy][request_class]]

    def update_endpoints(self, *entries: interface.EndpointEntry) -> list[interface.Action]:
        """Send the planner changes of the endpoint list."""
        self.entries.update({e.server: e for e in entries})
        return self.send(interface.EndpointUpdate(interface.UpdateKind.DELTA, 2, entries), wait_ms=10.0)

    def run_slot(
        self,
        attempts: int = 20,
        demand: int = 40,
        failures: dict[int, int] | None = None,
        latencies: dict[int, float] | None = None,
        utilization: dict[int, float] | None = None,
        mean_latency: float = 100.0,
        zones: Iterable[int] = (0, 1),
    ) -> list[interface.Action]:
        """Send acknowledgements, load reports of all ready servers and demand reports after one second.

        Args:
            attempts: number of attempts in each load report.
            demand: number of requests in each demand report.
            failures: number of failed attempts by server number; 0 by default.
            latencies: mean latency by server number, ms; `mean_latency` by default.
            utilization: reported utilization by server number; 0.5 by default.
            mean_latency: mean latency of the other servers, ms.
            zones: zones whose proxies send load reports.
        """
        ready = [e for e in self.entries.values() if e.availability is Availability.READY]
        reports = [
            interface.LoadReport(
                zone,
                e.server,
                attempts,
                (failures or {}).get(e.server[3], 0),
                (latencies or {}).get(e.server[3], mean_latency),
                1000.0,
                ((utilization or {}).get(e.server[3], 0.5),),
            )
            for e in ready
            for zone in zones
        ]
        demand_reports = [
            interface.DemandReport(p, c, demand, 0, 1000.0)
            for p in self.assignments
            for c in range(len(self.settings.classes))
        ]
        return self.send(*self.acknowledgements(), *reports, *demand_reports, wait_ms=1000.0)

    def run_slots(self, count: int, **arguments: object) -> None:
        """Run several slots with the same arguments of `run_slot`."""
        for _ in range(count):
            self.run_slot(**arguments)  # type: ignore[arg-type]


def actions_of_type(actions: Iterable[interface.Action], kind: type[ActionT]) -> list[ActionT]:
    """Return the actions of one type."""
    return [a for a in actions if isinstance(a, kind)]


def two_zone_harness(count: int = 6, **overrides: object) -> PolicyHarness:
    """Create a harness whose servers alternate between two zones."""
    return PolicyHarness(servers=[entry(n, n % 2) for n in range(count)], **overrides)  # type: ignore[arg-type]


def load_reports(
    harness: PolicyHarness, attempts: int = 20, excluded_indexes: Collection[int] = (), window: float = 1000.0
) -> list[interface.Event]:
    """Create load reports of zone 0 for all servers except those at some indexes of the endpoint list."""
    return [
        interface.LoadReport(0, e.server, attempts, 0, 100.0, window, (2.0,))
        for index, e in enumerate(harness.entries.values())
        if index not in excluded_indexes
    ]


def slow_channel_harness(proxies: int = 200, servers: int = 48) -> PolicyHarness:
    """Create a harness whose channel is too slow for one table per class, and run it until all proxies have tables."""
    settings = replace(SETTINGS, zone_count=1, channel_rate=3000.0, queue_limit=9000.0, proxy_count=proxies)
    harness = PolicyHarness(settings, servers=[entry(n) for n in range(servers)], proxies=())
    harness.zone_by_proxy = dict.fromkeys(range(proxies), 0)
    harness.send(*(interface.ProxyJoined(p, 0, 2.0, False) for p in harness.zone_by_proxy), wait_ms=10.0)
    for _ in range(30):
        harness.send(
            *harness.acknowledgements(),
            *load_reports(harness),
            *(interface.DemandReport(p, c, 2, 0, 1000.0) for p in harness.zone_by_proxy for c in (0, 1)),
            wait_ms=1000.0,
        )
    return harness
