"""What may come between two lines of the connections' code, made to come there every time: closes, supersessions,
floods, faults of our own, and a crowd at the door of a process that has just started."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
import struct
from typing import Any

import pytest
from transport_harness import TransportHarness, received, run, until

from stackwheel import interface as face
from stackwheel.state.planner_actor import StreamEnded
from stackwheel.state.streams import ProxyStream
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart
from stackwheel.wire.connection import Connection
from stackwheel.wire.connection_limits import RateLimiter

JOIN = b"SUBSCRIBE id=1 site=east rps=1 new=1\r\n"


def order(mark: int) -> ProxyUpdate:
    return ProxyUpdate(1, (UpdatePart((0,), True, ()),), (), (), mark)


async def joined(setup: TransportHarness) -> tuple[socket.socket, Connection]:
    before = len(setup.posted)
    connection = setup.connect(JOIN)
    await until(lambda: len(setup.posted) > before)
    stream = setup.posted[-1]
    assert isinstance(stream, ProxyStream) and isinstance(stream.connection, Connection)
    return connection, stream.connection


def descriptors() -> int:
    gc.collect()  # sockets of tests before
    return len(os.listdir("/proc/self/fd"))


def test_a_superseded_stream_writes_nothing_more_and_spends_no_message() -> None:
    """Its orders waited for the cap; once there was room they went to a connection that nobody follows."""

    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        cap = setup.links.settings.message_cap
        limiter = setup.links.limiters[1] = RateLimiter(cap, 300.0)
        old_end, old = await joined(setup)
        for mark in range(cap + 3):
            setup.links.deliver([(old, order(mark))])
        await until(lambda: len(limiter.written_at or ()) == cap)
        new_end, new = await joined(setup)
        old.on_superseded()
        counted = list(limiter.written_at or ())
        await until(lambda: old.unsent_bytes == 0)  # dropped, though their time has come
        assert list(limiter.written_at or ()) == counted
        setup.links.deliver([(new, order(99))])
        await until(lambda: new.unsent_bytes == 0)
        assert list(limiter.written_at or ())[-1] > counted[-1]
        old_end.close()
        assert b"nonce_out=99" in await asyncio.get_running_loop().run_in_executor(None, new_end.recv, 65536)
        new_end.close()

    run(work())


def test_an_ended_connection_spends_no_message() -> None:
    """An order that lay in the mailbox as the connection was ended was counted as written before the reader noticed."""

    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        end, peer = await joined(setup)
        setup.links.deliver([(peer, order(1))])
        peer.close("for the test")  # in the same turn: the writer wakes before the end is seen
        await until(lambda: any(isinstance(item, StreamEnded) for item in setup.posted))
        assert not setup.links.limiter(1).written_at
        end.close()

    run(work())


def test_who_joins_again_within_a_batch_is_no_stranger() -> None:
    """Joined, superseded and joined again before the module's turn: it was told of the second and closed in 1.5 s."""

    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        first_end, first = await joined(setup)
        second_end, second = await joined(setup)
        first_end.sendall(JOIN)
        await until(lambda: len(setup.posted) == 3)
        module = _streams(setup)
        assert (
            module == first
            and first not in setup.links.connection_table.unidentified
            and second in setup.links.connection_table.unidentified
        )
        setup.links.deliver([(first, order(5))])
        await until(lambda: first.unsent_bytes == 0)
        assert b"nonce_out=5" in await asyncio.get_running_loop().run_in_executor(None, first_end.recv, 65536)
        for end in (first_end, second_end):
            end.close()

    run(work())


def _streams(setup: TransportHarness) -> object:
    """The module's part of it: the streams joined in the order in which they were heard."""
    from stackwheel.state.streams import ProxyStreams

    streams = ProxyStreams()
    for item in setup.posted:
        if isinstance(item, ProxyStream):
            list(streams.join(item))
    return streams.by_proxy[1].connection


