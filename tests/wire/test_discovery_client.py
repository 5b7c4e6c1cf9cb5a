"""The list's actor against a discovery that the test scripts call by call: moves, overtaking, silence, descriptors."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest
from scripted_discovery import ClientHarness, ScriptedDiscovery, document, run, watching

from stackwheel.state.planner_actor import EndpointListFailed
from stackwheel.wire import discovery_client as wire
from stackwheel.wire import timing
from stackwheel.wire.backoff import Backoff
from stackwheel.wire.http import Call, get


def test_a_fetch_whose_discovery_moves_meanwhile_is_answered_by_the_new_one() -> None:
    """It ended with neither a list nor a failure."""

    async def work() -> None:
        first, second = await ScriptedDiscovery().start(), await ScriptedDiscovery().start()
        actor = ClientHarness(first.address)
        actor.ask("fetch")
        asked = await first.calls.get()
        actor.ask(wire.Move(second.address))
        while actor.actor.address != second.address:
            await asyncio.sleep(0)
        asked.answer(document(8, True, "a"))
        again = await second.calls.get()
        assert actor.posted.empty()
        again.answer(document(3, True, "b"))
        assert await actor.listing() == (3, True, {"b"})

    run(work)


def test_a_fetch_under_way_at_a_move_switches_no_source() -> None:
    """Old watch, new watch and a fetch settled each in turn, and the source went back and forth."""

    async def work() -> None:
        first, second = await ScriptedDiscovery().start(), await ScriptedDiscovery().start()
        actor, old = await watching(first, 8, "a")
        actor.ask(wire.Move(second.address))
        new = await second.calls.get()
        actor.ask("fetch")
        asked = await first.calls.get()  # of whose list is in force, not of who has not answered yet
        asked.answer(document(8, True, "a"))
        assert await actor.listing() == (8, True, {"a"}) and actor.actor.source == first.address
        new.line(9, True, "a", "z")
        assert await actor.listing() == (9, True, {"a", "z"}) and actor.actor.source == second.address
        await old.ended.wait()  # the old watch is let go

    run(work)


def test_a_fetch_that_the_watch_has_overtaken_is_no_whole_list() -> None:
    async def work() -> None:
        first = await ScriptedDiscovery().start()
        actor, watch = await watching(first, 8, "a", "b")
        actor.ask("fetch")
        asked = await first.calls.get()
        watch.line(9, False, "c")
        assert await actor.listing() == (9, False, {"c"})
        asked.answer(document(8, True, "a", "b"))
        assert await actor.listing() == (8, False, {"a", "b"}) and actor.actor.generation == 9

    run(work)


def test_a_watch_that_drips_and_ends_no_line_has_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Silence was measured by bytes alone: a drip kept it alive for ever."""
    monkeypatch.setattr(timing, "LINE_TIMEOUT_MS", 300.0)

    async def work() -> None:
        first = await ScriptedDiscovery().start()
        actor, watch = await watching(first, 8, "a")

        async def drip() -> None:
            while True:
                watch.tell(b"{")
                await asyncio.sleep(0.02)

        dripping = asyncio.create_task(drip())
        assert isinstance(await actor.posted.get(), EndpointListFailed)
        await watch.ended.wait()
        dripping.cancel()

    run(work)


def test_beats_are_lines_too(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timing, "LINE_TIMEOUT_MS", 200.0)

    async def work() -> None:
        first = await ScriptedDiscovery().start()
        actor, watch = await watching(first, 8, "a")
        for _ in range(6):
            watch.tell(b"\n")
            await asyncio.sleep(0.1)
        watch.line(9, False, "b")
        assert await actor.listing() == (9, False, {"b"})

    run(work)


def test_a_watch_whose_updates_have_stopped_is_renewed() -> None:
    """It beats, so that nothing shows; what it no longer tells, the next one does."""

    async def work() -> None:
        first = await ScriptedDiscovery().start()
        actor, watch = await watching(first, 8, "a", renewal=1.0)
        await asyncio.sleep(0.002)
        watch.tell(b"\n")
        refused = await first.calls.get()
        assert refused.watch and refused.target.endswith("since=8")
        refused.answer(b"", "503 Busy")
        await refused.ended.wait()
        assert not watch.ended.is_set() and actor.posted.empty()  # the old one goes on: no loss
        watch.tell(b"\n")
        while first.calls.empty():
            await asyncio.sleep(0.002)
            watch.tell(b"\n")
        next_one = await first.calls.get()
        next_one.line(9, False, "b")
        assert await actor.listing() == (9, False, {"b"})
        await watch.ended.wait()
        assert not next_one.ended.is_set()

    run(work)


