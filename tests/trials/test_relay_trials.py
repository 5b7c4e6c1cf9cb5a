"""Relays on the virtual clock: each test shows that what its script is about did happen, and that the checks can fail."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import pytest

from stackwheel.interface import Availability
from stackwheel.relay.messages import UnavailableError
from stackwheel.rules.violations import Rule
from stackwheel.trials import script as s
from stackwheel.trials.defects.planting import Defect, planted
from stackwheel.trials.defects.relay import RELAY_DEFECTS
from stackwheel.trials.defects.search import rules_showing
from stackwheel.trials.draw import draw
from stackwheel.trials.relay_views import Reading
from stackwheel.trials.runner import run_one
from stackwheel.trials.world import World, run_script
from stackwheel.wire.backoff import Backoff
from stackwheel.wire.endpoint_watch import EndpointWatch

SCRIPTS = Path(__file__).parent / "scripts"
SHAPE = s.Shape(planners=2, proxies=4, servers=6, relays=2, use=0.3)
SHOWN_BY: dict[str, str] = {  # defect: the script that shows it
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


def script(name: str, **shape: Any) -> s.Script:
    found = s.load(SCRIPTS / f"{name}.json")
    return msgspec.structs.replace(found, shape=msgspec.structs.replace(found.shape, **shape))


def verdicts(world: World) -> list[str]:
    return [str(verdict) for verdict in world.run().verdicts]


@pytest.mark.parametrize("defect", RELAY_DEFECTS, ids=lambda defect: defect.name)
def test_each_defect_of_a_relay_is_found(defect: Defect) -> None:
    """Without it the script keeps every rule: see test_what_was_broken_once_is_kept_now."""
    with planted(defect):
        assert rules_showing(defect, run_one(script(SHOWN_BY[defect.name])))


def test_a_relay_trial_replays_and_its_seeds_are_others() -> None:
    assert run_script(draw(5, relays=True)).digest == run_script(draw(5, relays=True)).digest
    assert draw(5, relays=True).faults != draw(5).faults and draw(5, relays=True).shape.relays == 2


# what the scripts make happen


def test_a_relay_that_is_behind_rejects_callers_that_are_ahead() -> None:
    rejected: list[str] = []
    world = World(script("relay-overtaken-by-its-twin"))

    def look() -> None:
        for relay in world.relays.hosts if world.relays is not None else ():
            if relay.service is not None and not hasattr(relay.service.cache.answer, "watched"):
                relay.service.cache.answer = watched(relay.service.cache.answer)  # type: ignore[method-assign]
        world.loop.at(world.loop.now + 0.05, None, look)

    def watched(original: Any) -> Any:
        def answer(*arguments: Any) -> Any:
            try:
                return original(*arguments)
            except UnavailableError as error:
                rejected.append(str(error))
                raise

        answer.watched = True  # type: ignore[attr-defined]
        return answer

    world.loop.at(0.01, None, look)
    assert verdicts(world) == []
    assert "behind what the caller knows" in rejected


def test_a_relay_without_the_registry_ends_its_watches_and_its_twin_goes_on() -> None:
    told: list[str] = []
    world = World(script("relay-cut-off-and-healed"), trace=told.append)
    assert verdicts(world) == []
    assert any("relay-1: watch ended: reason=upstream lost" in line for line in told)
    assert not any("relay-0: watch ended: reason=upstream lost" in line for line in told)


def test_a_slow_reader_gets_a_snapshot(monkeypatch: pytest.MonkeyPatch) -> None:
    dropped: list[int] = []
    original = EndpointWatch.request_snapshot

    def request_snapshot(self: EndpointWatch) -> None:
        if self.writing:
            dropped.append(self.pending_bytes)
        original(self)

    monkeypatch.setattr(EndpointWatch, "request_snapshot", request_snapshot)
    assert verdicts(World(script("slow-planner-reader"))) == []
    assert dropped and min(dropped) > 32 << 10


def test_both_relays_restart_and_planners_find_them_again() -> None:
    world = World(script("relay-restarted"))
    assert verdicts(world) == []
    assert world.relays is not None and [relay.lives for relay in world.relays.hosts] == [3, 3]


def test_a_plan_with_other_ports_moves_relays_and_planners() -> None:
    world = World(script("plan-gives-other-ports"))
    assert verdicts(world) == []
    for planner in world.hosts:
        assert planner.service is not None
        assert planner.service.transport.discovery.source == planner.discovery
        assert ":9003" in planner.discovery  # the second move


class Calls(World):
    """Counts the connections that planners ask for at relays, and relays at the registry."""

    def __init__(self, given: s.Script) -> None:
        super().__init__(given)
        self.at_relays: list[float] = []
        self.at_registry: list[float] = []
        honest = self.network.syn

        def syn(machine: Any, address: Any, protocol: Any, opened: Any, tries: int) -> None:
            if tries == 0:
                calls = self.at_relays if address[0].startswith("10.5.") else self.at_registry
                if calls is self.at_relays or address == self.discovery.address:
                    calls.append(self.loop.now)
            honest(machine, address, protocol, opened, tries)

        self.network.syn = syn  # type: ignore[method-assign]

    def most(self, calls: list[float], since: float, span: float) -> int:
        """Of calls within any `span` (s), from `since` on."""
        counts = Counter(int(at / span) for at in calls if at >= since)
        return max(counts.values(), default=0)


BACK, PLANNERS = 14.0, 16  # s when both relays of the script are back after 8 s; as many planners as a cell may hold


@pytest.mark.parametrize("on_request", [True, False])
def test_relays_that_come_back_meet_no_herd(on_request: bool) -> None:
    """Whether the policy says when to ask again, or the list's actor does."""
    world = Calls(script("relays-lost-and-back", planners=PLANNERS, on_request=on_request))
    assert verdicts(world) == []
    after = [at for at in world.at_relays if at < BACK + 5.0]
    assert len([at for at in after if at >= BACK]) >= PLANNERS  # all of them came
    assert world.most(after, BACK, 1.0) <= PLANNERS
    assert world.most(after, BACK, 0.25) <= PLANNERS // 2
    assert world.most(world.at_registry, 1.0, 1.0) <= 2  # one call a relay


