"""A simulated deployment, with all parts that the shape of a script describes."""

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
from stackwheel.trials.monitor import BOUNDS_CHECK_INTERVAL_S, Monitor
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
FIRST_LOAD_REPORT_AT_S = 1.0
LOAD_REPORT_STAGGER_S = 0.1  # spreads the first load reports to different planners
COLLECTOR_START_AT_S = 0.1
FIRST_PROXY_START_AT_S = 0.05
MAX_PROXY_START_DELAY_S = 0.5
FIRST_REQUEST_AT_S = 1.0


class World:
    """The parts of a simulation, and the operations that concern several of them.

    The constructor builds the deployment; `simulation.run_world` runs it.

    Attributes:
        loop, network, checker: Shortcuts to the attributes of the context.
        client_machine: Machine outside of the deployment, from which faults open connections.
        relays: The relays between discovery service and planners; None if the shape has none.
        files: The exchange of files between planners and proxies; None if the shape has none.
    """

    def __init__(self, script: Script, trace: Callable[[str], None] | None = None) -> None:
        self.script = script
        self.shape = script.shape
        self.context = SimulationContext(script, trace)
        self.loop = self.context.loop
        self.network = self.context.network
        self.checker = self.context.checker
        self.client_machine = Machine("outside")
        self.network.assign_host(CLIENT_HOST, self.client_machine)
        self.planners: list[PlannerHost] = []
        self.proxies: list[Proxy] = []

        self.discovery = self.create_discovery()
        self.notifications = Notifications(self.context, self.discovery, self.planners)
        self.fleet = ServerFleet(self.context, self.discovery, self.cell_records, self.list_changed)
        has_relays = bool(self.shape.relays)
        self.relays = RelayGroup(self.context, self.discovery, self.planners) if has_relays else None

        self.create_planners()
        self.channels = UpdateChannels(self.context)
        self.reports = ReportPath(self.context)
        self.clients = Clients(self.context, self.proxies)
        self.attempts = Attempts(self.context, self.fleet)
        self.proxy_parts = self.collect_proxy_parts()
        self.create_proxies()
        self.collectors: list[Collector] = []
        self.create_collectors()
        self.files: FileExchange | None = None
        if self.shape.files:
            self.files = FileExchange(self.context, self.fleet, self.planners, self.proxies)
            self.proxy_parts.start_reading_files = self.files.start_proxy
        self.clients.set_demand(self.fleet.current_servers)

        self.monitor = Monitor(self.context, self.channels, self.planners, self.relays)
        self.warmup_monitor = WarmupMonitor(self.context, self.fleet, self.channels, self.proxies)
        self.connect_observers()

    # Construction.

    def connect_observers(self) -> None:
        """Set the callbacks by which network, loop and discovery service notify the monitor and notifications."""
        self.discovery.planner_of = self.context.planner_of
        self.discovery.on_sent = self.notifications.update_sent
        self.discovery.on_received = self.notifications.update_received
        self.network.on_received = self.monitor.bytes_received
        self.network.on_written = self.monitor.bytes_written
        self.loop.after_callback = self.monitor.after_callback

    def create_discovery(self) -> Discovery:
        """Create the discovery service on a machine of its own."""
        machine = Machine("discovery")
        self.network.assign_host(DISCOVERY_ADDRESS[0], machine)
        return Discovery(self.loop, self.network, machine, DISCOVERY_ADDRESS, self.context.zones)

    def create_planners(self) -> None:
        """Create the planners, with their zones and the multicast group of all of them."""
        for number in range(self.shape.planners):
            planner = PlannerHost(self.context, self, number)
            name = planner.machine.name
            self.context.planner_numbers[name] = number
            self.context.zone_of_machine[name] = zone_of(number, self.shape)
            self.planners.append(planner)
        gossip_addresses = tuple((planner.host, GOSSIP_PORT) for planner in self.planners)
        self.network.multicast_groups[(MULTICAST_HOST, GOSSIP_PORT)] = gossip_addresses

    def collect_proxy_parts(self) -> ProxyParts:
        """Return the parts of the simulation that proxies use."""
        return ProxyParts(
            self.fleet,
            self.channels,
            self.reports,
            self.clients,
            self.attempts,
            [planner.address for planner in self.planners],
            self.planner_machine,
        )

    def create_proxies(self) -> None:
        """Create the proxies on machines of their own."""
        for number in range(self.shape.proxies):
            zone = zone_of(number, self.shape)
            proxy = Proxy(self.context, self.proxy_parts, number, zone)
            self.context.zone_of_machine[proxy.machine.name] = zone
            subnet, host = divmod(number, PROXIES_PER_SUBNET)
            self.network.assign_host(f"10.1.{subnet}.{host + 1}", proxy.machine)
            self.checker.proxy_started(number, zone)
            self.proxies.append(proxy)

    def create_collectors(self) -> None:
        """Create a machine in each zone, with one collector for each planner."""
        for zone in range(self.shape.zones):
            machine = Machine(f"collector-{zone}")
            self.context.zone_of_machine[machine.name] = zone
            self.network.assign_host(f"10.4.0.{zone + 1}", machine)
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
        """Schedule the first callbacks of all parts of the simulation."""
        if self.relays is not None:
            self.relays.begin()
        for planner in self.planners:
            self.loop.schedule_at(0.0, None, planner.start)
        for proxy in self.proxies:
            at = FIRST_PROXY_START_AT_S + MAX_PROXY_START_DELAY_S * proxy.random.random()
            self.loop.schedule_at(at, proxy.process, proxy.start)
        for collector in self.collectors:
            first_report = FIRST_LOAD_REPORT_AT_S + LOAD_REPORT_STAGGER_S * collector.planner.number
            self.loop.schedule_at(COLLECTOR_START_AT_S, collector.machine, collector.dial)
            self.loop.schedule_at(first_report, collector.machine, collector.send_load_reports)
        self.context.schedule_after(FIRST_REQUEST_AT_S, self.clients.make_next_request)
        self.context.schedule_after(WARMUP_CHECK_S, self.warmup_monitor.check)
        self.context.schedule_after(BOUNDS_CHECK_INTERVAL_S, self.monitor.check_bounds)

    # The interface `PlannerEnvironment`.

    def discovery_addresses(self, planner: int) -> str:
        """Return the configured addresses at which a planner fetches the endpoint list."""
        if self.relays is not None:
            return self.relays.addresses_of(planner)
        return "{}:{}".format(*self.discovery.address)

    def current_list(self) -> dict[str, object]:
        """Return the current endpoint list of the planners as a document."""
        records = tuple(self.cell_records().values())
        return list_document(records, True, self.discovery.generation, self.context.zones)

    def create_transports(self, planner: PlannerHost, context: PlannerContext) -> list[ProxyTransport]:
        """Create the transports of a planner in addition to its sockets."""
        return [] if self.files is None else [self.files.make_publisher(planner, context)]

    def planner_started(self, planner: PlannerHost) -> None:
        """Register a planner that has started to listen, with the current endpoint list as its known list."""
        number = planner.number
        now = self.context.now_ms()
        self.checker.planner_ready(number, now)
        self.notifications.planner_started(number)
        if self.relays is not None:
            self.relays.checks.planner_started(number)
        for record in self.cell_records().values():
            self.checker.endpoint_notified(number, now, record.name, listed_endpoint(record))

    def planner_stopped(self, planner: PlannerHost) -> None:
        """Register that the process of a planner is about to end."""
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
        """Return the current machine of a planner."""
        return self.planners[planner].machine

    # The endpoint list.

    def cell_records(self) -> Mapping[str, ServerRecord]:
        """Return the records of the planners' servers in the endpoint list, by name."""
        return self.discovery.records if self.relays is None else self.relays.cell_records()

    def list_changed(self, records: Sequence[ServerRecord]) -> None:
        """Register a change of the planners' servers in the endpoint list."""
        if self.relays is None:
            self.notifications.expect_polls()
        else:
            self.relays.records_changed(records)

    # Operations that concern several components of the world.

    def count_cut_streams_as_left(self) -> None:
        """Count proxies across a new cut as left; proxies that receive nothing notice it after a delay."""
        if self.files is not None:
            self.files.cut_began()
        for proxy in self.proxies:
            stream = proxy.stream
            if stream is None:
                continue
            if self.network.is_cut_between(proxy.machine, self.planner_machine(stream.planner)):
                proxy.path_cut(stream)

    def machines(self) -> list[Machine]:
        """Return all machines whose tasks have to be closed at the end of the run."""
        relays = self.relays.hosts if self.relays is not None else ()
        return [
            *self.context.retired_machines,
            *(planner.machine for planner in self.planners),
            *(relay.machine for relay in relays),
        ]
