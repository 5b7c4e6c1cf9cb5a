"""Hollow proxies and collectors: real streams to a planner, tables held as a forwarder holds them, no requests."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from random import Random

from stackwheel.forwarder.state import ForwarderState
from stackwheel.forwarder.updates import ConfigUpdate, ConfigUpdateReader, InvalidUpdate
from stackwheel.scale.accounting import Traffic
from stackwheel.wire.http import split_address

LINE_END = b"\r\n"
MAX_LINE_BYTES = 1 << 20  # the protocol's most of one message
REDIAL_SECONDS = (0.2, 1.0)  # drawn evenly, as all proxies of a planner that dies come back at once
APPLY_MEDIAN_MS = 5.0  # of the log-normal time in which a proxy applies a message; the toy proxy takes 2.5 ms
APPLY_SIGMA = 0.8  # one in a hundred over 32 ms
CYCLE_MS = 1000.0  # between two reports, as `family_info.cycle` of the example configuration


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """What all hollow proxies of one planner share."""

    address: str  # the planner's
    routes: tuple[str, ...]
    known_servers: Collection[str]  # all servers that the registry has ever listed
    requests_per_second: float = 15.0  # of one proxy, all routes together
    cycle_ms: float = CYCLE_MS


@dataclass(slots=True)
class ProxyState:
    """What came to one proxy so far."""

    joins: int = 0
    updates: int = 0
    resets: int = 0  # orders that could not be used
    pending_nonces: list[int] = field(default_factory=list)  # applied, but not answered yet


class HollowProxy:
    """One proxy: joins, applies orders, answers marks after a drawn time, reports its demand once a cycle."""

    def __init__(self, number: int, zone: str, settings: ProxySettings, traffic: Traffic, random: Random) -> None:
        self.number = number
        self.zone = zone
        self.settings = settings
        self.traffic = traffic
        self.random = random
        self.forwarder = ForwarderState(settings.routes, settings.known_servers)
        self.state = ProxyState()
        self.writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Keep one stream open, dialling again after any break, until cancelled."""
        while True:
            try:
                await self.stream()
            except (OSError, InvalidUpdate, asyncio.LimitOverrunError, asyncio.IncompleteReadError) as error:
                self.state.resets += isinstance(error, InvalidUpdate)
            finally:
                self.close()
            await asyncio.sleep(self.random.uniform(*REDIAL_SECONDS))

    async def stream(self) -> None:
        """One connection, from SUBSCRIBE until it breaks."""
        host, port = split_address(self.settings.address)
        reader, self.writer = await asyncio.open_connection(host, port, limit=MAX_LINE_BYTES)
        fresh = int(not any(class_table.lines for class_table in self.forwarder.routes.values()))
        rate = self.settings.requests_per_second
        self.send_line(f"SUBSCRIBE id={self.number} site={self.zone} rps={rate:g} new={fresh}")
        self.state.joins += 1
        reports = asyncio.create_task(self.report())
        try:
            await self.read_updates(reader)
        finally:
            reports.cancel()

    async def read_updates(self, reader: asyncio.StreamReader) -> None:
        """Apply every update of a stream until it breaks."""
        orders = ConfigUpdateReader()
        while True:
            line = await reader.readuntil(LINE_END)
            self.traffic.sent(len(line))
            order = orders.take(line.removesuffix(LINE_END).decode())
            if order is not None:
                self.apply(order)

    def apply(self, order: ConfigUpdate) -> None:
        """Apply one update, and acknowledge it after a drawn delay."""
        self.forwarder.apply(order)
        self.state.updates += 1
        marks = order.nonces()
        if marks:
            elapsed = self.random.lognormvariate(math.log(APPLY_MEDIAN_MS), APPLY_SIGMA)
            self.state.pending_nonces += marks
            asyncio.get_running_loop().call_later(elapsed / 1000.0, self.acknowledge, marks[-1], elapsed, self.writer)

    def acknowledge(self, mark: int, elapsed: float, stream: asyncio.StreamWriter | None) -> None:
        """Answer a mark and, as the protocol has it, all before it; only on the stream that brought it."""
        if stream is None or stream is not self.writer:
            return
        self.state.pending_nonces = [waiting for waiting in self.state.pending_nonces if waiting > mark]
        self.send_line(f"ACK id={self.number} seq={mark} ms={elapsed:.1f}")

    async def report(self) -> None:
        """RATE of each route once a cycle, the first one at a drawn time within the cycle."""
        cycle = self.settings.cycle_ms / 1000.0
        await asyncio.sleep(self.random.random() * cycle)
        due = asyncio.get_running_loop().time()
        expected = self.settings.requests_per_second * cycle / len(self.settings.routes)
        while True:
            for route in self.settings.routes:
                count = max(0, round(self.random.gauss(expected, math.sqrt(expected))))
                self.send_line(
                    f"RATE id={self.number} lane={route} count={count} fail=0 over={self.settings.cycle_ms:.1f}"
                )
            due += cycle
            await asyncio.sleep(max(0.0, due - asyncio.get_running_loop().time()))

    def send_line(self, line: str) -> None:
        """Write one line if there is a stream, and count it."""
        if self.writer is None or self.writer.is_closing():
            return
        data = line.encode() + LINE_END
        self.writer.write(data)
        self.traffic.received(len(data))

    def close(self) -> None:
        """Reset the connection; what waits for an answer is forgotten with it."""
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None
        self.state.pending_nonces.clear()

    def holds_table(self) -> bool:
        """Whether it has a line to pick for every route."""
        return not any(self.forwarder.has_no_servers(route) for route in self.settings.routes)


class HollowCollector:
    """The collector of one zone: once a cycle, what the zone's proxies met at each of some servers."""

    def __init__(self, zone: str, address: str, servers: Sequence[str], traffic: Traffic, random: Random) -> None:
        self.zone = zone
        self.address = address
        self.servers = servers
        self.traffic = traffic
        self.random = random

    async def run(self) -> None:
        """Report until cancelled; a broken connection is dialled again."""
        while True:
            try:
                await self.stream()
            except OSError:
                await asyncio.sleep(self.random.uniform(*REDIAL_SECONDS))

    async def stream(self) -> None:
        """One connection: reports of all servers once a cycle, until it breaks."""
        host, port = split_address(self.address)
        _, writer = await asyncio.open_connection(host, port)
        try:
            self.write(writer, [f"SOURCE site={self.zone}"])
            due = asyncio.get_running_loop().time() + self.random.random()
            while True:
                await asyncio.sleep(max(0.0, due - asyncio.get_running_loop().time()))
                self.write(writer, [self.load(server) for server in self.servers])
                await writer.drain()
                due += CYCLE_MS / 1000.0
        finally:
            writer.transport.abort()

    def load(self, server: str) -> str:
        """The load report of one server, with drawn figures."""
        count = self.random.randint(10, 30)
        mean = self.random.lognormvariate(math.log(40.0), 0.3)
        return (
            f"LOAD site={self.zone} target={server} count={count} fail=0 mean={mean:.1f} "
            f"over={CYCLE_MS:.1f} util=inflight:{self.random.randint(0, 3)}"
        )

    def write(self, writer: asyncio.StreamWriter, lines: Sequence[str]) -> None:
        """Write lines in one piece, and count them."""
        data = b"".join(line.encode() + LINE_END for line in lines)
        writer.write(data)
        self.traffic.received(len(data), len(lines))


async def until(done: Callable[[], bool], seconds: float, poll: float = 0.02) -> bool:
    """Whether a condition came true within so many seconds."""
    end = time.monotonic() + seconds
    while not done():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(poll)
    return True
