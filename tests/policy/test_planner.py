"""Tests of the planner without servers, with key ranges, and with urgent changes."""

import pytest
from policy_harness import PolicyHarness, actions_of_type, entry, server_id

from stackwheel import interface
from stackwheel.interface import Availability


def test_no_weights_are_sent_for_an_empty_endpoint_list_until_servers_are_added() -> None:
    harness = PolicyHarness(servers=[])
    assert actions_of_type(harness.actions, interface.SetWeight) == []
    harness.update_endpoints(*(entry(n, n % 2) for n in range(4)))
    harness.run_slot()
    assert all(harness.shares(p) for p in (0, 1))


def test_no_actions_are_returned_if_tables_are_assigned_to_key_ranges() -> None:
    """Key ranges are not supported, and proxies must not be assigned tables in this mode."""
    harness = PolicyHarness(servers=[entry(0), entry(1)], key_range_count=2)
    harness.send(interface.KeyRangeGranted(0, True), interface.KeyRangeWeight(0, server_id(0), 1.0))
    harness.update_endpoints(entry(0, availability=Availability.REMOVED))
    assert harness.actions == []


def test_shares_are_updated_once_for_an_urgent_change_that_is_deferred(monkeypatch: pytest.MonkeyPatch) -> None:
    """An update in each batch would bypass the limit of the step per slot."""
    harness = PolicyHarness(
        servers=[entry(n, 0) for n in range(6)], proxies=((0, 0),), message_cap=4, message_window=10000.0
    )
    harness.run_slots(3)
    harness.planner.channel.message_times[0] = [harness.now] * 4  # the message cap is reached
    update_count = 0
    update_all_shares = harness.planner.groups.update_all_shares

    def count_update(now: float) -> None:
        nonlocal update_count
        update_count += 1
        update_all_shares(now)

    monkeypatch.setattr(harness.planner.groups, "update_all_shares", count_update)
    harness.update_endpoints(entry(5, availability=Availability.REMOVED))
    for _ in range(20):
        harness.send(interface.DemandReport(0, 0, 1, 0, 1000.0), wait_ms=10.0)
    assert update_count == 1
    harness.send(wait_ms=10_000.0)
    assert server_id(5) not in harness.shares(0)
