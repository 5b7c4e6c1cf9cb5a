"""The discovery client with a scripted service: changes of address, concurrent calls, timeouts, renewal, backoff."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from scripted_discovery import ClientHarness, ScriptedDiscovery, endpoint_list_json, run_async, start_watching

from stackwheel.wire import timing
from stackwheel.wire.discovery_commands import ChangeAddress, Command


def test_fetch_during_change_of_address_is_repeated_at_new_address() -> None:
    """Each fetch command must result in a list or a failure."""

    async def scenario() -> None:
        first = await ScriptedDiscovery().start()
        second = await ScriptedDiscovery().start()
        harness = ClientHarness(first.address)
        harness.send(Command.FETCH)
        fetch = await first.calls.get()
        harness.send(ChangeAddress(second.address))
        while harness.client.address != second.address:
            await asyncio.sleep(0)
        fetch.respond(endpoint_list_json(8, True, "a"))
        repeated = await second.calls.get()
        assert harness.posted.empty()
        repeated.respond(endpoint_list_json(3, True, "b"))
        assert await harness.next_list() == (3, True, {"b"})

    run_async(scenario)


def test_fetch_during_handover_does_not_change_the_source() -> None:
    """The source must not alternate between the old and the new address."""

    async def scenario() -> None:
        first = await ScriptedDiscovery().start()
        second = await ScriptedDiscovery().start()
        harness, old_watch = await start_watching(first, 8, "a")
        harness.send(ChangeAddress(second.address))
        new_watch = await second.calls.get()
        harness.send(Command.FETCH)
        fetch = await first.calls.get()  # the old address is still the source of the current list
        fetch.respond(endpoint_list_json(8, True, "a"))
        assert await harness.next_list() == (8, True, {"a"})
        assert harness.client.source == first.address
        new_watch.send_list(9, True, "a", "z")
        assert await harness.next_list() == (9, True, {"a", "z"})
        assert harness.client.source == second.address
        await old_watch.ended.wait()

    run_async(scenario)


def test_second_change_of_address_after_the_end_of_the_old_watch_starts_a_watch() -> None:
    """Guards against two reloads in a row after which discovery is never called again and drains are missed."""

    async def scenario() -> None:
        first, second, third = [await ScriptedDiscovery().start() for _ in range(3)]
        harness, old_watch = await start_watching(first, 8, "a")
        harness.send(ChangeAddress(second.address))
        unanswered = await second.calls.get()
        old_watch.reset()
        while harness.client.watch_task is not None:
            await asyncio.sleep(0)
        harness.send(ChangeAddress(third.address))
        new_watch = await third.calls.get()
        await unanswered.ended.wait()
        new_watch.send_list(8, True, "a", "z")
        assert await harness.next_list() == (8, True, {"a", "z"})
        assert harness.client.source == third.address

    run_async(scenario)


def test_change_back_to_the_source_replaces_a_watch_that_has_not_delivered_a_list() -> None:
    """Guards against a planner that keeps following an address which the configuration no longer names."""

    async def scenario() -> None:
        first = await ScriptedDiscovery().start()
        second = await ScriptedDiscovery().start()
        harness, old_watch = await start_watching(first, 8, "a")
        old_watch.reset()
        assert await harness.next_is_failure()
        harness.send(ChangeAddress(second.address))
        harness.send(Command.WATCH)
        unanswered = await second.calls.get()
        harness.send(ChangeAddress(first.address))
        resumed = await first.calls.get()
        assert resumed.target.endswith("since=8")
        await unanswered.ended.wait()
        resumed.send_list(9, False, "b")
        assert await harness.next_list() == (9, False, {"b"})

    run_async(scenario)


def test_fetched_list_older_than_the_watch_is_posted_as_incomplete() -> None:
    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        harness, watch = await start_watching(discovery, 8, "a", "b")
        harness.send(Command.FETCH)
        fetch = await discovery.calls.get()
        watch.send_list(9, False, "c")
        assert await harness.next_list() == (9, False, {"c"})
        fetch.respond(endpoint_list_json(8, True, "a", "b"))
        assert await harness.next_list() == (8, False, {"a", "b"})
        assert harness.client.generation == 9

    run_async(scenario)


def test_watch_that_never_completes_a_line_fails(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bytes of a line that is never completed must not keep a watch open."""
    monkeypatch.setattr(timing, "LINE_TIMEOUT_MS", 300.0)

    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        harness, watch = await start_watching(discovery, 8, "a")

        async def send_partial_line() -> None:
            while True:
                watch.send(b"{")
                await asyncio.sleep(0.02)

        sending = asyncio.create_task(send_partial_line())
        assert await harness.next_is_failure()
        await watch.ended.wait()
        sending.cancel()

    run_async(scenario)


