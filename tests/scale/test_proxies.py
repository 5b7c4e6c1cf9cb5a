"""Tests of the messages, tables and counters of hollow proxies and collectors with a scripted planner."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from random import Random

from stackwheel.scale.accounting import Traffic
from stackwheel.scale.proxies import HollowCollector, HollowProxy, ProxySettings
from stackwheel.settings import ConfiguredNames
from stackwheel.wire.line_codec import decode
from stackwheel.wire.messages import AckMessage, CollectorMessage, DemandMessage, JoinMessage, LoadMessage

TEST_TIMEOUT_S = 60.0
STEP_TIMEOUT_S = 20.0

NAMES = ConfiguredNames(classes=("read", "write"), zones=("east",), columns=("outstanding",))
SERVERS = ("s-0", "s-1")


class ScriptedPlanner:
    """Accepts streams one after another and counts the bytes received and sent."""

    def __init__(self) -> None:
        self.streams: asyncio.Queue[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = asyncio.Queue()
        self.bytes_received = 0
        self.bytes_sent = 0

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.streams.put_nowait((reader, writer))

    async def stream(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        return await asyncio.wait_for(self.streams.get(), STEP_TIMEOUT_S)

    async def receive(self, reader: asyncio.StreamReader) -> object:
        data = await asyncio.wait_for(reader.readuntil(b"\r\n"), STEP_TIMEOUT_S)
        self.bytes_received += len(data)
        return decode(data.removesuffix(b"\r\n"), NAMES)

    async def receive_next(self, reader: asyncio.StreamReader, kind: type) -> object:
        """Return the next message of a kind and require that earlier ones are demand reports or acknowledgements."""
        while not isinstance(message := await self.receive(reader), kind):
            assert isinstance(message, DemandMessage | AckMessage), message
        return message

    def send(self, writer: asyncio.StreamWriter, line: str) -> None:
        data = line.encode() + b"\r\n"
        writer.write(data)
        self.bytes_sent += len(data)


@contextlib.asynccontextmanager
async def joined_proxy(report_interval_ms: float = 50.0) -> AsyncIterator[tuple[HollowProxy, ScriptedPlanner, Traffic]]:
    planner = ScriptedPlanner()
    traffic = Traffic()
    server = await asyncio.start_server(planner.accept, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    proxy = HollowProxy(
        3, "east", ProxySettings(address, NAMES.classes, SERVERS, 40.0, report_interval_ms), traffic, Random(1)
    )
    task = asyncio.create_task(proxy.run())
    try:
        yield proxy, planner, traffic
    finally:
        task.cancel()
        server.close()


def test_a_proxy_joins_reports_each_route_and_acknowledges_applied_updates() -> None:
    async def work() -> None:
        async with joined_proxy() as (proxy, planner, traffic):
            reader, writer = await planner.stream()
            assert await planner.receive(reader) == JoinMessage(3, 0, 40.0, True)
            first, second = [await planner.receive(reader) for _ in range(2)]
            assert isinstance(first, DemandMessage)
            assert isinstance(second, DemandMessage)
            assert (first.proxy, first.request_class, second.request_class, first.window) == (3, 0, 1, 50.0)
            planner.send(writer, "CONFIG routes=read+write full=1 endpoints=s-0:1,s-1:2 continued=1")
            planner.send(writer, "CONFIG nonce_out=9")
            acknowledgement = await planner.receive_next(reader, AckMessage)
            assert isinstance(acknowledgement, AckMessage)
            assert acknowledgement.nonce == 9
            assert acknowledgement.elapsed > 0
            assert proxy.forwarder.class_tables["write"].lines == {"s-0": 1.0, "s-1": 2.0}
            assert proxy.has_tables()
            assert traffic.bytes_out == planner.bytes_sent
            assert traffic.messages_out == 2
            assert traffic.bytes_in >= planner.bytes_received > 0
            assert proxy.state.updates == 1

    asyncio.run(asyncio.wait_for(work(), TEST_TIMEOUT_S))


def test_an_invalid_update_resets_the_stream_and_the_proxy_rejoins_with_its_table() -> None:
    async def work() -> None:
        async with joined_proxy() as (proxy, planner, _):
            _, writer = await planner.stream()
            planner.send(writer, "CONFIG full=1 endpoints=s-0:1")
            planner.send(writer, "CONFIG endpoints=never-listed:1")
            rejoined, _ = await planner.stream()
            assert await planner.receive(rejoined) == JoinMessage(3, 0, 40.0, False)
            assert proxy.state.resets == 1
            assert proxy.state.joins == 2
            assert proxy.forwarder.class_tables["read"].lines == {"s-0": 1.0}

    asyncio.run(asyncio.wait_for(work(), TEST_TIMEOUT_S))


def test_a_nonce_of_an_earlier_stream_is_not_acknowledged_on_the_next_stream() -> None:
    async def work() -> None:
        async with joined_proxy(report_interval_ms=60_000.0) as (proxy, planner, traffic):
            _, writer = await planner.stream()
            earlier_stream = proxy.writer
            writer.transport.abort()
            reader, _ = await planner.stream()
            await planner.receive(reader)
            bytes_before = traffic.bytes_in
            proxy.acknowledge(5, 1.0, earlier_stream)
            assert traffic.bytes_in == bytes_before
            proxy.acknowledge(6, 1.0, proxy.writer)
            assert await planner.receive(reader) == AckMessage(3, 6, 1.0)

    asyncio.run(asyncio.wait_for(work(), TEST_TIMEOUT_S))


def test_a_collector_sends_its_zone_and_a_load_report_for_each_server() -> None:
    async def work() -> None:
        planner = ScriptedPlanner()
        traffic = Traffic()
        server = await asyncio.start_server(planner.accept, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        task = asyncio.create_task(HollowCollector("east", address, SERVERS, traffic, Random(2)).run())
        try:
            reader, _ = await planner.stream()
            assert await planner.receive(reader) == CollectorMessage(0)
            loads = [await planner.receive(reader) for _ in SERVERS]
            assert all(isinstance(load, LoadMessage) for load in loads)
            assert [load.server_name for load in loads if isinstance(load, LoadMessage)] == list(SERVERS)
            assert traffic.messages_in == 3
            assert traffic.bytes_in == planner.bytes_received
        finally:
            task.cancel()
            server.close()

    asyncio.run(asyncio.wait_for(work(), TEST_TIMEOUT_S))
