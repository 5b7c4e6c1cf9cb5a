"""The planner as a whole: what it does without servers, key ranges, urgent changes."""

import pytest
from policy_harness import PolicyHarness, actions_of, entry, server_id

from stackwheel import interface as face
from stackwheel.interface import Availability


def test_a_planner_with_an_empty_list_sends_no_weight_and_recovers() -> None:
    harness = PolicyHarness(servers=[])
    assert actions_of(harness.actions, face.SetWeight) == []
    harness.update_endpoints(*(entry(n, n % 2) for n in range(4)))
    harness.slot()
    assert all(harness.shares(p) for p in (0, 1))


def test_nothing_is_sent_where_tables_belong_to_key_ranges() -> None:
    """Key ranges are not served; binding a proxy there would be illegal."""
    harness = PolicyHarness(servers=[entry(0), entry(1)], key_range_count=2)
    harness.send(face.KeyRangeGranted(0, True), face.KeyRangeWeight(0, server_id(0), 1.0))
    harness.update_endpoints(entry(0, availability=Availability.REMOVED))
    assert harness.actions == []


def test_tables_move_once_for_an_urgent_change_however_long_its_lines_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each batch that could not send them moved all tables a further step, so that the capped step was no cap."""
    harness = PolicyHarness(
        servers=[entry(n, 0) for n in range(6)], proxies=((0, 0),), message_cap=4, message_window=10000.0
    )
    harness.slots(3)
    harness.planner.channel.message_times[0] = [harness.now] * 4  # nothing may be written for a while
    moved = 0
    move_all = harness.planner.groups.update_all_shares

    def move(now: float) -> None:
        nonlocal moved
        moved += 1
        move_all(now)

    monkeypatch.setattr(harness.planner.groups, "update_all_shares", move)
    harness.update_endpoints(entry(5, availability=Availability.REMOVED))
    for _ in range(20):
        harness.send(face.DemandReport(0, 0, 1, 0, 1000.0), wait=10.0)
    assert moved == 1
    harness.send(wait=10_000.0)
    assert server_id(5) not in harness.shares(0)
