"""A planner whose discovery has replicas: a call that fails goes to the next, with the same numbers."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from fake_services import config
from scripted_discovery import ClientHarness, ScriptedCall, ScriptedDiscovery, document, run, watching

from stackwheel.endpoints import EndpointList
from stackwheel.service.config import read_config
from stackwheel.state.planner_actor import EndpointListFailed
from stackwheel.wire import discovery_client as wire
from stackwheel.wire import timing


async def pair() -> tuple[ScriptedDiscovery, ScriptedDiscovery, str]:
    first, second = await ScriptedDiscovery().start(), await ScriptedDiscovery().start()
    return first, second, f"{first.address},{second.address}"


async def followed(**how: Any) -> tuple[ClientHarness, ScriptedCall, ScriptedDiscovery, ScriptedDiscovery]:
    """A watch at the first of two replicas that has told list 8."""
    first, second, both = await pair()
    actor = ClientHarness(both, **how)
    actor.ask("watch")
    watch = await first.calls.get()
    watch.line(8, True, "a", "b")
    assert await actor.listing() == (8, True, {"a", "b"})
    return actor, watch, first, second


@pytest.fixture
def no_beat(monkeypatch: pytest.MonkeyPatch) -> None:
    """A watch counts as one that has held from its first list on."""
    monkeypatch.setattr(timing, "HEARTBEAT_INTERVAL_MS", 0.0)


@pytest.mark.usefixtures("no_beat")
def test_a_watch_that_ends_goes_on_at_the_twin_at_once_and_nothing_is_anew() -> None:
    async def work() -> None:
        actor, watch, first, second = await followed()
        watch.line(9, False, "c")
        assert await actor.listing() == (9, False, {"c"})
        watch.writer.transport.abort()
        next_one = await second.calls.get()
        assert next_one.target.endswith("follow=1&since=9")
        assert actor.posted.empty()  # no failure: the policy has heard of nothing
        next_one.line(10, False, "d")
        found = await actor.posted.get()
        assert (
            isinstance(found, EndpointList)
            and found.generation == 10
            and not found.generations_restarted
            and not found.complete
        )
        next_one.writer.transport.abort()  # and back, with what the twin has told
        again = await first.calls.get()
        assert again.target.endswith("follow=1&since=10")

    run(work)


@pytest.mark.usefixtures("no_beat")
def test_once_round_the_replicas_and_then_it_has_failed() -> None:
    async def work() -> None:
        actor, watch, first, second = await followed()
        watch.writer.transport.abort()
        (await second.calls.get()).answer(b"", "503 Busy")
        assert isinstance(await actor.posted.get(), EndpointListFailed)
        assert first.calls.empty() and second.calls.empty()
        actor.ask("watch")  # the policy asks again, when it likes to
        again = await first.calls.get()
        assert again.target.endswith("since=8")
        again.answer(b"", "503 Busy")
        third = await second.calls.get()
        third.line(9, False, "c")
        assert await actor.listing() == (9, False, {"c"})

    run(work)


def test_replicas_that_end_each_watch_at_once_are_asked_once_each() -> None:
    """Each told a list, and ended: without a bound the planner would go round and round."""

    async def work() -> None:
        actor, watch, first, second = await followed()
        watch.writer.transport.abort()
        next_one = await second.calls.get()
        next_one.line(8, False)
        assert await actor.listing() == (8, False, set())
        next_one.writer.transport.abort()
        assert isinstance(await actor.posted.get(), EndpointListFailed)
        assert first.calls.empty() and second.calls.empty()

    run(work)


def test_a_first_replica_that_is_down_costs_nothing() -> None:
    async def work() -> None:
        second = await ScriptedDiscovery().start()
        actor = ClientHarness(f"127.0.0.1:1,{second.address}")
        actor.ask("watch")
        (await second.calls.get()).line(3, True, "a")
        assert await actor.listing() == (3, True, {"a"})
        actor.ask("fetch")
        (await second.calls.get()).answer(document(4, True, "b"))
        assert await actor.listing() == (4, True, {"b"})

    run(work)


def test_a_whole_list_of_a_replica_that_is_behind_is_no_answer_while_another_has_one() -> None:
    async def work() -> None:
        actor, _, first, second = await followed()
        actor.ask("stop")
        actor.ask("fetch")
        (await first.calls.get()).answer(document(7, True, "a"))
        (await second.calls.get()).answer(document(9, True, "a", "c"))
        assert await actor.listing() == (9, True, {"a", "c"})
        actor.ask("fetch")
        (await first.calls.get()).answer(document(6, True, "a"))
        (await second.calls.get()).answer(document(7, True, "b"))
        assert await actor.listing() == (7, True, {"b"})  # all are behind: the newest of them

    run(work)


def test_a_fetch_fails_once_all_replicas_have() -> None:
    async def work() -> None:
        first, second, both = await pair()
        actor = ClientHarness(both)
        actor.ask("fetch")
        (await first.calls.get()).answer(b"", "503 Busy")
        (await second.calls.get()).answer(b"", "503 Busy")
        assert isinstance(await actor.posted.get(), EndpointListFailed) and actor.posted.empty()

    run(work)


def test_a_move_to_replicas_is_a_move() -> None:
    async def work() -> None:
        old = await ScriptedDiscovery().start()
        actor, _ = await watching(old, 8, "a")
        first, second, both = await pair()
        actor.ask(wire.Move(both))
        (await first.calls.get()).answer(b"", "503 Busy")
        new = await second.calls.get()
        assert "since" not in new.target
        new.line(3, True, "b")
        new.tell(b"\n")  # its numbers are others: nothing is behind
        found = await actor.posted.get()
        assert isinstance(found, EndpointList) and found.generations_restarted and found.generation == 3

    run(work)


def test_one_address_is_asked_once_whatever_happens() -> None:
    """As before there were replicas."""

    async def work() -> None:
        first = await ScriptedDiscovery().start()
        actor, watch = await watching(first, 8, "a")
        watch.writer.transport.abort()
        assert isinstance(await actor.posted.get(), EndpointListFailed) and first.calls.empty()
        actor.ask("watch")
        (await first.calls.get()).answer(b"", "503 Busy")
        assert isinstance(await actor.posted.get(), EndpointListFailed) and first.calls.empty()
        actor.ask("fetch")
        (await first.calls.get()).answer(b"", "503 Busy")
        assert isinstance(await actor.posted.get(), EndpointListFailed) and first.calls.empty()

    run(work)


def test_empty_lines_are_heard_once_a_watch_has_told_its_list() -> None:
    """A registry that beats before it tells would vouch for what another watch told."""

    async def work() -> None:
        first = await ScriptedDiscovery().start()
        heard = asyncio.Event()
        actor = ClientHarness(first.address, heard=heard.set)
        actor.ask("watch")
        watch = await first.calls.get()
        watch.tell(b"\n\n")
        watch.line(8, True, "a")
        assert await actor.listing() == (8, True, {"a"}) and not heard.is_set()
        watch.tell(b"\n")
        await heard.wait()

    run(work)


def test_the_configuration_takes_replicas_and_names_one_that_is_wrong() -> None:
    found = config("127.0.0.1:1,127.0.0.2:2")
    assert read_config(found).addresses.discovery == "127.0.0.1:1,127.0.0.2:2"
    for wrong in ("127.0.0.1:1,", ",127.0.0.1:1", "127.0.0.1:1,nowhere"):
        with pytest.raises(ValueError, match="discovery is no address"):
            read_config(config(wrong))
