"""A planner under hand-made events, with what the proxies would hold as its updates arrive."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import replace
from typing import TypeVar

from stackwheel import interface as face
from stackwheel.interface import Availability
from stackwheel.policy.planner import Planner

ActionT = TypeVar("ActionT")

READ = face.RequestClass("read", 500.0, 1200.0, 1.0, "repeatable")
WRITE = face.RequestClass("write", 1000.0, 3000.0, 5.0, "once")
SETTINGS = face.Settings(
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


def server_id(number: int) -> face.ServerId:
    """The id of a server of a test; `server[3]` is its number below 256."""
    return face.ServerId(bytes([10, 0, number // 256, number % 256, 1, 1]))


def entry(
    number: int,
    zone: int = 0,
    availability: Availability = Availability.READY,
    started: float = 0.0,
    weight: float = 1.0,
    kind: int = 0,
) -> face.EndpointEntry:
    """A server as the endpoint list has it."""
    return face.EndpointEntry(server_id(number), zone, kind, 0, availability, weight, started)


class PolicyHarness:
    """Sends events to a planner, and applies its actions as proxies would.

    Attributes:
        tables: weights by table and server, as the proxies have them.
        levels: admission by table.
        bindings: by proxy and class, the number of its table.
        actions: all that the planner has decided.
    """

    def __init__(
        self,
        settings: face.Settings = SETTINGS,
        servers: Iterable[face.EndpointEntry] = (),
        proxies: Iterable[tuple[int, int]] = ((0, 0), (1, 1)),
        now: float = 100000.0,
        **changed: object,
    ) -> None:
        self.settings = replace(settings, **changed)  # type: ignore[arg-type]
        self.planner = Planner(self.settings, 7)
        self.now = now
        self.tables: dict[int, dict[face.ServerId, float]] = {}
        self.levels: dict[int, face.AdmissionLevel] = {}
        self.bindings: dict[int, dict[int, int]] = {}
        self.actions: list[face.Action] = []
        self.unacknowledged: list[face.Event] = []
        self.zones = dict(proxies)
        self.entries = {e.server: e for e in servers}
        self.send(face.EndpointUpdate(face.UpdateKind.CACHED, 1, tuple(self.entries.values())))
        self.send(*(face.ProxyJoined(p, z, 40.0, True) for p, z in self.zones.items()), wait=50.0)

    def send(self, *events: face.Event, wait: float = 0.0) -> list[face.Action]:
        """Let `wait` ms pass, then hand the planner a batch of events."""
        self.now += wait
        for event in events:
            if isinstance(event, face.ProxyLeft | face.ProxyJoined):
                self.bindings.pop(event.proxy, None)
        actions = list(self.planner.handle(self.now, events))
        for action in actions:
            self.apply(action)
        self.actions += actions
        self.unacknowledged += [
            face.Acknowledged(proxy, action.nonce, 100.0)
            for action in actions
            if isinstance(action, face.AttachNonce)
            for proxy in self.planner.channel.pending_lines
        ]
        return actions

    def acknowledgements(self) -> list[face.Event]:
        """What the proxies answer once all that was sent has arrived: each its own nonce."""
        acknowledged = self.unacknowledged
        self.unacknowledged = []
        return acknowledged

    def apply(self, action: face.Action) -> None:
        """Do to the tables what the proxies would."""
        match action:
            case face.SetWeight(table, server, weight):
                lines = self.tables.setdefault(table, {})
                lines[server] = weight
                if weight <= 0:
                    del lines[server]
            case face.ClearTable(table):
                self.tables.pop(table, None)
            case face.AssignTable(proxy, table, classes):
                self.bindings.setdefault(proxy, {}).update(dict.fromkeys(classes, table))
            case face.SetAdmission(table, _, level, retry):
                self.levels[table] = face.AdmissionLevel(level, retry)

    def shares(self, proxy: int, request_class: int = 0) -> dict[face.ServerId, float]:
        """The shares of a proxy's table for a class, by server."""
        lines = self.tables.get(self.bindings[proxy][request_class], {})
        total = sum(lines.values())
        return {server: weight / total for server, weight in lines.items()}

    def level(self, proxy: int, request_class: int = 0) -> face.AdmissionLevel:
        """A proxy's admission of a class."""
        return self.levels[self.bindings[proxy][request_class]]

    def update_endpoints(self, *entries: face.EndpointEntry) -> list[face.Action]:
        """Send changes of the endpoint list."""
        self.entries.update({e.server: e for e in entries})
        return self.send(face.EndpointUpdate(face.UpdateKind.DELTA, 2, entries), wait=10.0)

    def slot(
        self,
        attempts: int = 20,
        demand: int = 40,
        failures: dict[int, int] | None = None,
        latencies: dict[int, float] | None = None,
        utilization: dict[int, float] | None = None,
        mean_latency: float = 100.0,
        zones: Iterable[int] = (0, 1),
    ) -> list[face.Action]:
        """A second passes; what was sent has arrived, and the reports of every ready server come in."""
        ready = [e for e in self.entries.values() if e.availability is Availability.READY]
        reports = [
            face.LoadReport(
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
        usage = [
            face.DemandReport(p, c, demand, 0, 1000.0) for p in self.bindings for c in range(len(self.settings.classes))
        ]
        return self.send(*self.acknowledgements(), *reports, *usage, wait=1000.0)

    def slots(self, count: int, **how: object) -> None:
        """So many seconds, all alike."""
        for _ in range(count):
            self.slot(**how)  # type: ignore[arg-type]


def actions_of(actions: Iterable[face.Action], kind: type[ActionT]) -> list[ActionT]:
    """The actions of one type."""
    return [a for a in actions if isinstance(a, kind)]


def alternating_fleet(count: int = 6, **changed: object) -> PolicyHarness:
    """Servers alternate between the two zones."""
    return PolicyHarness(servers=[entry(n, n % 2) for n in range(count)], **changed)  # type: ignore[arg-type]


def load_reports(
    harness: PolicyHarness, attempts: int = 20, silent: Collection[int] = (), span: float = 1000.0
) -> list[face.Event]:
    """A load report of zone 0 for each server, but for those at some positions of the list."""
    return [
        face.LoadReport(0, e.server, attempts, 0, 100.0, span, (2.0,))
        for position, e in enumerate(harness.entries.values())
        if position not in silent
    ]


def joined_fleet(proxies: int = 200, servers: int = 48) -> PolicyHarness:
    """A planner whose channel cannot carry a table for each class to all, some time after they joined."""
    settings = replace(SETTINGS, zone_count=1, channel_rate=3000.0, queue_limit=9000.0, proxy_count=proxies)
    harness = PolicyHarness(settings, servers=[entry(n) for n in range(servers)], proxies=())
    harness.zones = dict.fromkeys(range(proxies), 0)
    harness.send(*(face.ProxyJoined(p, 0, 2.0, False) for p in harness.zones), wait=10.0)
    for _ in range(30):
        harness.send(
            *harness.acknowledgements(),
            *load_reports(harness),
            *(face.DemandReport(p, c, 2, 0, 1000.0) for p in harness.zones for c in (0, 1)),
            wait=1000.0,
        )
    return harness
