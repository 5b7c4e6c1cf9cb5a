"""Events between two awaits of the connections' code, forced to happen there every time.

Closes, superseded streams, floods, defects of our own, and many connections at a process that has just started.
"""

from __future__ import annotations

import asyncio
import gc
import os
import socket
import struct
from typing import Any

import pytest
from transport_harness import TransportHarness, read_until_closed, run_async, wait_until

from stackwheel import interface as face
from stackwheel.state.messages import StreamEnded
from stackwheel.state.streams import ProxyStream
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart
from stackwheel.wire.connection import Connection
from stackwheel.wire.connection_limits import RateLimiter

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
    gc.collect()  # sockets of tests before
    return len(os.listdir("/proc/self/fd"))


def test_a_superseded_stream_writes_nothing_and_its_updates_do_not_count() -> None:
    """Its updates waited for the message cap and then went to a connection that no proxy follows."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        cap = harness.transport.settings.message_cap
        limiter = harness.transport.limiters[1] = RateLimiter(cap, 300.0)
        old_end, old = await join(harness)
        for nonce in range(cap + 3):
            harness.transport.deliver([(old, update(nonce))])
        await wait_until(lambda: len(limiter.written_at or ()) == cap)
        new_end, new = await join(harness)
        old.on_superseded()
        counted = list(limiter.written_at or ())
        await wait_until(lambda: old.unsent_bytes == 0)  # dropped, though the cap allows them by now
        assert list(limiter.written_at or ()) == counted
        harness.transport.deliver([(new, update(99))])
        await wait_until(lambda: new.unsent_bytes == 0)
        assert list(limiter.written_at or ())[-1] > counted[-1]
        old_end.close()
        assert b"nonce_out=99" in await asyncio.get_running_loop().run_in_executor(None, new_end.recv, 65536)
        new_end.close()

    run_async(scenario())


def test_an_update_on_a_closed_connection_does_not_count() -> None:
    """An update in the mailbox of a closed connection was counted as written before the reader noticed the close."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        end, connection = await join(harness)
        harness.transport.deliver([(connection, update(1))])
        connection.close("for the test")  # in the same turn: the writer wakes before the reader sees the end
        await wait_until(lambda: any(isinstance(item, StreamEnded) for item in harness.posted))
        assert not harness.transport.limiter(1).written_at
        end.close()

    run_async(scenario())


def test_a_connection_that_joins_again_within_a_batch_stays_identified() -> None:
    """Joined, superseded and joined again before the planner actor's turn: only the second was followed, and it was
    closed as unidentified after 1.5 s."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        first_end, first = await join(harness)
        second_end, second = await join(harness)
        first_end.sendall(JOIN)
        await wait_until(lambda: len(harness.posted) == 3)
        assert attached_connection(harness) == first
        assert first not in harness.table.unidentified
        assert second in harness.table.unidentified
        harness.transport.deliver([(first, update(5))])
        await wait_until(lambda: first.unsent_bytes == 0)
        assert b"nonce_out=5" in await asyncio.get_running_loop().run_in_executor(None, first_end.recv, 65536)
        for end in (first_end, second_end):
            end.close()

    run_async(scenario())


def attached_connection(harness: TransportHarness) -> object:
    """The planner actor's part: streams join in the order in which they were posted."""
    from stackwheel.state.streams import ProxyStreams

    streams = ProxyStreams()
    for item in harness.posted:
        if isinstance(item, ProxyStream):
            list(streams.join(item))
    return streams.by_proxy[1].connection


