"""Race conditions of connections, each provoked deterministically.

The tests cover closes, superseded streams, floods, unexpected errors, and many simultaneous connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest
from transport_harness import TransportHarness, read_until_closed, run_async, wait_until

from stackwheel import interface
from stackwheel.state.messages import StreamEnded
from stackwheel.state.streams import ProxyStream
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart
from stackwheel.wire.connection import Connection
from stackwheel.wire.connection_limits import RateLimiter
from stackwheel.wire.read_turns import MAX_FIRST_TURNS_PER_ITERATION, MAX_LINES_PER_TURN

JOIN = b"SUBSCRIBE id=1 site=east rps=1 new=1\r\n"


def update(nonce: int) -> ProxyUpdate:
    return ProxyUpdate(1, (UpdatePart((0,), True, ()),), (), (), nonce)


async def join(harness: TransportHarness) -> tuple[socket.socket, Connection]:
    before = len(harness.posted)
    client = harness.connect(JOIN)
    await wait_until(lambda: len(harness.posted) > before)
    stream = harness.posted[-1]
    assert isinstance(stream, ProxyStream)
    assert isinstance(stream.connection, Connection)
    return client, stream.connection


def open_descriptors() -> int:
    gc.collect()  # close sockets of earlier tests
    return len(os.listdir("/proc/self/fd"))


def test_superseded_stream_writes_nothing_and_does_not_use_the_message_cap() -> None:
    """Updates delayed by the message cap must not be written to a connection that the proxy does not use any more."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        cap = harness.transport.settings.message_cap
        limiter = harness.transport.limiters[1] = RateLimiter(cap, 300.0)
        old_client, old = await join(harness)
        for nonce in range(cap + 3):
            harness.transport.deliver([(old, update(nonce))])
        await wait_until(lambda: len(limiter.written_at or ()) == cap)
        new_client, new = await join(harness)
        old.on_superseded()
        counted = list(limiter.written_at or ())
        await wait_until(lambda: old.unsent_bytes == 0)  # the updates are dropped, although the cap allows them
        assert list(limiter.written_at or ()) == counted
        harness.transport.deliver([(new, update(99))])
        await wait_until(lambda: new.unsent_bytes == 0)
        assert list(limiter.written_at or ())[-1] > counted[-1]
        old_client.close()
        assert b"nonce_out=99" in await asyncio.get_running_loop().run_in_executor(None, new_client.recv, 65536)
        new_client.close()

    run_async(scenario())


def test_update_on_closed_connection_does_not_use_the_message_cap() -> None:
    """An update in the mailbox of a closed connection must not be counted as written."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        joined_client, connection = await join(harness)
        harness.transport.deliver([(connection, update(1))])
        connection.close("for the test")  # the writer task wakes up before the reader detects the close
        await wait_until(lambda: any(isinstance(item, StreamEnded) for item in harness.posted))
        assert not harness.transport.limiter(1).written_at
        joined_client.close()

    run_async(scenario())


def test_connection_that_rejoins_within_a_batch_stays_identified() -> None:
    """A stream that is superseded and joins again before the planner actor runs must not be closed as unidentified."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        first_client, first = await join(harness)
        second_client, second = await join(harness)
        first_client.sendall(JOIN)
        await wait_until(lambda: len(harness.posted) == 3)
        assert attached_connection(harness) == first
        assert first not in harness.table.unidentified
        assert second in harness.table.unidentified
        harness.transport.deliver([(first, update(5))])
        await wait_until(lambda: first.unsent_bytes == 0)
        assert b"nonce_out=5" in await asyncio.get_running_loop().run_in_executor(None, first_client.recv, 65536)
        for joined_client in (first_client, second_client):
            joined_client.close()

    run_async(scenario())


def attached_connection(harness: TransportHarness) -> object:
    """Process the posted streams in their order, as the planner actor does; returns the connection of proxy 1."""
    from stackwheel.state.streams import ProxyStreams

    streams = ProxyStreams()
    for item in harness.posted:
        if isinstance(item, ProxyStream):
            list(streams.join(item))
    return streams.by_proxy[1].connection


