"""Relays on the virtual clock: each test shows that what its script is about did happen."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest

from stackwheel.relay.messages import UnavailableError
from stackwheel.trials.defects.planting import Defect, planted
from stackwheel.trials.defects.relay import RELAY_DEFECTS
from stackwheel.trials.defects.search import detecting_rules
from stackwheel.trials.draw import draw
from stackwheel.trials.network import Dial
from stackwheel.trials.runner import run_one
from stackwheel.trials.script import Script, load
from stackwheel.trials.simulation import run_script, run_world
from stackwheel.trials.world import World
from stackwheel.wire.backoff import Backoff
from stackwheel.wire.endpoint_watch import EndpointWatch

SCRIPTS = Path(__file__).parent / "scripts"
BOTH_RELAYS_BACK_AT = 14.0  # s, of the script `relays-lost-and-back`: they are lost for 8 s
PLANNERS = 16  # as many as a cell may hold
SCRIPT_OF_DEFECT: dict[str, str] = {  # that shows it
    "old-generation-served": "cell-shrinks",
    "behind-served": "relay-overtaken-by-its-twin",
    "gap-before-watch": "relay-killed-during-a-drain",
    "lost-registry-vouched-for": "relay-cut-off-and-healed",
    "unreadable-as-departure": "unreadable-entries",
    "departures-not-resumed": "registry-is-down",
    "resumed-below-the-log": "relays-restart-while-a-planner-is-away",
    "older-told": "registry-tells-an-older-state",
    "dropped-for-slow-reader": "slow-planner-reader",
}


def stored_script(name: str, **shape_fields: Any) -> Script:
    script = load(SCRIPTS / f"{name}.json")
    return msgspec.structs.replace(script, shape=msgspec.structs.replace(script.shape, **shape_fields))


def verdicts(world: World) -> list[str]:
    return [str(verdict) for verdict in run_world(world).verdicts]


@pytest.mark.parametrize("defect", RELAY_DEFECTS, ids=lambda defect: defect.name)
def test_each_defect_of_a_relay_is_found(defect: Defect) -> None:
    """Without it the script keeps every rule: see test_stored_script_breaks_no_rule."""
    with planted(defect):
        assert detecting_rules(defect, run_one(stored_script(SCRIPT_OF_DEFECT[defect.name])))


def test_relay_trial_replays_and_its_seeds_draw_other_scripts() -> None:
    assert run_script(draw(5, relays=True)).digest == run_script(draw(5, relays=True)).digest
    assert draw(5, relays=True).faults != draw(5).faults
    assert draw(5, relays=True).shape.relays == 2


def test_relay_that_is_behind_rejects_callers_that_know_more() -> None:
    reasons: list[str] = []
    world = World(stored_script("relay-overtaken-by-its-twin"))

    def watch_relays() -> None:
        for relay in world.relays.hosts if world.relays is not None else ():
            if relay.service is not None and not hasattr(relay.service.cache.answer, "watched"):
                relay.service.cache.answer = watched(relay.service.cache.answer)  # type: ignore[method-assign]
        world.context.schedule_after(0.05, watch_relays)

    def watched(original: Any) -> Any:
        def answer(*args: Any) -> Any:
            try:
                return original(*args)
            except UnavailableError as error:
                reasons.append(str(error))
                raise

        answer.watched = True  # type: ignore[attr-defined]
        return answer

    world.context.schedule_after(0.01, watch_relays)
    assert verdicts(world) == []
    assert "behind what the caller knows" in reasons


def test_relay_without_the_registry_ends_its_watches_and_its_twin_goes_on() -> None:
    lines: list[str] = []
    world = World(stored_script("relay-cut-off-and-healed"), trace=lines.append)
    assert verdicts(world) == []
    assert any("relay-1: watch ended: reason=upstream lost" in line for line in lines)
    assert not any("relay-0: watch ended: reason=upstream lost" in line for line in lines)


def test_slow_reader_is_sent_a_snapshot(monkeypatch: pytest.MonkeyPatch) -> None:
    pending_bytes: list[int] = []
    original = EndpointWatch.request_snapshot

    def request_snapshot(self: EndpointWatch) -> None:
        if self.is_writing:
            pending_bytes.append(self.pending_bytes)
        original(self)

    monkeypatch.setattr(EndpointWatch, "request_snapshot", request_snapshot)
    assert verdicts(World(stored_script("slow-planner-reader"))) == []
    assert pending_bytes
    assert min(pending_bytes) > 32 << 10


def test_both_relays_restart_and_planners_find_them_again() -> None:
    world = World(stored_script("relay-restarted"))
    assert verdicts(world) == []
    assert world.relays is not None
    assert [relay.incarnation for relay in world.relays.hosts] == [3, 3]


def test_plan_with_other_ports_moves_relays_and_planners() -> None:
    world = World(stored_script("plan-gives-other-ports"))
    assert verdicts(world) == []
    for planner in world.planners:
        assert planner.service is not None
        assert planner.service.transport.discovery.source == planner.discovery
        assert ":9003" in planner.discovery  # the second move


class CallCountingWorld(World):
    """Notes when planners connect to relays, and relays to the registry."""

    def __init__(self, script: Script) -> None:
        super().__init__(script)
        self.calls_to_relays: list[float] = []
        self.calls_to_registry: list[float] = []
        self.original_try_connect = self.network.try_connect
        self.network.try_connect = self.note_call  # type: ignore[method-assign]

    def note_call(self, dial: Dial, retries: int) -> None:
        if retries == 0:
            if dial.address[0].startswith("10.5."):
                self.calls_to_relays.append(self.loop.now)
            elif dial.address == self.discovery.address:
                self.calls_to_registry.append(self.loop.now)
        self.original_try_connect(dial, retries)


def max_calls(calls: list[float], since: float, span: float) -> int:
    """The most calls in any of the spans (s) that time is divided into, from `since` on."""
    counts = Counter(int(at / span) for at in calls if at >= since)
    return max(counts.values(), default=0)


@pytest.mark.parametrize("on_request", [True, False])
def test_relays_that_return_meet_no_herd(on_request: bool) -> None:
    """Whether the policy says when to poll again, or the client of the list does."""
    script = stored_script("relays-lost-and-back", planners=PLANNERS, endpoint_list_on_request=on_request)
    world = CallCountingWorld(script)
    assert verdicts(world) == []
    calls = [at for at in world.calls_to_relays if at < BOTH_RELAYS_BACK_AT + 5.0]
    assert len([at for at in calls if at >= BOTH_RELAYS_BACK_AT]) >= PLANNERS  # all of them came
    assert max_calls(calls, BOTH_RELAYS_BACK_AT, 1.0) <= PLANNERS
    assert max_calls(calls, BOTH_RELAYS_BACK_AT, 0.25) <= PLANNERS // 2
    assert max_calls(world.calls_to_registry, 1.0, 1.0) <= 2  # one call a relay


def test_callers_without_backoff_are_a_herd(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Backoff, "next_delay_ms", lambda _self: 50.0)
    script = stored_script("relays-lost-and-back", planners=PLANNERS, endpoint_list_on_request=False)
    world = CallCountingWorld(script)
    run_world(world)
    calls = [at for at in world.calls_to_relays if at < BOTH_RELAYS_BACK_AT + 5.0]
    assert max_calls(calls, BOTH_RELAYS_BACK_AT, 0.25) > PLANNERS // 2