def test_heartbeats_restart_the_line_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timing, "LINE_TIMEOUT_MS", 200.0)

    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        harness, watch = await start_watching(discovery, 8, "a")
        for _ in range(6):
            watch.send_heartbeat()
            await asyncio.sleep(0.1)
        watch.send_list(9, False, "b")
        assert await harness.next_list() == (9, False, {"b"})

    run_async(scenario)


def test_watch_without_changes_is_renewed(monkeypatch: pytest.MonkeyPatch) -> None:
    """A faulty watch may send heartbeats without updates; a second watch must deliver the missing changes."""
    monkeypatch.setattr(timing, "CONNECT_TIMEOUT_MS", 50.0)  # also the delay of the first retry

    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        harness, watch = await start_watching(discovery, 8, "a", renewal_interval_ms=1.0)
        watch.send_heartbeat()
        rejected = await discovery.calls.get()
        assert rejected.is_watch
        assert rejected.target.endswith("since=8")
        rejected.respond(b"", "503 Busy")
        await rejected.ended.wait()
        assert not watch.ended.is_set()  # a failed renewal does not end the first watch
        assert harness.posted.empty()
        successor = await discovery.calls.get()
        successor.send_list(9, False, "b")
        assert await harness.next_list() == (9, False, {"b"})
        await watch.ended.wait()
        assert not successor.ended.is_set()

    run_async(scenario)


def test_silent_watch_is_renewed_without_waiting_for_a_heartbeat() -> None:
    """Guards against a renewal that is late by a heartbeat, so that drains are told to proxies after the grace."""

    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        harness, watch = await start_watching(discovery, 8, "a", renewal_interval_ms=1.0)
        successor = await discovery.calls.get()  # the first watch has sent nothing after its list
        successor.send_list(9, False, "b")
        assert await harness.next_list() == (9, False, {"b"})
        await watch.ended.wait()

    run_async(scenario)


def test_renewal_that_delivers_nothing_is_renewed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a second watch that sends only heartbeats and prevents all later renewals of the first one."""
    monkeypatch.setattr(timing, "CONNECT_TIMEOUT_MS", 50.0)
    monkeypatch.setattr(timing, "RESPONSE_TIMEOUT_MS", 50.0)

    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        harness, watch = await start_watching(discovery, 8, "a", renewal_interval_ms=1.0)
        silent = await discovery.calls.get()
        silent.send_heartbeat()
        successor = await discovery.calls.get()
        await silent.ended.wait()
        successor.send_list(9, False, "b")
        assert await harness.next_list() == (9, False, {"b"})
        await watch.ended.wait()

    run_async(scenario)


def test_renewal_is_answered_before_changes_count_as_told() -> None:
    """Guards against drains that a planner forwards after the grace, because its watch brings no more changes."""
    for planners in (1, 2, 5, 60, 150):
        longest = timing.watch_renewal_interval(planners) + timing.CONNECT_TIMEOUT_MS + timing.RESPONSE_TIMEOUT_MS
        assert longest <= timing.LINE_TIMEOUT_MS


def test_total_renewal_rate_of_all_planners_is_limited() -> None:
    for planners in (1, 5, 150, 230, 1024):
        calls_per_second = planners * 1000.0 / timing.watch_renewal_interval(planners)
        assert calls_per_second <= 1000.0 / timing.RENEWAL_SPACING_MS


def test_client_that_always_watches_retries_with_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    """Repeated calls must not be sent at a fixed interval, simultaneously by all planners."""

    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        delays: list[float] = []
        loop = asyncio.get_running_loop()
        call_later = loop.call_later

        def call_soon(delay: float, callback: Any, *args: Any, **options: Any) -> asyncio.TimerHandle:
            if args == (Command.WATCH,):
                delays.append(delay)
                delay = 0.0
            return call_later(delay, callback, *args, **options)

        monkeypatch.setattr(loop, "call_later", call_soon)
        harness = ClientHarness(discovery.address, always_watch=True, poll_deadline_ms=20_000.0)
        for _ in range(8):
            (await discovery.calls.get()).respond(b"", "503 Busy")
        (await discovery.calls.get()).send_list(1, True, "a")
        assert await harness.next_list() == (1, True, {"a"})
        assert delays[0] <= 1.5
        assert max(delays) == 8.0
        assert delays[-1] == 8.0
        assert harness.client.backoff.failures == 0

    run_async(scenario)
