"""Tests of the registry stand-in over real sockets with the planner's own client."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import pytest

from stackwheel.endpoints import EndpointList
from stackwheel.scale import registry as registry_module
from stackwheel.scale.control import Apply
from stackwheel.scale.entries import TERMINATED, Entry
from stackwheel.scale.registry import Registry
from stackwheel.scale.registry_list import RegistryList
from stackwheel.wire.discovery_calls import fetch_endpoint_list
from stackwheel.wire.discovery_protocol import INSTANCES_PATH, parse_endpoint_list
from stackwheel.wire.http import Call, CallError, get

TIMEOUT_MS = 5_000.0


def entry(number: int, lifecycle: str = "in_service") -> Entry:
    return Entry(f"svc-0000-{number:08x}", f"10.0.0.{number}:1", "zone-00", lifecycle)


def with_registry(work: Callable[[Registry, str], Awaitable[None]]) -> None:
    async def run() -> None:
        registry = Registry(RegistryList([entry(1), entry(2)]))
        await work(registry, await registry.start("127.0.0.1"))

    asyncio.run(asyncio.wait_for(run(), 30))


async def read_line(call: Call) -> bytes:
    chunk = await call.read_chunk(TIMEOUT_MS)
    assert isinstance(chunk, bytes)
    return chunk


async def read_list(call: Call) -> EndpointList:
    return parse_endpoint_list(await read_line(call))


async def watch(address: str, since: str = "") -> Call:
    call = Call(address, f"{INSTANCES_PATH}?follow=1{since}")
    await call.open(TIMEOUT_MS, TIMEOUT_MS)
    return call


async def has_ended(call: Call) -> bool:
    try:
        return await call.read_chunk(TIMEOUT_MS) is None
    except CallError:
        return True


def test_fetches_and_watches_receive_the_same_list_and_watches_receive_deltas() -> None:
    async def work(registry: Registry, address: str) -> None:
        full_list = await fetch_endpoint_list(address)
        calls = [await watch(address) for _ in range(3)]
        assert isinstance(full_list, EndpointList)
        assert full_list.complete
        assert len(full_list.instances) == 2
        assert [await read_list(call) for call in calls] == [full_list] * 3
        registry.apply(Apply([entry(2, TERMINATED), entry(3)]))
        deltas = [await read_list(call) for call in calls]
        assert deltas[0] == deltas[1] == deltas[2]
        assert deltas[0].generation == 2
        assert not deltas[0].complete
        resuming = await watch(address, "&since=1")
        assert await read_list(resuming) == deltas[0]
        for call in (*calls, resuming):
            call.close()

    with_registry(work)


def test_heartbeats_are_sent_while_nothing_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(_registry: Registry, address: str) -> None:
        call = await watch(address)
        await read_list(call)
        assert await read_line(call) == b"\n"
        assert await read_line(call) == b"\n"
        call.close()

    monkeypatch.setattr(registry_module, "HEARTBEAT_INTERVAL_S", 0.05)
    with_registry(work)


def test_calls_over_the_limit_of_pending_bytes_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(registry: Registry, address: str) -> None:
        registry.pending_bytes = 1  # Another response is still being written.
        with pytest.raises(CallError) as rejected:
            await get(address, INSTANCES_PATH, TIMEOUT_MS, TIMEOUT_MS)
        assert rejected.value.status == 503
        assert registry.rejected_calls == 1
        registry.pending_bytes = 0
        assert isinstance(await fetch_endpoint_list(address), EndpointList)

    monkeypatch.setattr(registry_module, "MAX_PENDING_BYTES", 10)
    with_registry(work)


def test_a_watch_with_too_much_unsent_data_is_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(registry: Registry, address: str) -> None:
        call = await watch(address)
        await read_list(call)
        (writer,) = registry.watches
        monkeypatch.setattr(registry_module, "MAX_UNSENT_BYTES_PER_WATCH", -1)
        registry.apply(Apply([entry(1)]))
        assert not registry.watches
        assert writer.transport.is_closing()
        assert await has_ended(call)
        call.close()

    with_registry(work)


@pytest.mark.parametrize("target", ["/", "/registry", "/registry/instances/x"])
def test_a_request_for_another_path_is_answered_with_404(target: str) -> None:
    async def work(_registry: Registry, address: str) -> None:
        with pytest.raises(CallError) as rejected:
            await get(address, target, TIMEOUT_MS, TIMEOUT_MS)
        assert rejected.value.status == 404

    with_registry(work)


def test_a_malformed_request_closes_only_its_own_connection() -> None:
    async def work(_registry: Registry, address: str) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"what?\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        writer.close()
        assert isinstance(await fetch_endpoint_list(address), EndpointList)

    with_registry(work)
