"""The proxy of the protocol: strict parsing of updates, their application, admission and the choice of servers."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stackwheel.errors import InvalidInputError
from stackwheel.forwarder.state import ForwarderState, choose
from stackwheel.forwarder.updates import ConfigUpdate, ConfigUpdatePart, ConfigUpdateReader, InvalidUpdateError
from stackwheel.interface import LoadBalancingPolicy, Retry

KNOWN_SERVERS = {"a": None, "b": None, "c": None}
DRAWS = 4000


def read_update(*lines: str) -> ConfigUpdate:
    reader = ConfigUpdateReader()
    for line in lines:
        update = reader.feed_line(line)
    assert update is not None
    return update


def forwarder(*lines: str) -> ForwarderState:
    """Create a proxy with the standing table a, b, and apply the lines, each of which is an update."""
    state = ForwarderState(("read", "write"), KNOWN_SERVERS)
    state.install_standing_table(("a", "b"))
    for line in lines:
        state.apply(read_update(line))
    return state


def test_an_update_is_returned_with_its_last_part() -> None:
    reader = ConfigUpdateReader()
    assert reader.feed_line("CONFIG routes=read full=1 endpoints=a:1,b:0.5 continued=1") is None
    update = reader.feed_line("CONFIG routes=write admit=0.5 policy=1 nonce_out=7")
    assert update is not None
    assert update.nonces() == (7,)
    assert update.cost() == 5
    assert reader.feed_line("CONFIG nonce_out=8") == ConfigUpdate((ConfigUpdatePart(nonce=8),))


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("PONG", "kind: expected CONFIG, got 'PONG'"),
        ("CONFIG what=1", "field: unknown, repeated or not of the form name=value: 'what=1'"),
        ("CONFIG routes=read routes=read", "field: unknown, repeated or not of the form name=value: 'routes=read'"),
        ("CONFIG admit=0.5", "admit, policy: only one of the two fields is present"),
        ("CONFIG policy=1", "admit, policy: only one of the two fields is present"),
        ("CONFIG endpoints=a", "endpoints: not of the form name:weight: 'a'"),
        ("CONFIG endpoints=a:-1", "endpoints: not a non-negative decimal number: '-1'"),
        ("CONFIG endpoints=a:1e5", "endpoints: not a non-negative decimal number: '1e5'"),
        ("CONFIG endpoints=:1", "endpoints: not of the form name:weight: ':1'"),
        ("CONFIG admit=x policy=1", "admit: not a non-negative decimal number: 'x'"),
        ("CONFIG admit=1 policy=4", "policy: not a retry mode: '4'"),
        ("CONFIG full=2", "full: neither 0 nor 1: '2'"),
        ("CONFIG nonce_out=x", "nonce_out: not an integer: 'x'"),
        ("CONFIG full", "field: unknown, repeated or not of the form name=value: 'full'"),
    ],
)
def test_a_malformed_line_raises_an_error_with_field_problem_and_value(line: str, message: str) -> None:
    with pytest.raises(InvalidUpdateError) as raised:
        ConfigUpdateReader().feed_line(line)
    assert isinstance(raised.value, InvalidInputError)
    assert str(raised.value) == message


def test_an_update_with_too_many_parts_is_invalid() -> None:
    reader = ConfigUpdateReader()
    for _ in range(63):
        assert reader.feed_line("CONFIG endpoints=a:1 continued=1") is None
    with pytest.raises(InvalidUpdateError):
        reader.feed_line("CONFIG endpoints=a:1 continued=1")


@pytest.mark.parametrize("invalid", ["CONFIG routes=other endpoints=a:1", "CONFIG endpoints=z:1", "CONFIG eject=z"])
def test_no_part_of_an_invalid_update_is_applied(invalid: str) -> None:
    state = forwarder()
    with pytest.raises(InvalidUpdateError):
        state.apply(read_update("CONFIG routes=read full=1 endpoints=c:1 continued=1", invalid))
    assert state.class_tables["read"].lines == {"a": 1.0, "b": 1.0}


def test_updates_change_or_replace_tables_and_set_levels_and_ejections() -> None:
    state = forwarder("CONFIG routes=read endpoints=a:0,c:2", "CONFIG routes=read admit=0.5 policy=2")
    assert state.class_tables["read"].lines == {"b": 1.0, "c": 2.0}
    assert state.class_tables["write"].lines == {"a": 1.0, "b": 1.0}
    assert state.retry_mode("read", Retry.NEVER) is Retry.ONCE
    assert state.retry_mode("write", Retry.NEVER) is Retry.NEVER
    state.apply(read_update("CONFIG eject=c,b"))
    assert state.has_no_servers("read")
    assert state.traffic_shares("write") == {"a": 1.0}
    state.apply(read_update("CONFIG restore=b"))
    assert state.traffic_shares("read") == {"b": 1.0}
    state.apply(read_update("CONFIG routes=read full=1 endpoints=a:3,b:1"))
    assert state.class_tables["read"].level is None
    assert state.traffic_shares("read") == {"a": 0.75, "b": 0.25}


@pytest.mark.parametrize("policy", ["weighted", "round"])
def test_servers_are_chosen_in_proportion_to_their_weights(policy: LoadBalancingPolicy) -> None:
    table = forwarder("CONFIG routes=read full=1 endpoints=a:5,b:3,c:2").class_tables["read"]
    rng = random.Random(1)
    chosen = Counter(choose(table, policy, rng, {}) for _ in range(DRAWS))
    assert chosen["a"] / DRAWS == pytest.approx(0.5, abs=0.03)
    assert chosen["c"] / DRAWS == pytest.approx(0.2, abs=0.03)


def test_weighted_round_robin_interleaves_the_servers() -> None:
    table = forwarder("CONFIG routes=read full=1 endpoints=a:2,b:1").class_tables["read"]
    rng = random.Random(1)
    assert [choose(table, "round", rng, {}) for _ in range(6)] == ["a", "b", "a", "a", "b", "a"]


def test_the_server_with_fewer_requests_in_flight_is_chosen_from_two() -> None:
    table = forwarder("CONFIG routes=read full=1 endpoints=a:1,b:1").class_tables["read"]
    rng = random.Random(1)
    assert {choose(table, "two", rng, {"a": 3}) for _ in range(50)} == {"b"}


@given(
    st.sets(st.sampled_from("abc")),
    st.sets(st.sampled_from("abc")),
    st.sampled_from(("two", "weighted", "round")),
    st.integers(0, 99),
)
def test_an_attempted_server_is_never_chosen_and_an_avoided_one_only_as_last_resort(
    avoided: set[str], attempted: set[str], policy: LoadBalancingPolicy, seed: int
) -> None:
    table = forwarder("CONFIG routes=read full=1 endpoints=a:1,b:1,c:0.01").class_tables["read"]
    chosen = choose(table, policy, random.Random(seed), {}, sorted(avoided), sorted(attempted))
    candidates = {"a", "b", "c"} - attempted
    assert chosen not in attempted
    assert (chosen is None) == (not candidates)
    assert chosen not in avoided or not candidates - avoided


def test_requests_are_admitted_by_share_or_by_rate() -> None:
    state = forwarder("CONFIG routes=read admit=0.25 policy=1")
    rng = random.Random(1)
    by_share = sum(state.admits("read", "share", rng, 8.0) for _ in range(DRAWS)) / DRAWS
    assert by_share == pytest.approx(0.25, abs=0.03)
    state.apply(read_update("CONFIG routes=read admit=2 policy=1"))
    by_rate = sum(state.admits("read", "rate", rng, 8.0) for _ in range(DRAWS)) / DRAWS
    assert by_rate == pytest.approx(0.25, abs=0.03)
    assert state.admits("write", "share", rng, 8.0)
    assert state.admits("read", "off", rng, 8.0)
