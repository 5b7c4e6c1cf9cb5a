"""Hollow proxies and collectors against a scripted planner: what they say, hold and count."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from random import Random

from stackwheel.scale.accounting import Traffic
from stackwheel.scale.proxies import HollowCollector, HollowProxy, ProxySettings
from stackwheel.settings import Names
from stackwheel.wire.line_codec import decode
from stackwheel.wire.messages import AckMessage, CollectorMessage, DemandMessage, JoinMessage, LoadMessage

WORK_MOST = 60.0  # s that one test may take

NAMES = Names(classes=("read", "write"), zones=("east",), columns=("outstanding",))
SERVERS = ("s-0", "s-1")
MOST = 20.0  # s that any one thing may take


class ScriptedPlanner:
    """Takes streams one after another; keeps what was said, byte for byte."""

    def __init__(self) -> None:
        self.streams: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
        self.heard = self.told = 0

    async def take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.streams.put_nowait((reader, writer))

    async def stream(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.wait_for(self.streams.get(), MOST)

    async def line(self, reader: asyncio.StreamReader) -> object:
        data = await asyncio.wait_for(reader.readuntil(b"\r\n"), MOST)
        self.heard += len(data)
        return decode(data.removesuffix(b"\r\n"), NAMES)

    async def until(self, reader: asyncio.StreamReader, kind: type) -> object:
        while not isinstance(found := await self.line(reader), kind):
            assert isinstance(found, DemandMessage | AckMessage), found
        return found

    def tell(self, writer: asyncio.StreamWriter, line: str) -> None:
        data = line.encode() + b"\r\n"
        writer.write(data)
        self.told += len(data)


@contextlib.asynccontextmanager
async def joined(cycle: float = 50.0) -> AsyncIterator[tuple[HollowProxy, ScriptedPlanner, Traffic]]:
    planner, traffic = ScriptedPlanner(), Traffic()
    server = await asyncio.start_server(planner.take, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    proxy = HollowProxy(3, "east", ProxySettings(address, NAMES.classes, SERVERS, 40.0, cycle), traffic, Random(1))
    task = asyncio.create_task(proxy.run())
    try:
        yield proxy, planner, traffic
    finally:
        task.cancel()
        server.close()


def test_it_joins_reports_each_route_and_answers_marks_with_the_tables_held() -> None:
    async def work() -> None:
        async with joined() as (proxy, planner, traffic):
            reader, writer = await planner.stream()
            assert await planner.line(reader) == JoinMessage(3, 0, 40.0, True)
            first, second = [await planner.line(reader) for _ in range(2)]
            assert isinstance(first, DemandMessage)
            assert isinstance(second, DemandMessage)
            assert (first.proxy, first.request_class, second.request_class, first.window) == (3, 0, 1, 50.0)
            planner.tell(writer, "CONFIG routes=read+write full=1 endpoints=s-0:1,s-1:2 continued=1")
            planner.tell(writer, "CONFIG nonce_out=9")
            answer = await planner.until(reader, AckMessage)
            assert isinstance(answer, AckMessage)
            assert answer.nonce == 9
            assert answer.elapsed > 0
            assert proxy.forwarder.routes["write"].lines == {"s-0": 1.0, "s-1": 2.0}
            assert proxy.has_tables()
            assert traffic.bytes_out == planner.told
            assert traffic.messages_out == 2
            assert traffic.bytes_in >= planner.heard > 0
            assert proxy.state.updates == 1

    asyncio.run(asyncio.wait_for(work(), WORK_MOST))


def test_an_order_it_cannot_use_resets_the_stream_and_it_comes_back_with_its_table() -> None:
    async def work() -> None:
        async with joined() as (proxy, planner, _):
            _, writer = await planner.stream()
            planner.tell(writer, "CONFIG full=1 endpoints=s-0:1")
            planner.tell(writer, "CONFIG endpoints=never-listed:1")
            again, _ = await planner.stream()
            assert await planner.line(again) == JoinMessage(3, 0, 40.0, False)
            assert proxy.state.resets == 1
            assert proxy.state.joins == 2
            assert proxy.forwarder.routes["read"].lines == {"s-0": 1.0}

    asyncio.run(asyncio.wait_for(work(), WORK_MOST))


def test_a_mark_of_a_former_stream_is_not_answered_on_the_next() -> None:
    async def work() -> None:
        async with joined(cycle=60_000.0) as (proxy, planner, traffic):
            _, writer = await planner.stream()
            former = proxy.writer
            writer.transport.abort()
            reader, _ = await planner.stream()
            await planner.line(reader)
            said = traffic.bytes_in
            proxy.acknowledge(5, 1.0, former)
            assert traffic.bytes_in == said
            proxy.acknowledge(6, 1.0, proxy.writer)
            assert await planner.line(reader) == AckMessage(3, 6, 1.0)

    asyncio.run(asyncio.wait_for(work(), WORK_MOST))


def test_a_collector_names_its_zone_and_reports_each_server_once_a_cycle() -> None:
    async def work() -> None:
        planner, traffic = ScriptedPlanner(), Traffic()
        server = await asyncio.start_server(planner.take, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        task = asyncio.create_task(HollowCollector("east", address, SERVERS, traffic, Random(2)).run())
        try:
            reader, _ = await planner.stream()
            assert await planner.line(reader) == CollectorMessage(0)
            loads = [await planner.line(reader) for _ in SERVERS]
            assert all(isinstance(load, LoadMessage) for load in loads)
            assert [load.server_name for load in loads if isinstance(load, LoadMessage)] == list(SERVERS)
            assert traffic.messages_in == 3
            assert traffic.bytes_in == planner.heard
        finally:
            task.cancel()
            server.close()

    asyncio.run(asyncio.wait_for(work(), WORK_MOST))
