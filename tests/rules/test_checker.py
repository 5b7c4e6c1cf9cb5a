"""Each rule: a violation just past its limit, none just before it, and none where no limit applies."""

from __future__ import annotations

from dataclasses import replace

import pytest

from stackwheel.interface import Availability, RequestClass
from stackwheel.rules.checker import Checker
from stackwheel.rules.views import ListedEndpoint
from stackwheel.rules.violations import READY_GRACE_MS, Limits, Rule, Violation

READ = RequestClass("read", idempotency="repeatable")
BOOK = RequestClass("book", idempotency="once")
ZONE_LOCAL = RequestClass("local", zone_local=True)
LIMITS = Limits(
    max_unserved_time=5000.0,
    drain_grace=3000.0,
    overload_duration=2000.0,
    overload_multiple=3.0,
    queue_limit=100.0,
    message_cap=3,
    message_window=10_000.0,
    removal_is_advisory=False,
)
READY = ListedEndpoint(Availability.READY, 0, 0, 0.0)
DRAINING = ListedEndpoint(Availability.DRAINING, 0, 0, 0.0)
REMOVED = ListedEndpoint(Availability.REMOVED, 0, 0, 0.0)


def make_checker(limits: Limits = LIMITS, classes: tuple[RequestClass, ...] = (READ, BOOK)) -> Checker:
    checker = Checker(limits, classes, 2)
    checker.proxy_started(0, 0)
    checker.planner_ready(0, 0.0)
    checker.proxy_joined(0, 0, READY_GRACE_MS)
    return checker


def broken_rules(checker: Checker) -> list[Rule]:
    return [violation.rule for violation in checker.violations]


def test_a_proxy_without_a_server_violates_the_rule_when_the_limit_expires() -> None:
    checker = make_checker()
    checker.endpoint_notified(0, 0.0, "s", READY)
    checker.record_class_availability(0, 0, False, 2000.0)
    checker.check_deadlines(6999.0)
    assert not checker.violations
    checker.check_deadlines(7000.0)
    assert broken_rules(checker) == [Rule.SERVED]
    assert checker.violations[0].proxy == 0


@pytest.mark.parametrize(
    "change",
    ["server regained", "no warm server", "proxy left", "planner stopped", "planner suspended", "proxy suspended"],
)
def test_an_unserved_proxy_violates_no_rule_if_no_limit_applies(change: str) -> None:
    checker = make_checker()
    checker.endpoint_notified(
        0, 0.0, "s", ListedEndpoint(Availability.READY, 0, 0, 1e9 if change == "no warm server" else 0.0)
    )
    checker.record_class_availability(0, 0, False, 2000.0)
    checker.check_deadlines(4000.0)
    if change == "server regained":
        checker.record_class_availability(0, 0, True, 4000.0)
    elif change == "proxy left":
        checker.proxy_left(0, 4000.0)
    elif change == "planner stopped":
        checker.planner_stopped(0, 4000.0)
    elif change == "planner suspended":
        checker.suspend_limits(0, 4000.0)
    elif change == "proxy suspended":
        checker.suspend_proxy_limits(0, 4000.0)
    checker.check_deadlines(8999.0)
    assert not checker.violations


def test_the_limit_on_unserved_time_starts_when_a_server_is_warm() -> None:
    checker = make_checker()
    checker.endpoint_notified(0, 0.0, "s", ListedEndpoint(Availability.READY, 0, 0, 6000.0))
    checker.record_class_availability(0, 0, False, 2000.0)
    checker.check_deadlines(6000.0)
    checker.check_deadlines(10_999.0)
    assert not checker.violations
    checker.check_deadlines(11_000.0)
    assert broken_rules(checker) == [Rule.SERVED]


def test_a_zone_local_class_is_serviceable_only_with_a_server_in_the_same_zone() -> None:
    checker = make_checker(classes=(ZONE_LOCAL,))
    checker.endpoint_notified(0, 0.0, "s", ListedEndpoint(Availability.READY, 1, 0, 0.0))
    checker.record_class_availability(0, 0, False, 1000.0)
    checker.check_deadlines(60_000.0)
    assert not checker.violations
    checker.endpoint_notified(0, 60_000.0, "t", READY)
    checker.check_deadlines(65_000.0)
    assert broken_rules(checker) == [Rule.SERVED]


