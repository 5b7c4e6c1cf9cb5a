"""The discovery client with a replicated service: a failed call is repeated at the next replica."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from fake_services import config
from scripted_discovery import (
    ClientHarness,
    ScriptedCall,
    ScriptedDiscovery,
    endpoint_list_json,
    run_async,
    start_watching,
)

from stackwheel.endpoints import EndpointList
from stackwheel.service.config import read_config
from stackwheel.wire import timing
from stackwheel.wire.discovery_commands import ChangeAddress, Command


async def start_pair() -> tuple[ScriptedDiscovery, ScriptedDiscovery, str]:
    """Start two replicas, and return them and the address with both."""
    first = await ScriptedDiscovery().start()
    second = await ScriptedDiscovery().start()
    return first, second, f"{first.address},{second.address}"


async def watch_first_of_two(
    **options: Any,
) -> tuple[ClientHarness, ScriptedCall, ScriptedDiscovery, ScriptedDiscovery]:
    """Start a client, and deliver generation 8 on its watch at the first of two replicas."""
    first, second, both = await start_pair()
    harness = ClientHarness(both, **options)
    harness.send(Command.WATCH)
    watch = await first.calls.get()
    watch.send_list(8, True, "a", "b")
    assert await harness.next_list() == (8, True, {"a", "b"})
    return harness, watch, first, second


@pytest.fixture
def without_minimum_watch_duration(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let a watch count as stable as soon as it has delivered a list."""
    monkeypatch.setattr(timing, "HEARTBEAT_INTERVAL_MS", 0.0)


@pytest.mark.usefixtures("without_minimum_watch_duration")
def test_watch_continues_at_next_replica_after_a_reset() -> None:
    async def scenario() -> None:
        harness, watch, first, second = await watch_first_of_two()
        watch.send_list(9, False, "c")
        assert await harness.next_list() == (9, False, {"c"})
        watch.reset()
        next_watch = await second.calls.get()
        assert next_watch.target.endswith("follow=1&since=9")
        assert harness.posted.empty()  # no failure is posted
        next_watch.send_list(10, False, "d")
        endpoints = await harness.posted.get()
        assert isinstance(endpoints, EndpointList)
        assert endpoints.generation == 10
        assert not endpoints.generations_restarted
        assert not endpoints.complete
        next_watch.reset()  # the watch returns to the first replica, with the generation of the second one
        third_watch = await first.calls.get()
        assert third_watch.target.endswith("follow=1&since=10")

    run_async(scenario)


@pytest.mark.usefixtures("without_minimum_watch_duration")
def test_watch_fails_after_each_replica_has_been_called() -> None:
    async def scenario() -> None:
        harness, watch, first, second = await watch_first_of_two()
        watch.reset()
        (await second.calls.get()).respond(b"", "503 Busy")
        assert await harness.next_is_failure()
        assert first.calls.empty()
        assert second.calls.empty()
        harness.send(Command.WATCH)  # the policy requests another watch
        second_watch = await first.calls.get()
        assert second_watch.target.endswith("since=8")
        second_watch.respond(b"", "503 Busy")
        third_watch = await second.calls.get()
        third_watch.send_list(9, False, "c")
        assert await harness.next_list() == (9, False, {"c"})

    run_async(scenario)


def test_replicas_that_end_watches_early_are_called_once_each() -> None:
    """Replicas that deliver a list and then end the watch must not be called in an endless loop."""

    async def scenario() -> None:
        harness, watch, first, second = await watch_first_of_two()
        watch.reset()
        next_watch = await second.calls.get()
        next_watch.send_list(8, False)
        assert await harness.next_list() == (8, False, set())
        next_watch.reset()
        assert await harness.next_is_failure()
        assert first.calls.empty()
        assert second.calls.empty()

    run_async(scenario)