def test_unexpected_error_in_a_write_closes_the_stream(monkeypatch: pytest.MonkeyPatch) -> None:
    """A stream without a running writer task must not stay open."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        joined_client, connection = await join(harness)

        def fail(_now: float) -> None:
            raise RuntimeError("unexpected")

        monkeypatch.setattr(harness.transport.limiter(1), "record_write", fail)
        harness.transport.deliver([(connection, update(1))])
        assert await read_until_closed(joined_client) == b""
        await wait_until(lambda: not harness.table.connections)
        assert isinstance(harness.posted[-1], StreamEnded)

    run_async(scenario())


def test_connection_reset_before_setup_leaves_no_descriptor() -> None:
    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        await asyncio.sleep(0)
        before = open_descriptors()
        for _ in range(20):
            client = harness.connect(b"SUBSCR")
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()  # resets the connection while it is in the backlog
        joined_client, _ = await join(harness)
        await wait_until(lambda: len(harness.table.connections) == 1 and harness.table.arriving == 0)
        joined_client.close()
        await wait_until(lambda: open_descriptors() <= before)
        assert not harness.table.unidentified

    run_async(scenario())


def test_connection_that_cannot_be_set_up_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        await asyncio.sleep(0)
        before = open_descriptors()
        original = asyncio.open_connection

        async def fail(**_options: Any) -> Any:
            raise OSError("connection reset")

        monkeypatch.setattr(asyncio, "open_connection", fail)
        client = harness.connect(JOIN)
        assert await read_until_closed(client) == b""
        assert harness.table.arriving == 0
        client.close()
        monkeypatch.setattr(asyncio, "open_connection", original)
        joined_client, _ = await join(harness)
        joined_client.close()
        await wait_until(lambda: open_descriptors() <= before)

    run_async(scenario())


def test_flood_on_one_connection_does_not_block_others() -> None:
    """Other connections must be answered while most of the flood is still unread."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        flooding, connection = await join(harness)
        line = b"RATE id=1 lane=read count=1 fail=0 over=1000.0\r\n"
        flooding.setblocking(False)
        total = 400_000
        flood = asyncio.create_task(asyncio.get_running_loop().sock_sendall(flooding, line * total))
        await wait_until(lambda: connection.messages_received > 1000)
        pinging = harness.connect(b"PING\r\n")
        other = harness.connect(
            b"SUBSCRIBE id=2 site=east rps=1 new=1\r\nRATE id=2 lane=read count=7 fail=0 over=1000.0\r\n"
        )
        before = connection.messages_received
        pinging.setblocking(False)
        assert await asyncio.get_running_loop().sock_recv(pinging, 10) == b"PONG\r\n"
        await wait_until(lambda: any(isinstance(item, ProxyStream) and item.proxy == 2 for item in harness.posted))
        assert connection.messages_received - before < 60_000
        assert not flood.done()
        flood.cancel()
        for client in (flooding, pinging, other):
            client.close()

    run_async(scenario())


MAX_TURNS_BEFORE_PONG = 8
"""Turns of another connection between the arrival of PING and the arrival of PONG at the client, which takes a few
iterations of the event loop."""


@pytest.mark.parametrize(
    "line",
    [
        b"PING\r\n",
        b"RATE id=1 lane=read count=1 fail=0 over=1000.0\r\n",
        b"RATE id=7\r\n",
        b"ACK id=1 seq=7 ms=3\r\n",
        b"LOAD site=east target=unknown count=1\r\n",
        JOIN,
    ],
)
def test_small_messages_on_one_connection_do_not_delay_another(line: bytes) -> None:
    """Guards against a client whose small or malformed messages delay the answers to all other clients."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        flooding, connection = await join(harness)
        pinging = harness.connect(b"SOURCE site=east\r\n")
        await wait_until(lambda: bool(harness.table.collectors.get(0)))
        flooding.setblocking(False)
        pinging.setblocking(False)
        flood = asyncio.create_task(asyncio.get_running_loop().sock_sendall(flooding, line * 200_000))
        await wait_until(lambda: connection.messages_received > 1)
        before = connection.messages_received
        pinging.send(b"PING\r\n")
        assert await asyncio.get_running_loop().sock_recv(pinging, 10) == b"PONG\r\n"
        assert connection.messages_received - before <= MAX_TURNS_BEFORE_PONG * MAX_LINES_PER_TURN
        flood.cancel()
        for client in (flooding, pinging):
            client.close()

    run_async(scenario())


def test_messages_of_one_iteration_are_limited_however_many_connections_send() -> None:
    """Guards against very many clients that fill the planner actor's mailbox, whose limit drops messages of others."""

    async def scenario() -> None:
        count = MAX_FIRST_TURNS_PER_ITERATION + 72
        harness = TransportHarness(proxies=count)
        await harness.open()
        clients = await join_all(harness, count)
        for number, client in enumerate(clients):
            client.sendall(b"RATE id=%d lane=read count=1 fail=0 over=1000.0\r\n" % number * MAX_LINES_PER_TURN)
        most_posted = 0
        total = count + count * MAX_LINES_PER_TURN
        while len(harness.posted) < total:
            before = len(harness.posted)
            await asyncio.sleep(0)
            most_posted = max(most_posted, len(harness.posted) - before)
        assert most_posted <= MAX_FIRST_TURNS_PER_ITERATION * MAX_LINES_PER_TURN
        for client in clients:
            client.close()

    run_async(scenario())


