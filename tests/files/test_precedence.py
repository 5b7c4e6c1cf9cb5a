"""Tests of the precedence of streams, files and expired tables."""

from __future__ import annotations

import dataclasses

import pytest

from stackwheel.files.acceptor import CurrentTables
from stackwheel.files.content import TableContent, resulting_content
from stackwheel.files.precedence import PrecedenceSettings, Source, SourcePrecedence
from stackwheel.files.records import Incarnation, TableUpdate, WeightTable

SETTINGS = PrecedenceSettings(stream_timeout=3000.0, table_lifetime=10_000.0, expired_grace=5000.0, fallback="even")
INCARNATION = Incarnation(0, 1, 1)


def file_tables(
    planner: str,
    created_at: float,
    lines: dict[str, float],
    ejected: tuple[str, ...] = (),
    expires_at: float = 60_000.0,
) -> CurrentTables:
    tables = (WeightTable("read", lines),)
    update = TableUpdate(planner, INCARNATION, 1, created_at, expires_at, "east", tables=tables, ejected=ejected)
    return CurrentTables(update, update, resulting_content(update))


def stream_content(lines: dict[str, float], ejected: tuple[str, ...] = ()) -> TableContent:
    return TableContent({"read": lines}, {"read": None}, ejected)


def with_stream(lines: dict[str, float], now: float = 1000.0) -> SourcePrecedence:
    precedence = SourcePrecedence(SETTINGS)
    precedence.stream_connected("n0", now)
    precedence.stream_updated(stream_content(lines), True, now)
    return precedence


def test_an_active_stream_takes_precedence_over_files() -> None:
    precedence = with_stream({"a": 1.0})
    precedence.file_applied("n0", file_tables("n0", 2000.0, {"b": 1.0}), 2000.0)
    assert precedence.select(2000.0).source is Source.STREAM
    assert precedence.select(2000.0).content.tables == {"read": {"a": 1.0}}


@pytest.mark.parametrize("fault", ["disconnected", "silent"])
def test_newer_files_replace_a_disconnected_or_timed_out_stream(fault: str) -> None:
    precedence = with_stream({"a": 1.0})
    precedence.file_applied("n0", file_tables("n0", 2000.0, {"b": 1.0}), 2000.0)
    if fault == "disconnected":
        precedence.stream_disconnected()
    now = 2000.0 if fault == "disconnected" else 4000.0
    assert precedence.select(now).content.tables == {"read": {"b": 1.0}}


def test_files_older_than_the_last_stream_update_are_not_used() -> None:
    precedence = with_stream({"a": 1.0}, now=5000.0)
    precedence.file_applied("n0", file_tables("n0", 2000.0, {"b": 1.0}, expires_at=100_000.0), 5100.0)
    precedence.stream_disconnected()
    selection = precedence.select(6000.0)
    assert selection.source is Source.EXPIRED or selection.content.tables == {"read": {"a": 1.0}}


def test_a_reconnected_stream_takes_precedence_after_it_has_sent_complete_tables() -> None:
    precedence = with_stream({"a": 1.0})
    precedence.stream_disconnected()
    precedence.file_applied("n0", file_tables("n0", 2000.0, {"b": 1.0}), 2000.0)
    precedence.stream_connected("n1", 3000.0)
    precedence.stream_received(3100.0)
    assert precedence.select(3200.0).source is Source.FILE
    precedence.stream_updated(stream_content({"c": 1.0}), True, 3300.0)
    assert precedence.select(3400.0).content.tables == {"read": {"c": 1.0}}


def test_an_ejection_by_file_applies_to_tables_from_the_stream() -> None:
    precedence = with_stream({"a": 1.0, "b": 1.0})
    precedence.file_applied("n0", file_tables("n0", 2000.0, {"b": 1.0}, ("a",)), 2000.0)
    assert precedence.select(2100.0).source is Source.STREAM
    assert precedence.select(2100.0).content.tables == {"read": {"b": 1.0}}


def test_a_planner_restores_only_servers_that_it_ejected_itself() -> None:
    precedence = with_stream({"a": 1.0, "b": 1.0})
    precedence.file_applied("n1", file_tables("n1", 2000.0, {"b": 1.0}, ("a",)), 2000.0)
    precedence.stream_updated(stream_content({"a": 1.0, "b": 1.0}), False, 2100.0)  # from n0, which has not ejected a
    assert "a" not in precedence.select(2200.0).content.tables["read"]
    precedence.file_applied("n1", file_tables("n1", 2300.0, {"a": 1.0, "b": 1.0}), 2300.0)
    assert "a" in precedence.select(2400.0).content.tables["read"]


def test_the_preferred_planner_changes_only_when_its_files_expire() -> None:
    precedence = SourcePrecedence(SETTINGS)
    precedence.file_applied("n0", file_tables("n0", 1000.0, {"a": 1.0}, expires_at=5000.0), 1000.0)
    assert precedence.select(1000.0).planner == "n0"
    precedence.file_applied("n1", file_tables("n1", 2000.0, {"b": 1.0}), 2000.0)
    assert precedence.select(2000.0).planner == "n0"
    assert precedence.select(5000.0).planner == "n1"


def test_expired_tables_are_used_until_the_grace_period_ends() -> None:
    precedence = SourcePrecedence(SETTINGS)
    tables = file_tables("n0", 1000.0, {"a": 3.0, "b": 1.0}, ("c",), expires_at=5000.0)
    precedence.file_applied("n0", tables, 1000.0)
    assert precedence.select(9999.0).source is Source.EXPIRED
    selection = precedence.select(10_000.0)
    assert selection.source is Source.EVEN
    assert selection.content.tables == {"read": {"a": 1.0, "b": 1.0}}


def test_no_tables_are_in_force_after_the_grace_period_if_the_fallback_is_refuse() -> None:
    precedence = SourcePrecedence(dataclasses.replace(SETTINGS, fallback="refuse"))
    precedence.file_applied("n0", file_tables("n0", 1000.0, {"a": 1.0}, expires_at=5000.0), 1000.0)
    assert precedence.select(10_000.0).source is Source.NONE


def test_a_table_without_lines_after_ejections_gets_the_known_servers() -> None:
    precedence = with_stream({"a": 1.0})
    precedence.file_applied("n0", file_tables("n0", 2000.0, {"a": 1.0, "b": 1.0}, ("a",)), 2000.0)
    assert precedence.select(2100.0).content.tables == {"read": {"b": 1.0}}