def test_attempts_violate_the_drain_rule_once_the_grace_since_the_notification_has_expired() -> None:
    checker = make_checker()
    checker.endpoint_notified(0, 5000.0, "s", READY)
    checker.endpoint_notified(0, 6000.0, "s", DRAINING)
    checker.attempt_sent(0, "s", 9000.0)
    assert not checker.violations
    checker.attempt_sent(0, "s", 9001.0)
    assert broken_rules(checker) == [Rule.DRAINS]
    assert checker.violations[0].server == "s"


def test_the_drain_grace_starts_at_the_first_notification() -> None:
    checker = make_checker()
    checker.endpoint_notified(0, 5000.0, "s", READY)
    checker.endpoint_notified(0, 6000.0, "s", DRAINING)
    checker.endpoint_notified(0, 8000.0, "s", REMOVED)
    checker.attempt_sent(0, "s", 9001.0)
    assert broken_rules(checker) == [Rule.DRAINS]


@pytest.mark.parametrize("change", ["ready again", "joined late", "proxy left", "never listed", "planner suspended"])
def test_attempts_to_a_removed_server_are_allowed_if_the_drain_rule_does_not_apply(change: str) -> None:
    checker = make_checker()
    if change != "never listed":
        checker.endpoint_notified(0, 5000.0, "s", READY)
    checker.endpoint_notified(0, 6000.0, "s", REMOVED)
    if change == "ready again":
        checker.endpoint_notified(0, 8000.0, "s", READY)
    elif change == "joined late":
        checker.proxy_joined(0, 0, 8000.0)
    elif change == "proxy left":
        checker.proxy_left(0, 8000.0)
    elif change == "planner suspended":
        checker.suspend_limits(0, 8000.0)
    checker.attempt_sent(0, "s", 10_000.0)
    assert not checker.violations


RESTARTED = ListedEndpoint(Availability.READY, 0, 0, 0.0, started_at=5500.0)


@pytest.mark.parametrize("notified", [DRAINING, REMOVED])
def test_a_newer_notification_starts_the_drain_grace_even_if_it_names_an_earlier_process(
    notified: ListedEndpoint,
) -> None:
    checker = make_checker()
    checker.endpoint_notified(0, 5000.0, "s", RESTARTED)
    checker.endpoint_notified(0, 6000.0, "s", notified)
    checker.attempt_sent(0, "s", 9001.0)
    assert broken_rules(checker) == [Rule.DRAINS]


@pytest.mark.parametrize("notified", [Availability.DRAINING, Availability.REMOVED])
def test_an_older_entry_of_an_earlier_or_unavailable_process_is_outdated(notified: Availability) -> None:
    checker = make_checker()
    view = checker.planners[0]
    assert not view.is_outdated("s", READY)
    checker.endpoint_notified(0, 5000.0, "s", RESTARTED)
    assert view.is_outdated("s", READY)
    assert view.is_outdated("s", replace(READY, availability=notified))
    assert not view.is_outdated("s", RESTARTED)
    assert not view.is_outdated("s", replace(RESTARTED, availability=notified))
    checker.endpoint_notified(0, 6000.0, "s", replace(RESTARTED, availability=notified))
    assert view.is_outdated("s", RESTARTED)
    assert not view.is_outdated("s", replace(RESTARTED, started_at=5501.0))


def test_only_draining_starts_the_drain_grace_if_removal_is_advisory() -> None:
    checker = make_checker(replace(LIMITS, removal_is_advisory=True))
    checker.endpoint_notified(0, 5000.0, "s", READY)
    checker.endpoint_notified(0, 6000.0, "s", REMOVED)
    checker.attempt_sent(0, "s", 20_000.0)
    assert not checker.violations
    checker.endpoint_notified(0, 21_000.0, "s", DRAINING)
    checker.attempt_sent(0, "s", 24_001.0)
    assert broken_rules(checker) == [Rule.DRAINS]


def test_a_second_execution_violates_the_rule_unless_the_class_is_idempotent() -> None:
    checker = make_checker()
    for _ in range(2):
        checker.record_execution(7, 0, 0, 0, "s", 10.0)
    assert not checker.violations
    checker.record_execution(8, 1, 0, 0, "s", 10.0)
    checker.forget_request(8)
    checker.record_execution(8, 1, 0, 0, "s", 20.0)
    assert not checker.violations
    checker.record_execution(8, 1, 0, 0, "t", 30.0)
    assert broken_rules(checker) == [Rule.ONCE]


