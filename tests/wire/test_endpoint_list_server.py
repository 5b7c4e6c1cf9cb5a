"""The relay's server on real sockets: requests, watches, heartbeats, slow watchers, limits."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest
from endpoint_lists import (
    DRAINING,
    READY,
    REMOVED,
    availability_by_name,
    cell_list,
    decode_line,
    delta_list,
    instance,
    snapshot_list,
)
from relay_server_harness import (
    LIST_PATH,
    NAME_PADDING,
    Caller,
    RelayServer,
    large_delta,
    merge_lists,
    run,
    start_relay,
    wait_until_blocked,
    wait_until_idle,
)

from stackwheel.relay.watch_cache import WatchCache
from stackwheel.wire import connection_slots, endpoint_requests, timing
from stackwheel.wire.connection_slots import REJECTION_SLOTS
from stackwheel.wire.endpoint_watch import MAX_PENDING_BYTES


def test_list_and_watch_contain_only_servers_of_the_cell() -> None:
    async def scenario() -> None:
        relay = await start_relay(instance("a-1"), instance("b-1"))
        head, _, body = (await (await relay.get_list()).receive_all()).partition(b"\r\n\r\n")
        assert b"200 OK" in head
        assert decode_line(body) == snapshot_list(5, instance("a-1"))
        first = await relay.watch()
        second = await relay.watch(since=5)
        assert await first.next_list() == snapshot_list(5, instance("a-1"))
        assert await second.next_list() == delta_list(5)
        relay.apply(delta_list(6, instance("a-1", DRAINING)))
        assert await first.next_list() == await second.next_list() == delta_list(6, instance("a-1", DRAINING))

    run(scenario)


@pytest.mark.parametrize(
    ("request_line", "status"),
    [
        ("GET /other", 404),
        (f"POST {LIST_PATH}", 405),
        (f"GET {LIST_PATH}?follow=2", 400),
        (f"GET {LIST_PATH}?follow=1&since=-4", 400),
        (f"GET {LIST_PATH}?since=1e3&follow=1", 400),
        ("what is this", 400),
        (f"GET {LIST_PATH}?" + "x" * 3 * endpoint_requests.MAX_REQUEST_HEAD_BYTES, 431),
        (f"GET {LIST_PATH} HTTP/1.1\r\n" + "a:\r\n" * 1000 + "b:", 431),  # very many short header fields
    ],
)
def test_invalid_requests_are_rejected(request_line: str, status: int) -> None:
    async def scenario() -> None:
        relay = await start_relay(instance("a-1"))
        assert await (await Caller.open(relay.address, request_line)).status() == status

    run(scenario)


def test_requests_are_rejected_without_a_list_or_upstream() -> None:
    async def scenario() -> None:
        relay = await start_relay()
        for request in (f"GET {LIST_PATH}", f"GET {LIST_PATH}?follow=1"):
            assert await (await Caller.open(relay.address, request)).status() == 503
        relay.apply(snapshot_list(5, instance("a-1")))
        relay.lose_upstream(timing.WATCH_SILENCE_TIMEOUT_MS)
        for request in (f"GET {LIST_PATH}", f"GET {LIST_PATH}?follow=1&since=5"):
            assert await (await Caller.open(relay.address, request)).status() == 503

    run(scenario)


def test_connection_without_a_complete_request_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoint_requests, "REQUEST_TIMEOUT_MS", 50.0)

    async def scenario() -> None:
        relay = await start_relay(instance("a-1"))
        silent = await Caller.open(relay.address)
        slow = await Caller.open(relay.address)
        await slow.send(f"GET {LIST_PATH} HT")
        assert await silent.receive_all() == await slow.receive_all() == b""
        while relay.server.connections:
            await asyncio.sleep(0)

    run(scenario)


def test_number_of_connections_is_limited() -> None:
    async def scenario() -> None:
        relay = await start_relay(instance("a-1"), max_connections=2)
        watchers = [await relay.watch(), await relay.watch()]
        await relay.wait_for_watches(2)
        assert await (await relay.get_list()).status() == 503
        watchers.pop().caller.socket.close()
        await relay.wait_for_watches(1)
        while relay.server.connections > 1:
            await asyncio.sleep(0)
        assert await (await relay.get_list()).status() == 200

    run(scenario)


def test_slow_requests_give_way_to_later_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a relay that answers nobody while clients that stopped half way hold all its connections."""
    monkeypatch.setattr(endpoint_requests, "REQUEST_TIMEOUT_MS", 60_000.0)

    async def scenario() -> None:
        relay = await start_relay(instance("a-1"), max_connections=2)
        slow = [await Caller.open(relay.address) for _ in range(4)]
        for caller in slow:
            await caller.send(f"GET {LIST_PATH} HT")
        while await (await relay.get_list()).status() != 200:
            pass
        assert await slow[0].receive_all() == b""

    run(scenario)


