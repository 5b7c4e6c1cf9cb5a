"""Real planners of a run: the real program with a generated configuration, and a hollow proxy that receives its tables.

The endpoint cache of a real planner is not accessible. Instead, the weight tables that the proxy has received by the
end of the run are compared with the list: every line must belong to a ready server of the planner's cell, and in a
small cell every ready server must have a line.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from stackwheel.scale.accounting import Traffic
from stackwheel.scale.children import Child, Children, Role
from stackwheel.scale.entries import IN_SERVICE, MACHINE_TYPE, Entry
from stackwheel.scale.layout import PlacedPlanner
from stackwheel.scale.meter import Meter
from stackwheel.scale.ping import answers_ping
from stackwheel.scale.planner_settings import PlannerSettings, RequestClassSettings
from stackwheel.scale.proxies import HollowProxy, ProxySettings
from stackwheel.service.config import CONFIG_VARIABLE

ROUTES = ("read", "write")
MAX_PROXIES = 8  # Limit in the planner's settings; only one proxy joins.
PROXY_REQUESTS_PER_SECOND = 15.0
RESOURCE_LIMITS = {"cores": 0.028, "memory_mb": 128, "sockets": 1024}  # The operators' budget for one planner.
MAX_SERVERS_IN_FULL_TABLE = 150  # Tables of larger cells may omit ready servers; see docs/fleet.md.
READY_TIMEOUT_S = 30.0
PING_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class RealDifference:
    """Names of the servers for which a real planner's tables are wrong.

    Attributes:
        not_ready: servers that have a line but are not ready servers of the planner's cell.
        without_line: ready servers without a line, in a cell whose tables should contain all servers.
    """

    not_ready: tuple[str, ...] = ()
    without_line: tuple[str, ...] = ()

    def count(self) -> int:
        """Return the number of wrong and missing lines."""
        return len(self.not_ready) + len(self.without_line)

    def example(self) -> str:
        """Describe one of the wrong or missing lines; "" if there is none."""
        if self.not_ready:
            return f"{self.not_ready[0]} has a line, but is not ready"
        return f"{self.without_line[0]} is ready, but has no line" if self.without_line else ""


def compare_tables(lines: Collection[str], entries: Sequence[Entry]) -> RealDifference:
    """Compare the servers in a planner's tables with the entries of its cell."""
    ready = {entry.instance_id for entry in entries if entry.lifecycle == IN_SERVICE}
    is_small = len(ready) <= MAX_SERVERS_IN_FULL_TABLE or not lines
    without_line = tuple(sorted(ready - set(lines))) if is_small else ()
    return RealDifference(tuple(sorted(set(lines) - ready)), without_line)


def configuration(
    placed: PlacedPlanner, listen: str, discovery: str, zones: Sequence[str], seed: int
) -> dict[str, object]:
    """Return the content of a planner's configuration file, based on `examples/config.json`.

    Args:
        placed: the planner.
        listen: address at which proxies join the planner.
        discovery: addresses of its discovery service, separated by commas.
        zones: all zones of the fleet.
        seed: seed of the planner.
    """
    settings = PlannerSettings(
        zones=zones,
        kinds=[MACHINE_TYPE],
        classes=[RequestClassSettings(name) for name in ROUTES],
        proxies=MAX_PROXIES,
        zone=list(zones).index(placed.planner.zone),
        list_on_request=False,
        load_source="off",
        gossip=False,
        health_checks=False,
    )
    return {
        "name": placed.planner.name,
        "listen": listen,
        "discovery": discovery,
        "seed": f"{seed:016x}",
        "limits": RESOURCE_LIMITS,
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": settings.document(),
    }


@dataclass(slots=True)
class RealPlanner:
    """One real planner, the meters between it and discovery, and the proxy that receives its tables.

    Attributes:
        placed: the planner and its cell.
        listen: address at which proxies join the planner.
        known_servers: all servers of the fleet; the proxy resets the stream at a line for any other server.
        seed: seed of the planner and its proxy.
        role: role for which its resource usage is reported.
        meters: byte counters, one for each address of discovery.
        child: process of the planner.
        observer_task: task that runs the proxy.
        proxy: proxy that receives the planner's tables.
    """

    placed: PlacedPlanner
    listen: str
    known_servers: set[str]
    seed: int
    role: Role = Role.REAL_PLANNER
    meters: list[Meter] = field(default_factory=list)
    child: Child | None = None
    observer_task: asyncio.Task[None] | None = None
    proxy: HollowProxy | None = None

    async def prepare(self, folder: Path, host: str, zones: Sequence[str]) -> None:
        """Start the meters and write the planner's configuration file."""
        self.meters = [Meter(address) for address in self.placed.discovery.split(",")]
        addresses = [await meter.start(host) for meter in self.meters]
        document = configuration(self.placed, self.listen, ",".join(addresses), zones, self.seed)
        self.config_path(folder).write_text(json.dumps(document))

    def config_path(self, folder: Path) -> Path:
        """Return the path of the planner's configuration file."""
        return folder / f"{self.placed.planner.name}.json"

    async def start(self, children: Children, folder: Path) -> None:
        """Start the program, wait until it responds to PING, and start the proxy.

        Raises:
            TimeoutError: the program did not respond within `READY_TIMEOUT_S`.
        """
        environment = {CONFIG_VARIABLE: str(self.config_path(folder)), "STACKWHEEL_OPERATORS": ""}
        self.child = await children.start_program(self.role, self.placed.planner.name, (), environment)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await answers_ping(self.listen):
                await asyncio.sleep(PING_INTERVAL_S)
        self.start_observer()

    def start_observer(self) -> None:
        """Start the proxy if it is not running; the proxy reconnects whenever its stream breaks."""
        if self.observer_task is None:
            settings = ProxySettings(self.listen, ROUTES, self.known_servers, PROXY_REQUESTS_PER_SECOND)
            self.proxy = HollowProxy(0, self.placed.planner.zone, settings, Traffic(), Random(self.seed))
            self.observer_task = asyncio.create_task(self.proxy.run())

    async def restart(self, children: Children, folder: Path) -> None:
        """End the program with SIGTERM and start it again."""
        if self.child is not None:
            await children.end(self.child)
        await self.start(children, folder)

    def lines(self) -> set[str]:
        """Return the names of all servers that have a line in the proxy's tables."""
        if self.proxy is None:
            return set()
        return {name for class_table in self.proxy.forwarder.class_tables.values() for name in class_table.lines}

    def bytes_in(self) -> int:
        """Return the number of bytes received from discovery so far."""
        return sum(meter.bytes_in for meter in self.meters)

    def bytes_out(self) -> int:
        """Return the number of bytes sent to discovery so far."""
        return sum(meter.bytes_out for meter in self.meters)

    def close(self) -> None:
        """Stop the proxy and the meters; the program itself ends with the other processes of the run."""
        if self.observer_task is not None:
            self.observer_task.cancel()
        for meter in self.meters:
            meter.close()