def test_a_write_that_fails_by_a_defect_ends_the_stream(monkeypatch: pytest.MonkeyPatch) -> None:
    """The task died unseen: the stream looked alive, and nothing reached the proxy any more."""

    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        end, peer = await joined(setup)

        def fails(now: float) -> None:
            raise RuntimeError("a defect")

        monkeypatch.setattr(setup.links.limiter(1), "record_write", fails)
        setup.links.deliver([(peer, order(1))])
        assert await received(end) == b""
        await until(lambda: not setup.links.connection_table.connections)
        assert isinstance(setup.posted[-1], StreamEnded)

    run(work())


def test_a_connection_reset_before_it_is_attended_costs_nothing() -> None:
    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        await asyncio.sleep(0)
        before = descriptors()
        for _ in range(20):
            gone = setup.connect(b"SUBSCR")
            gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            gone.close()  # a reset, while it lies in the backlog
        end, _ = await joined(setup)
        await until(
            lambda: len(setup.links.connection_table.connections) == 1 and setup.links.connection_table.arriving == 0
        )
        end.close()
        await until(lambda: descriptors() <= before)
        assert not setup.links.connection_table.unidentified

    run(work())


def test_a_connection_that_cannot_be_set_up_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        await asyncio.sleep(0)
        before = descriptors()
        honest = asyncio.open_connection

        async def fails(**how: Any) -> Any:
            raise OSError("reset meanwhile")

        monkeypatch.setattr(asyncio, "open_connection", fails)
        gone = setup.connect(JOIN)
        assert await received(gone) == b""
        assert setup.links.connection_table.arriving == 0
        gone.close()
        monkeypatch.setattr(asyncio, "open_connection", honest)
        end, _ = await joined(setup)
        end.close()
        await until(lambda: descriptors() <= before)

    run(work())


def test_a_flood_on_one_connection_holds_up_no_other() -> None:
    """Each connection gets a turn of 64 KiB: others are answered while most of the flood is still unread."""

    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        flooding, peer = await joined(setup)
        line = b"RATE id=1 lane=read count=1 fail=0 over=1000.0\r\n"
        flooding.setblocking(False)
        total = 400_000
        flood = asyncio.create_task(asyncio.get_running_loop().sock_sendall(flooding, line * total))
        await until(lambda: peer.messages_received > 1000)
        asking = setup.connect(b"PING\r\n")
        other = setup.connect(
            b"SUBSCRIBE id=2 site=east rps=1 new=1\r\nRATE id=2 lane=read count=7 fail=0 over=1000.0\r\n"
        )
        began = peer.messages_received
        asking.setblocking(False)
        assert await asyncio.get_running_loop().sock_recv(asking, 10) == b"PONG\r\n"
        await until(lambda: any(isinstance(item, ProxyStream) and item.proxy == 2 for item in setup.posted))
        assert peer.messages_received - began < 60_000 and not flood.done()
        flood.cancel()
        for connection in (flooding, asking, other):
            connection.close()

    run(work())


