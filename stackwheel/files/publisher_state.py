"""A planner's side of table files: which proxies read them, what each was sent, what their status files mean. No I/O.

Updates of the planner actor become table files, status files become items for its mailbox.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from stackwheel import interface as face
from stackwheel.files.file_builder import FileBuilder, PublisherSettings
from stackwheel.files.file_proxy import FileConnection, FileProxy, NameOf
from stackwheel.files.incarnations import next_incarnation
from stackwheel.files.records import Incarnation, ProxyStatus, Reservation, ServerObservation, TableUpdate
from stackwheel.settings import ConfiguredNames
from stackwheel.state.messages import PlannerMessage, StreamEnded, StreamMessage
from stackwheel.state.server_ids import server_id
from stackwheel.state.streams import ProxyStream
from stackwheel.state.table_updates import ProxyUpdate

SILENT_REPORT_INTERVALS = 6.0  # without a status file, after which a proxy counts as departed


class PublisherState:
    """The proxies that are served by files.

    Attributes:
        planner: name of this planner.
        names: of classes, zones and load columns.
        proxy_count: proxies are numbered below it.
        settings: of files.
        name_of: names of servers.
        salt: of this planner's incarnations.
        files: makes the table files.
        proxies: by number.
        rejected_count: status files of proxies or zones that do not exist.
    """

    def __init__(
        self,
        planner: str,
        names: ConfiguredNames,
        proxy_count: int,
        settings: PublisherSettings,
        name_of: NameOf,
        salt: int,
    ) -> None:
        self.planner = planner
        self.names = names
        self.proxy_count = proxy_count
        self.settings = settings
        self.name_of = name_of
        self.salt = salt
        self.files = FileBuilder(planner, settings)
        self.proxies: dict[int, FileProxy] = {}
        self.rejected_count = 0

    @property
    def incarnation(self) -> Incarnation | None:
        """Of this planner, once it has started."""
        return self.files.incarnation

    def start_incarnation(self, now: float, seen: Sequence[Incarnation]) -> Incarnation:
        """Begin an incarnation above all that are known of this planner's name; all files are complete again."""
        incarnation = next_incarnation(now, self.salt, seen)
        self.files.start_incarnation(incarnation)
        for proxy in self.proxies.values():
            proxy.reset_nonces()
        return incarnation

    def apply_update(self, update: ProxyUpdate) -> bool:
        """Bring a proxy's content to what an update says; False if it is not served by files."""
        proxy = self.proxies.get(update.proxy)
        if proxy is None:
            return False
        proxy.apply(update, self.names, self.name_of)
        return True

    def reserve(self, reservation: Reservation, now: float) -> bool:
        """Send a reservation along with every file until it expires; False if there are too many."""
        return self.files.reserve(reservation, now)

    def due_updates(self, now: float) -> Iterator[TableUpdate]:
        """The files that have to be written now."""
        return self.files.due_updates(self.proxies.values(), now)

    def receive_status(self, status: ProxyStatus, now: float) -> Iterator[PlannerMessage]:
        """What a status file means for the planner actor; nothing if it is not new or can't be right."""
        if status.proxy >= self.proxy_count or status.zone not in self.names.zones:
            self.rejected_count += 1
            return
        proxy = self.proxies.get(status.proxy)
        if proxy is not None and (status.proxy_incarnation, status.sequence) <= (proxy.incarnation, proxy.sequence):
            return
        if proxy is None or status.proxy_incarnation != proxy.incarnation:
            connection = FileConnection(status.proxy)
            proxy = FileProxy(
                status.proxy, status.zone, connection, status.proxy_incarnation, status.sequence, last_received_at=now
            )
            self.proxies[status.proxy] = proxy
            zone = self.names.zones.index(status.zone)
            yield ProxyStream(status.proxy, zone, status.expected_rate, status.newly_started, connection)
        proxy.sequence = status.sequence
        proxy.last_received_at = now
        yield StreamMessage(proxy.proxy, None, proxy.connection)  # the proxy is alive
        if status.planner == self.planner:
            yield from self._acknowledged(proxy, status, now)
        yield from self._reports(proxy, status)

    def expire_silent(self, now: float) -> Iterator[PlannerMessage]:
        """Proxies that have written no status for long count as departed and are forgotten."""
        oldest = now - SILENT_REPORT_INTERVALS * self.settings.report_interval
        for proxy in [proxy for proxy in self.proxies.values() if proxy.last_received_at < oldest]:
            del self.proxies[proxy.proxy]
            self.files.forget_proxy(proxy.zone, proxy.proxy)
            yield StreamEnded(proxy.proxy, proxy.connection)

    def _acknowledged(self, proxy: FileProxy, status: ProxyStatus, now: float) -> Iterator[PlannerMessage]:
        """What a status says about this planner's own files."""
        if status.planner_incarnation == self.incarnation:
            nonce = proxy.acknowledge(status.applied_sequence)
            if nonce is not None:
                event = face.Acknowledged(proxy.proxy, nonce, status.apply_delay)
                yield StreamMessage(proxy.proxy, event, proxy.connection)
        elif (
            status.planner_incarnation is not None
            and self.incarnation is not None
            and status.planner_incarnation > self.incarnation
        ):  # the clock was stepped back: an earlier incarnation of this planner counts as later than the present one
            self.start_incarnation(now, [status.planner_incarnation])

    def _reports(self, proxy: FileProxy, status: ProxyStatus) -> Iterator[PlannerMessage]:
        if status.window <= 0:
            return
        for demand in status.demand:
            if demand.request_class in self.names.classes:
                number = self.names.classes.index(demand.request_class)
                report = face.DemandReport(proxy.proxy, number, demand.requests, demand.unanswered, status.window)
                yield StreamMessage(proxy.proxy, report, proxy.connection)
        zone = self.names.zones.index(proxy.zone)
        for observation in status.observations:
            load_report = self._load_report(zone, observation, status.window)
            if load_report is not None:
                yield load_report

    def _load_report(self, zone: int, observation: ServerObservation, window: float) -> face.LoadReport | None:
        """None for a server that is not known, or where the counts contradict each other."""
        server = server_id(observation.server)
        if self.name_of(server) is None or observation.failures > observation.attempts:
            return None
        load: tuple[float, ...] = ()
        if observation.load:
            load = tuple(observation.load.get(column, float("nan")) for column in self.names.columns)
        return face.LoadReport(
            zone, server, observation.attempts, observation.failures, observation.mean_latency, window, load
        )
