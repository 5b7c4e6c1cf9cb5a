"""Restart of a failed policy: restored state, backoff, and late results for the failed policy."""

from __future__ import annotations

import asyncio

from planner_harness import (
    SEED,
    ActorHarness,
    FakeConnection,
    endpoint_list,
    proxy_stream,
)

from stackwheel import interface
from stackwheel.state.messages import (
    EndpointListFailed,
    HealthCheckCompleted,
    StreamMessage,
    TimerElapsed,
)
from stackwheel.state.server_ids import server_id
from stackwheel.state.table_updates import NONCES_PER_INCARNATION


def test_a_failed_policy_is_restarted_with_the_cached_endpoints_and_open_streams() -> None:
    async def run() -> None:
        harness = ActorHarness()
        connection = FakeConnection()
        harness.process(proxy_stream(1, connection))
        harness.policies[0].replies = [
            [
                interface.SetTimer(60_000.0, 5),
                interface.SetWeight(0, server_id("s-0"), 1.0),
                interface.AssignTable(1, 0, ()),
                interface.AttachNonce(9, False),
            ],
            KeyError("table"),
        ]
        harness.process()
        harness.process(proxy_stream(2, FakeConnection()))  # the policy fails after the stream has joined
        await asyncio.sleep(0.01)
        assert [policy.seed for policy in harness.policies] == [SEED, SEED + 1]
        (start,) = harness.policies[1].batches
        assert start == [
            harness.actor.endpoints.cached_update(),
            interface.ProxyJoined(1, 0, 20.0, False),
            interface.ProxyJoined(2, 0, 20.0, False),
        ]
        assert not harness.actor.timers
        assert harness.actor.updates.tables == {}
        assert harness.process(StreamMessage(1, interface.Acknowledged(1, 9, 1.0), connection)) == []
        current = interface.Acknowledged(1, 9, 1.0)
        harness.send_nonce(9)
        assert harness.process(
            StreamMessage(1, interface.Acknowledged(1, NONCES_PER_INCARNATION + 9, 1.0), connection)
        ) == [current]

    asyncio.run(run())


def test_endpoint_lists_are_applied_while_a_second_restart_is_delayed() -> None:
    async def run() -> None:
        harness = ActorHarness()
        for _ in range(2):
            harness.policies[-1].replies = [ValueError("failed"), ValueError("failed")]
            harness.actor.post(TimerElapsed(harness.actor.incarnation, 1))
            harness.actor.process_batch()
            await asyncio.sleep(0.01)
        assert len(harness.policies) == 2
        assert harness.actor.planner is None
        harness.actor.post(endpoint_list("s-9"))
        harness.actor.process_batch()
        assert list(harness.actor.endpoints.entries) == [server_id("s-9")]

    asyncio.run(run())


def test_results_for_a_failed_policy_are_not_passed_to_the_next_one() -> None:
    """Covers elapsed timers in the mailbox, health checks in flight and a failed call for the endpoint list."""

    async def run() -> None:
        harness = ActorHarness()
        server = server_id("s-0")
        harness.policies[0].replies = [
            [interface.StartHealthCheck(server), interface.SetTimer(0.0, 7)],
            ValueError("failed"),
        ]
        harness.process()
        ((_, _, target),) = [call for call in harness.ports.calls if call[0] == "health check"]
        while not harness.actor.mailbox:  # until the timer has elapsed
            await asyncio.sleep(0)
        elapsed_timer = harness.actor.mailbox.pop()
        harness.process(interface.DemandReport(0, 0, 1, 0, 1000.0))  # the policy fails
        harness.actor.post(elapsed_timer)
        harness.actor.post(EndpointListFailed())
        while len(harness.policies) < 2:
            await asyncio.sleep(0)
        harness.actor.post(elapsed_timer)
        harness.actor.post(HealthCheckCompleted(target, interface.HealthCheckResult(server, 1, 5.0)))
        assert harness.process() == []
        harness.policies[1].replies = [[interface.StartHealthCheck(server)]]
        harness.process()
        target = [call for call in harness.ports.calls if call[0] == "health check"][-1][2]
        result = interface.HealthCheckResult(server, 1, 5.0)
        assert harness.process(HealthCheckCompleted(target, result)) == [result]

    asyncio.run(run())
