"""Which source holds when a stream breaks, comes back, or says something older than the file."""

from __future__ import annotations

import msgspec
import pytest

from stackwheel.files.accept import Content, Held, content_of
from stackwheel.files.precedence import Source, SourcePrecedence, Terms
from stackwheel.files.records import Incarnation, Orders, Table

TERMS = Terms(silence=3000.0, life=10_000.0, keep=5000.0, after="even")
LIFE = Incarnation(0, 1, 1)


def held(
    planner: str, made: float, lines: dict[str, float], withdrawn: tuple[str, ...] = (), until: float = 60_000.0
) -> Held:
    orders = Orders(planner, LIFE, 1, made, until, "east", tables=(Table("read", lines),), withdrawn=withdrawn)
    return Held(orders, orders, content_of(orders))


def content(lines: dict[str, float], withdrawn: tuple[str, ...] = ()) -> Content:
    return Content({"read": lines}, {"read": None}, withdrawn)


def streaming(lines: dict[str, float], now: float = 1000.0, terms: Terms = TERMS) -> SourcePrecedence:
    found = SourcePrecedence(terms)
    found.stream_up("n0", now)
    found.stream_ordered(content(lines), True, now)
    return found


def test_a_stream_that_is_heard_prevails_over_files() -> None:
    found = streaming({"a": 1.0})
    found.file("n0", held("n0", 2000.0, {"b": 1.0}), 2000.0)
    assert found.choose(2000.0).source is Source.STREAM
    assert found.choose(2000.0).content.tables == {"read": {"a": 1.0}}


@pytest.mark.parametrize("how", ["down", "silent"])
def test_a_stream_that_breaks_or_falls_silent_gives_way_to_newer_files(how: str) -> None:
    found = streaming({"a": 1.0})
    found.file("n0", held("n0", 2000.0, {"b": 1.0}), 2000.0)
    if how == "down":
        found.stream_down()
    assert found.choose(2000.0 if how == "down" else 4000.0).content.tables == {"read": {"b": 1.0}}


def test_files_older_than_the_stream_s_last_order_do_not_take_its_place() -> None:
    found = streaming({"a": 1.0}, now=5000.0)
    found.file("n0", held("n0", 2000.0, {"b": 1.0}, until=100_000.0), 5100.0)
    found.stream_down()
    choice = found.choose(6000.0)
    assert choice.source is Source.KEPT or choice.content.tables == {"read": {"a": 1.0}}


def test_a_stream_that_comes_back_prevails_once_it_has_ordered_whole_tables() -> None:
    found = streaming({"a": 1.0})
    found.stream_down()
    found.file("n0", held("n0", 2000.0, {"b": 1.0}), 2000.0)
    found.stream_up("n1", 3000.0)
    found.stream_heard(3100.0)
    assert found.choose(3200.0).source is Source.FILE
    found.stream_ordered(content({"c": 1.0}), True, 3300.0)
    assert found.choose(3400.0).content.tables == {"read": {"c": 1.0}}


def test_a_drain_told_only_by_file_binds_while_the_stream_is_half_open() -> None:
    found = streaming({"a": 1.0, "b": 1.0})
    found.file("n0", held("n0", 2000.0, {"b": 1.0}, ("a",)), 2000.0)
    assert found.choose(2100.0).source is Source.STREAM
    assert found.choose(2100.0).content.tables == {"read": {"b": 1.0}}


def test_a_planner_lets_back_only_what_it_took_out_itself() -> None:
    found = streaming({"a": 1.0, "b": 1.0})
    found.file("n1", held("n1", 2000.0, {"b": 1.0}, ("a",)), 2000.0)
    found.stream_ordered(content({"a": 1.0, "b": 1.0}), False, 2100.0)  # n0 never took it out
    assert "a" not in found.choose(2200.0).content.tables["read"]
    found.file("n1", held("n1", 2300.0, {"a": 1.0, "b": 1.0}), 2300.0)
    assert "a" in found.choose(2400.0).content.tables["read"]


def test_of_two_planners_files_the_one_that_prevails_stays_while_it_is_fresh() -> None:
    found = SourcePrecedence(TERMS)
    found.file("n0", held("n0", 1000.0, {"a": 1.0}, until=5000.0), 1000.0)
    assert found.choose(1000.0).planner == "n0"
    found.file("n1", held("n1", 2000.0, {"b": 1.0}), 2000.0)
    assert found.choose(2000.0).planner == "n0"
    assert found.choose(5000.0).planner == "n1"


def test_over_its_time_a_table_is_kept_no_longer_than_allowed() -> None:
    found = SourcePrecedence(TERMS)
    found.file("n0", held("n0", 1000.0, {"a": 3.0, "b": 1.0}, ("c",), until=5000.0), 1000.0)
    assert found.choose(9999.0).source is Source.KEPT
    choice = found.choose(10_000.0)
    assert choice.source is Source.EVEN and choice.content.tables == {"read": {"a": 1.0, "b": 1.0}}
    refusing = SourcePrecedence(
        msgspec.structs.replace(TERMS, after="refuse")
        if isinstance(TERMS, msgspec.Struct)
        else Terms(TERMS.silence, TERMS.life, TERMS.keep, "refuse")
    )
    refusing.file("n0", held("n0", 1000.0, {"a": 1.0}, until=5000.0), 1000.0)
    assert refusing.choose(10_000.0).source is Source.NOTHING


def test_a_class_left_bare_by_withdrawals_gets_what_is_known() -> None:
    found = streaming({"a": 1.0})
    found.file("n0", held("n0", 2000.0, {"a": 1.0, "b": 1.0}, ("a",)), 2000.0)
    assert found.choose(2100.0).content.tables == {"read": {"b": 1.0}}
