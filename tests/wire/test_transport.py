"""The socket transport: simultaneous joins, roles of connections, limits on connections, and health checks."""

import asyncio
import contextlib
import socket
from typing import Any

import pytest
from fake_services import toy_server
from transport_harness import TransportHarness, read_until_closed, run_async, wait_until

from stackwheel import interface
from stackwheel.state.messages import HealthCheckCompleted, HealthCheckTarget, StreamEnded, StreamMessage
from stackwheel.state.server_ids import server_id
from stackwheel.state.streams import ProxyStream
from stackwheel.state.table_updates import ProxyUpdate
from stackwheel.wire.messages import ProtocolViolationError


def test_proxies_that_connect_together_join_in_one_batch() -> None:
    """Tables must be computed for all proxies that connect together, not for the first few of them."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        proxies = [harness.connect(f"SUBSCRIBE id={n} site=east rps=1 new=1\r\n".encode()) for n in range(8)]
        await wait_until(lambda: bool(harness.posted))
        await asyncio.sleep(0)
        assert [type(item) for item in harness.posted] == [ProxyStream] * 8
        for proxy in proxies:
            proxy.close()

    run_async(scenario())


def test_number_of_concurrent_connection_setups_is_limited(monkeypatch: Any) -> None:
    async def scenario() -> None:
        monkeypatch.setattr("stackwheel.wire.timing.MAX_CONCURRENT_ACCEPTS", 3)
        harness = TransportHarness()
        await harness.open()
        clients = [harness.connect(b"") for _ in range(40)]
        max_arriving = 0
        while len(harness.table.unidentified) < 40:
            max_arriving = max(max_arriving, harness.table.arriving)
            await asyncio.sleep(0)
        assert 1 <= max_arriving <= 3
        for connection in clients:
            connection.close()

    run_async(scenario())


def test_third_collector_of_a_zone_replaces_the_longest_idle_one() -> None:
    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        report = b"LOAD site=east target=s-0 count=2 fail=0 mean=5 over=1000.0\r\n"
        first, second = (
            harness.connect(b"SOURCE site=east\r\n" + report),
            harness.connect(b"SOURCE site=east\r\n" + report),
        )
        await wait_until(lambda: len(harness.posted) == 2)
        first.sendall(report)
        await wait_until(lambda: len(harness.posted) == 3)
        assert set(harness.posted) == {interface.LoadReport(0, server_id("s-0"), 2, 0, 5.0, 1000.0)}
        assert not harness.table.unidentified
        assert len(harness.table.collectors[0]) == 2
        third = harness.connect(b"SOURCE site=east\r\n" + report)
        await wait_until(lambda: len(harness.posted) == 4)
        second.setblocking(False)
        assert await asyncio.get_running_loop().sock_recv(second, 10) == b""  # the longest idle collector is closed
        first.close()
        third.close()
        await wait_until(lambda: not harness.table.collectors[0] and not harness.table.connections)

    run_async(scenario())


async def send_slowly(connection: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError):
        while True:
            connection.sendall(data)
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("data", [b"", b"SUBSC", b"PING\r\n", b"x"])
def test_received_data_does_not_extend_the_identification_deadline(monkeypatch: Any, data: bytes) -> None:
    """Neither PING nor data that is sent slowly may keep an unidentified connection open."""

    async def scenario() -> None:
        monkeypatch.setattr("stackwheel.wire.timing.IDENTIFY_TIMEOUT_MS", 150.0)
        monkeypatch.setattr("stackwheel.wire.timing.UNIDENTIFIED_SWEEP_INTERVAL_MS", 10.0)
        harness = TransportHarness()
        await harness.open()
        joined = harness.connect(b"SUBSCRIBE id=1 site=east rps=1 new=1\r\n")
        client = harness.connect(data)
        sending = asyncio.create_task(send_slowly(client, data))
        received = await read_until_closed(client)
        sending.cancel()
        assert received.endswith(b"NACK\r\n")
        assert received.startswith(b"PONG\r\n") == (data == b"PING\r\n")
        await wait_until(lambda: len(harness.table.connections) == 1)
        assert len(harness.posted) == 1
        assert not harness.table.unidentified
        joined.close()

    run_async(scenario())


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"CONFIG routes=read full=1\r\n",
        b"\x16\x03\x01\r\n",
        b"SUBSCRIBE id=8 site=east rps=1 new=1\r\n",
        b"SUBSCRIBE id=1 site=north rps=1 new=1\r\n",
        b"SOURCE site=north\r\n",
        b"RATE id=1 lane=read count=1 fail=0 over=1000.0\r\n",
        b"x" * 5000,
        b"LOAD site=east target=s-0 count=2 fail=0 mean=5 over=1000.0\r\n",
        b"ACK id=1 seq=1 ms=1\r\n",
        b"PING\r\n" * 1000,
    ],
)
def test_rejected_unidentified_connection_receives_nack(data: bytes) -> None:
    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        received = await read_until_closed(harness.connect(data))
        assert received.endswith(b"NACK\r\n") or len(data) > 4096  # a close with unread data may discard NACK
        assert not harness.posted

    run_async(scenario())


def test_only_malformed_messages_are_skipped() -> None:
    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        proxy = harness.connect(
            b"SUBSCRIBE id=1 site=east rps=1 new=1\r\nRATE id=1 lane=read count=-3 fail=0 over=1000\r\n"
            b"RATE id=2 lane=read count=3 fail=0 over=1000\r\nACK id=1 seq=nan ms=3\r\n"
            b"SUBSCRIBE id=1 site=north rps=1 new=1\r\nSOURCE site=east\r\n"
            b"RATE id=1 lane=read count=3 fail=0 over=1000\r\n"
        )
        await wait_until(lambda: len(harness.posted) == 7)
        assert isinstance(harness.posted[0], ProxyStream)
        assert [item.event for item in harness.posted[1:] if isinstance(item, StreamMessage)] == [
            None,
            None,
            None,
            None,
            None,
            interface.DemandReport(1, 0, 3, 0, 1000.0),
        ]
        collector = harness.connect(
            b"SOURCE site=west\r\nLOAD site=east target=s-9 count=2 fail=0 mean=5 over=1000\r\n"
            b"LOAD site=east target=s-0 count=2 fail=3 mean=5 over=1000\r\n"
            b"RATE id=99 lane=read count=3 fail=0 over=1000\r\n"
            b"LOAD site=east target=s-0 count=2 fail=0 mean=5 over=1000\r\n"
        )
        await wait_until(lambda: len(harness.posted) == 8)
        assert harness.posted[7] == interface.LoadReport(0, server_id("s-0"), 2, 0, 5.0, 1000.0)
        assert len(harness.table.connections) == 2
        proxy.close()
        collector.close()

    run_async(scenario())


@pytest.mark.parametrize(
    "data",
    [
        b"RATE id=1 lane=readRATE id=1 lane=read count=3 fail=0 over=1000\r\n",
        b"\xff\xfe\r\n",
        b"\x00\x01",
        b"what is this",
    ],
)
def test_protocol_violation_closes_and_ends_the_stream(data: bytes) -> None:
    """Invalid data must be rejected immediately, even if its line end is never received."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        proxy = harness.connect(b"SUBSCRIBE id=1 site=east rps=1 new=1\r\n" + data)
        assert await read_until_closed(proxy) == b""
        assert [type(item) for item in harness.posted] == [ProxyStream, StreamEnded]

    run_async(scenario())


