"""Hollow proxies and collectors, which exchange real messages with a planner but forward no requests."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from random import Random

from stackwheel.forwarder.state import ForwarderState
from stackwheel.forwarder.updates import ConfigUpdate, ConfigUpdateReader, InvalidUpdateError
from stackwheel.scale.accounting import Traffic
from stackwheel.wire.http import split_address

LINE_END = b"\r\n"
MAX_LINE_BYTES = 1 << 20  # The protocol's limit for one message.
# The delay is random, so that the proxies of a restarted planner do not reconnect at the same time.
RECONNECT_DELAY_RANGE_S = (0.2, 1.0)
# The time that a proxy takes to apply an update is log-normal; about 1 % of updates take over 32 ms.
MEDIAN_APPLY_TIME_MS = 5.0
APPLY_TIME_LOG_SIGMA = 0.8
POLL_INTERVAL_S = 0.02
REPORT_INTERVAL_MS = 1000.0  # Equal to `family_info.cycle` of the example configuration.


@dataclass(frozen=True, slots=True)
class ProxySettings:
    """Settings shared by all hollow proxies of one planner.

    Attributes:
        address: address of the planner.
        routes: names of the routes.
        known_servers: all servers that the registry has ever listed.
        requests_per_second: simulated rate of one proxy, for all routes together.
        report_interval_ms: interval of demand reports, ms.
    """

    address: str
    routes: tuple[str, ...]
    known_servers: Collection[str]
    requests_per_second: float = 15.0
    report_interval_ms: float = REPORT_INTERVAL_MS


@dataclass(slots=True)
class ProxyState:
    """Counters of one proxy, and its pending acknowledgements.

    Attributes:
        joins: streams on which the proxy has joined the planner.
        updates: applied updates.
        resets: streams that the proxy reset because of an invalid update.
        pending_nonces: nonces of updates that are applied but not yet acknowledged.
    """

    joins: int = 0
    updates: int = 0
    resets: int = 0
    pending_nonces: list[int] = field(default_factory=list)


class HollowProxy:
    """Proxy that joins a planner, applies its updates, acknowledges them after a random time and reports demand."""

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
        """Keep a stream to the planner open until cancelled, reconnecting whenever it breaks."""
        while True:
            try:
                await self.run_stream()
            except (OSError, InvalidUpdateError, asyncio.LimitOverrunError, asyncio.IncompleteReadError) as error:
                self.state.resets += isinstance(error, InvalidUpdateError)
            finally:
                self.close()
            await asyncio.sleep(self.random.uniform(*RECONNECT_DELAY_RANGE_S))

    async def run_stream(self) -> None:
        """Open one stream, send SUBSCRIBE, and apply updates until the stream breaks."""
        host, port = split_address(self.settings.address)
        reader, self.writer = await asyncio.open_connection(host, port, limit=MAX_LINE_BYTES)
        is_new = int(not any(class_table.lines for class_table in self.forwarder.class_tables.values()))
        rate = self.settings.requests_per_second
        self.send_line(f"SUBSCRIBE id={self.number} site={self.zone} rps={rate:g} new={is_new}")
        self.state.joins += 1
        reports = asyncio.create_task(self.report_periodically())
        try:
            await self.read_updates(reader)
        finally:
            reports.cancel()

    async def read_updates(self, reader: asyncio.StreamReader) -> None:
        """Read and apply the updates of a stream until it breaks."""
        updates = ConfigUpdateReader()
        while True:
            line = await reader.readuntil(LINE_END)
            self.traffic.count_sent(len(line))
            update = updates.feed_line(line.removesuffix(LINE_END).decode())
            if update is not None:
                self.apply(update)

    def apply(self, update: ConfigUpdate) -> None:
        """Apply one update and schedule its acknowledgement after a random delay."""
        self.forwarder.apply(update)
        self.state.updates += 1
        nonces = update.nonces()
        if nonces:
            delay_ms = self.random.lognormvariate(math.log(MEDIAN_APPLY_TIME_MS), APPLY_TIME_LOG_SIGMA)
            self.state.pending_nonces += nonces
            asyncio.get_running_loop().call_later(
                delay_ms / 1000.0, self.acknowledge, nonces[-1], delay_ms, self.writer
            )

    def acknowledge(self, nonce: int, elapsed_ms: float, stream: asyncio.StreamWriter | None) -> None:
        """Acknowledge a nonce, and thereby all earlier ones, if the stream that carried it is still open."""
        if stream is None or stream is not self.writer:
            return
        self.state.pending_nonces = [pending for pending in self.state.pending_nonces if pending > nonce]
        self.send_line(f"ACK id={self.number} seq={nonce} ms={elapsed_ms:.1f}")

    async def report_periodically(self) -> None:
        """Send the demand of each route once per report interval, starting at a random time within the first one."""
        interval_ms = self.settings.report_interval_ms
        interval = interval_ms / 1000.0
        await asyncio.sleep(self.random.random() * interval)
        next_report_at = asyncio.get_running_loop().time()
        expected = self.settings.requests_per_second * interval / len(self.settings.routes)
        while True:
            for route in self.settings.routes:
                count = max(0, round(self.random.gauss(expected, math.sqrt(expected))))
                self.send_line(f"RATE id={self.number} lane={route} count={count} fail=0 over={interval_ms:.1f}")
            next_report_at += interval
            await asyncio.sleep(max(0.0, next_report_at - asyncio.get_running_loop().time()))

    def send_line(self, line: str) -> None:
        """Write one line and count it, if a stream is open."""
        if self.writer is None or self.writer.is_closing():
            return
        data = line.encode() + LINE_END
        self.writer.write(data)
        self.traffic.count_received(len(data))

    def close(self) -> None:
        """Reset the stream and discard its pending nonces."""
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None
        self.state.pending_nonces.clear()

    def has_tables(self) -> bool:
        """Return whether the proxy has at least one server for every route."""
        return not any(self.forwarder.has_no_servers(route) for route in self.settings.routes)


class HollowCollector:
    """Collector of one zone, which sends a load report for each of its servers once per report interval."""

    def __init__(self, zone: str, address: str, servers: Sequence[str], traffic: Traffic, random: Random) -> None:
        self.zone = zone
        self.address = address
        self.servers = servers
        self.traffic = traffic
        self.random = random

    async def run(self) -> None:
        """Send load reports until cancelled, reconnecting whenever the stream breaks."""
        while True:
            try:
                await self.run_stream()
            except OSError:
                await asyncio.sleep(self.random.uniform(*RECONNECT_DELAY_RANGE_S))

    async def run_stream(self) -> None:
        """Open one stream and send the reports of all servers once per report interval until the stream breaks."""
        host, port = split_address(self.address)
        _, writer = await asyncio.open_connection(host, port)
        try:
            self.write(writer, [f"SOURCE site={self.zone}"])
            next_report_at = asyncio.get_running_loop().time() + self.random.random()
            while True:
                await asyncio.sleep(max(0.0, next_report_at - asyncio.get_running_loop().time()))
                self.write(writer, [self.load_line(server) for server in self.servers])
                await writer.drain()
                next_report_at += REPORT_INTERVAL_MS / 1000.0
        finally:
            writer.transport.abort()

    def load_line(self, server: str) -> str:
        """Format the load report of one server with random values."""
        count = self.random.randint(10, 30)
        mean = self.random.lognormvariate(math.log(40.0), 0.3)
        return (
            f"LOAD site={self.zone} target={server} count={count} fail=0 mean={mean:.1f} "
            f"over={REPORT_INTERVAL_MS:.1f} util=inflight:{self.random.randint(0, 3)}"
        )

    def write(self, writer: asyncio.StreamWriter, lines: Sequence[str]) -> None:
        """Write several lines together and count them."""
        data = b"".join(line.encode() + LINE_END for line in lines)
        writer.write(data)
        self.traffic.count_received(len(data), len(lines))


async def wait_until(is_true: Callable[[], bool], timeout: float, poll_interval: float = POLL_INTERVAL_S) -> bool:
    """Wait for a condition and return whether it became true within `timeout` seconds. `poll_interval`: s."""
    end = time.monotonic() + timeout
    while not is_true():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(poll_interval)
    return True
