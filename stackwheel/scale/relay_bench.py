"""One real relay's process between a registry and planners that watch it; nothing but their bytes is kept."""

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
from stackwheel.scale.bench import READY_SECONDS, Bench, BenchError, address_of, started
from stackwheel.scale.fake_environment import LIST_PATH, READ_BYTES, FakeDiscovery
from stackwheel.scale.points import ZONES, RelayPoint, cell_name
from stackwheel.scale.ports import HOST
from stackwheel.scale.proxies import until

NAME = "relay-0"
TWIN = "relay-1"
TWIN_HOST = "127.78.0.1"  # nobody listens there: each cell is served by both relays, one of them is measured
FIRST_PORT = 20_001
HOSTS = iter(range(1, 1 << 16))  # of the loopback network: each relay of this process listens at one of its own
AGAIN_SECONDS = 0.3  # after an answer that is none yet: the relay has no list, or no room
LINE_END = b"\n\r\n"  # a JSON line or an empty one, and the end of its chunk


class RelayBench(Bench):
    """A relay that serves every cell of its plan, with watchers spread over them."""

    def __init__(self, point: RelayPoint, seed: int) -> None:
        super().__init__(seed)
        self.point = point
        number = next(HOSTS)
        self.host = f"127.77.{number >> 8}.{number & 255}"
        self.watchers_served: set[int] = set()  # watchers that have had their part

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[asyncio.subprocess.Process]:
        """The relay's process, its list distributed to every watcher; ended with all that was started."""
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self.cancel)
            self.feed = FakeDiscovery(self.point.entries(), self.counters[Channel.LIST])
            registry = await asyncio.start_server(self.feed.serve, HOST, 0)
            stack.callback(registry.close)
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="stackwheel-scale-")))
            save_plan(self.plan(), folder / "plan.json")
            record = {"on": True, "name": NAME, "upstream": address_of(registry), "plan": "plan.json"}
            operators = folder / "operators.json"
            operators.write_text(json.dumps({"relay": record}))
            process = await stack.enter_async_context(started(("relay", "--operators", str(operators)), {}))
            for number in range(self.point.watchers):
                self.start_task(self.watch(number, process))
            if not await until(self.all_served, READY_SECONDS):
                raise BenchError(
                    f"{len(self.watchers_served)} of {self.point.watchers} watchers were told their part in time"
                )
            yield process

    def plan(self) -> Plan:
        """A cell for each service, all at this relay and its twin."""
        cells = range(self.point.cells())
        return Plan(
            1,
            Limits(),
            {f"zone-{number:02d}": "region-00" for number in range(ZONES)},
            (Relay(NAME, self.host), Relay(TWIN, TWIN_HOST)),
            tuple(Cell(cell_name(number), cell_name(number), (), 0, 1, FIRST_PORT + number) for number in cells),
        )

    async def watch(self, number: int, process: asyncio.subprocess.Process) -> None:
        """One planner's watch, until cancelled; asked again until the relay has a list to tell."""
        while process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(self.host, self.port(number))
                try:
                    await self.follow(number, reader, writer)
                finally:
                    writer.transport.abort()
            await asyncio.sleep(AGAIN_SECONDS)

    def port(self, number: int) -> int:
        """Where a watcher's cell is served."""
        return FIRST_PORT + number % self.point.cells()

    async def follow(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Ask, and count what comes until the connection ends; at once where there is no list yet."""
        traffic = self.counters[Channel.WATCHES]
        request = f"GET {LIST_PATH}?follow=1 HTTP/1.1\r\nHost: {self.host}:{self.port(number)}\r\n\r\n".encode()
        writer.write(request)
        traffic.received(len(request))
        head = await reader.readuntil(b"\r\n\r\n")
        traffic.sent(len(head), 0)
        if head.split(b" ", 2)[1] != b"200":
            return
        while data := await reader.read(READ_BYTES):
            traffic.sent(len(data), data.count(LINE_END))
            self.watchers_served.add(number)

    def all_served(self) -> bool:
        """Whether every watcher has had its cell's list."""
        return len(self.watchers_served) >= self.point.watchers

    def start_disturbances(self) -> None:
        """Begin the changes of the list that the point asks for."""
        if self.point.changes:
            self.start_task(self.change(self.point.changes))
