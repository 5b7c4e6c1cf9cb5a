"""Limits on the state that is stored for removed servers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from planner_harness import (
    SEED,
    ActorHarness,
    FakeConnection,
    ManualClock,
    RecordingPorts,
    endpoint_list,
    proxy_stream,
)
from policy_harness import SETTINGS

from stackwheel import interface
from stackwheel.endpoints import MIN_REMOVED_SERVER_LIMIT, EndpointList, Instance
from stackwheel.interface import Availability
from stackwheel.policy import gossip
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.messages import (
    StreamEnded,
    StreamMessage,
)
from stackwheel.state.planner_actor import PlannerActor, PolicyOptions
from stackwheel.state.server_ids import ServerIds, server_id


def replace_server(
    number: int, actor: PlannerActor, ports: RecordingPorts, clock: ManualClock, connection: FakeConnection
) -> None:
    """Add a server with a new id, and drain and remove the oldest one; reports and gossip contain all servers."""

    def post_entry(server_number: int, availability: Availability) -> None:
        entry = Instance(
            f"s-{server_number}",
            f"127.0.0.1:{server_number}",
            ("east", "west")[server_number % 2],
            "small",
            0,
            availability,
            1.0,
            clock.time - 20_000.0,
        )
        actor.post(EndpointList(2 + number, False, (entry,)))

    def process() -> None:
        clock.time += 400.0
        actor.post(StreamMessage(1, None, connection))
        for reported_number in range(number - 4, number + 1):
            actor.post(interface.LoadReport(0, server_id(f"s-{reported_number}"), 20, 0, 60.0, 1000.0))
        actor.post(interface.GossipReceived(1, gossip.encode(1, {server_id(f"s-{number}"): 0.9})[0]))
        actor.post(interface.DemandReport(1, 0, 40, 0, 1000.0))
        actor.process_batch()
        for _, _, update in [call for call in ports.calls if call[0] == "update" and call[2].nonce is not None]:
            actor.post(StreamMessage(1, interface.Acknowledged(1, update.nonce, 5.0), connection))
        ports.calls.clear()

    post_entry(number, Availability.READY)
    process()
    post_entry(number - 4, Availability.DRAINING)
    process()
    post_entry(number - 4, Availability.REMOVED)
    if number % 10 == 0:  # the proxy reconnects
        actor.post(StreamEnded(1, connection))
        actor.post(proxy_stream(1, connection, newly_started=False))
    process()


def test_state_does_not_grow_with_the_number_of_servers_ever_listed() -> None:
    """Guards against storing every server id that was ever listed."""

    async def run() -> None:
        clock = ManualClock(100_000.0)
        ports = RecordingPorts()
        connection = FakeConnection()
        endpoints = EndpointCache(("east", "west"), ("small",), ServerIds())
        settings = replace(SETTINGS, planner_count=2, gossip_enabled=True, message_cap=0)
        actor = PlannerActor(PolicyOptions(settings, SEED), 0.0, clock, endpoints, ports, 60_000.0)  # type: ignore[arg-type]
        endpoints.apply(endpoint_list("s-0", "s-1", "s-2", "s-3"))
        actor.run_policy([endpoints.cached_update()])
        actor.post(proxy_stream(1, connection))
        sizes = []
        for number in range(4, 604):
            replace_server(number, actor, ports, clock, connection)
            if number in (303, 603):
                policy = actor.planner
                assert policy is not None
                sizes.append(
                    [
                        len(container)
                        for container in (
                            endpoints.entries,
                            endpoints.addresses,
                            endpoints.removed,
                            endpoints.server_ids.names,
                            actor.streams.by_proxy[1].ejected,
                            actor.updates.ejected,
                            policy.pool.views,
                            policy.peers.states[1].rates,
                            policy.channel.unacknowledged,
                            policy.channel.message_times,
                        )
                    ]
                    + [sum(len(lines) for lines in actor.updates.tables.values())]
                )
        assert sizes[0] == sizes[1]
        entries, addresses, removed, names, *_ = sizes[1]
        assert (entries, addresses, removed, names) == (4, 4, MIN_REMOVED_SERVER_LIMIT, MIN_REMOVED_SERVER_LIMIT + 4)

    asyncio.run(run())


def test_a_removed_server_is_remembered_while_a_table_references_it() -> None:
    harness = ActorHarness()
    server = server_id("s-0")
    harness.policies[0].replies = [[interface.SetWeight(0, server, 1.0), interface.AssignTable(1, 0, ())]]
    harness.process(proxy_stream(1, FakeConnection()))
    for number in range(2, 200):
        harness.process(endpoint_list(f"s-{number}", generation=number))
    assert harness.actor.endpoints.server_ids.name(server) == "s-0"
    assert harness.actor.endpoints.server_ids.name(server_id("s-2")) is None
    harness.policies[0].replies = [[interface.SetWeight(0, server, 0.0)]]
    harness.process()
    assert harness.actor.endpoints.server_ids.name(server) is None
    harness.process(endpoint_list("s-0", generation=300))  # a forgotten server may be listed again
    assert harness.actor.endpoints.server_ids.name(server) == "s-0"
    assert server in harness.actor.endpoints.addresses
