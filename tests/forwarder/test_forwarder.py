"""The proxy of the protocol: updates read strictly, applied as a whole or not at all, and the choice by the table."""

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
    """A proxy with the standing table a, b that has applied these lines, each an update."""
    state = ForwarderState(("read", "write"), KNOWN_SERVERS)
    state.install_standing_table(("a", "b"))
    for line in lines:
        state.apply(read_update(line))
    return state


def test_an_update_is_complete_with_its_last_part() -> None:
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
        ("PONG", "kind: 'PONG' is not CONFIG"),
        ("CONFIG what=1", "field: 'what=1' is unknown, repeated or not name=value"),
        ("CONFIG routes=read routes=read", "field: 'routes=read' is unknown, repeated or not name=value"),
        ("CONFIG admit=0.5", "admit, policy: one without the other"),
        ("CONFIG policy=1", "admit, policy: one without the other"),
        ("CONFIG endpoints=a", "endpoints: 'a' is not name:weight"),
        ("CONFIG endpoints=a:-1", "endpoints: '-1' is no figure"),
        ("CONFIG endpoints=a:1e5", "endpoints: '1e5' is no figure"),
        ("CONFIG endpoints=:1", "endpoints: ':1' is not name:weight"),
        ("CONFIG admit=x policy=1", "admit: 'x' is no figure"),
        ("CONFIG admit=1 policy=4", "policy: '4' is no retry mode"),
        ("CONFIG full=2", "full: '2' is neither 0 nor 1"),
        ("CONFIG nonce_out=x", "nonce_out: 'x' is no number"),
        ("CONFIG full", "field: 'full' is unknown, repeated or not name=value"),
    ],
)
def test_a_line_that_cannot_be_read_is_an_invalid_update(line: str, message: str) -> None:
    with pytest.raises(InvalidUpdateError) as raised:
        ConfigUpdateReader().feed_line(line)
    assert isinstance(raised.value, InvalidInputError)
    assert str(raised.value) == message


def test_an_update_of_too_many_parts_is_invalid() -> None:
    reader = ConfigUpdateReader()
    for _ in range(63):
        assert reader.feed_line("CONFIG endpoints=a:1 continued=1") is None
    with pytest.raises(InvalidUpdateError):
        reader.feed_line("CONFIG endpoints=a:1 continued=1")


@pytest.mark.parametrize("invalid", ["CONFIG routes=other endpoints=a:1", "CONFIG endpoints=z:1", "CONFIG eject=z"])
def test_nothing_of_an_invalid_update_is_applied(invalid: str) -> None:
    state = forwarder()
    with pytest.raises(InvalidUpdateError):
        state.apply(read_update("CONFIG routes=read full=1 endpoints=c:1 continued=1", invalid))
    assert state.class_tables["read"].lines == {"a": 1.0, "b": 1.0}


def test_changes_complete_tables_levels_and_ejections() -> None:
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
def test_the_choice_follows_the_weights(policy: LoadBalancingPolicy) -> None:
    table = forwarder("CONFIG routes=read full=1 endpoints=a:5,b:3,c:2").class_tables["read"]
    rng = random.Random(1)
    chosen = Counter(choose(table, policy, rng, {}) for _ in range(DRAWS))
    assert chosen["a"] / DRAWS == pytest.approx(0.5, abs=0.03)
    assert chosen["c"] / DRAWS == pytest.approx(0.2, abs=0.03)


def test_weighted_round_robin_is_smooth() -> None:
    table = forwarder("CONFIG routes=read full=1 endpoints=a:2,b:1").class_tables["read"]
    rng = random.Random(1)
    assert [choose(table, "round", rng, {}) for _ in range(6)] == ["a", "b", "a", "a", "b", "a"]


def test_of_two_servers_the_one_with_fewer_requests_in_flight() -> None:
    table = forwarder("CONFIG routes=read full=1 endpoints=a:1,b:1").class_tables["read"]
    rng = random.Random(1)
    assert {choose(table, "two", rng, {"a": 3}) for _ in range(50)} == {"b"}


@given(
    st.sets(st.sampled_from("abc")),
    st.sets(st.sampled_from("abc")),
    st.sampled_from(("two", "weighted", "round")),
    st.integers(0, 99),
)
def test_an_attempted_server_is_never_chosen_and_an_avoided_one_only_if_no_other_is_left(
    avoided: set[str], attempted: set[str], policy: LoadBalancingPolicy, seed: int
) -> None:
    table = forwarder("CONFIG routes=read full=1 endpoints=a:1,b:1,c:0.01").class_tables["read"]
    chosen = choose(table, policy, random.Random(seed), {}, sorted(avoided), sorted(attempted))
    left = {"a", "b", "c"} - attempted
    assert chosen not in attempted
    assert (chosen is None) == (not left)
    assert chosen not in avoided or not left - avoided


def test_admission_by_share_and_by_rate() -> None:
    state = forwarder("CONFIG routes=read admit=0.25 policy=1")
    rng = random.Random(1)
    by_share = sum(state.admits("read", "share", rng, 8.0) for _ in range(DRAWS)) / DRAWS
    assert by_share == pytest.approx(0.25, abs=0.03)
    state.apply(read_update("CONFIG routes=read admit=2 policy=1"))
    by_rate = sum(state.admits("read", "rate", rng, 8.0) for _ in range(DRAWS)) / DRAWS
    assert by_rate == pytest.approx(0.25, abs=0.03)
    assert state.admits("write", "share", rng, 8.0)
    assert state.admits("read", "off", rng, 8.0)
