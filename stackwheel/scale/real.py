"""Real planners of a run: the program unchanged, with a generated configuration and a hollow proxy that observes it.

The endpoint cache of such a planner can't be read from outside. So its weight tables, as the proxy has them after the
run, are compared with the list: every line has to be for a ready server of its cell, and in a small cell every ready
server has to have a line.
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
MAX_PROXIES = 8  # that a planner's settings allow; one of them joins
PROXY_REQUESTS_PER_SECOND = 15.0  # requests a second that the observing proxy reports
RESOURCE_LIMITS = {"cores": 0.028, "memory_mb": 128, "sockets": 1024}  # the operators' budget of a planner for control
MAX_SERVERS_IN_FULL_TABLE = 150  # of a cell whose table has all servers; over some 200 it is thinned, see docs/fleet.md
READY_TIMEOUT_S = 30.0  # s from a planner's start to its first PONG: its list may have 48,000 servers
PING_INTERVAL_S = 0.05  # s


@dataclass(frozen=True, slots=True)
class RealDifference:
    """The servers at which a real planner's tables are wrong."""

    not_ready: tuple[str, ...] = ()  # lines for servers that are not ready in its cell
    without_line: tuple[str, ...] = ()  # ready servers without a line, of a cell small enough for all of them

    def count(self) -> int:
        """Wrong or missing lines."""
        return len(self.not_ready) + len(self.without_line)

    def example(self) -> str:
        """One of them in words; "" if there is none."""
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
    """The content of a planner's configuration file: the settings of `examples/config.json` with this fleet's zones.

    Args:
        placed: the planner.
        listen: the address at which proxies join it.
        discovery: addresses of its discovery service, separated by commas.
        zones: all zones of the fleet.
        seed: of the planner.
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
    """One real planner, the meters between it and discovery, and the proxy that observes its tables."""

    placed: PlacedPlanner
    listen: str
    known_servers: set[str]  # all servers of the fleet: the proxy resets the stream at a line for any other
    seed: int
    role: Role = Role.REAL_PLANNER
    meters: list[Meter] = field(default_factory=list)  # one for each address of discovery
    child: Child | None = None
    observer_task: asyncio.Task[None] | None = None
    proxy: HollowProxy | None = None

    async def prepare(self, folder: Path, host: str, zones: Sequence[str]) -> None:
        """Start its meters and write its configuration file."""
        self.meters = [Meter(address) for address in self.placed.discovery.split(",")]
        addresses = [await meter.start(host) for meter in self.meters]
        document = configuration(self.placed, self.listen, ",".join(addresses), zones, self.seed)
        self.config_path(folder).write_text(json.dumps(document))

    def config_path(self, folder: Path) -> Path:
        """The path of the planner's configuration file."""
        return folder / f"{self.placed.planner.name}.json"

    async def start(self, children: Children, folder: Path) -> None:
        """Start the program, wait until it answers a PING, and have the proxy join; TimeoutError if it doesn't."""
        environment = {CONFIG_VARIABLE: str(self.config_path(folder)), "STACKWHEEL_OPERATORS": ""}
        self.child = await children.start_program(self.role, self.placed.planner.name, (), environment)
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await answers_ping(self.listen):
                await asyncio.sleep(PING_INTERVAL_S)
        self.start_observer()

    def start_observer(self) -> None:
        """Start the proxy if it isn't running yet; it connects again after any break."""
        if self.observer_task is None:
            settings = ProxySettings(self.listen, ROUTES, self.known_servers, PROXY_REQUESTS_PER_SECOND)
            self.proxy = HollowProxy(0, self.placed.planner.zone, settings, Traffic(), Random(self.seed))
            self.observer_task = asyncio.create_task(self.proxy.run())

    async def restart(self, children: Children, folder: Path) -> None:
        """End the program with SIGTERM, and start it again."""
        if self.child is not None:
            await children.end(self.child)
        await self.start(children, folder)

    def lines(self) -> set[str]:
        """The names of all servers that have a line in the proxy's tables."""
        if self.proxy is None:
            return set()
        return {name for class_table in self.proxy.forwarder.class_tables.values() for name in class_table.lines}

    def bytes_in(self) -> int:
        """Bytes received from discovery so far."""
        return sum(meter.bytes_in for meter in self.meters)

    def bytes_out(self) -> int:
        """Bytes sent to discovery so far."""
        return sum(meter.bytes_out for meter in self.meters)

    def close(self) -> None:
        """End the proxy and the meters; the program itself is ended with the run's processes."""
        if self.observer_task is not None:
            self.observer_task.cancel()
        for meter in self.meters:
            meter.close()
