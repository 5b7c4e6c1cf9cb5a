"""The endpoint list: followed, polled again, and what a removal means."""

from policy_harness import PolicyHarness, actions_of, alternating_fleet, entry, server_id

from stackwheel import interface as face
from stackwheel.interface import Availability
from stackwheel.policy import timers


def test_a_server_missing_from_a_complete_list_is_removed() -> None:
    harness = alternating_fleet()
    harness.send(face.EndpointUpdate(face.UpdateKind.FULL, 3, tuple(entry(n, n % 2) for n in range(1, 6))), wait=10.0)
    assert all(server_id(0) not in lines for lines in harness.tables.values())


def test_where_removal_is_advisory_an_emptied_list_changes_nothing() -> None:
    harness = alternating_fleet(removal_is_advisory=True)
    before = {number: dict(lines) for number, lines in harness.tables.items()}
    harness.send(face.EndpointUpdate(face.UpdateKind.FULL, 3, ()), wait=10.0)
    assert harness.tables == before
    harness.update_endpoints(entry(0, 0, Availability.DRAINING))
    assert all(server_id(0) not in lines for lines in harness.tables.values())


def test_the_list_is_watched_from_the_start_and_again_after_a_failed_call() -> None:
    harness = alternating_fleet(endpoint_list_on_request=True)
    assert actions_of(harness.actions, face.WatchEndpoints) == [face.WatchEndpoints()]
    actions = harness.send(face.EndpointUpdate(face.UpdateKind.FAILED, 1), wait=100.0)
    (timer,) = [a for a in actions if isinstance(a, face.SetTimer) and a.token == timers.ENDPOINT_LIST_TIMER]
    assert 0 < timer.delay <= 0.25 * harness.settings.list_poll_deadline
    assert actions_of(harness.send(face.TimerFired(timers.ENDPOINT_LIST_TIMER), wait=timer.delay), face.WatchEndpoints)


def test_a_pushed_list_is_not_polled() -> None:
    assert actions_of(alternating_fleet().actions, face.WatchEndpoints) == []


def test_polls_that_fail_back_off() -> None:
    harness = PolicyHarness(servers=[entry(0)], endpoint_list_on_request=True, list_poll_deadline=10_000.0)
    waits = []
    for _ in range(9):
        (timer,) = actions_of(harness.send(face.EndpointUpdate(face.UpdateKind.FAILED, 1)), face.SetTimer)
        assert isinstance(timer, face.SetTimer)
        waits.append(timer.delay)
    assert waits[0] <= 1500.0
    assert max(waits) <= 4000.0
    assert waits[-1] > 2000.0
    harness.send(face.EndpointUpdate(face.UpdateKind.DELTA, 2))
    (timer,) = actions_of(harness.send(face.EndpointUpdate(face.UpdateKind.FAILED, 2)), face.SetTimer)
    assert isinstance(timer, face.SetTimer)
    assert timer.delay <= 1500.0