async def join_all(harness: TransportHarness, count: int) -> list[socket.socket]:
    """Let proxies with the numbers below `count` join."""
    clients = [harness.connect(b"SUBSCRIBE id=%d site=east rps=1 new=1\r\n" % number) for number in range(count)]
    await wait_until(lambda: len(harness.posted) == count)
    return clients


RATE = b"RATE id=1 lane=read count=1 fail=0 over=1000.0\r\n"


LONG_RATE = b"RATE id=1 lane=read count=1 fail=0 over=1000.0 later=" + b"x" * 100 + b"\r\n"
"""Of such messages, a read has fewer than a turn."""


async def messages_handled_after(close: Callable[[socket.socket], None], line: bytes) -> tuple[int, int]:
    """Send as many messages as the kernel buffers and close the connection, before the planner reads any of them.

    Returns:
        The number of messages sent completely, and the number that the connection has posted until it ended.
    """
    harness = TransportHarness()
    await harness.open()
    client, _ = await join(harness)
    before = len(harness.posted)
    client.setblocking(False)
    sent_bytes = client.send(line * 100)
    with contextlib.suppress(BlockingIOError):
        while True:
            sent_bytes += client.send(line)
    close(client)
    await wait_until(lambda: isinstance(harness.posted[-1], StreamEnded))
    return sent_bytes // len(line), len(harness.posted) - 1 - before


def reset(client: socket.socket) -> None:
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.close()


@pytest.mark.parametrize("line", [RATE, LONG_RATE], ids=["short", "long"])
def test_messages_of_a_client_that_reset_its_connection_are_dropped(line: bytes) -> None:
    """Guards against requests that are still carried out long after their client has gone."""

    async def scenario() -> None:
        sent, handled = await messages_handled_after(reset, line)
        assert sent > 4 * MAX_LINES_PER_TURN
        assert handled <= MAX_LINES_PER_TURN

    run_async(scenario())


@pytest.mark.parametrize("line", [RATE, LONG_RATE], ids=["short", "long"])
def test_messages_of_a_client_that_closed_its_connection_in_order_are_handled(line: bytes) -> None:
    """A collector may connect, report and close."""

    async def scenario() -> None:
        sent, handled = await messages_handled_after(lambda client: client.shutdown(socket.SHUT_WR), line)
        assert sent > 4 * MAX_LINES_PER_TURN
        assert handled == sent

    run_async(scenario())


