"""One simulated deployment: all its parts, put together as a script's shape describes it."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from stackwheel.service.ports import PlannerContext, ProxyTransport
from stackwheel.trials.channel import UpdateChannels
from stackwheel.trials.collectors import Collector
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.discovery import Discovery
from stackwheel.trials.discovery_records import ServerRecord, list_document
from stackwheel.trials.file_exchange import FileExchange
from stackwheel.trials.fleet import ServerFleet
from stackwheel.trials.loop import Machine
from stackwheel.trials.monitor import BOUNDS_INTERVAL_S, Monitor
from stackwheel.trials.notifications import Notifications, listed_endpoint
from stackwheel.trials.planner_config import GOSSIP_PORT, MULTICAST_HOST
from stackwheel.trials.planners import PlannerHost
from stackwheel.trials.proxies import Proxy, ProxyParts
from stackwheel.trials.relays import RelayGroup
from stackwheel.trials.reports import ReportPath
from stackwheel.trials.requests import Attempts, Clients
from stackwheel.trials.script import Script
from stackwheel.trials.shape import zone_of
from stackwheel.trials.warmup_monitor import CHECK_INTERVAL_S as WARMUP_CHECK_S
from stackwheel.trials.warmup_monitor import WarmupMonitor

CLIENT_HOST = "10.8.0.1"
DISCOVERY_ADDRESS = ("10.2.0.1", 8500)
PROXIES_PER_SUBNET = 250
FIRST_REPORT_S = 1.0  # of the first planner's collectors
REPORT_STAGGER_S = 0.1  # between the collectors of one planner and the next
COLLECTOR_START_S = 0.1
PROXY_START_S = 0.05
PROXY_START_SPREAD_S = 0.5
FIRST_REQUEST_S = 1.0


class World:
    """The parts of a simulation, and what concerns several of them.

    It is built, not run: see `simulation.run_world`.

    Attributes:
        loop, network, checker: Of the context, for short.
        client_machine: Where clients that belong to nobody run.
        relays: Between discovery and planners, if the shape has any.
        files: The exchange by files, if the shape has it.
    """

    def __init__(self, script: Script, trace: Callable[[str], None] | None = None) -> None:
        self.script = script
        self.shape = script.shape
        self.context = SimulationContext(script, trace)
        self.loop = self.context.loop
        self.network = self.context.network
        self.checker = self.context.checker
        self.client_machine = Machine("outside")
        self.network.place(CLIENT_HOST, self.client_machine)
        self.planners: list[PlannerHost] = []
        self.proxies: list[Proxy] = []

        self.discovery = self.make_discovery()
        self.notifications = Notifications(self.context, self.discovery, self.planners)
        self.fleet = ServerFleet(self.context, self.discovery, self.cell_records, self.list_changed)
        has_relays = bool(self.shape.relays)
        self.relays = RelayGroup(self.context, self.discovery, self.planners) if has_relays else None

        self.add_planners()
        self.channels = UpdateChannels(self.context)
        self.reports = ReportPath(self.context)
        self.clients = Clients(self.context, self.proxies)
        self.attempts = Attempts(self.context, self.fleet)
        self.proxy_parts = self.make_proxy_parts()
        self.add_proxies()
        self.collectors: list[Collector] = []
        self.add_collectors()
        self.files: FileExchange | None = None
        if self.shape.files:
            self.files = FileExchange(self.context, self.fleet, self.planners, self.proxies)
            self.proxy_parts.start_reading_files = self.files.start_proxy
        self.clients.set_demand(self.fleet.current_servers)

        self.monitor = Monitor(self.context, self.channels, self.planners, self.relays)
        self.warmup_monitor = WarmupMonitor(self.context, self.fleet, self.channels, self.proxies)
        self.connect_observers()

    # Building.

    def connect_observers(self) -> None:
        """Let the lower parts notify those that observe them."""
        self.discovery.planner_of = self.context.planner_of
        self.discovery.on_sent = self.notifications.update_sent
        self.discovery.on_received = self.notifications.update_received
        self.network.on_received = self.monitor.bytes_received
        self.network.on_written = self.monitor.bytes_written
        self.loop.after_callback = self.monitor.after_callback

    def make_discovery(self) -> Discovery:
        """Make the discovery service on its machine."""
        machine = Machine("discovery")
        self.network.place(DISCOVERY_ADDRESS[0], machine)
        return Discovery(self.loop, self.network, machine, DISCOVERY_ADDRESS, self.context.zones)

    def add_planners(self) -> None:
        """Make the planners' machines, which all hear the multicast group."""
        for number in range(self.shape.planners):
            planner = PlannerHost(self.context, self, number)
            name = planner.machine.name
            self.context.planner_numbers[name] = number
            self.context.zone_of_machine[name] = zone_of(number, self.shape)
            self.planners.append(planner)
        gossip_addresses = tuple((planner.host, GOSSIP_PORT) for planner in self.planners)
        self.network.multicast_groups[(MULTICAST_HOST, GOSSIP_PORT)] = gossip_addresses

    def make_proxy_parts(self) -> ProxyParts:
        """Gather what proxies use of the other parts."""
        return ProxyParts(
            self.fleet,
            self.channels,
            self.reports,
            self.clients,
            self.attempts,
            [planner.address for planner in self.planners],
            self.planner_machine,
        )

    def add_proxies(self) -> None:
        """Make the proxies."""
        for number in range(self.shape.proxies):
            zone = zone_of(number, self.shape)
            proxy = Proxy(self.context, self.proxy_parts, number, zone)
            self.context.zone_of_machine[proxy.machine.name] = zone
            subnet, host = divmod(number, PROXIES_PER_SUBNET)
            self.network.place(f"10.1.{subnet}.{host + 1}", proxy.machine)
            self.checker.proxy_started(number, zone)
            self.proxies.append(proxy)

    def add_collectors(self) -> None:
        """Make a collector's machine in each zone, with a connection to each planner."""
        for zone in range(self.shape.zones):
            machine = Machine(f"collector-{zone}")
            self.context.zone_of_machine[machine.name] = zone
            self.network.place(f"10.4.0.{zone + 1}", machine)
            for planner in self.planners:
                self.collectors.append(
                    Collector(
                        self.context,
                        self.fleet,
                        self.reports,
                        self.proxies,
                        machine,
                        zone,
                        planner,
                    )
                )

    def begin(self) -> None:
        """Schedule the first callbacks of all parts."""
        if self.relays is not None:
            self.relays.begin()
        for planner in self.planners:
            self.loop.schedule_at(0.0, None, planner.start)
        for proxy in self.proxies:
            at = PROXY_START_S + PROXY_START_SPREAD_S * proxy.random.random()
            self.loop.schedule_at(at, proxy.process, proxy.start)
        for collector in self.collectors:
            first_report = FIRST_REPORT_S + REPORT_STAGGER_S * collector.planner.number
            self.loop.schedule_at(COLLECTOR_START_S, collector.machine, collector.dial)
            self.loop.schedule_at(first_report, collector.machine, collector.send_load_reports)
        self.context.schedule_after(FIRST_REQUEST_S, self.clients.make_next_request)
        self.context.schedule_after(WARMUP_CHECK_S, self.warmup_monitor.check)
        self.context.schedule_after(BOUNDS_INTERVAL_S, self.monitor.check_bounds)

    # What planners' machines need (`PlannerEnvironment`).

    def discovery_addresses(self, planner: int) -> str:
        """Where a planner is configured to call for the endpoint list."""
        if self.relays is not None:
            return self.relays.addresses_of(planner)
        return "{}:{}".format(*self.discovery.address)

    def known_list(self) -> dict[str, object]:
        """The planners' endpoint list as it is now, as a document."""
        records = tuple(self.cell_records().values())
        return list_document(records, True, self.discovery.generation, self.context.zones)

    def transports_of(self, planner: PlannerHost, context: PlannerContext) -> list[ProxyTransport]:
        """A planner's transports beside its sockets."""
        return [] if self.files is None else [self.files.make_publisher(planner, context)]

    def planner_started(self, planner: PlannerHost) -> None:
        """A planner is ready to serve: it knows the list as it is now."""
        number = planner.number
        now = self.context.now_ms()
        self.checker.planner_ready(number, now)
        self.notifications.planner_started(number)
        if self.relays is not None:
            self.relays.checks.planner_started(number)
        for record in self.cell_records().values():
            self.checker.endpoint_notified(number, now, record.name, listed_endpoint(record))

    def planner_stopped(self, planner: PlannerHost) -> None:
        """A planner's process is about to end."""
        number = planner.number
        self.checker.planner_stopped(number, self.context.now_ms())
        if self.files is not None:
            self.files.planner_stopped(number)
        for proxy in self.proxies:
            if proxy.stream is not None and proxy.stream.planner == number:
                proxy.stream.broken = True
                proxy.stream.counts_as_joined = False
        self.channels.clear(number)

    def planner_machine(self, planner: int) -> Machine:
        """The machine that a planner runs on now."""
        return self.planners[planner].machine

    # The endpoint list.

    def cell_records(self) -> Mapping[str, ServerRecord]:
        """What discovery lists of the planners' servers."""
        return self.discovery.records if self.relays is None else self.relays.cell_records()

    def list_changed(self, records: Sequence[ServerRecord]) -> None:
        """Discovery has listed changes of the planners' servers."""
        if self.relays is None:
            self.notifications.expect_polls()
        else:
            self.relays.records_changed(records)

    # What concerns several parts.

    def count_cut_streams_as_left(self) -> None:
        """A cut has begun: streams across it count as left; who hears nothing any more finds that out."""
        if self.files is not None:
            self.files.cut_began()
        for proxy in self.proxies:
            stream = proxy.stream
            if stream is None:
                continue
            if self.network.is_cut_between(proxy.machine, self.planner_machine(stream.planner)):
                proxy.path_cut(stream)

    def machines(self) -> list[Machine]:
        """All machines whose tasks have to be closed at the end."""
        relays = self.relays.hosts if self.relays is not None else ()
        return [
            *self.context.retired_machines,
            *(planner.machine for planner in self.planners),
            *(relay.machine for relay in relays),
        ]
