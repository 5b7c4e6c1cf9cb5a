"""State of a planner's file publisher, without I/O.

Converts updates of the planner actor to table updates for files, and status files to messages for the planner actor.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from stackwheel import interface
from stackwheel.files.file_builder import FileBuilder, PublisherSettings
from stackwheel.files.file_proxy import FileConnection, FileProxy, ServerNameLookup
from stackwheel.files.incarnations import next_incarnation
from stackwheel.files.records import Incarnation, ProxyStatus, Reservation, ServerObservation, TableUpdate
from stackwheel.settings import ConfiguredNames
from stackwheel.state.messages import PlannerMessage, StreamEnded, StreamMessage
from stackwheel.state.server_ids import server_id
from stackwheel.state.streams import ProxyStream
from stackwheel.state.table_updates import ProxyUpdate

STATUS_TIMEOUT_REPORT_INTERVALS = 6.0


class PublisherState:
    """State of the proxies that are served by files.

    Attributes:
        planner: name of this planner.
        names: names of the request classes, zones and load columns.
        proxy_count: number of configured proxies; proxy numbers are less than it.
        settings: settings of the publisher.
        server_name: looks up the name of a server.
        salt: salt of this planner's incarnations.
        file_builder: creates the table updates.
        proxies: proxies by number.
        rejected_count: number of status files with an unknown proxy or zone.
    """

    def __init__(
        self,
        planner: str,
        names: ConfiguredNames,
        proxy_count: int,
        settings: PublisherSettings,
        server_name: ServerNameLookup,
        salt: int,
    ) -> None:
        self.planner = planner
        self.names = names
        self.proxy_count = proxy_count
        self.settings = settings
        self.server_name = server_name
        self.salt = salt
        self.file_builder = FileBuilder(planner, settings)
        self.proxies: dict[int, FileProxy] = {}
        self.rejected_count = 0

    @property
    def incarnation(self) -> Incarnation | None:
        """The incarnation of this planner; None before the first one starts."""
        return self.file_builder.incarnation

    def start_incarnation(self, now: float, seen: Sequence[Incarnation]) -> Incarnation:
        """Start an incarnation later than all known ones; the first update of each target in it is complete."""
        incarnation = next_incarnation(now, self.salt, seen)
        self.file_builder.start_incarnation(incarnation)
        for proxy in self.proxies.values():
            proxy.reset_nonces()
        return incarnation

    def apply_update(self, update: ProxyUpdate) -> bool:
        """Apply an update of the planner to a proxy's content; returns False if the proxy is not served by files."""
        proxy = self.proxies.get(update.proxy)
        if proxy is None:
            return False
        proxy.apply(update, self.names, self.server_name)
        return True

    def reserve(self, reservation: Reservation, now: float) -> bool:
        """Include a reservation in all updates until it expires; returns False if there are too many reservations."""
        return self.file_builder.reserve(reservation, now)

    def due_updates(self, now: float) -> Iterator[TableUpdate]:
        """Create the updates that are due."""
        return self.file_builder.due_updates(self.proxies.values(), now)

    def receive_status(self, status: ProxyStatus, now: float) -> Iterator[PlannerMessage]:
        """Convert a status to messages for the planner actor; yields none if it is outdated or invalid."""
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
        yield StreamMessage(proxy.proxy, None, proxy.connection)  # resets the stream's timeout
        if status.planner == self.planner:
            yield from self._acknowledgements(proxy, status, now)
        yield from self._report_messages(proxy, status)

    def expire_silent(self, now: float) -> Iterator[PlannerMessage]:
        """Remove the proxies whose status files have stopped, and yield the end of their streams."""
        active_since = now - STATUS_TIMEOUT_REPORT_INTERVALS * self.settings.report_interval
        for proxy in [proxy for proxy in self.proxies.values() if proxy.last_received_at < active_since]:
            del self.proxies[proxy.proxy]
            self.file_builder.forget_proxy(proxy.zone, proxy.proxy)
            yield StreamEnded(proxy.proxy, proxy.connection)

    def _acknowledgements(self, proxy: FileProxy, status: ProxyStatus, now: float) -> Iterator[PlannerMessage]:
        """Yield the acknowledgement of this planner's updates; starts a new incarnation if a later one exists."""
        if status.planner_incarnation == self.incarnation:
            nonce = proxy.acknowledge(status.applied_sequence)
            if nonce is not None:
                event = interface.Acknowledged(proxy.proxy, nonce, status.apply_delay)
                yield StreamMessage(proxy.proxy, event, proxy.connection)
        elif (
            status.planner_incarnation is not None
            and self.incarnation is not None
            and status.planner_incarnation > self.incarnation
        ):  # the clock was stepped back, so that the current incarnation compares less than an earlier one
            self.start_incarnation(now, [status.planner_incarnation])

    def _report_messages(self, proxy: FileProxy, status: ProxyStatus) -> Iterator[PlannerMessage]:
        if status.window <= 0:
            return
        for demand in status.demand:
            if demand.request_class in self.names.classes:
                number = self.names.classes.index(demand.request_class)
                report = interface.DemandReport(proxy.proxy, number, demand.requests, demand.unanswered, status.window)
                yield StreamMessage(proxy.proxy, report, proxy.connection)
        zone = self.names.zones.index(proxy.zone)
        for observation in status.observations:
            load_report = self._load_report(zone, observation, status.window)
            if load_report is not None:
                yield load_report

    def _load_report(self, zone: int, observation: ServerObservation, window: float) -> interface.LoadReport | None:
        """Convert an observation; returns None if the server is unknown or the counts contradict each other."""
        server = server_id(observation.server)
        if self.server_name(server) is None or observation.failures > observation.attempts:
            return None
        load: tuple[float, ...] = ()
        if observation.load:
            load = tuple(observation.load.get(column, float("nan")) for column in self.names.columns)
        return interface.LoadReport(
            zone, server, observation.attempts, observation.failures, observation.mean_latency, window, load
        )