def test_message_truncated_by_a_close_has_no_nonce() -> None:
    """A proxy must not apply a partially written message, and its next stream must begin with a complete message."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        joined_client, connection = await join(harness)
        servers = [interface.ServerId(bytes([n // 256, n % 256, 1, 1, 1, 1])) for n in range(3000)]
        for server in servers:
            harness.transport.endpoints.server_ids.names[server] = f"server-with-a-long-name-{server.hex()}"
        parts = tuple(UpdatePart((index,), True, tuple((server, 1.0) for server in servers)) for index in (0, 1))
        joined_client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        harness.transport.deliver([(connection, ProxyUpdate(1, parts, (), (), 7))])
        head = await asyncio.get_running_loop().run_in_executor(None, joined_client.recv, 64)
        assert head.startswith(b"CONFIG routes=")
        new_client, new = await join(harness)
        connection.on_superseded()
        connection.close("for the test")
        rest = head + await read_until_closed(joined_client)
        assert b"nonce_out" not in rest  # the end of the message was not written
        harness.transport.deliver([(new, update(8))])
        await wait_until(lambda: new.unsent_bytes == 0)
        received = await asyncio.get_running_loop().run_in_executor(None, new_client.recv, 65536)
        assert received.startswith(b"CONFIG ")
        assert received.endswith(b"nonce_out=8\r\n")
        assert received.count(b"\r\n") == 1
        new_client.close()

    run_async(scenario())


@pytest.mark.parametrize("proxy_count", [40, 400])
def test_event_loop_iterations_before_pong_are_limited(proxy_count: int) -> None:
    """PING must be answered before the joins of all proxies that connected earlier have been processed."""

    async def scenario() -> None:
        harness = TransportHarness(proxies=proxy_count)
        iterations = 0
        await harness.open()
        proxies = [harness.connect(f"SUBSCRIBE id={n} site=east rps=1 new=0\r\n".encode()) for n in range(proxy_count)]
        pinging = harness.connect(b"PING\r\n")
        pinging.setblocking(False)
        answered = asyncio.create_task(asyncio.get_running_loop().sock_recv(pinging, 10))
        while not answered.done():
            iterations += 1
            await asyncio.sleep(0)
        assert answered.result() == b"PONG\r\n"
        max_iterations = 40 + 8 * proxy_count / 64  # 8 for each group of 64 connections that is set up at once
        assert iterations <= max_iterations
        for client in [*proxies, pinging]:
            client.close()

    run_async(scenario())


@pytest.mark.parametrize("task", ["run", "listen", "sweep"])
def test_supervised_task_is_restarted_after_an_error(monkeypatch: pytest.MonkeyPatch, task: str) -> None:
    """An unexpected error must not end the discovery client, the listener or the sweep permanently."""

    async def scenario() -> None:
        monkeypatch.setattr("stackwheel.wire.timing.TASK_RESTART_MS", 1.0)
        harness = TransportHarness()
        owners = {"run": harness.transport.discovery, "listen": harness.transport, "sweep": harness.table}
        owner: Any = owners[task]
        original = getattr(owner, task)
        calls = 0

        async def fail_once(*args: Any) -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise RuntimeError("unexpected")
            await original(*args)

        monkeypatch.setattr(owner, task, fail_once)
        await harness.open()
        await wait_until(lambda: calls == 2)
        joined_client, _ = await join(harness)
        joined_client.close()

    run_async(scenario())


def test_hanging_health_checks_stay_within_the_descriptor_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Health checks of unresponsive servers must not exceed the limit, and must release descriptors on timeout."""

    async def scenario() -> None:
        monkeypatch.setattr("stackwheel.wire.timing.HEALTH_CHECK_TIMEOUT_MS", 100.0)
        silent_listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        address = "{}:{}".format(*silent_listener.getsockname()[:2])
        backlog_fillers = [socket.socket() for _ in range(4)]
        for filler in backlog_fillers:
            filler.setblocking(False)
            # With a full backlog, the kernel ignores further connects.
            filler.connect_ex(silent_listener.getsockname()[:2])
        harness = TransportHarness(address, sockets=32 + 10)
        await harness.open()
        await asyncio.sleep(0)
        before = open_descriptors()
        server, entry = next(iter(harness.transport.endpoints.entries.items()))
        from stackwheel.state.messages import HealthCheckTarget

        for _ in range(50):
            harness.transport.start_health_check(server, HealthCheckTarget(0, entry.started_at, address))
        assert harness.table.health_checks_in_flight == 10
        joined_client, _ = await join(harness)  # waits until a health check releases its descriptor
        await wait_until(lambda: harness.table.health_checks_in_flight == 0)
        joined_client.close()
        await wait_until(lambda: open_descriptors() <= before)
        for filler in [*backlog_fillers, silent_listener]:
            filler.close()

    run_async(scenario())
