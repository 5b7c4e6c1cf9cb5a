"""The bench of a relay: one real relay's process between discovery and watchers, which only count bytes."""

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

NAME = "relay-0"
OTHER_NAME = "relay-1"
OTHER_HOST = "127.78.0.1"  # nothing listens there: a plan needs two relays for each cell, but one is measured
FIRST_PORT = 20_001  # of the first cell
HOST_NUMBERS = iter(range(1, 1 << 16))  # each relay of this process listens at its own loopback address
RETRY_SECONDS = 0.3  # until a watcher calls again: the relay has no list yet, or no capacity
LINE_END = b"\n\r\n"  # of a JSON line or an empty one, with the end of its chunk


class RelayBench(Bench):
    """One relay's process, which serves every cell of its plan, with watchers spread over them."""

    def __init__(self, point: RelayPoint, seed: int) -> None:
        super().__init__(seed)
        self.point = point
        number = next(HOST_NUMBERS)
        self.host = f"127.77.{number >> 8}.{number & 255}"
        self.watchers_served: set[int] = set()  # watchers that have received the list of their cell

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[asyncio.subprocess.Process]:
        """The relay's process once it has served every watcher; on exit it is ended together with all stand-ins."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.cancel_tasks)
            self.discovery = FakeDiscovery(self.point.entries(), self.counters[Channel.LIST])
            registry = await asyncio.start_server(self.discovery.serve, HOST, 0)
            stack.callback(registry.close)
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="stackwheel-scale-")))
            save_plan(self.plan(), folder / "plan.json")
            record = {"on": True, "name": NAME, "upstream": listen_address(registry), "plan": "plan.json"}
            operators = folder / "operators.json"
            operators.write_text(json.dumps({"relay": record}))
            process = await stack.enter_async_context(stackwheel_process(("relay", "--operators", str(operators)), {}))
            for number in range(self.point.watchers):
                self.start_task(self.watch(number, process))
            if not await wait_until(self.all_clients_served, START_TIMEOUT_S):
                raise BenchError(
                    f"{len(self.watchers_served)} of {self.point.watchers} watchers were told their part in time"
                )
            yield process

    def plan(self) -> Plan:
        """A plan with a cell for each service, all served by this relay and one that does not run."""
        cells = range(self.point.cells())
        return Plan(
            version=1,
            limits=Limits(),
            regions={f"zone-{number:02d}": "region-00" for number in range(ZONES)},
            relays=(Relay(NAME, self.host), Relay(OTHER_NAME, OTHER_HOST)),
            cells=tuple(Cell(cell_name(number), cell_name(number), (), 0, 1, FIRST_PORT + number) for number in cells),
        )

    async def watch(self, number: int, process: asyncio.subprocess.Process) -> None:
        """Watch a cell until cancelled, calling again until the relay has a list."""
        while process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.host, self.port(number))
                try:
                    await self.follow(number, reader, writer)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(RETRY_SECONDS)

    def port(self, number: int) -> int:
        """The port at which a watcher's cell is served."""
        return FIRST_PORT + number % self.point.cells()

    async def follow(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the request and count the bytes until the connection ends; return at once if there is no list yet."""
        traffic = self.counters[Channel.WATCHES]
        request = f"GET {LIST_PATH}?follow=1 HTTP/1.1\r\nHost: {self.host}:{self.port(number)}\r\n\r\n".encode()
        writer.write(request)
        traffic.count_received(len(request))
        head = await reader.readuntil(b"\r\n\r\n")
        traffic.count_sent(len(head), 0)
        if head.split(b" ", 2)[1] != b"200":
            return
        while data := await reader.read(READ_BYTES):
            traffic.count_sent(len(data), data.count(LINE_END))
            self.watchers_served.add(number)

    def all_clients_served(self) -> bool:
        """Whether every watcher has received the list of its cell."""
        return len(self.watchers_served) >= self.point.watchers

    def start_list_changes(self) -> None:
        """Begin the changes of the list that the point asks for."""
        if self.point.changes:
            self.start_task(self.change_list(self.point.changes))
