"""Each rule as its events come: broken just past its limit, kept just before, and silent where no limit runs."""

from __future__ import annotations

from dataclasses import replace

import pytest

from stackwheel.interface import AdmissionLevel, Availability, RequestClass, Retry
from stackwheel.rules.checker import Checker, ListedEndpoint
from stackwheel.rules.invariants import BoundedCount, disagreement, level_disagreement, over_bounds
from stackwheel.rules.violations import AFTER_READY, Limits, Rule, Violation

READ = RequestClass("read", idempotency="repeatable")
BOOK = RequestClass("book", idempotency="once")
NEAR = RequestClass("near", zone_local=True)
LIMITS = Limits(
    unserved=5000.0,
    drain=3000.0,
    overload=2000.0,
    overload_multiple=3.0,
    backlog=100.0,
    cap=3,
    cap_window=10_000.0,
    removal_is_advisory=False,
)
READY = ListedEndpoint(Availability.READY, 0, 0, 0.0)
DRAINING = ListedEndpoint(Availability.DRAINING, 0, 0, 0.0)
GONE = ListedEndpoint(Availability.REMOVED, 0, 0, 0.0)


def checker(limits: Limits = LIMITS, classes: tuple[RequestClass, ...] = (READ, BOOK)) -> Checker:
    found = Checker(limits, classes, 2)
    found.proxy_comes(0, 0)
    found.planner_ready(0, 0.0)
    found.joined(0, 0, AFTER_READY)
    return found


def rules(found: Checker) -> list[Rule]:
    return [verdict.rule for verdict in found.verdicts]


def test_a_proxy_without_a_line_breaks_the_rule_once_the_limit_is_over() -> None:
    found = checker()
    found.tell(0, 0.0, "s", READY)
    found.lines(0, 0, False, 2000.0)
    found.advance(6999.0)
    assert not found.verdicts
    found.advance(7000.0)
    assert rules(found) == [Rule.SERVED] and found.verdicts[0].proxy == 0


@pytest.mark.parametrize("change", ["line back", "no warm server", "left", "planner gone", "held off", "still"])
def test_no_limit_runs_where_nobody_owes_a_line(change: str) -> None:
    found = checker()
    found.tell(0, 0.0, "s", ListedEndpoint(Availability.READY, 0, 0, 1e9 if change == "no warm server" else 0.0))
    found.lines(0, 0, False, 2000.0)
    found.advance(4000.0)
    if change == "line back":
        found.lines(0, 0, True, 4000.0)
    elif change == "left":
        found.left(0, 4000.0)
    elif change == "planner gone":
        found.planner_gone(0, 4000.0)
    elif change == "held off":
        found.hold_off(0, 4000.0)
    elif change == "still":
        found.hold_off_proxy(0, 4000.0)
    found.advance(8999.0)
    assert not found.verdicts


def test_the_limit_begins_when_a_server_turns_warm() -> None:
    found = checker()
    found.tell(0, 0.0, "s", ListedEndpoint(Availability.READY, 0, 0, 6000.0))
    found.lines(0, 0, False, 2000.0)
    found.advance(6000.0)
    found.advance(10_999.0)
    assert not found.verdicts
    found.advance(11_000.0)
    assert rules(found) == [Rule.SERVED]


def test_a_class_bound_to_its_zone_is_owed_a_line_only_from_servers_there() -> None:
    found = checker(classes=(NEAR,))
    found.tell(0, 0.0, "s", ListedEndpoint(Availability.READY, 1, 0, 0.0))
    found.lines(0, 0, False, 1000.0)
    found.advance(60_000.0)
    assert not found.verdicts
    found.tell(0, 60_000.0, "t", READY)
    found.advance(65_000.0)
    assert rules(found) == [Rule.SERVED]


