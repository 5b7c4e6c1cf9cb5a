"""The planner actor: batches of messages, events for the policy, execution of its actions."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from planner_harness import (
    ActorHarness,
    FakeConnection,
    ManualClock,
    endpoint_list,
    proxy_stream,
    ready_instance,
)

from stackwheel import interface
from stackwheel.endpoints import MAX_LIST_AGE_MS, EndpointList
from stackwheel.interface import Availability
from stackwheel.state.messages import (
    EndpointListFailed,
    HealthCheckCompleted,
    HealthCheckTarget,
    StreamMessage,
)
from stackwheel.state.server_ids import server_id


def test_the_list_is_fetched_if_changes_supersede_a_deferred_one() -> None:
    """Guards against a server staying listed after discovery restarted without it and reached the known generation."""
    harness = ActorHarness()
    draining = replace(ready_instance("s-0"), availability=Availability.DRAINING)
    harness.process(EndpointList(5, False, (draining,)))
    harness.process(endpoint_list("s-0", generation=1))  # lists s-0 as ready again, without s-1
    assert ("fetch",) not in harness.ports.calls
    harness.process(endpoint_list("s-2", complete=False, generation=5))
    harness.process()
    assert harness.ports.calls.count(("fetch",)) == 1
    harness.process(endpoint_list("s-0", "s-2", generation=5))
    assert set(harness.actor.endpoints.entries) == {server_id("s-0"), server_id("s-2")}


def test_a_batch_contains_the_events_of_all_messages_in_order() -> None:
    harness = ActorHarness()
    connection = FakeConnection()
    demand = interface.DemandReport(1, 0, 5, 0, 1000.0)
    load = interface.LoadReport(0, server_id("s-0"), 5, 0, 40.0, 1000.0)
    harness.process(proxy_stream(1, connection))
    harness.send_nonce(7)
    events = harness.process(
        StreamMessage(1, demand, connection),
        load,
        demand,
        StreamMessage(1, interface.Acknowledged(1, 7, 3.0), connection),
    )
    assert events == [demand, load, demand, interface.Acknowledged(1, 7, 3.0)]
    assert harness.actor.mailbox == []
    assert len(harness.policies[0].batches) == 3


def test_endpoint_lists_are_passed_to_the_policy_as_updates() -> None:
    harness = ActorHarness()
    (delta,) = harness.process(endpoint_list("s-2", complete=False, generation=4))
    assert isinstance(delta, interface.EndpointUpdate)
    assert (delta.kind, delta.generation, [entry.server for entry in delta.entries]) == (
        interface.UpdateKind.DELTA,
        4,
        [server_id("s-2")],
    )
    assert harness.process(EndpointListFailed()) == [interface.EndpointUpdate(interface.UpdateKind.FAILED, 4)]
    (full,) = harness.process(endpoint_list("s-1", generation=6))
    assert isinstance(full, interface.EndpointUpdate)
    assert full.kind is interface.UpdateKind.FULL
    assert list(harness.actor.endpoints.entries) == [server_id("s-1")]
    assert harness.actor.endpoints.server_ids.name(server_id("s-0")) == "s-0"  # removed servers are remembered


def test_actions_are_executed_by_calls_of_the_ports() -> None:
    harness = ActorHarness()
    server = server_id("s-0")
    harness.policies[0].replies = [
        [
            interface.WatchEndpoints(),
            interface.FetchEndpoints(),
            interface.StartHealthCheck(server),
            interface.SendGossip(b"hi", 1),
            interface.Log("a message"),
            interface.SetWeight(0, server, 1.0),
            interface.AssignTable(2, 0, ()),
            interface.AttachNonce(3, False),
        ]
    ]
    harness.process(proxy_stream(2, FakeConnection()))
    update, *others = harness.ports.calls
    assert update[:2] == ("update", 2)
    assert update[2].nonce == 3
    assert update[2].parts[0].lines == ((server, 1.0),)
    target = HealthCheckTarget(0, 0.0, "127.0.0.1:1")
    assert others == [("watch", True), ("fetch",), ("health check", server, target), ("gossip", b"hi", 1)]


def test_an_elapsed_timer_is_passed_to_the_policy() -> None:
    async def run() -> None:
        harness = ActorHarness()
        harness.policies[0].replies = [[interface.SetTimer(1.0, 77)]]
        harness.process()
        await asyncio.wait_for(harness.actor.mailbox_filled.wait(), 5)
        assert harness.process() == [interface.TimerFired(77)]
        assert not harness.actor.timers

    asyncio.run(run())


def test_a_full_mailbox_drops_reports_and_accepts_streams(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("stackwheel.state.planner_actor.MAX_MAILBOX_MESSAGES", 2)
    harness = ActorHarness()
    report = interface.LoadReport(0, server_id("s-0"), 5, 0, 40.0, 1000.0)
    events = harness.process(report, report, report, proxy_stream(1, FakeConnection()))
    assert events == [report, report, interface.ProxyJoined(1, 0, 20.0, True)]


def test_a_failure_outside_the_policy_affects_only_the_current_batch(monkeypatch: pytest.MonkeyPatch) -> None:
    async def run() -> None:
        harness = ActorHarness()
        running = asyncio.create_task(harness.actor.run())
        with monkeypatch.context() as patches:
            patches.setattr(harness.actor.endpoints, "apply", lambda *_: 1 / 0)
            harness.actor.post(endpoint_list("s-2"))
            while harness.actor.mailbox:
                await asyncio.sleep(0.001)
        harness.actor.post(proxy_stream(1, FakeConnection()))
        while not harness.policies[0].batches:
            await asyncio.sleep(0.001)
        assert harness.policies[0].batches == [[interface.ProxyJoined(1, 0, 20.0, True)]]
        assert not running.done()
        running.cancel()

    asyncio.run(asyncio.wait_for(run(), 30))


@pytest.mark.parametrize("moved", [False, True])
def test_a_health_check_result_is_ignored_if_its_target_has_changed(moved: bool) -> None:
    """Covers a restart of the server under its id, and a change of its address."""
    harness = ActorHarness()
    server = server_id("s-0")
    harness.policies[0].replies = [[interface.StartHealthCheck(server)]]
    harness.process()
    target = harness.ports.calls[-1][2]
    changed = ready_instance("s-0", "127.0.0.1:2") if moved else ready_instance("s-0", started_at=900.0)
    harness.process(EndpointList(2, False, (changed,)))
    assert harness.process(HealthCheckCompleted(target, interface.HealthCheckResult(server, 2, 5.0))) == []


def test_a_load_report_that_includes_an_earlier_process_is_ignored() -> None:
    clock = ManualClock()
    harness = ActorHarness(clock)
    clock.time = 10_000.0
    report = interface.LoadReport(0, server_id("s-0"), 5, 5, 40.0, 1000.0)
    other = interface.LoadReport(0, server_id("s-1"), 5, 5, 40.0, 1000.0)
    harness.process(EndpointList(2, False, (ready_instance("s-0", started_at=9_500.0),)))
    assert harness.process(report, other) == [other]  # the first report's window begins before the process started
    clock.time = 10_500.0
    assert harness.process(report) == [report]


def test_a_deferred_list_is_accepted_after_the_maximum_age_of_a_list() -> None:
    clock = ManualClock()
    harness = ActorHarness(clock)
    removed = replace(ready_instance("s-0"), availability=Availability.REMOVED)
    harness.process(EndpointList(5, False, (removed,)))
    (deferred,) = harness.process(endpoint_list("s-0", "s-1", generation=2))
    assert isinstance(deferred, interface.EndpointUpdate)
    assert deferred.kind is interface.UpdateKind.DELTA
    clock.time += MAX_LIST_AGE_MS - 1.0
    assert harness.process() == []
    clock.time += 1.0
    (accepted,) = harness.process()
    assert isinstance(accepted, interface.EndpointUpdate)
    assert accepted.kind is interface.UpdateKind.FULL
    assert server_id("s-0") in {entry.server for entry in accepted.entries}
    assert harness.process() == []
