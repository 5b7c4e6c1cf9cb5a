"""Tests of the comparison of real planners' tables with the list, and of the configuration of these planners."""

from __future__ import annotations

from stackwheel.scale.entries import IN_SERVICE, TERMINATING, Entry
from stackwheel.scale.fleet import DrawnPlanner
from stackwheel.scale.layout import PlacedPlanner
from stackwheel.scale.real import MAX_SERVERS_IN_FULL_TABLE, RESOURCE_LIMITS, compare_tables, configuration
from stackwheel.service.config import read_config


def entries(count: int, lifecycle: str = IN_SERVICE) -> list[Entry]:
    return [Entry(f"s-{number}", "10.0.0.1:1", "zone-00", lifecycle) for number in range(count)]


def names(count: int, first: int = 0) -> set[str]:
    return {f"s-{number}" for number in range(first, count)}


def test_tables_with_all_ready_servers_have_no_difference() -> None:
    assert compare_tables(names(3), entries(3)).count() == 0
    assert compare_tables(set(), []).count() == 0


def test_a_line_for_a_server_that_is_not_ready_is_a_difference() -> None:
    difference = compare_tables(names(3), [*entries(2), Entry("s-2", "10.0.0.1:1", "zone-00", TERMINATING)])
    assert difference.not_ready == ("s-2",)
    assert "not ready" in difference.example()


def test_a_ready_server_without_a_line_is_a_difference_in_a_small_cell_or_an_empty_table() -> None:
    assert compare_tables(names(2), entries(3)).without_line == ("s-2",)
    assert compare_tables(names(MAX_SERVERS_IN_FULL_TABLE + 1, 1), entries(MAX_SERVERS_IN_FULL_TABLE + 1)).count() == 0
    assert compare_tables(set(), entries(MAX_SERVERS_IN_FULL_TABLE + 1)).count() == MAX_SERVERS_IN_FULL_TABLE + 1


def test_a_planner_accepts_the_generated_configuration() -> None:
    placed = PlacedPlanner(0, DrawnPlanner("planner-00000", "svc-0000", "zone-01"), "", "127.0.0.1:8500")
    document = configuration(placed, "127.0.0.1:8081", "127.0.0.1:1,127.0.0.1:2", ["zone-00", "zone-01"], 7)
    config = read_config(document)
    assert config.defaulted_settings == ()
    assert config.names.zones == ("zone-00", "zone-01")
    assert config.settings.home_zone == 1
    assert document["limits"] == RESOURCE_LIMITS
    assert not config.settings.endpoint_list_on_request
