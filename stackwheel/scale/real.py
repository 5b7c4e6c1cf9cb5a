"""Real planners of a run: the program unchanged, with a generated configuration and one hollow proxy that looks.

What such a planner holds is not readable from outside, so two things are compared: every line that it has ever put
into the proxy's tables names a server of its cell, and the servers it orders after the run are the cell's ready ones.
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
from stackwheel.scale.layout import Placed
from stackwheel.scale.meter import Meter
from stackwheel.scale.planner_settings import PlannerSettings, RequestClassSettings
from stackwheel.scale.proxies import HollowProxy, ProxySettings
from stackwheel.service.config import CONFIG_VARIABLE

ROUTES = ("read", "write")
PROXIES = 8  # that a planner's settings allow; one of them joins
PROXY_RATE = 15.0  # requests a second of the proxy that looks
LIMITS = {"cores": 0.028, "memory_mb": 128, "sockets": 1024}  # the operators' budget of a planner for control
MAX_SERVERS_IN_FULL_TABLE = (
    150  # servers of a cell up to which a table holds all; over some 200 lines it is thinned, see fleet.md
)
READY_WITHIN = 30.0  # s from a planner's start to its first PONG: it may hold 48,000 servers on a busy machine
PING_EVERY = 0.05  # s


@dataclass(frozen=True, slots=True)
class RealDifference:
    """Where a real planner's tables are not what they should be."""

    unlisted: tuple[str, ...] = ()  # lines for servers that are not ready in its cell
    unused: tuple[str, ...] = ()  # ready servers without a line, of a cell small enough for all of them

    def count(self) -> int:
        """Wrong or missing lines."""
        return len(self.unlisted) + len(self.unused)

    def example(self) -> str:
        """One of them in words."""
        if self.unlisted:
            return f"{self.unlisted[0]} has a line, but is not ready"
        return f"{self.unused[0]} is ready, but has no line" if self.unused else ""


def compare_tables(lines: Collection[str], entries: Sequence[Entry]) -> RealDifference:
    """A planner's lines against the entries of its cell."""
    ready = {entry.instance_id for entry in entries if entry.lifecycle == IN_SERVICE}
    small = len(ready) <= MAX_SERVERS_IN_FULL_TABLE or not lines
    unused = tuple(sorted(ready - set(lines))) if small else ()
    return RealDifference(tuple(sorted(set(lines) - ready)), unused)


def configuration(placed: Placed, listen: str, discovery: str, zones: Sequence[str], seed: int) -> dict[str, object]:
    """A planner's configuration file; the settings are those of `examples/config.json`, on this fleet's zones."""
    settings = PlannerSettings(
        zones=zones,
        kinds=[MACHINE_TYPE],
        classes=[RequestClassSettings(name) for name in ROUTES],
        proxies=PROXIES,
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
        "limits": LIMITS,
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": settings.document(),
    }


@dataclass(slots=True)
class RealPlanner:
    """One real planner, the meters before its discovery, and the proxy that looks at its tables."""

    placed: Placed
    listen: str
    known_servers: set[str]  # every server that was ever listed, which the proxy accepts
    seed: int
    role: Role = Role.REAL_PLANNER
    meters: list[Meter] = field(default_factory=list)
    child: Child | None = None
    observer_task: asyncio.Task[None] | None = None
    proxy: HollowProxy | None = None
    ended: float = 0.0

    async def prepare(self, folder: Path, host: str, zones: Sequence[str]) -> None:
        """Stand up its meters and write its configuration."""
        self.meters = [Meter(address) for address in self.placed.discovery.split(",")]
        addresses = [await meter.start(host) for meter in self.meters]
        found = configuration(self.placed, self.listen, ",".join(addresses), zones, self.seed)
        self.path(folder).write_text(json.dumps(found))

    def path(self, folder: Path) -> Path:
        """Where the planner's configuration file lies."""
        return folder / f"{self.placed.planner.name}.json"

    async def start(self, children: Children, folder: Path) -> None:
        """Start the program and wait for its first PONG; then the proxy joins."""
        environment = {CONFIG_VARIABLE: str(self.path(folder)), "STACKWHEEL_OPERATORS": ""}
        self.child = await children.start_program(self.role, self.placed.planner.name, (), environment)
        async with asyncio.timeout(READY_WITHIN):
            while not await pong(self.listen):
                await asyncio.sleep(PING_EVERY)
        self.start_observer()

    def start_observer(self) -> None:
        """Have the proxy join, if it hasn't yet; it dials again after any break."""
        if self.observer_task is None:
            settings = ProxySettings(self.listen, ROUTES, self.known_servers, PROXY_RATE)
            self.proxy = HollowProxy(0, self.placed.planner.zone, settings, Traffic(), Random(self.seed))
            self.observer_task = asyncio.create_task(self.proxy.run())

    async def restart(self, children: Children, folder: Path) -> None:
        """End it as a restart does, and start it anew."""
        if self.child is not None:
            await children.end(self.child)
        await self.start(children, folder)

    def lines(self) -> set[str]:
        """All servers that have a line in the proxy's tables."""
        if self.proxy is None:
            return set()
        return {name for class_table in self.proxy.forwarder.class_tables.values() for name in class_table.lines}

    def bytes_in(self) -> int:
        """From discovery."""
        return sum(meter.bytes_in for meter in self.meters)

    def bytes_out(self) -> int:
        """To discovery."""
        return sum(meter.bytes_out for meter in self.meters)

    def close(self) -> None:
        """Let the proxy go, and the meters."""
        if self.observer_task is not None:
            self.observer_task.cancel()
        for meter in self.meters:
            meter.close()


async def pong(address: str) -> bool:
    """Whether a planner answers there."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return False
    try:
        writer.write(b"PING\r\n")
        return await reader.readline() == b"PONG\r\n"
    except OSError:
        return False
    finally:
        writer.transport.abort()
