"""Streams of proxies: replacement, timeout and resumption of streams, and acknowledgements."""

from __future__ import annotations

import itertools

import pytest
from planner_harness import (
    ActorHarness,
    FakeConnection,
    ManualClock,
    proxy_stream,
)

from stackwheel import interface
from stackwheel.state.messages import (
    StreamEnded,
    StreamMessage,
)
from stackwheel.state.streams import MAX_PENDING_NONCES


def test_a_second_stream_supersedes_the_first() -> None:
    harness = ActorHarness()
    old = FakeConnection()
    new = FakeConnection()
    harness.process(proxy_stream(1, old))
    assert harness.process(proxy_stream(1, new, newly_started=False)) == [
        interface.ProxyLeft(1),
        interface.ProxyJoined(1, 0, 20.0, False),
    ]
    assert (old.superseded_count, new.superseded_count) == (1, 0)
    ack = interface.Acknowledged(1, 7, 3.0)
    harness.send_nonce(7)
    assert harness.process(StreamMessage(1, ack, old), StreamEnded(1, old)) == []  # the stream was superseded
    assert harness.process(StreamMessage(1, ack, new), StreamEnded(1, new)) == [ack, interface.ProxyLeft(1)]
    assert harness.process(StreamEnded(1, new)) == []


def test_messages_of_proxies_that_have_not_joined_are_ignored() -> None:
    harness = ActorHarness()
    assert (
        harness.process(
            interface.DemandReport(3, 0, 5, 0, 1000.0),
            StreamMessage(3, interface.Acknowledged(3, 1, 1.0), FakeConnection()),
        )
        == []
    )


def test_a_stream_without_acknowledgement_times_out_and_resumes() -> None:
    """Guards against counting the demand and waiting for the nonces of a machine whose connection is cut off."""
    clock = ManualClock()
    harness = ActorHarness(clock)
    connection, other = FakeConnection(), FakeConnection()
    demand = interface.DemandReport(1, 0, 5, 0, 1000.0)
    harness.process(proxy_stream(1, connection), proxy_stream(2, other))
    clock.time = 60_000.0
    assert harness.process() == []  # no acknowledgement is pending
    harness.policies[0].replies = [[interface.AttachNonce(3, True)]]
    harness.process()
    clock.time += 4000.0
    assert harness.process(StreamMessage(2, interface.DemandReport(2, 0, 5, 0, 1000.0), other)) == [
        interface.DemandReport(2, 0, 5, 0, 1000.0)
    ]
    clock.time += 1001.0
    assert harness.process() == [interface.ProxyLeft(1)]
    harness.ports.calls.clear()
    harness.policies[0].replies = [[interface.AttachNonce(4, True)]]
    harness.process()
    assert [call[1] for call in harness.ports.calls] == [2]
    assert harness.process(StreamMessage(1, demand, connection)) == [interface.ProxyJoined(1, 0, 20.0, False), demand]
    assert harness.process(StreamEnded(1, connection)) == [interface.ProxyLeft(1)]
    assert connection.superseded_count == 0


def test_a_proxy_leaves_only_once_if_its_stream_times_out_and_then_ends_or_is_superseded() -> None:
    clock = ManualClock()
    harness = ActorHarness(clock)
    connections = FakeConnection(), FakeConnection()
    harness.process(proxy_stream(1, connections[0]), proxy_stream(2, connections[1]))
    harness.policies[0].replies = [[interface.AttachNonce(3, True)]]
    harness.process()
    clock.time = 6000.0
    assert harness.process() == [interface.ProxyLeft(1), interface.ProxyLeft(2)]
    assert harness.process(StreamEnded(1, connections[0])) == []
    new = FakeConnection()
    assert harness.process(proxy_stream(2, new)) == [interface.ProxyJoined(2, 0, 20.0, True)]
    assert connections[1].superseded_count == 1
    assert harness.process(StreamMessage(2, interface.Acknowledged(2, 3, 1.0), connections[1])) == []


def test_invalid_acknowledgements_are_ignored_but_reset_the_timeout() -> None:
    clock = ManualClock()
    harness = ActorHarness(clock)
    connection = FakeConnection()
    harness.process(proxy_stream(1, connection))
    for nonce in (3, 4, 5):
        harness.send_nonce(nonce)
    clock.time = 4900.0
    never_sent, too_early = interface.Acknowledged(1, 8, 1.0), interface.Acknowledged(1, 4, 5901.0)
    assert (
        harness.process(
            StreamMessage(1, never_sent, connection),
            StreamMessage(1, too_early, connection),
            StreamMessage(1, None, connection),
        )
        == []
    )
    clock.time = 5100.0  # the timeout since the nonces has passed, but other messages were received
    valid = interface.Acknowledged(1, 4, 4000.0)
    assert harness.process(StreamMessage(1, valid, connection)) == [valid]
    assert harness.process(StreamMessage(1, interface.Acknowledged(1, 3, 10.0), connection)) == []
    last = interface.Acknowledged(1, 5, 10.0)
    assert harness.process(StreamMessage(1, last, connection)) == [last]


def test_a_malformed_message_resumes_a_timed_out_stream() -> None:
    clock = ManualClock()
    harness = ActorHarness(clock)
    connection = FakeConnection()
    harness.process(proxy_stream(1, connection))
    harness.send_nonce(3)
    clock.time = 6000.0
    assert harness.process() == [interface.ProxyLeft(1)]
    assert harness.process(StreamMessage(1, None, connection)) == [interface.ProxyJoined(1, 0, 20.0, False)]


def test_the_number_of_pending_nonces_is_limited() -> None:
    harness = ActorHarness()
    connection = FakeConnection()
    harness.process(proxy_stream(1, connection))
    for nonce in range(200):
        harness.send_nonce(nonce)
    assert list(harness.actor.streams.by_proxy[1].pending_nonces) == list(range(200 - MAX_PENDING_NONCES, 200))


STREAM_EVENTS = ("join a", "join b", "ack a", "ack b", "end a", "end b")


@pytest.mark.parametrize(
    "order",
    [
        order
        for order in itertools.permutations(STREAM_EVENTS)
        if order.index("join a") < order.index("ack a") < order.index("end a")
        and order.index("join b") < order.index("ack b") < order.index("end b")
    ],
    ids=" ".join,
)
def test_events_of_two_streams_of_one_proxy_are_consistent_in_every_order(order: tuple[str, ...]) -> None:
    """Joins and leaves alternate, only the current connection's acknowledgements count, and no stream remains."""
    harness = ActorHarness()
    connections = {"a": FakeConnection(), "b": FakeConnection()}
    joined, current = False, ""
    for step in order:
        operation, name = step.split()
        connection = connections[name]
        if operation == "join":
            events = harness.process(proxy_stream(1, connection))
            assert [type(event) for event in events] == [interface.ProxyLeft] * joined + [interface.ProxyJoined]
            joined, current = True, name
            harness.send_nonce(5)
        elif operation == "ack":
            ack = interface.Acknowledged(1, 5, 1.0)
            assert harness.process(StreamMessage(1, ack, connection)) == ([ack] if joined and name == current else [])
        else:
            assert harness.process(StreamEnded(1, connection)) == (
                [interface.ProxyLeft(1)] if joined and name == current else []
            )
            joined = joined and name != current
    assert not joined
    assert not harness.actor.streams.by_proxy
    assert not harness.actor.streams.timed_out