def test_overload_of_a_warming_server_violates_the_rule_after_the_overload_duration() -> None:
    checker = make_checker()
    checker.warming_server_load("s", 31.0, 10.0, 0.0)
    checker.warming_server_load("s", 31.0, 10.0, 1999.0)
    assert not checker.violations
    checker.warming_server_load("s", 30.0, 10.0, 2000.0)  # not overloaded, so the duration starts again
    checker.warming_server_load("s", 31.0, 10.0, 2100.0)
    checker.warming_server_load("s", 31.0, 10.0, 4000.0)
    assert not checker.violations
    checker.warming_server_load("s", 31.0, 10.0, 4100.0)
    assert broken_rules(checker) == [Rule.COLD]


def test_exceeding_the_queue_limit_or_the_message_cap_violates_a_rule() -> None:
    checker = make_checker()
    checker.check_queued_lines(0, 100.0, 0.0)
    for at in (0.0, 1.0, 2.0):
        checker.message_written(0, 0, at)
    checker.message_written(0, 1, 2.0)
    checker.message_written(0, 0, 10_000.0)  # the first message is no longer in the window
    assert not checker.violations
    checker.message_written(0, 0, 10_000.5)
    checker.message_written(0, 0, 10_000.6)
    checker.check_queued_lines(0, 100.1, 10_001.0)
    assert broken_rules(checker) == [Rule.CAP, Rule.QUEUE]


def test_messages_of_an_earlier_planner_process_do_not_count_towards_the_message_cap() -> None:
    checker = make_checker()
    for at in range(3):
        checker.message_written(0, 0, float(at))
    checker.planner_stopped(0, 5.0)
    checker.planner_ready(0, 6.0)
    for at in range(3):
        checker.message_written(0, 0, 7.0 + at)
    assert not checker.violations


def test_a_delayed_final_answer_violates_the_rule_unless_the_proxy_was_suspended() -> None:
    checker = make_checker()
    checker.request_answered(1, 0, 1000.0, 1000.5)
    checker.suspend_proxy_limits(0, 4000.0)
    checker.request_answered(2, 0, 1000.0, 4000.5)  # the proxy was suspended
    assert not checker.violations
    checker.request_answered(3, 0, 5000.0, 5002.0)
    assert broken_rules(checker) == [Rule.PROMPT]


def test_a_violation_is_reported_once_with_its_time_subjects_and_trail() -> None:
    checker = make_checker()
    checker.endpoint_notified(0, 5000.0, "s", READY)
    checker.endpoint_notified(0, 6000.0, "s", DRAINING)
    checker.record_event(6500.0, "applied 3 lines", "proxy-0", "planner-0")
    checker.record_event(6600.0, "applied 3 lines", "proxy-9", "planner-9")
    checker.attempt_sent(0, "s", 9500.0)
    checker.attempt_sent(0, "s", 9600.0)  # repeats the violation
    assert len(checker.violations) == 1
    violation: Violation = checker.violations[0]
    assert str(violation) == (
        "9.500 s: drains kept: planner 0, proxy 0, s: attempt sent 3.50 s after the server was reported draining or removed"
    )
    assert any("told DRAINING" in line for line in violation.trail)
    assert any("proxy-0" in line for line in violation.trail)
    assert not any("proxy-9" in line for line in violation.trail)


def test_the_trail_contains_the_availability_labels_of_the_command_line_output() -> None:
    """Renaming a member of `Availability` must not change the output of the command line."""
    checker = make_checker()
    checker.endpoint_notified(0, 5000.0, "s", READY)
    checker.endpoint_notified(0, 6000.0, "s", DRAINING)
    checker.endpoint_notified(0, 6500.0, "s", REMOVED)
    checker.attempt_sent(0, "s", 9500.0)
    trail = checker.violations[0].trail
    assert [
        label for label in ("told READY", "told DRAINING", "told GONE") if any(label in line for line in trail)
    ] == [
        "told READY",
        "told DRAINING",
        "told GONE",
    ]