def test_callers_that_do_not_back_off_are_a_herd(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Backoff, "next_delay_ms", lambda self: 50.0)
    world = Calls(script("relays-lost-and-back", planners=PLANNERS, on_request=False))
    world.run()
    after = [at for at in world.at_relays if at < BACK + 5.0]
    assert world.most(after, BACK, 0.25) > PLANNERS // 2


# what may not be told, and what must be held


@pytest.fixture
def world() -> World:
    """Told of, but not begun."""
    made = World(s.Script(7, 5.0, SHAPE))
    for planner in made.hosts:
        made.planner_up(planner)
    return made


def listing(generation: int, *entries: tuple[str, str], whole: bool = False) -> dict[str, Any]:
    some = [{"instanceId": name, "lifecycle": state, "startedAtMs": 0} for name, state in entries]
    return {"generation": generation, "reset": whole, "instances": some}


@pytest.mark.parametrize(
    ("told", "why"),
    [
        ([listing(5, ("t-1", "in_service"))], "t-1 of another cell"),
        ([listing(5, ("s-1", "in_service"), ("s-1", "in_service"))], "s-1 stands twice"),
        ([listing(5, ("s-1", "in_service")), listing(4, ("s-2", "in_service"))], "told changes of 4 after 5"),
        ([listing(5, ("s-1", "terminating")), listing(6, ("s-1", "in_service"))], "s-1 goes back"),
    ],
)
def test_what_a_relay_may_not_tell(world: World, told: list[dict[str, Any]], why: str) -> None:
    assert world.relays is not None
    drains = next_word(world, "s-1", Availability.DRAINING)
    world.relays.changed([drains])
    reading = Reading()
    for one in told:
        world.relays.views.read(0, reading, one)
    (verdict,) = world.checker.violations
    assert verdict.rule is Rule.PART and why in verdict.detail