def test_renewals_of_all_planners_together_are_bounded() -> None:
    for planners in (1, 5, 230, 1024):
        calls_a_second = planners * 1000.0 / timing.watch_renewal_interval(planners)
        assert calls_a_second <= 1000.0 / timing.HEARTBEAT_INTERVAL_MS
    assert timing.watch_renewal_interval(1) >= timing.LINE_TIMEOUT_MS


def test_calls_that_fail_come_further_apart_and_not_in_step() -> None:
    waits = {seed: [Backoff(1000.0, 4000.0, Random(seed)).next() for _ in range(1)] for seed in range(230)}
    assert len({wait for (wait,) in waits.values()}) == 230
    backoff = Backoff(1000.0, 4000.0, Random(1))
    first = [backoff.next() for _ in range(40)]
    assert 500.0 <= first[0] <= 1500.0 and max(first) <= 4000.0 and min(first[3:]) >= 4000.0
    backoff.reset()
    assert backoff.next() <= 1500.0


def test_a_watch_that_comes_unasked_backs_off_too(monkeypatch: pytest.MonkeyPatch) -> None:
    """Where changes come unasked the actor itself repeats the call: once a second, all planners in step."""

    async def work() -> None:
        first = await ScriptedDiscovery().start()
        delays: list[float] = []
        loop = asyncio.get_running_loop()
        later = loop.call_later

        def call_later(delay: float, callback: Any, *args: Any, **how: Any) -> asyncio.TimerHandle:
            if args == ("watch",):
                delays.append(delay)
                delay = 0.0
            return later(delay, callback, *args, **how)

        monkeypatch.setattr(loop, "call_later", call_later)
        actor = ClientHarness(first.address, follow_always=True, ask_within=20_000.0)
        for _ in range(8):
            (await first.calls.get()).answer(b"", "503 Busy")
        (await first.calls.get()).line(1, True, "a")
        assert await actor.listing() == (1, True, {"a"})
        assert delays[0] <= 1.5 and max(delays) == 8.0 and delays[-1] == 8.0
        assert actor.actor.backoff.failures == 0

    run(work)


@pytest.mark.parametrize("when", ["dialling", "connected", "answered"])
def test_a_call_given_up_at_any_moment_holds_no_descriptor(when: str) -> None:
    async def work() -> None:
        first = await ScriptedDiscovery().start()
        call = Call(first.address, "/x")

        async def whole() -> None:
            try:
                await call.open(10_000.0, 10_000.0)
                await asyncio.Event().wait()
            finally:
                call.close()

        task = asyncio.create_task(whole())
        while call.dialling is None:
            await asyncio.sleep(0)
        if when == "connected":  # in the very turn in which the connection came, before anybody took it
            call.dialling.add_done_callback(lambda _: task.cancel())
        elif when == "answered":
            (await first.calls.get()).answer(b"x")
            while call.http.their_state.__name__ != "DONE" and call.writer is None:
                await asyncio.sleep(0)
        if when != "connected":
            task.cancel()
        await asyncio.wait({task, call.dialling})
        assert call.writer is None or when == "answered"
        await asyncio.sleep(0)
        if not call.dialling.cancelled():
            _, writer = call.dialling.result()
            assert writer.transport.is_closing()

    run(work)


def test_an_address_that_is_none_is_a_failed_dial() -> None:
    """A port beyond 65535 raised OverflowError, which ended the probe with no answer."""

    async def work() -> None:
        for address in ("127.0.0.1:99999999", "127.0.0.1:", "nowhere", ":-1"):
            failed = await get(address, "/x", 5000.0, 5000.0)
            assert not isinstance(failed, bytes) and failed.stage.name == "DIAL"

    run(work)


def test_an_answer_beyond_its_bound_is_cut_off() -> None:
    async def work() -> None:
        first = await ScriptedDiscovery().start()
        task = asyncio.create_task(get(first.address, "/stats", 5000.0, 5000.0, 1000))
        asked = await first.calls.get()
        asked.answer(b"x" * 5000)
        failed = await task
        assert not isinstance(failed, bytes) and failed.reason == "over 1000 bytes"
        await asked.ended.wait()

    run(work)