def test_unreachable_first_replica_is_skipped() -> None:
    async def scenario() -> None:
        second = await ScriptedDiscovery().start()
        harness = ClientHarness(f"127.0.0.1:1,{second.address}")
        harness.send(Command.WATCH)
        (await second.calls.get()).send_list(3, True, "a")
        assert await harness.next_list() == (3, True, {"a"})
        harness.send(Command.FETCH)
        (await second.calls.get()).respond(endpoint_list_json(4, True, "b"))
        assert await harness.next_list() == (4, True, {"b"})

    run_async(scenario)


def test_fetch_uses_first_replica_with_current_list() -> None:
    async def scenario() -> None:
        harness, _, first, second = await watch_first_of_two()
        harness.send(Command.STOP)
        harness.send(Command.FETCH)
        (await first.calls.get()).respond(endpoint_list_json(7, True, "a"))
        (await second.calls.get()).respond(endpoint_list_json(9, True, "a", "c"))
        assert await harness.next_list() == (9, True, {"a", "c"})
        harness.send(Command.FETCH)
        (await first.calls.get()).respond(endpoint_list_json(6, True, "a"))
        (await second.calls.get()).respond(endpoint_list_json(7, True, "b"))
        assert await harness.next_list() == (7, True, {"b"})  # both are older than the current list: the newer one

    run_async(scenario)


def test_fetch_fails_after_all_replicas_have_failed() -> None:
    async def scenario() -> None:
        first, second, both = await start_pair()
        harness = ClientHarness(both)
        harness.send(Command.FETCH)
        (await first.calls.get()).respond(b"", "503 Busy")
        (await second.calls.get()).respond(b"", "503 Busy")
        assert await harness.next_is_failure()
        assert harness.posted.empty()

    run_async(scenario)


def test_change_to_replicated_address_restarts_generations() -> None:
    async def scenario() -> None:
        old = await ScriptedDiscovery().start()
        harness, _ = await start_watching(old, 8, "a")
        first, second, both = await start_pair()
        harness.send(ChangeAddress(both))
        (await first.calls.get()).respond(b"", "503 Busy")
        new_watch = await second.calls.get()
        assert "since" not in new_watch.target
        new_watch.send_list(3, True, "b")
        new_watch.send_heartbeat()  # ends the wait for a later generation, as the generations are unrelated
        endpoints = await harness.posted.get()
        assert isinstance(endpoints, EndpointList)
        assert endpoints.generations_restarted
        assert endpoints.generation == 3

    run_async(scenario)


def test_single_address_is_called_once_per_command() -> None:
    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        harness, watch = await start_watching(discovery, 8, "a")
        watch.reset()
        assert await harness.next_is_failure()
        assert discovery.calls.empty()
        harness.send(Command.WATCH)
        (await discovery.calls.get()).respond(b"", "503 Busy")
        assert await harness.next_is_failure()
        assert discovery.calls.empty()
        harness.send(Command.FETCH)
        (await discovery.calls.get()).respond(b"", "503 Busy")
        assert await harness.next_is_failure()
        assert discovery.calls.empty()

    run_async(scenario)


def test_heartbeats_before_the_first_list_are_not_reported() -> None:
    """A heartbeat of a watch that has not delivered a list does not confirm the current list."""

    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        heartbeat = asyncio.Event()
        harness = ClientHarness(discovery.address, on_heartbeat=heartbeat.set)
        harness.send(Command.WATCH)
        watch = await discovery.calls.get()
        watch.send(b"\n\n")
        watch.send_list(8, True, "a")
        assert await harness.next_list() == (8, True, {"a"})
        assert not heartbeat.is_set()
        watch.send_heartbeat()
        await heartbeat.wait()

    run_async(scenario)


def test_configuration_accepts_replicas_and_rejects_invalid_addresses() -> None:
    document = config("127.0.0.1:1,127.0.0.2:2")
    assert read_config(document).addresses.discovery == "127.0.0.1:1,127.0.0.2:2"
    for invalid_address in ("127.0.0.1:1,", ",127.0.0.1:1", "127.0.0.1:1,nowhere"):
        with pytest.raises(ValueError, match="discovery: not host:port"):
            read_config(config(invalid_address))