def test_a_message_cut_in_its_parts_is_none_of_the_next_streams() -> None:
    """A message of several parts is one write; what a close leaves of it is never whole, and the next stream of the
    proxy begins with its own."""

    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        end, peer = await joined(setup)
        names = [face.Server(bytes([n // 256, n % 256, 1, 1, 1, 1])) for n in range(3000)]
        for server in names:
            setup.links.endpoints.server_ids.names[server] = f"server-of-a-long-name-{server.hex()}"
        parts = tuple(UpdatePart((place,), True, tuple((server, 1.0) for server in names)) for place in (0, 1))
        end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        peer.writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        setup.links.deliver([(peer, ProxyUpdate(1, parts, (), (), 7))])
        head = await asyncio.get_running_loop().run_in_executor(None, end.recv, 64)
        assert head.startswith(b"CONFIG routes=")
        new_end, new = await joined(setup)
        peer.on_superseded()
        peer.close("for the test")
        rest = head + await received(end)
        assert b"nonce_out" not in rest  # it never became whole
        setup.links.deliver([(new, order(8))])
        await until(lambda: new.unsent_bytes == 0)
        heard = await asyncio.get_running_loop().run_in_executor(None, new_end.recv, 65536)
        assert heard.startswith(b"CONFIG ") and heard.endswith(b"nonce_out=8\r\n") and heard.count(b"\r\n") == 1
        new_end.close()

    run(work())


@pytest.mark.parametrize("crowd", [40, 400])
def test_a_crowd_at_the_door_makes_the_work_before_pong_no_more(crowd: int) -> None:
    """Who asks for a sign of life behind a crowd is answered before its joins are decided on: nothing of the policy
    and of the list runs before PONG, whatever the number."""

    async def work() -> None:
        setup = TransportHarness(proxies=crowd)
        proxies = []
        turns = 0
        await setup.open()
        proxies = [setup.connect(f"SUBSCRIBE id={n} site=east rps=1 new=0\r\n".encode()) for n in range(crowd)]
        asking = setup.connect(b"PING\r\n")
        asking.setblocking(False)
        answered = asyncio.create_task(asyncio.get_running_loop().sock_recv(asking, 10))
        while not answered.done():
            turns += 1
            await asyncio.sleep(0)
        assert answered.result() == b"PONG\r\n"
        assert turns <= 40 + 8 * crowd / 64  # of the loop: some for each burst of 64 that is set up, none by proxy
        for connection in [*proxies, asking]:
            connection.close()

    run(work())


@pytest.mark.parametrize("part", ["run", "listen", "sweep"])
def test_what_the_process_is_nothing_without_begins_again(monkeypatch: pytest.MonkeyPatch, part: str) -> None:
    """A defect in the list's actor, the listener or the sweep ended it for ever, and nothing showed but a log line."""

    async def work() -> None:
        monkeypatch.setattr("stackwheel.wire.timing.TASK_RESTART_MS", 1.0)
        setup = TransportHarness()
        owners = {"run": setup.links.discovery, "listen": setup.links, "sweep": setup.links.connection_table}
        owner: Any = owners[part]
        honest, calls = getattr(owner, part), 0

        async def once_broken(*args: Any) -> None:
            nonlocal calls
            calls += 1
            if calls == 1:
                raise RuntimeError("a defect")
            await honest(*args)

        monkeypatch.setattr(owner, part, once_broken)
        await setup.open()
        await until(lambda: calls == 2)
        end, _ = await joined(setup)
        end.close()

    run(work())


def test_dials_that_hang_hold_no_more_than_their_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """Probes of servers that give no sign are counted from the moment they are asked for, and bounded by what
    connections that come need; when their time is up nothing of them is left."""

    async def work() -> None:
        monkeypatch.setattr("stackwheel.wire.timing.HEALTH_CHECK_TIMEOUT_MS", 100.0)
        silent = socket.create_server(("127.0.0.1", 0), backlog=0)
        address = "{}:{}".format(*silent.getsockname()[:2])
        filled = [socket.socket() for _ in range(4)]
        for one in filled:
            one.setblocking(False)
            one.connect_ex(silent.getsockname()[:2])  # its backlog is full: further dials get no answer
        setup = TransportHarness(address, sockets=32 + 10)
        await setup.open()
        await asyncio.sleep(0)
        before = descriptors()
        server, entry = next(iter(setup.links.endpoints.entries.items()))
        from stackwheel.state.planner_actor import HealthCheckTarget

        for _ in range(50):
            setup.links.start_health_check(server, HealthCheckTarget(0, entry.started_at, address))
        assert setup.links.connection_table.health_checks_in_flight == 10
        end, _ = await joined(setup)  # waits for room, and gets it
        await until(lambda: setup.links.connection_table.health_checks_in_flight == 0)
        end.close()
        await until(lambda: descriptors() <= before)
        for one in [*filled, silent]:
            one.close()

    run(work())
