"""The registry stand-in over real sockets, heard by the planner's own client."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import pytest

from stackwheel.endpoints import EndpointList
from stackwheel.scale import registry as module
from stackwheel.scale.control import Apply
from stackwheel.scale.entries import TERMINATED, Entry
from stackwheel.scale.registry import Registry
from stackwheel.scale.registry_list import RegistryList
from stackwheel.wire.discovery_calls import fetch_endpoint_list
from stackwheel.wire.discovery_protocol import INSTANCES_PATH, parse_endpoint_list
from stackwheel.wire.http import Call, CallError, get

LIMIT = 5_000.0  # ms


def entry(number: int, lifecycle: str = "in_service") -> Entry:
    return Entry(f"svc-0000-{number:08x}", f"10.0.0.{number}:1", "zone-00", lifecycle)


def with_registry(work: Callable[[Registry, str], Awaitable[None]]) -> None:
    async def run() -> None:
        registry = Registry(RegistryList([entry(1), entry(2)]))
        await work(registry, await registry.start("127.0.0.1"))

    asyncio.run(asyncio.wait_for(run(), 30))


async def line(call: Call) -> bytes:
    found = await call.read_chunk(LIMIT)
    assert isinstance(found, bytes)
    return found


async def listing(call: Call) -> EndpointList:
    return parse_endpoint_list(await line(call))


async def watch(address: str, since: str = "") -> Call:
    call = Call(address, f"{INSTANCES_PATH}?follow=1{since}")
    await call.open(LIMIT, LIMIT)
    return call


async def has_ended(call: Call) -> bool:
    try:
        return await call.read_chunk(LIMIT) is None
    except CallError:
        return True


def test_whole_list_and_watch_tell_the_same_and_changes_follow() -> None:
    async def work(registry: Registry, address: str) -> None:
        whole, calls = await fetch_endpoint_list(address), [await watch(address) for _ in range(3)]
        assert isinstance(whole, EndpointList)
        assert whole.complete
        assert len(whole.instances) == 2
        assert [await listing(call) for call in calls] == [whole] * 3
        registry.apply(Apply([entry(2, TERMINATED), entry(3)]))
        told = [await listing(call) for call in calls]
        assert told[0] == told[1] == told[2]
        assert told[0].generation == 2
        assert not told[0].complete
        resumed = await listing(late := await watch(address, "&since=1"))
        assert resumed == told[0]
        for call in (*calls, late):
            call.close()

    with_registry(work)


def test_an_empty_line_comes_while_nothing_changes(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(_registry: Registry, address: str) -> None:
        call = await watch(address)
        await listing(call)
        assert await line(call) == b"\n"
        assert await line(call) == b"\n"
        call.close()

    monkeypatch.setattr(module, "HEARTBEAT_INTERVAL", 0.05)
    with_registry(work)


def test_beyond_what_may_be_pending_calls_are_turned_away(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(registry: Registry, address: str) -> None:
        registry.pending = 1  # one answer is still being written
        with pytest.raises(CallError) as rejected:
            await get(address, INSTANCES_PATH, LIMIT, LIMIT)
        assert rejected.value.status == 503
        assert registry.rejected == 1
        registry.pending = 0
        assert isinstance(await fetch_endpoint_list(address), EndpointList)

    monkeypatch.setattr(module, "MAX_PENDING_BYTES", 10)
    with_registry(work)


def test_who_leaves_too_much_unread_is_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    async def work(registry: Registry, address: str) -> None:
        call = await watch(address)
        await listing(call)
        (writer,) = registry.watches
        monkeypatch.setattr(module, "MAX_UNSENT_BYTES", -1)
        registry.apply(Apply([entry(1)]))
        assert not registry.watches
        assert writer.transport.is_closing()
        assert await has_ended(call)
        call.close()

    with_registry(work)


@pytest.mark.parametrize("target", ["/", "/registry", "/registry/instances/x"])
def test_other_paths_are_unknown(target: str) -> None:
    async def work(_registry: Registry, address: str) -> None:
        with pytest.raises(CallError) as rejected:
            await get(address, target, LIMIT, LIMIT)
        assert rejected.value.status == 404

    with_registry(work)


def test_what_is_no_request_ends_its_connection_alone() -> None:
    async def work(registry: Registry, address: str) -> None:
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"what?\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        writer.close()
        assert isinstance(await fetch_endpoint_list(address), EndpointList)

    with_registry(work)