def next_word(world: World, name: str, state: Availability) -> Any:
    """The registry's next word of a server."""
    record = replace(world.discovery.records[name], state=state)
    world.discovery.change([record])
    return record


def test_what_the_registry_itself_takes_back_may_be_told() -> None:
    world = World(s.Script(7, 5.0, SHAPE))
    assert world.relays is not None
    views, reading = world.relays.views, Reading()
    views.remember([next_word(world, "s-1", Availability.DRAINING)])
    views.remember([next_word(world, "s-1", Availability.READY)])
    views.read(0, reading, listing(5, ("s-1", "terminating")))
    views.read(0, reading, listing(6, ("s-1", "in_service")))
    assert world.checker.violations == []


def test_older_words_oblige_a_planner_to_nothing(world: World) -> None:
    assert world.relays is not None
    views = world.relays.views
    world.relays.changed([next_word(world, "s-1", Availability.DRAINING)])
    views.read(0, Reading(), listing(5, ("s-1", "terminating")))
    assert "s-1" in world.checker.planners[0].unavailable_since
    views.read(0, Reading(), listing(4, ("s-1", "in_service")))
    assert "s-1" in world.checker.planners[0].unavailable_since


@pytest.mark.parametrize("how", ["lost", "kept", "back", "another"])
def test_a_planner_that_does_not_hold_its_part_breaks_the_rule(how: str) -> None:
    world = World(s.Script(7, 5.0, SHAPE, (s.Drain(1.0, ("server-1",), 60.0), s.Die(1.0, ("server-2",), 0.0))))

    def spoil() -> None:
        service = world.hosts[0].service
        assert service is not None
        entries, ids = service.endpoints.entries, service.endpoints.server_ids
        places = {ids.name(server): server for server in entries}
        drains = places["s-1"]
        if how == "lost":
            del entries[places["s-0"]]
        elif how == "back":
            entries[drains] = replace(entries[drains], availability=Availability.READY)
        elif how == "another":
            entries[places["s-0"]] = replace(entries[places["s-0"]], started_at=1.0)
        else:
            entries[99] = entries[places["s-0"]]

    world.loop.at(4.0, None, spoil)
    found = world.run().verdicts
    assert found and {verdict.rule for verdict in found} <= {Rule.PART, Rule.UPRIGHT}
    assert any(verdict.rule is Rule.PART and verdict.planner == 0 for verdict in found)


def test_what_was_told_counts_after_six_seconds_where_a_way_was_open_for_long() -> None:
    world = World(s.Script(7, 5.0, SHAPE))
    assert world.relays is not None
    for planner in world.hosts:
        world.planner_up(planner)
    views = world.relays.views
    world.loop.now = 100.0
    world.relays.changed([next_word(world, "s-1", Availability.DRAINING)])
    away = world.checker.planners[0].unavailable_since
    for now, open_since, told in (
        (105.9, 0.0, False),  # not yet
        (106.1, None, False),  # no way
        (106.1, 95.0, False),  # open for 11.1 s: a planner may have had no reason to ask
        (111.1, 95.0, True),
    ):
        world.loop.now = now
        views.pass_time(0, open_since)
        assert ("s-1" in away) is told
    views.pass_time(1, 0.0)
    assert "s-1" in world.checker.planners[1].unavailable_since


def test_relays_are_named_only_where_there_are_some() -> None:
    kill = s.Kill(1.0, ("relay-1",))
    assert s.check(s.Script(1, 5.0, s.Shape(relays=2), (kill,)))
    with pytest.raises(s.ScriptError, match="has no 'relay-1'"):
        s.check(s.Script(1, 5.0, s.Shape(relays=1), (kill,)))
    with pytest.raises(s.ScriptError, match="unreadable entries are for a shape with relays"):
        s.check(s.Script(1, 5.0, s.Shape(), (s.Unreadable(1.0, ("server-0",), 2.0),)))
