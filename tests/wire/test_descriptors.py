"""The limit on descriptors, checked against the descriptors that the process has open.

An aborted transport holds its descriptor until a later iteration of the event loop.
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

CAPACITY = 60  # maximum number of connections in these tests


def open_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def join_message(number: int) -> bytes:
    return f"SUBSCRIBE id={number} site=east rps=1 new=1\r\n".encode()


class DescriptorCounter:
    """Measures the maximum number of descriptors in use by accepted connections, after each accept.

    Attributes:
        clients: client sockets of the test.
        before: number of descriptors that were open at the start.
        max_in_use: maximum number of descriptors in use by accepted connections.
    """

    def __init__(self, harness: TransportHarness) -> None:
        gc.collect()  # close sockets of earlier tests
        self.clients: list[socket.socket] = []
        self.before = open_descriptors()
        self.max_in_use = 0
        loop = asyncio.get_running_loop()
        accept = loop.sock_accept

        async def counting_accept(listener: socket.socket) -> tuple[socket.socket, object]:
            accepted = await accept(listener)
            self.max_in_use = max(self.max_in_use, self.in_use())
            return accepted

        loop.sock_accept = counting_accept  # type: ignore[method-assign]
        self.harness = harness

    def in_use(self) -> int:
        return open_descriptors() - self.before - len(self.clients)

    def connect(self, data: bytes) -> None:
        self.clients.append(self.harness.connect(data))

    def close_all(self) -> None:
        """Close all clients without running the event loop."""
        for client in self.clients:
            client.close()
        self.clients.clear()


async def open_counted(harness: TransportHarness) -> DescriptorCounter:
    await harness.open()
    return DescriptorCounter(harness)  # before the listener task runs


def join_counter(harness: TransportHarness) -> Callable[[], int]:
    return lambda: sum(isinstance(item, ProxyStream) for item in harness.posted)


def test_evicted_connections_count_until_their_sockets_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A connection must not be accepted in place of one that is being closed but still holds its descriptor."""

    async def scenario() -> None:
        monkeypatch.setattr(timing, "FIRST_READ_GRACE_MS", 1000.0)
        harness = TransportHarness(proxies=2 * CAPACITY, sockets=timing.RESERVED_DESCRIPTORS + CAPACITY)
        counter = await open_counted(harness)
        for _ in range(CAPACITY - 1):
            counter.connect(b"")
        await wait_until(lambda: len(harness.table.unidentified) == CAPACITY - 1)
        for connection in harness.table.unidentified:  # old enough to be evicted
            connection.unidentified_since -= 1.0
        for number in range(CAPACITY):
            counter.connect(join_message(number))
        joined = join_counter(harness)
        await wait_until(lambda: joined() >= CAPACITY - 1)
        assert counter.max_in_use <= CAPACITY
        counter.close_all()

    run_async(scenario())


def test_unidentified_connections_leave_capacity_for_a_burst_of_joins() -> None:
    """Proxies that connect together must not each wait for the eviction of an unidentified connection."""

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
        for number in range(1, CAPACITY):  # identified connections may use the whole capacity
            counter.connect(join_message(number))
        await wait_until(lambda: joined() == CAPACITY)
        assert len(harness.table.connections) == CAPACITY
        assert counter.max_in_use <= CAPACITY
        counter.close_all()

    run_async(scenario())


def test_connections_closed_by_clients_count_until_their_sockets_are_closed() -> None:
    """Connections must not be accepted between the end of others and the close of their sockets."""

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
    """In no iteration of the event loop may a completed health check hold a descriptor that is not counted."""

    async def scenario() -> None:
        monkeypatch.setattr(timing, "HEALTH_CHECK_TIMEOUT_MS", 50.0)
        silent_listener = socket.create_server(("127.0.0.1", 0), backlog=64)  # connects, but does not respond
        address = "{}:{}".format(*silent_listener.getsockname()[:2])
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
        silent_listener.close()

    run_async(scenario())