def connect_without_waiting(address: str, count: int) -> list[socket.socket]:
    """Open connections without running the event loop, so that all of them wait to be accepted."""
    host, _, port = address.rpartition(":")
    return [socket.create_connection((host, int(port))) for _ in range(count)]


def test_open_connections_are_limited_while_very_many_clients_connect() -> None:
    """Guards against a relay without descriptors for its discovery service while very many clients connect."""

    async def scenario() -> None:
        relay = await start_relay(instance("a-1"), max_connections=4)
        clients = connect_without_waiting(relay.address, 200)
        most_open = 0
        for _ in range(1000):
            most_open = max(most_open, relay.server.connections)
            await asyncio.sleep(0)
        assert 4 <= most_open <= 4 + REJECTION_SLOTS
        for client in clients:
            client.close()

    run(scenario)


def test_number_of_slow_requests_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against the memory of very many requests that are never complete."""
    monkeypatch.setattr(endpoint_requests, "REQUEST_TIMEOUT_MS", 60_000.0)
    monkeypatch.setattr(connection_slots, "MAX_PENDING_REQUESTS", 8)

    async def scenario() -> None:
        relay = await start_relay(instance("a-1"))
        clients = connect_without_waiting(relay.address, 40)
        assert await (await relay.get_list()).status() == 200
        while relay.server.connections > 8:
            await asyncio.sleep(0)
        for client in clients:
            client.close()

    run(scenario)


# Order of the first line of a watch and later changes


def test_change_during_write_of_first_delta_is_sent_after_it() -> None:
    async def scenario() -> None:
        relay = await start_relay(instance("a-1"))
        for generation in range(6, 30):
            relay.apply(large_delta(generation))
        # This delta is larger than all buffers.
        relay.apply(delta_list(30, *(instance(f"a-{n}{NAME_PADDING * 40}") for n in range(400))))
        watcher = await relay.watch(since=5, receive_buffer=4096)
        (watch,) = await relay.wait_for_watches(1)
        await wait_until_blocked(watch)
        relay.apply(delta_list(31, instance("a-1", DRAINING)))
        first = await watcher.next_list()
        assert not first.complete
        assert first.generation == 30
        assert "a-1" not in availability_by_name(first)
        assert await watcher.next_list() == delta_list(31, instance("a-1", DRAINING))

    run(scenario)


def test_change_before_write_of_snapshot_is_included_in_it() -> None:
    async def scenario() -> None:
        relay = await start_relay(instance("a-1"), instance("a-2"), max_snapshot_bytes=1)
        watcher = await relay.watch()
        assert (await watcher.next_list()).complete
        other_reservation = relay.server.budget.reserve(1)  # uses the whole budget, so that the snapshot has to wait
        await other_reservation.__aenter__()
        (watch,) = await relay.wait_for_watches(1)
        watch.request_snapshot()
        while watch.wakeup.is_set():  # until the watch waits for the budget
            await asyncio.sleep(0)
        relay.apply(delta_list(6, instance("a-1", DRAINING)))
        await other_reservation.__aexit__(None, None, None)
        assert await watcher.next_list() == snapshot_list(6, instance("a-2"), instance("a-1", DRAINING))
        relay.apply(delta_list(7, instance("a-1", REMOVED)))
        assert await watcher.next_list() == delta_list(7, instance("a-1", REMOVED))

    run(scenario)


# Heartbeats and upstream liveness


def test_heartbeats_stop_and_watches_end_when_the_upstream_is_lost() -> None:
    async def scenario() -> None:
        relay = await start_relay(instance("a-1"))
        watcher = await relay.watch()
        await watcher.next_list()
        (watch,) = await relay.wait_for_watches(1)
        await wait_until_idle(watch)
        relay.send_heartbeats()
        assert await watcher.next_line() == b""
        await wait_until_idle(watch)
        relay.lose_upstream(timing.WATCH_SILENCE_TIMEOUT_MS)
        relay.send_heartbeats()
        assert not watch.pending  # no heartbeat was queued
        relay.server.perform(relay.cache.tick(relay.server.now()))
        with pytest.raises(EOFError):
            await watcher.next_line()
        await relay.wait_for_watches(0)

    run(scenario)


def test_timers_send_heartbeats_and_end_watches(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timing, "HEARTBEAT_INTERVAL_MS", 80.0)

    async def scenario() -> None:
        relay = await start_relay(instance("a-1"))
        watcher = await relay.watch()
        await watcher.next_list()
        timers = asyncio.create_task(relay.server.run_timers())
        assert await watcher.next_line() == await watcher.next_line() == b""
        relay.lose_upstream(timing.WATCH_SILENCE_TIMEOUT_MS)
        with pytest.raises(EOFError):
            await watcher.read_to_end()
        timers.cancel()

    run(scenario)


def test_all_watchers_receive_a_snapshot_after_restarted_generations() -> None:
    async def scenario() -> None:
        relay = await start_relay(instance("a-1"), max_snapshot_bytes=1)
        watchers = [await relay.watch(since=5) for _ in range(5)]
        for watcher in watchers:
            await watcher.next_list()
        relay.apply(snapshot_list(2, instance("a-2"), generations_restarted=True))
        for watcher in watchers:
            assert await watcher.next_list() == snapshot_list(2, instance("a-2"))

    run(scenario)


# Slow watchers, and several watchers at once


def test_slow_watcher_has_limited_buffer_and_receives_a_snapshot() -> None:
    async def scenario() -> None:
        relay = await start_relay(instance("a-1"))
        watcher = await relay.watch(since=5, receive_buffer=4096)
        await watcher.next_list()
        (watch,) = await relay.wait_for_watches(1)
        generation = 5
        while not watch.is_snapshot_due:
            generation += 1
            relay.apply(large_delta(generation))
            assert watch.pending_bytes <= MAX_PENDING_BYTES
            assert generation < 10_000
            await asyncio.sleep(0)
        last = generation + 50
        for later in range(generation + 1, last):
            relay.apply(large_delta(later))
            await asyncio.sleep(0)
            assert watch.pending_bytes <= MAX_PENDING_BYTES
            assert watch.writer.transport.get_write_buffer_size() <= 2 * MAX_PENDING_BYTES
        relay.apply(delta_list(last, instance("a-1", DRAINING)))
        received = [await watcher.next_list()]
        while received[-1].generation < last:
            received.append(await watcher.next_list())
            assert received[-1].generation > received[-2].generation
        assert any(endpoint_list.complete for endpoint_list in received)
        assert len(received) < last - 5
        current = cell_list(relay.cache)
        assert availability_by_name(current)["a-1"] is DRAINING
        assert len(current.instances) == 81
        assert all(entry.weight == last - 1 for entry in current.instances if entry.name != "a-1")
        assert merge_lists(received) == {entry.name: entry for entry in current.instances}

    run(scenario)


def test_watch_ends_if_the_watcher_never_reads(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timing, "WATCH_SILENCE_TIMEOUT_MS", 100.0)

    async def scenario() -> None:
        relay = await RelayServer(WatchCache(lambda *_: "a", ["a"], 60_000.0, 2000.0)).start()
        relay.apply(snapshot_list(5, instance("a-1")))
        watcher = await relay.watch(since=5, receive_buffer=4096)
        await watcher.next_list()
        (watch,) = await relay.wait_for_watches(1)
        generation = 5
        while not watch.writer.transport.get_write_buffer_size():
            generation += 1
            relay.apply(large_delta(generation))
            await asyncio.sleep(0)
        await relay.wait_for_watches(0)
        assert watch.end_reason.startswith("watcher did not read for")

    run(scenario)


def test_total_size_of_snapshots_being_sent_is_limited() -> None:
    async def scenario() -> None:
        relay = await start_relay(
            *(instance(f"a-{n}{NAME_PADDING * 40}") for n in range(400)), max_snapshot_bytes=7_000_000
        )
        slow = [await relay.watch(receive_buffer=4096), await relay.watch(receive_buffer=4096)]
        for watch in await relay.wait_for_watches(2):
            await wait_until_blocked(watch)
        relay.cache.mark_upstream_alive(relay.server.now())
        for request in (f"GET {LIST_PATH}", f"GET {LIST_PATH}?follow=1", f"GET {LIST_PATH}?follow=1&since=4"):
            assert await (await Caller.open(relay.address, request)).status() == 503
        resumed = await relay.watch(since=5)  # deltas are not limited
        assert await resumed.next_list() == delta_list(5)
        assert (await slow[0].next_list()).complete
        while not relay.server.budget.has_capacity(len(relay.cache.snapshot("a") or b"")):
            await asyncio.sleep(0)
        # Reading the snapshot may have taken longer than the timeout of the upstream.
        relay.cache.mark_upstream_alive(relay.server.now())
        assert await (await relay.get_list()).status() == 200

    run(scenario)


# Listeners


def test_listeners_stay_open_after_a_bind_error_and_close_on_removal() -> None:
    async def scenario() -> None:
        relay = await start_relay(instance("a-1"))
        other = await start_relay(instance("a-1"))
        with pytest.raises(OSError, match="already in use"):
            await relay.server.listen({other.address: "a"})  # address is in use
        assert await (await relay.get_list()).status() == 200
        await relay.server.listen({})
        with contextlib.suppress(ConnectionRefusedError):
            assert await (await relay.get_list()).receive_all() == b""
            raise AssertionError("the server still listens")

    run(scenario)


def test_watch_of_a_disconnected_watcher_is_removed() -> None:
    async def scenario() -> None:
        relay = await start_relay(instance("a-1"))
        watcher = await relay.watch()
        assert availability_by_name(await watcher.next_list()) == {"a-1": READY}
        await relay.wait_for_watches(1)
        watcher.caller.socket.close()
        await relay.wait_for_watches(0)
        assert relay.server.watches == {}

    run(scenario)
