"""Descriptors of connections, counted in the process itself: never over the limit, whatever happens in one turn.

A transport that was aborted holds its descriptor until a later turn of the event loop.
"""

from __future__ import annotations

import asyncio
import gc
import os
import socket
from collections.abc import Callable

import pytest
from transport_harness import TransportHarness, run_async, wait_until

from stackwheel.state.messages import HealthCheckTarget
from stackwheel.state.streams import ProxyStream
from stackwheel.wire import timing

CAPACITY = 60  # of connections, with the limits of these tests


def open_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def join_message(number: int) -> bytes:
    return f"SUBSCRIBE id={number} site=east rps=1 new=1\r\n".encode()


class DescriptorCounter:
    """Counts the descriptors of accepted connections at each accept, the only moment at which their number grows."""

    def __init__(self, harness: TransportHarness) -> None:
        gc.collect()  # sockets of tests before
        self.clients: list[socket.socket] = []
        self.before = open_descriptors()
        self.max_in_use = 0
        loop = asyncio.get_running_loop()
        accept = loop.sock_accept

        async def counted(listener: socket.socket) -> tuple[socket.socket, object]:
            accepted = await accept(listener)
            self.max_in_use = max(self.max_in_use, self.in_use())
            return accepted

        loop.sock_accept = counted  # type: ignore[method-assign]
        self.harness = harness

    def in_use(self) -> int:
        return open_descriptors() - self.before - len(self.clients)

    def connect(self, data: bytes) -> None:
        self.clients.append(self.harness.connect(data))

    def close_all(self) -> None:
        """Close all clients so far in one turn."""
        for client in self.clients:
            client.close()
        self.clients.clear()


async def open_counted(harness: TransportHarness) -> DescriptorCounter:
    await harness.open()
    return DescriptorCounter(harness)  # before the listener's first turn


def join_counter(harness: TransportHarness) -> Callable[[], int]:
    return lambda: sum(isinstance(item, ProxyStream) for item in harness.posted)


def test_evicted_connections_count_until_their_sockets_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """One connection was accepted for each that was being closed, a burst in one turn, while all of those were still
    open: up to 64 descriptors over the limit."""

    async def scenario() -> None:
        monkeypatch.setattr(timing, "FIRST_READ_GRACE_MS", 1000.0)
        harness = TransportHarness(proxies=2 * CAPACITY, sockets=timing.RESERVED_DESCRIPTORS + CAPACITY)
        counter = await open_counted(harness)
        for _ in range(CAPACITY - 1):
            counter.connect(b"")
        await wait_until(lambda: len(harness.table.unidentified) == CAPACITY - 1)
        for connection in harness.table.unidentified:  # all may be evicted at once
            connection.unidentified_since -= 1.0
        for number in range(CAPACITY):
            counter.connect(join_message(number))
        joined = join_counter(harness)
        await wait_until(lambda: joined() >= CAPACITY - 1)
        assert counter.max_in_use <= CAPACITY
        counter.close_all()

    run_async(scenario())


def test_unidentified_connections_leave_capacity_for_a_burst() -> None:
    """Unidentified connections held all descriptors, each new one waited for an eviction, and up to 39 lay in the
    backlog at once."""

    async def scenario() -> None:
        harness = TransportHarness(proxies=CAPACITY, sockets=timing.RESERVED_DESCRIPTORS + CAPACITY)
        counter = await open_counted(harness)
        for _ in range(CAPACITY - 1):
            counter.connect(b"")
        await wait_until(lambda: len(harness.table.unidentified) == CAPACITY - 1)
        for connection in harness.table.unidentified:
            connection.unidentified_since -= 1.0
        joined = join_counter(harness)
        counter.connect(join_message(0))
        await wait_until(lambda: joined() == 1 and not harness.table.closing)
        reserve = timing.accept_reserve(CAPACITY)
        assert 0 < reserve < CAPACITY
        assert len(harness.table.connections) == CAPACITY - reserve
        for number in range(1, CAPACITY):  # identified connections may use all of it
            counter.connect(join_message(number))
        await wait_until(lambda: joined() == CAPACITY)
        assert len(harness.table.connections) == CAPACITY
        assert counter.max_in_use <= CAPACITY
        counter.close_all()

    run_async(scenario())


def test_connections_that_end_by_themselves_count_until_their_sockets_are_closed() -> None:
    """Those that ended in one turn were removed in it and closed in the next; others were accepted in between."""

    async def scenario() -> None:
        harness = TransportHarness(proxies=2 * CAPACITY, sockets=timing.RESERVED_DESCRIPTORS + CAPACITY)
        counter = await open_counted(harness)
        joined = join_counter(harness)
        for number in range(CAPACITY - 1):
            counter.connect(join_message(number))
        await wait_until(lambda: joined() == CAPACITY - 1)
        counter.close_all()
        for number in range(CAPACITY):
            counter.connect(join_message(CAPACITY + number))
        await wait_until(lambda: joined() == 2 * CAPACITY - 1)
        assert counter.max_in_use <= CAPACITY
        counter.close_all()

    run_async(scenario())


def test_health_checks_count_until_their_sockets_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """In each turn: a health check that was over was no longer counted, but still held its descriptor."""

    async def scenario() -> None:
        monkeypatch.setattr(timing, "HEALTH_CHECK_TIMEOUT_MS", 50.0)
        silent = socket.create_server(("127.0.0.1", 0), backlog=64)  # the kernel connects, nobody answers
        address = "{}:{}".format(*silent.getsockname()[:2])
        harness = TransportHarness(address, sockets=timing.RESERVED_DESCRIPTORS + CAPACITY)
        counter = await open_counted(harness)
        server, entry = next(iter(harness.transport.endpoints.entries.items()))
        for _ in range(CAPACITY // 2):
            harness.transport.start_health_check(server, HealthCheckTarget(0, entry.started_at, address))
        max_uncounted = 0
        while harness.table.health_checks_in_flight:
            max_uncounted = max(max_uncounted, counter.in_use() - harness.table.health_checks_in_flight)
            await asyncio.sleep(0)
        assert len(harness.posted) == CAPACITY // 2
        assert max(max_uncounted, counter.in_use()) == 0
        silent.close()

    run_async(scenario())
