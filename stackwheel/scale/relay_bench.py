"""Bench of a relay: one real relay process between a discovery stand-in and watchers that only count bytes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path

from stackwheel.cells.plan import Cell, Limits, Plan, Relay
from stackwheel.cells.plan_file import save_plan
from stackwheel.scale.accounting import Channel
from stackwheel.scale.bench import START_TIMEOUT_S, Bench, BenchError, listen_address, stackwheel_process
from stackwheel.scale.discovery_http import LIST_PATH
from stackwheel.scale.fake_environment import READ_BYTES, FakeDiscovery
from stackwheel.scale.points import ZONES, RelayPoint, cell_name
from stackwheel.scale.ports import HOST
from stackwheel.scale.proxies import wait_until

RELAY_NAME = "relay-0"
UNUSED_RELAY_NAME = "relay-1"
UNUSED_RELAY_HOST = "127.78.0.1"  # a plan needs two relays for each cell; the second one is not started
FIRST_CELL_PORT = 20_001
LOOPBACK_HOST_NUMBERS = iter(range(1, 1 << 16))  # gives each measured relay its own loopback address
WATCH_RETRY_DELAY_S = 0.3  # Time until a watcher reconnects, for example while the relay has no endpoint list yet.
CHUNKED_LINE_END = b"\n\r\n"  # end of a line and of the HTTP chunk that carries it


class RelayBench(Bench):
    """One relay process that serves every cell of its plan, and watchers distributed over the cells."""

    def __init__(self, point: RelayPoint, seed: int) -> None:
        super().__init__(seed)
        self.point = point
        number = next(LOOPBACK_HOST_NUMBERS)
        self.host = f"127.77.{number >> 8}.{number & 255}"
        self.served_watchers: set[int] = set()  # numbers of the watchers that have received data

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[asyncio.subprocess.Process]:
        """Yield the relay process once every watcher has received data; on exit, end it and all stand-ins."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.cancel_tasks)
            self.discovery = FakeDiscovery(self.point.entries(), self.counters[Channel.LIST])
            discovery_server = await asyncio.start_server(self.discovery.serve, HOST, 0)
            stack.callback(discovery_server.close)
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="stackwheel-scale-")))
            save_plan(self.plan(), folder / "plan.json")
            relay_settings = {
                "on": True,
                "name": RELAY_NAME,
                "upstream": listen_address(discovery_server),
                "plan": "plan.json",
            }
            operators_file = folder / "operators.json"
            operators_file.write_text(json.dumps({"relay": relay_settings}))
            process = await stack.enter_async_context(
                stackwheel_process(("relay", "--operators", str(operators_file)), {})
            )
            for number in range(self.point.watchers):
                self.start_task(self.watch(number, process))
            if not await wait_until(self.all_clients_served, START_TIMEOUT_S):
                raise BenchError(
                    f"{len(self.served_watchers)} of {self.point.watchers} watchers received their list "
                    f"within {START_TIMEOUT_S:g} s"
                )
            yield process

    def plan(self) -> Plan:
        """Return a plan with one cell for each service, all served by this relay and by one that is not started."""
        cells = range(self.point.cells())
        return Plan(
            version=1,
            limits=Limits(),
            regions={f"zone-{number:02d}": "region-00" for number in range(ZONES)},
            relays=(Relay(RELAY_NAME, self.host), Relay(UNUSED_RELAY_NAME, UNUSED_RELAY_HOST)),
            cells=tuple(
                Cell(cell_name(number), cell_name(number), (), 0, 1, FIRST_CELL_PORT + number) for number in cells
            ),
        )

    async def watch(self, number: int, process: asyncio.subprocess.Process) -> None:
        """Watch the cell of a watcher until cancelled, and reconnect after each failed or ended watch."""
        while process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.host, self.cell_port(number))
                try:
                    await self.read_watch(number, reader, writer)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(WATCH_RETRY_DELAY_S)

    def cell_port(self, number: int) -> int:
        """Return the port at which the relay serves the cell of a watcher."""
        return FIRST_CELL_PORT + number % self.point.cells()

    async def read_watch(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Request a watch and count its bytes until the connection ends; return at once if the status is not 200."""
        traffic = self.counters[Channel.WATCHES]
        request = f"GET {LIST_PATH}?follow=1 HTTP/1.1\r\nHost: {self.host}:{self.cell_port(number)}\r\n\r\n".encode()
        writer.write(request)
        traffic.count_received(len(request))
        head = await reader.readuntil(b"\r\n\r\n")
        traffic.count_sent(len(head), 0)
        if head.split(b" ", 2)[1] != b"200":
            return
        while data := await reader.read(READ_BYTES):
            traffic.count_sent(len(data), data.count(CHUNKED_LINE_END))
            self.served_watchers.add(number)

    def all_clients_served(self) -> bool:
        """Return whether every watcher has received data."""
        return len(self.served_watchers) >= self.point.watchers

    def start_list_changes(self) -> None:
        """Start the changes of the endpoint list that the point specifies."""
        if self.point.changes:
            self.start_task(self.change_list(self.point.changes))
