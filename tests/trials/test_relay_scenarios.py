"""Failures of relays, caused by scripts: each test checks that the failure occurred."""

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
RELAYS_RETURN_AT_S = 14.0  # according to the script `relays-lost-and-back`
MAX_PLANNERS_PER_CELL = 16
SCRIPT_BY_DEFECT: dict[str, str] = {
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
DEFECTS_HIDDEN_BY_RENEWALS = {"behind-served"}
"""Defects whose consequences the renewal of watches ends before they break a rule."""
NEVER_MS = 1e9


def stored_script(name: str, **shape_fields: Any) -> Script:
    script = load(SCRIPTS / f"{name}.json")
    return msgspec.structs.replace(script, shape=msgspec.structs.replace(script.shape, **shape_fields))


def verdicts(world: World) -> list[str]:
    return [str(verdict) for verdict in run_world(world).verdicts]


@pytest.mark.parametrize("defect", RELAY_DEFECTS, ids=lambda defect: defect.name)
def test_script_of_a_relay_defect_reports_the_defect(monkeypatch: pytest.MonkeyPatch, defect: Defect) -> None:
    """Without the defect the script violates no rule, see `test_stored_script_violates_no_rule`."""
    if defect.name in DEFECTS_HIDDEN_BY_RENEWALS:
        monkeypatch.setattr("stackwheel.wire.timing.watch_renewal_interval", lambda _planners: NEVER_MS)
        assert not detecting_rules(defect, run_one(stored_script(SCRIPT_BY_DEFECT[defect.name])))
    with planted(defect):
        assert detecting_rules(defect, run_one(stored_script(SCRIPT_BY_DEFECT[defect.name])))


def test_relay_trial_is_reproducible_and_differs_from_the_trial_without_relays() -> None:
    assert run_script(draw(5, relays=True)).digest == run_script(draw(5, relays=True)).digest
    assert draw(5, relays=True).faults != draw(5).faults
    assert draw(5, relays=True).shape.relays == 2


def test_relay_rejects_callers_that_know_a_newer_generation() -> None:
    reasons: list[str] = []
    world = World(stored_script("relay-overtaken-by-its-twin"))

    def instrument_relays() -> None:
        for relay in world.relays.hosts if world.relays is not None else ():
            if relay.service is not None and not hasattr(relay.service.cache.answer, "instrumented"):
                relay.service.cache.answer = instrumented(relay.service.cache.answer)  # type: ignore[method-assign]
        world.context.schedule_after(0.05, instrument_relays)

    def instrumented(original: Any) -> Any:
        def answer(*args: Any) -> Any:
            try:
                return original(*args)
            except UnavailableError as error:
                reasons.append(str(error))
                raise

        answer.instrumented = True  # type: ignore[attr-defined]
        return answer

    world.context.schedule_after(0.01, instrument_relays)
    assert verdicts(world) == []
    assert "behind what the caller knows" in reasons


def test_only_the_relay_that_lost_the_registry_ends_its_watches() -> None:
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


def test_restart_of_both_relays_violates_no_rule() -> None:
    world = World(stored_script("relay-restarted"))
    assert verdicts(world) == []
    assert world.relays is not None
    assert [relay.incarnation for relay in world.relays.hosts] == [3, 3]


def test_change_of_ports_in_the_plan_moves_relays_and_planners() -> None:
    world = World(stored_script("plan-gives-other-ports"))
    assert verdicts(world) == []
    for planner in world.planners:
        assert planner.service is not None
        assert planner.service.transport.discovery.source == planner.discovery
        assert ":9003" in planner.discovery  # the ports after the second move


class CallCountingWorld(World):
    """A simulation that records the times of calls to relays and to the registry."""

    def __init__(self, script: Script) -> None:
        super().__init__(script)
        self.calls_to_relays: list[float] = []
        self.calls_to_registry: list[float] = []
        self.original_try_connect = self.network.try_connect
        self.network.try_connect = self.record_call  # type: ignore[method-assign]

    def record_call(self, dial: Dial, retries: int) -> None:
        if retries == 0:
            if dial.address[0].startswith("10.5."):
                self.calls_to_relays.append(self.loop.now)
            elif dial.address == self.discovery.address:
                self.calls_to_registry.append(self.loop.now)
        self.original_try_connect(dial, retries)


def max_calls(calls: list[float], since: float, interval: float) -> int:
    """Return the maximum number of calls in any interval (s) from the time `since` on."""
    counts = Counter(int(at / interval) for at in calls if at >= since)
    return max(counts.values(), default=0)


@pytest.mark.parametrize("on_request", [True, False])
def test_calls_to_restarted_relays_are_spread_over_time(on_request: bool) -> None:
    """Guards against many simultaneous calls, with fetches by the policy and with watches."""
    script = stored_script("relays-lost-and-back", planners=MAX_PLANNERS_PER_CELL, endpoint_list_on_request=on_request)
    world = CallCountingWorld(script)
    assert verdicts(world) == []
    calls = [at for at in world.calls_to_relays if at < RELAYS_RETURN_AT_S + 5.0]
    assert len([at for at in calls if at >= RELAYS_RETURN_AT_S]) >= MAX_PLANNERS_PER_CELL
    assert max_calls(calls, RELAYS_RETURN_AT_S, 1.0) <= MAX_PLANNERS_PER_CELL
    assert max_calls(calls, RELAYS_RETURN_AT_S, 0.25) <= MAX_PLANNERS_PER_CELL // 2
    assert max_calls(world.calls_to_registry, 1.0, 1.0) <= 2  # one call per relay


def test_calls_without_backoff_are_not_spread_over_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a spread test that would pass without any backoff."""
    monkeypatch.setattr(Backoff, "next_delay_ms", lambda _self: 50.0)
    script = stored_script("relays-lost-and-back", planners=MAX_PLANNERS_PER_CELL, endpoint_list_on_request=False)
    world = CallCountingWorld(script)
    run_world(world)
    calls = [at for at in world.calls_to_relays if at < RELAYS_RETURN_AT_S + 5.0]
    assert max_calls(calls, RELAYS_RETURN_AT_S, 0.25) > MAX_PLANNERS_PER_CELL // 2
