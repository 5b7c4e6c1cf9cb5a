"""Tests for updates of the endpoint list, retries of failed calls, and removed servers."""

from policy_harness import PolicyHarness, actions_of_type, entry, server_id, two_zone_harness

from stackwheel import interface
from stackwheel.interface import Availability
from stackwheel.policy import timers


def test_a_server_missing_from_a_complete_list_is_removed() -> None:
    harness = two_zone_harness()
    harness.send(
        interface.EndpointUpdate(interface.UpdateKind.FULL, 3, tuple(entry(n, n % 2) for n in range(1, 6))),
        wait_ms=10.0,
    )
    assert all(server_id(0) not in lines for lines in harness.tables.values())


def test_an_empty_list_changes_nothing_if_removal_is_advisory() -> None:
    harness = two_zone_harness(removal_is_advisory=True)
    before = {number: dict(lines) for number, lines in harness.tables.items()}
    harness.send(interface.EndpointUpdate(interface.UpdateKind.FULL, 3, ()), wait_ms=10.0)
    assert harness.tables == before
    harness.update_endpoints(entry(0, 0, Availability.DRAINING))
    assert all(server_id(0) not in lines for lines in harness.tables.values())


def test_the_list_is_watched_from_the_start_and_after_a_failed_call() -> None:
    harness = two_zone_harness(endpoint_list_on_request=True)
    assert actions_of_type(harness.actions, interface.WatchEndpoints) == [interface.WatchEndpoints()]
    actions = harness.send(interface.EndpointUpdate(interface.UpdateKind.FAILED, 1), wait_ms=100.0)
    (timer,) = [a for a in actions if isinstance(a, interface.SetTimer) and a.token == timers.ENDPOINT_LIST_TIMER]
    assert 0 < timer.delay <= 0.25 * harness.settings.list_poll_deadline
    assert actions_of_type(
        harness.send(interface.TimerFired(timers.ENDPOINT_LIST_TIMER), wait_ms=timer.delay), interface.WatchEndpoints
    )


def test_a_pushed_list_is_not_watched() -> None:
    assert actions_of_type(two_zone_harness().actions, interface.WatchEndpoints) == []


def test_retries_back_off_until_a_call_succeeds() -> None:
    harness = PolicyHarness(servers=[entry(0)], endpoint_list_on_request=True, list_poll_deadline=10_000.0)
    delays = []
    for _ in range(9):
        (timer,) = actions_of_type(
            harness.send(interface.EndpointUpdate(interface.UpdateKind.FAILED, 1)), interface.SetTimer
        )
        assert isinstance(timer, interface.SetTimer)
        delays.append(timer.delay)
    assert delays[0] <= 1500.0
    assert max(delays) <= 4000.0
    assert delays[-1] > 2000.0
    harness.send(interface.EndpointUpdate(interface.UpdateKind.DELTA, 2))
    (timer,) = actions_of_type(
        harness.send(interface.EndpointUpdate(interface.UpdateKind.FAILED, 2)), interface.SetTimer
    )
    assert isinstance(timer, interface.SetTimer)
    assert timer.delay <= 1500.0
