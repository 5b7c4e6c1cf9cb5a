"""The forwarder's law: orders read strictly, applied whole or not at all, and the choice by the table."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stackwheel.forwarder.state import ForwarderState, choose
from stackwheel.forwarder.updates import ConfigUpdate, ConfigUpdateReader, InvalidUpdate
from stackwheel.interface import Retry

LISTED = {"a": None, "b": None, "c": None}


def order(*lines: str) -> ConfigUpdate:
    reader = ConfigUpdateReader()
    for line in lines:
        found = reader.take(line)
    assert found is not None
    return found


def holdings(*lines: str) -> ForwarderState:
    held = ForwarderState(("read", "write"), LISTED)
    held.install_standing_table(("a", "b"))
    for line in lines:
        held.apply(order(line))
    return held


def test_a_message_is_whole_with_its_last_part() -> None:
    reader = ConfigUpdateReader()
    assert reader.take("CONFIG routes=read full=1 endpoints=a:1,b:0.5 continued=1") is None
    whole = reader.take("CONFIG routes=write admit=0.5 policy=1 nonce_out=7")
    assert whole is not None and whole.nonces() == (7,) and whole.cost() == 5
    assert reader.take("CONFIG nonce_out=8") == ConfigUpdate((whole.parts[1].__class__(nonce=8),))


@pytest.mark.parametrize(
    "line",
    [
        "PONG",
        "CONFIG what=1",
        "CONFIG routes=read routes=read",
        "CONFIG admit=0.5",
        "CONFIG policy=1",
        "CONFIG endpoints=a",
        "CONFIG endpoints=a:-1",
        "CONFIG endpoints=a:1e5",
        "CONFIG endpoints=:1",
        "CONFIG admit=x policy=1",
        "CONFIG admit=1 policy=4",
        "CONFIG full=2",
        "CONFIG nonce_out=x",
        "CONFIG full",
    ],
)
def test_what_cannot_be_read_is_unusable(line: str) -> None:
    with pytest.raises(InvalidUpdate):
        ConfigUpdateReader().take(line)


def test_a_message_of_too_many_parts_is_unusable() -> None:
    reader = ConfigUpdateReader()
    for _ in range(63):
        assert reader.take("CONFIG endpoints=a:1 continued=1") is None
    with pytest.raises(InvalidUpdate):
        reader.take("CONFIG endpoints=a:1 continued=1")


@pytest.mark.parametrize("bad", ["CONFIG routes=other endpoints=a:1", "CONFIG endpoints=z:1", "CONFIG eject=z"])
def test_nothing_of_an_unusable_message_is_applied(bad: str) -> None:
    held = holdings()
    with pytest.raises(InvalidUpdate):
        held.apply(order("CONFIG routes=read full=1 endpoints=c:1 continued=1", bad))
    assert held.routes["read"].lines == {"a": 1.0, "b": 1.0}


def test_changes_whole_tables_levels_and_withdrawals() -> None:
    held = holdings("CONFIG routes=read endpoints=a:0,c:2", "CONFIG routes=read admit=0.5 policy=2")
    assert held.routes["read"].lines == {"b": 1.0, "c": 2.0} and held.routes["write"].lines == {"a": 1.0, "b": 1.0}
    assert held.retry_mode("read", Retry.NEVER) is Retry.ONCE and held.retry_mode("write", Retry.NEVER) is Retry.NEVER
    held.apply(order("CONFIG eject=c,b"))
    assert held.has_no_servers("read") and held.shares("write") == {"a": 1.0}
    held.apply(order("CONFIG restore=b"))
    assert held.shares("read") == {"b": 1.0}
    held.apply(order("CONFIG routes=read full=1 endpoints=a:3,b:1"))
    assert held.routes["read"].level is None and held.shares("read") == {"a": 0.75, "b": 0.25}


@pytest.mark.parametrize("pick", ["weighted", "round"])
def test_choice_follows_the_weights(pick: str) -> None:
    held = holdings("CONFIG routes=read full=1 endpoints=a:5,b:3,c:2").routes["read"]
    chance = random.Random(1)
    met = Counter(choose(held, pick, chance, {}) for _ in range(4000))
    assert met["a"] / 4000 == pytest.approx(0.5, abs=0.03) and met["c"] / 4000 == pytest.approx(0.2, abs=0.03)


def test_an_even_round_is_even() -> None:
    held = holdings("CONFIG routes=read full=1 endpoints=a:2,b:1").routes["read"]
    chance = random.Random(1)
    assert [choose(held, "round", chance, {}) for _ in range(6)] == ["a", "b", "a", "a", "b", "a"]


def test_of_two_the_one_with_less_of_its_own_work() -> None:
    held = holdings("CONFIG routes=read full=1 endpoints=a:1,b:1").routes["read"]
    chance = random.Random(1)
    assert {choose(held, "two", chance, {"a": 3}) for _ in range(50)} == {"b"}


@given(
    st.sets(st.sampled_from("abc")),
    st.sets(st.sampled_from("abc")),
    st.sampled_from(("two", "weighted", "round")),
    st.integers(0, 99),
)
def test_never_one_tried_and_one_kept_off_only_if_no_other_is_left(
    avoid: set[str], tried: set[str], pick: str, seed: int
) -> None:
    held = holdings("CONFIG routes=read full=1 endpoints=a:1,b:1,c:0.01").routes["read"]
    found = choose(held, pick, random.Random(seed), {}, sorted(avoid), sorted(tried))
    left = {"a", "b", "c"} - tried
    assert found not in tried and (found is None) == (not left)
    assert found not in avoid or not left - avoid


def test_admission_by_share_and_by_rate() -> None:
    held = holdings("CONFIG routes=read admit=0.25 policy=1")
    chance = random.Random(1)
    by_share = sum(held.admits("read", "share", chance, 8.0) for _ in range(4000)) / 4000
    assert by_share == pytest.approx(0.25, abs=0.03)
    held.apply(order("CONFIG routes=read admit=2 policy=1"))
    by_rate = sum(held.admits("read", "rate", chance, 8.0) for _ in range(4000)) / 4000
    assert by_rate == pytest.approx(0.25, abs=0.03)
    assert held.admits("write", "share", chance, 8.0) and held.admits("read", "off", chance, 8.0)
