"""A planner on a desk: hand-made events in, and what the proxies would hold as its orders arrive."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from stackwheel import interface as face
from stackwheel.policy.planner import Planner

READ = face.RequestClass("read", 500.0, 1200.0, 1.0, "repeatable")
WRITE = face.RequestClass("write", 1000.0, 3000.0, 5.0, "once")
SETTINGS = face.Settings(
    zones=2,
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


def name(number: int) -> face.Server:
    return face.Server(bytes([10, 0, 0, number, 1, 1]))


def entry(
    number: int,
    zone: int = 0,
    state: face.Availability = face.Availability.READY,
    started: float = 0.0,
    size: float = 1.0,
    kind: int = 0,
) -> face.EndpointEntry:
    return face.EndpointEntry(name(number), zone, kind, 0, state, size, started)


class PolicyHarness:
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
        self.tables: dict[int, dict[face.Server, float]] = {}
        self.levels: dict[int, face.AdmissionLevel] = {}
        self.bound: dict[int, dict[int, int]] = {}
        self.actions: list[face.Action] = []
        self.owed: list[face.Event] = []  # acknowledgements of what went out since `arrived`
        self.zones = dict(proxies)
        self.entries = {e.server: e for e in servers}
        self.send(face.EndpointUpdate(face.UpdateKind.CACHED, 1, tuple(self.entries.values())))
        self.send(*(face.ProxyJoined(p, z, 40.0, True) for p, z in self.zones.items()), wait=50.0)

    def send(self, *events: face.Event, wait: float = 0.0) -> list[face.Action]:
        self.now += wait
        for event in events:
            if isinstance(event, face.ProxyLeft | face.ProxyJoined):
                self.bound.pop(event.proxy, None)
        actions = list(self.planner.handle(self.now, events))
        for action in actions:
            self.apply(action)
        self.actions += actions
        self.owed += [
            face.Acknowledged(proxy, action.nonce, 100.0)
            for action in actions
            if isinstance(action, face.AttachNonce)
            for proxy in self.planner.outbox.pending_lines
        ]
        return actions

    def arrived(self) -> list[face.Event]:
        """What the proxies answer once all that was sent has come: each its own mark."""
        owed, self.owed = self.owed, []
        return owed

    def apply(self, action: face.Action) -> None:
        match action:
            case face.SetWeight(table, server, weight):
                lines = self.tables.setdefault(table, {})
                lines[server] = weight
                if weight <= 0:
                    del lines[server]
            case face.ClearTable(table):
                self.tables.pop(table, None)
            case face.AssignTable(proxy, table, classes):
                self.bound.setdefault(proxy, {}).update(dict.fromkeys(classes, table))
            case face.SetAdmission(table, _, level, retry):
                self.levels[table] = face.AdmissionLevel(level, retry)

    def table(self, proxy: int, place: int = 0) -> dict[face.Server, float]:
        """The shares of a proxy's table for a class, by server."""
        lines = self.tables.get(self.bound[proxy][place], {})
        total = sum(lines.values())
        return {server: weight / total for server, weight in lines.items()}

    def level(self, proxy: int, place: int = 0) -> face.AdmissionLevel:
        return self.levels[self.bound[proxy][place]]

    def listed(self, *entries: face.EndpointEntry) -> list[face.Action]:
        self.entries.update({e.server: e for e in entries})
        return self.send(face.EndpointUpdate(face.UpdateKind.DELTA, 2, entries), wait=10.0)

    def slot(
        self,
        tries: int = 20,
        demand: int = 40,
        bad: dict[int, int] | None = None,
        slow: dict[int, float] | None = None,
        use: dict[int, float] | None = None,
        mean: float = 100.0,
        zones: Iterable[int] = (0, 1),
    ) -> list[face.Action]:
        """A second passes; what was sent has arrived, and the reports of every ready server come in."""
        ready = [e for e in self.entries.values() if e.availability is face.Availability.READY]
        reports: list[face.Event] = []
        for e in ready:
            number = e.server[3]
            for zone in zones:
                reports.append(
                    face.LoadReport(
                        zone,
                        e.server,
                        tries,
                        (bad or {}).get(number, 0),
                        (slow or {}).get(number, mean),
                        1000.0,
                        ((use or {}).get(number, 0.5),),
                    )
                )
        usage = [
            face.DemandReport(p, c, demand, 0, 1000.0) for p in self.bound for c in range(len(self.settings.classes))
        ]
        return self.send(*self.arrived(), *reports, *usage, wait=1000.0)

    def slots(self, count: int, **how: object) -> None:
        for _ in range(count):
            self.slot(**how)  # type: ignore[arg-type]


def only(actions: Iterable[face.Action], kind: type) -> list[face.Action]:
    return [a for a in actions if isinstance(a, kind)]
