"""Descriptors of connections, counted in the process itself: never more than the limit leaves, whatever ends and comes
in one turn of the loop. A transport that was aborted holds its own until a later turn."""

from __future__ import annotations

import asyncio
import gc
import os
import socket
from collections.abc import Callable

import pytest
from transport_harness import TransportHarness, run, until

from stackwheel.state.planner_actor import HealthCheckTarget
from stackwheel.state.streams import ProxyStream
from stackwheel.wire import timing

ROOM = 60  # connections that the limit of these tests leaves


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def joining(number: int) -> bytes:
    return f"SUBSCRIBE id={number} site=east rps=1 new=1\r\n".encode()


class Census:
    """The descriptors of accepted connections at each accept, the only moment at which their number grows."""

    def __init__(self, setup: TransportHarness) -> None:
        gc.collect()  # sockets of tests before
        self.clients: list[socket.socket] = []
        self.before, self.most = descriptors(), 0
        loop = asyncio.get_running_loop()
        accept = loop.sock_accept

        async def counted(listener: socket.socket) -> tuple[socket.socket, object]:
            accepted = await accept(listener)
            self.most = max(self.most, self.held())
            return accepted

        loop.sock_accept = counted  # type: ignore[method-assign]
        self.setup = setup

    def held(self) -> int:
        return descriptors() - self.before - len(self.clients)

    def connect(self, data: bytes) -> None:
        self.clients.append(self.setup.connect(data))

    def leave(self) -> None:
        """All clients so far close their ends in one turn."""
        for client in self.clients:
            client.close()
        self.clients.clear()


async def opened(setup: TransportHarness) -> Census:
    await setup.open()
    return Census(setup)  # before the listener's first turn


def joins(setup: TransportHarness) -> Callable[[], int]:
    return lambda: sum(isinstance(item, ProxyStream) for item in setup.posted)


def test_strangers_that_make_room_count_until_they_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """One connection was taken for each that was told to go, a burst in one turn, while all of those were still open:
    up to 64 descriptors over the limit."""

    async def work() -> None:
        monkeypatch.setattr(timing, "FIRST_READ_MS", 1000.0)
        setup = TransportHarness(proxies=2 * ROOM, sockets=timing.RESERVED_DESCRIPTORS + ROOM)
        census = await opened(setup)
        for _ in range(ROOM - 1):
            census.connect(b"")
        await until(lambda: len(setup.links.connection_table.unidentified) == ROOM - 1)
        for peer in setup.links.connection_table.unidentified:  # all may go at once
            peer.unidentified_since -= 1.0
        for number in range(ROOM):
            census.connect(joining(number))
        joined = joins(setup)
        await until(lambda: joined() >= ROOM - 1)
        assert census.most <= ROOM
        census.leave()

    run(work())


def test_strangers_leave_room_for_a_burst() -> None:
    """Strangers held all places, each newcomer waited for one of them to go, and up to 39 lay in the backlog at once."""

    async def work() -> None:
        setup = TransportHarness(proxies=ROOM, sockets=timing.RESERVED_DESCRIPTORS + ROOM)
        census = await opened(setup)
        for _ in range(ROOM - 1):
            census.connect(b"")
        await until(lambda: len(setup.links.connection_table.unidentified) == ROOM - 1)
        for peer in setup.links.connection_table.unidentified:
            peer.unidentified_since -= 1.0
        joined = joins(setup)
        census.connect(joining(0))
        await until(lambda: joined() == 1 and not setup.links.connection_table.closing)
        reserve = timing.accept_reserve(ROOM)
        assert 0 < reserve < ROOM and len(setup.links.connection_table.connections) == ROOM - reserve
        for number in range(1, ROOM):  # who is identified may have all of it
            census.connect(joining(number))
        await until(lambda: joined() == ROOM)
        assert len(setup.links.connection_table.connections) == ROOM and census.most <= ROOM
        census.leave()

    run(work())


def test_connections_that_end_by_themselves_count_until_they_are_closed() -> None:
    """Whoever left in one turn was forgotten in that turn and closed in the next: who waited was taken in between."""

    async def work() -> None:
        setup = TransportHarness(proxies=2 * ROOM, sockets=timing.RESERVED_DESCRIPTORS + ROOM)
        census = await opened(setup)
        joined = joins(setup)
        for number in range(ROOM - 1):
            census.connect(joining(number))
        await until(lambda: joined() == ROOM - 1)
        census.leave()
        for number in range(ROOM):
            census.connect(joining(ROOM + number))
        await until(lambda: joined() == 2 * ROOM - 1)
        assert census.most <= ROOM
        census.leave()

    run(work())


def test_probes_count_until_their_connections_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """In each turn: a probe that was over had let go of its number, but not yet of its descriptor."""

    async def work() -> None:
        monkeypatch.setattr(timing, "HEALTH_CHECK_TIMEOUT_MS", 50.0)
        silent = socket.create_server(("127.0.0.1", 0), backlog=64)  # the kernel takes dials, nobody answers them
        address = "{}:{}".format(*silent.getsockname()[:2])
        setup = TransportHarness(address, sockets=timing.RESERVED_DESCRIPTORS + ROOM)
        census = await opened(setup)
        server, entry = next(iter(setup.links.endpoints.entries.items()))
        for _ in range(ROOM // 2):
            setup.links.start_health_check(server, HealthCheckTarget(0, entry.started_at, address))
        most_over = 0
        while setup.links.connection_table.health_checks_in_flight:
            most_over = max(most_over, census.held() - setup.links.connection_table.health_checks_in_flight)
            await asyncio.sleep(0)
        assert len(setup.posted) == ROOM // 2
        assert max(most_over, census.held()) == 0
        silent.close()

    run(work())