def test_a_drain_binds_from_the_moment_of_telling() -> None:
    found = checker()
    found.tell(0, 5000.0, "s", READY)
    found.tell(0, 6000.0, "s", DRAINING)
    found.sent(0, "s", 9000.0)
    assert not found.verdicts
    found.sent(0, "s", 9001.0)
    assert rules(found) == [Rule.DRAINS] and found.verdicts[0].server == "s"


def test_told_again_a_drain_binds_from_its_first_telling() -> None:
    found = checker()
    found.tell(0, 5000.0, "s", READY)
    found.tell(0, 6000.0, "s", DRAINING)
    found.tell(0, 8000.0, "s", GONE)
    found.sent(0, "s", 9001.0)
    assert rules(found) == [Rule.DRAINS]


@pytest.mark.parametrize("change", ["ready again", "joined late", "left", "never listed", "held off"])
def test_a_drain_does_not_bind(change: str) -> None:
    found = checker()
    if change != "never listed":
        found.tell(0, 5000.0, "s", READY)
    found.tell(0, 6000.0, "s", GONE)
    if change == "ready again":
        found.tell(0, 8000.0, "s", READY)
    elif change == "joined late":
        found.joined(0, 0, 8000.0)
    elif change == "left":
        found.left(0, 8000.0)
    elif change == "held off":
        found.hold_off(0, 8000.0)
    found.sent(0, "s", 10_000.0)
    assert not found.verdicts


AGAIN = ListedEndpoint(Availability.READY, 0, 0, 0.0, started=5500.0)  # its next process under the same name


@pytest.mark.parametrize("word", [DRAINING, GONE])
def test_a_newer_word_binds_whatever_process_it_names(word: ListedEndpoint) -> None:
    found = checker()
    found.tell(0, 5000.0, "s", AGAIN)
    found.tell(0, 6000.0, "s", word)
    found.sent(0, "s", 9001.0)
    assert rules(found) == [Rule.DRAINS]


@pytest.mark.parametrize("word", [Availability.DRAINING, Availability.REMOVED])
def test_an_older_word_says_nothing_of_a_later_process_nor_brings_back_what_went(word: Availability) -> None:
    found = checker()
    view = found.planners[0]
    assert not view.superseded("s", READY)
    found.tell(0, 5000.0, "s", AGAIN)
    assert view.superseded("s", READY) and view.superseded("s", replace(READY, availability=word))
    assert not view.superseded("s", AGAIN) and not view.superseded("s", replace(AGAIN, availability=word))
    found.tell(0, 6000.0, "s", replace(AGAIN, availability=word))
    assert view.superseded("s", AGAIN) and not view.superseded("s", replace(AGAIN, started=5501.0))


def test_where_only_draining_binds_a_departure_does_not() -> None:
    limits = Limits(
        **{**{name: getattr(LIMITS, name) for name in LIMITS.__dataclass_fields__}, "removal_is_advisory": True}
    )
    found = checker(limits)
    found.tell(0, 5000.0, "s", READY)
    found.tell(0, 6000.0, "s", GONE)
    found.sent(0, "s", 20_000.0)
    assert not found.verdicts
    found.tell(0, 21_000.0, "s", DRAINING)
    found.sent(0, "s", 24_001.0)
    assert rules(found) == [Rule.DRAINS]


def test_a_second_effect_breaks_the_rule_unless_it_may_be_repeated() -> None:
    found = checker()
    for _ in range(2):
        found.effect(7, 0, 0, 0, "s", 10.0)
    assert not found.verdicts
    found.effect(8, 1, 0, 0, "s", 10.0)
    found.forget_request(8)
    found.effect(8, 1, 0, 0, "s", 20.0)
    assert not found.verdicts
    found.effect(8, 1, 0, 0, "t", 30.0)
    assert rules(found) == [Rule.ONCE]