def test_message_cap_applies_across_streams_of_a_proxy() -> None:
    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        cap = harness.transport.settings.message_cap
        for attempt in range(2):
            proxy = harness.connect(b"SUBSCRIBE id=1 site=east rps=1 new=1\r\n")
            await wait_until(lambda: any(isinstance(item, ProxyStream) for item in harness.posted))
            (connection,) = [item.connection for item in harness.posted if isinstance(item, ProxyStream)]
            harness.transport.deliver([(connection, ProxyUpdate(1, nonce=nonce)) for nonce in range(cap - 2)])  # type: ignore[list-item]
            proxy.setblocking(False)
            received = b""
            while received.count(b"\r\n") < (cap - 2, 2)[attempt]:
                received += await asyncio.get_running_loop().sock_recv(proxy, 65536)
            await asyncio.sleep(0.05)
            with contextlib.suppress(BlockingIOError):
                received += proxy.recv(65536)
            assert received.count(b"\r\n") == (cap - 2, 2)[attempt]
            proxy.close()
            await wait_until(lambda: not harness.table.connections)
            harness.posted.clear()

    run_async(scenario())


def test_close_does_not_wait_for_a_client_that_does_not_read() -> None:
    """The connection must be closed although NACK cannot be sent."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        client = harness.connect(b"PING\r\n" * 600 + b"what?\r\n")
        await wait_until(lambda: bool(harness.table.connections))
        await wait_until(lambda: not harness.table.connections)
        client.close()

    run_async(scenario())


def test_proxies_join_among_many_unidentified_connections() -> None:
    """With few descriptors, proxies must not be closed as unidentified before their first message is read."""

    async def scenario() -> None:
        harness = TransportHarness(proxies=40, sockets=32 + 60)
        await harness.open()
        clients = [harness.connect(b"") for _ in range(100)]
        proxies = [harness.connect(f"SUBSCRIBE id={n} site=east rps=1 new=1\r\n".encode()) for n in range(40)]
        max_connections = 0
        while len(harness.posted) < 40:
            max_connections = max(max_connections, len(harness.table.connections))
            await asyncio.sleep(0)
        assert [type(item) for item in harness.posted] == [ProxyStream] * 40
        assert max_connections <= 60
        late = harness.connect(b"PING\r\n")
        assert await asyncio.get_running_loop().run_in_executor(None, late.recv, 6) == b"PONG\r\n"
        for connection in [*clients, *proxies, late]:
            connection.close()

    run_async(scenario())


def test_longest_idle_connection_is_evicted_if_all_are_identified(monkeypatch: Any) -> None:
    async def scenario() -> None:
        monkeypatch.setattr("stackwheel.wire.timing.MIN_IDLE_BEFORE_EVICTION_MS", 50.0)
        harness = TransportHarness(sockets=32 + 2)
        await harness.open()
        proxies = [harness.connect(f"SUBSCRIBE id={n} site=east rps=1 new=1\r\n".encode()) for n in range(2)]
        await wait_until(lambda: len(harness.posted) == 2)
        proxies.append(harness.connect(b"SUBSCRIBE id=2 site=east rps=1 new=1\r\n"))
        await wait_until(lambda: any(isinstance(item, ProxyStream) and item.proxy == 2 for item in harness.posted))
        for proxy in proxies:
            proxy.close()

    run_async(scenario())


def test_total_buffer_of_all_connections_is_limited() -> None:
    """Of several proxies with partial lines, only the connection with the largest buffer must be closed."""

    async def scenario() -> None:
        harness = TransportHarness(memory_mb=4)
        await harness.open()
        proxies = [harness.connect(f"SUBSCRIBE id={n} site=east rps=1 new=1\r\n".encode()) for n in range(3)]
        await wait_until(lambda: len(harness.posted) == 3)
        loop = asyncio.get_running_loop()
        for index, proxy in enumerate(proxies):
            proxy.setblocking(False)
            await loop.sock_sendall(proxy, b"RATE " + b"x" * (200_000, 300_000, 700_000)[index])
        assert await read_until_closed(proxies[2]) == b""
        await wait_until(lambda: len(harness.table.connections) == 2)
        assert harness.transport.buffer_budget.total_bytes <= 1 << 20
        await loop.sock_sendall(proxies[0], b"\r\n")
        for proxy in proxies:
            proxy.close()
        await wait_until(lambda: not harness.table.connections)
        assert harness.transport.buffer_budget.total_bytes == 0
        assert not harness.transport.buffer_budget.bytes_by_connection

    run_async(scenario())


def test_health_check_results_are_posted() -> None:
    async def scenario() -> None:
        server = await asyncio.start_server(toy_server.serve_health_check, "127.0.0.1", 0)
        harness = TransportHarness("{}:{}".format(*server.sockets[0].getsockname()[:2]))
        await harness.open()
        listed = HealthCheckTarget(0, 0.0, harness.transport.endpoints.addresses[server_id("s-0")])
        without_address = HealthCheckTarget(0, -1.0, "")
        harness.transport.start_health_check(server_id("s-0"), listed)
        assert harness.table.health_checks_in_flight == 1  # counted before its task runs
        harness.transport.start_health_check(server_id("never listed"), without_address)
        await wait_until(lambda: len(harness.posted) == 2)
        unknown, known = harness.posted
        assert isinstance(known, HealthCheckCompleted)
        assert known.target == listed
        await wait_until(lambda: harness.table.health_checks_in_flight == 0)  # after its connection is closed
        assert (known.result.outcome, known.result.load) == (1, (0.0,))
        assert unknown == HealthCheckCompleted(
            without_address, interface.HealthCheckResult(server_id("never listed"), 4, 0.0)
        )

    run_async(scenario())


class ScanCounter:
    """Stands in for the pattern of control characters, and counts the bytes that are searched."""

    def __init__(self) -> None:
        self.scanned_bytes = 0

    def search(self, _data: bytearray, start: int, end: int) -> None:
        self.scanned_bytes += end - start


def test_long_line_in_small_pieces_is_scanned_once(monkeypatch: Any) -> None:
    """Guards against a client that delays all others by a long line in pieces, each of which has the line scanned again."""
    counter = ScanCounter()
    monkeypatch.setattr("stackwheel.wire.line_codec.CONTROL_CHARACTER", counter)
    pieces = 500
    piece = b"x" * 100

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        client = harness.connect(b"SOURCE site=east\r\n")
        await wait_until(lambda: bool(harness.table.collectors.get(0)))
        (connection,) = harness.table.collectors[0]
        await connection.handle_data(b"LOAD ")
        for _ in range(pieces):
            await connection.handle_data(piece)
        client.close()

    run_async(scenario())
    assert pieces * len(piece) <= counter.scanned_bytes <= 2 * pieces * len(piece)


@pytest.mark.parametrize("pieces", [(b"x" * 100 + b"\x01",), (b"x" * 100 + b"\r", b"yy"), (b"x" * 100, b"\x01y")])
def test_control_character_in_any_piece_of_a_line_is_rejected(pieces: tuple[bytes, ...]) -> None:
    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        client = harness.connect(b"SOURCE site=east\r\n")
        await wait_until(lambda: bool(harness.table.collectors.get(0)))
        (connection,) = harness.table.collectors[0]
        await connection.handle_data(b"LOAD site=")
        for piece in pieces[:-1]:
            await connection.handle_data(piece)
        with pytest.raises(ProtocolViolationError, match="control character at byte 110"):
            await connection.handle_data(pieces[-1])
        client.close()

    run_async(scenario())