def test_a_defect_in_a_write_ends_the_stream(monkeypatch: pytest.MonkeyPatch) -> None:
    """The task ended unnoticed: the stream looked alive, and nothing reached the proxy any more."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        end, connection = await join(harness)

        def fails(_now: float) -> None:
            raise RuntimeError("a defect")

        monkeypatch.setattr(harness.transport.limiter(1), "record_write", fails)
        harness.transport.deliver([(connection, update(1))])
        assert await read_until_closed(end) == b""
        await wait_until(lambda: not harness.table.connections)
        assert isinstance(harness.posted[-1], StreamEnded)

    run_async(scenario())


def test_a_connection_reset_before_it_is_set_up_leaves_nothing() -> None:
    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        await asyncio.sleep(0)
        before = open_descriptors()
        for _ in range(20):
            client = harness.connect(b"SUBSCR")
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()  # a reset, while it is in the backlog
        end, _ = await join(harness)
        await wait_until(lambda: len(harness.table.connections) == 1 and harness.table.arriving == 0)
        end.close()
        await wait_until(lambda: open_descriptors() <= before)
        assert not harness.table.unidentified

    run_async(scenario())


def test_a_connection_that_cannot_be_set_up_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        await asyncio.sleep(0)
        before = open_descriptors()
        original = asyncio.open_connection

        async def fails(**_options: Any) -> Any:
            raise OSError("reset meanwhile")

        monkeypatch.setattr(asyncio, "open_connection", fails)
        client = harness.connect(JOIN)
        assert await read_until_closed(client) == b""
        assert harness.table.arriving == 0
        client.close()
        monkeypatch.setattr(asyncio, "open_connection", original)
        end, _ = await join(harness)
        end.close()
        await wait_until(lambda: open_descriptors() <= before)

    run_async(scenario())


def test_a_flood_on_one_connection_delays_no_other() -> None:
    """Each connection gets a turn of 64 KiB: others are answered while most of the flood is still unread."""

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


def test_a_message_cut_by_a_close_is_never_complete() -> None:
    """A message of several parts is one write; what a close leaves of it is never complete, and the next stream of the
    proxy begins with a message of its own."""

    async def scenario() -> None:
        harness = TransportHarness()
        await harness.open()
        end, connection = await join(harness)
        names = [face.ServerId(bytes([n // 256, n % 256, 1, 1, 1, 1])) for n in range(3000)]
        for server in names:
            harness.transport.endpoints.server_ids.names[server] = f"server-of-a-long-name-{server.hex()}"
        parts = tuple(UpdatePart((index,), True, tuple((server, 1.0) for server in names)) for index in (0, 1))
        end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        harness.transport.deliver([(connection, ProxyUpdate(1, parts, (), (), 7))])
        head = await asyncio.get_running_loop().run_in_executor(None, end.recv, 64)
        assert head.startswith(b"CONFIG routes=")
        new_end, new = await join(harness)
        connection.on_superseded()
        connection.close("for the test")
        rest = head + await read_until_closed(end)
        assert b"nonce_out" not in rest  # it never became complete
        harness.transport.deliver([(new, update(8))])
        await wait_until(lambda: new.unsent_bytes == 0)
        received = await asyncio.get_running_loop().run_in_executor(None, new_end.recv, 65536)
        assert received.startswith(b"CONFIG ")
        assert received.endswith(b"nonce_out=8\r\n")
        assert received.count(b"\r\n") == 1
        new_end.close()

    run_async(scenario())


@pytest.mark.parametrize("proxy_count", [40, 400])
def test_the_work_before_pong_does_not_grow_with_waiting_connections(proxy_count: int) -> None:
    """PING behind many joins is answered before the policy handles them: nothing of the policy and of the endpoint list
    runs before PONG, whatever their number."""

    async def scenario() -> None:
        harness = TransportHarness(proxies=proxy_count)
        turns = 0
        await harness.open()
        proxies = [harness.connect(f"SUBSCRIBE id={n} site=east rps=1 new=0\r\n".encode()) for n in range(proxy_count)]
        pinging = harness.connect(b"PING\r\n")
        pinging.setblocking(False)
        answered = asyncio.create_task(asyncio.get_running_loop().sock_recv(pinging, 10))
        while not answered.done():
            turns += 1
            await asyncio.sleep(0)
        assert answered.result() == b"PONG\r\n"
        max_turns = 40 + 8 * proxy_count / 64  # some for each burst of 64 that is set up, none for each proxy
        assert turns <= max_turns
        for client in [*proxies, pinging]:
            client.close()

    run_async(scenario())


@pytest.mark.parametrize("task", ["run", "listen", "sweep"])
def test_a_supervised_task_that_fails_is_restarted(monkeypatch: pytest.MonkeyPatch, task: str) -> None:
    """A defect in the discovery client, the listener or the sweep ended it for ever; only a log line showed it."""

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
                raise RuntimeError("a defect")
            await original(*args)

        monkeypatch.setattr(owner, task, fail_once)
        await harness.open()
        await wait_until(lambda: calls == 2)
        end, _ = await join(harness)
        end.close()

    run_async(scenario())


def test_health_checks_that_hang_stay_within_the_capacity(monkeypatch: pytest.MonkeyPatch) -> None:
    """Health checks of unresponsive servers count from the moment they are started, leave descriptors to incoming
    connections, and hold nothing once their time is up."""

    async def scenario() -> None:
        monkeypatch.setattr("stackwheel.wire.timing.HEALTH_CHECK_TIMEOUT_MS", 100.0)
        silent = socket.create_server(("127.0.0.1", 0), backlog=0)
        address = "{}:{}".format(*silent.getsockname()[:2])
        filled = [socket.socket() for _ in range(4)]
        for one in filled:
            one.setblocking(False)
            one.connect_ex(silent.getsockname()[:2])  # its backlog is full: further connects get no answer
        harness = TransportHarness(address, sockets=32 + 10)
        await harness.open()
        await asyncio.sleep(0)
        before = open_descriptors()
        server, entry = next(iter(harness.transport.endpoints.entries.items()))
        from stackwheel.state.messages import HealthCheckTarget

        for _ in range(50):
            harness.transport.start_health_check(server, HealthCheckTarget(0, entry.started_at, address))
        assert harness.table.health_checks_in_flight == 10
        end, _ = await join(harness)  # waits for a descriptor, and gets it
        await wait_until(lambda: harness.table.health_checks_in_flight == 0)
        end.close()
        await wait_until(lambda: open_descriptors() <= before)
        for one in [*filled, silent]:
            one.close()

    run_async(scenario())