def test_a_cold_server_stands_too_much_for_a_while() -> None:
    found = checker()
    found.cold_load("s", 31.0, 10.0, 0.0)
    found.cold_load("s", 31.0, 10.0, 1999.0)
    assert not found.verdicts
    found.cold_load("s", 30.0, 10.0, 2000.0)  # it drops to what it stands: the time begins anew
    found.cold_load("s", 31.0, 10.0, 2100.0)
    found.cold_load("s", 31.0, 10.0, 4000.0)
    assert not found.verdicts
    found.cold_load("s", 31.0, 10.0, 4100.0)
    assert rules(found) == [Rule.COLD]


def test_queue_and_cap() -> None:
    found = checker()
    found.queued(0, 100.0, 0.0)
    for at in (0.0, 1.0, 2.0):
        found.wrote(0, 0, at)
    found.wrote(0, 1, 2.0)
    found.wrote(0, 0, 10_000.0)  # the first has left the window
    assert not found.verdicts
    found.wrote(0, 0, 10_000.5)
    found.wrote(0, 0, 10_000.6)
    found.queued(0, 100.1, 10_001.0)
    assert rules(found) == [Rule.CAP, Rule.QUEUE]


def test_a_planner_that_starts_over_owes_nothing_of_its_former_life() -> None:
    found = checker()
    for at in range(3):
        found.wrote(0, 0, float(at))
    found.planner_gone(0, 5.0)
    found.planner_ready(0, 6.0)
    for at in range(3):
        found.wrote(0, 0, 7.0 + at)
    assert not found.verdicts


def test_an_answer_goes_out_when_its_end_is_decided() -> None:
    found = checker()
    found.answered(1, 0, 1000.0, 1000.5)
    found.hold_off_proxy(0, 4000.0)
    found.answered(2, 0, 1000.0, 4000.5)  # it stood still
    assert not found.verdicts
    found.answered(3, 0, 5000.0, 5002.0)
    assert rules(found) == [Rule.PROMPT]


def test_a_verdict_names_who_and_when_and_what_led_there() -> None:
    found = checker()
    found.tell(0, 5000.0, "s", READY)
    found.tell(0, 6000.0, "s", DRAINING)
    found.note(6500.0, "applied 3 lines", "proxy-0", "planner-0")
    found.note(6600.0, "applied 3 lines", "proxy-9", "planner-9")
    found.sent(0, "s", 9500.0)
    found.sent(0, "s", 9600.0)  # the same again says nothing new
    assert len(found.verdicts) == 1
    verdict: Violation = found.verdicts[0]
    assert str(verdict) == "9.500 s: drains kept: planner 0, proxy 0, s: sent 3.50 s after it was told"
    assert any("told DRAINING" in line for line in verdict.trail)
    assert any("proxy-0" in line for line in verdict.trail) and not any("proxy-9" in line for line in verdict.trail)


def test_disagreements_name_the_line() -> None:
    assert disagreement({"a": 0.5}, {"a": 0.50001}) is None
    assert disagreement({"a": 0.5}, {"a": 0.51}) == "line a: held 0.5, believed 0.51"
    assert disagreement({"a": 0.5, "b": 1.0}, {"a": 0.5}) == "line b: held 1.0, believed None"
    assert disagreement({"a": 0.5}, {"c": 0.5}) == "line a: held 0.5, believed None"
    once = AdmissionLevel(0.5, Retry.ONCE_IF_NOT_EXECUTED)
    assert level_disagreement(None, None) is None
    assert level_disagreement(once, AdmissionLevel(0.5, Retry.ONCE_IF_NOT_EXECUTED)) is None
    assert level_disagreement(once, AdmissionLevel(0.5, Retry.ONCE)) == "level held (0.5, 1), believed (0.5, 2)"
    assert level_disagreement(once, AdmissionLevel(0.6, Retry.ONCE_IF_NOT_EXECUTED)) is not None
    assert level_disagreement(once, None) == "level held (0.5, 1), believed None"


def test_only_what_is_over_its_bound_is_named() -> None:
    assert over_bounds([BoundedCount("tasks", 3, 3), BoundedCount("marks", 65, 64)]) == ["marks: 65, at most 64"]
