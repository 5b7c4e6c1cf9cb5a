"""Tests of the capacity model, of the generated page, and of the rejection of invalid result files."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import msgspec
import pytest

from stackwheel.cli.entry import main
from stackwheel.scale import target_size as target
from stackwheel.scale.capacity import Budget, Cost, Row, exceeded_budgets
from stackwheel.scale.capacity_page import BEGIN_MARKER, END_MARKER, capacity_rows, render
from stackwheel.scale.slopes import read_result, write_result

ROOT = Path(__file__).parents[2]
RESULT = ROOT / "docs" / "scale" / "slopes.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
NAMED_CODE = re.compile(r"`(\w+(?:/\w+)*\.py)` `(\w+)(?:\.(\w+))?`")


def test_the_generated_part_of_the_page_is_rendered_from_the_committed_result() -> None:
    page = PAGE.read_text()
    generated = page[page.index(BEGIN_MARKER) : page.index(END_MARKER) + len(END_MARKER)] + "\n"
    assert page.count(BEGIN_MARKER) == page.count(END_MARKER) == 1
    assert generated == render(read_result(RESULT))


def test_the_code_that_is_named_as_the_mechanism_of_a_row_exists() -> None:
    named_code = {
        match.groups() for row in capacity_rows(read_result(RESULT)) for match in NAMED_CODE.finditer(row.mechanism)
    }
    assert len(named_code) > 5
    for path, first, second in named_code:
        definitions = {
            node.name: node
            for node in ast.parse((ROOT / "stackwheel" / path).read_text()).body
            if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef)
        }
        assert first in definitions, (path, first)
        body = getattr(definitions[first], "body", [])
        methods = {node.name for node in body if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)}
        assert second is None or second in methods, (path, first, second)


def test_every_row_has_a_source_and_a_mechanism_or_is_marked_as_missing_one() -> None:
    rows = capacity_rows(read_result(RESULT))
    assert {row.role for row in rows} == {"planner", "proxy", "collector", "discovery", "control machine", "server"}
    for row in rows:
        assert row.source, row.case
        assert "missing" in row.mechanism or NAMED_CODE.search(row.mechanism), row.case


def test_rows_that_exceed_a_budget_are_sorted_by_the_used_share() -> None:
    def row(case: str, core: float | None) -> Row:
        return Row("planner", case, "", Cost(core=core, control_bytes_in=1.0), "", "", Budget(0.5, control_bytes=2.0))

    exceeding = exceeded_budgets([row("under", 0.4), row("twice", 1.0), row("none", None), row("thrice", 1.5)])
    assert [(exceeded.row.case, exceeded.budget, exceeded.share) for exceeded in exceeding] == [
        ("thrice", "core", 3.0),
        ("twice", "core", 2.0),
    ]


def test_received_and_sent_control_bytes_count_against_the_budget_together() -> None:
    budget = Budget(control_bytes=100.0)
    costs = [
        Cost(control_bytes_in=150.0),
        Cost(control_bytes_out=150.0),
        Cost(control_bytes_in=50.0, control_bytes_out=100.0),
    ]
    assert [Row("discovery", "", "", cost, "", "", budget).highest_budget_use() for cost in costs] == [
        ("bytes", 1.5)
    ] * 3
    assert Row("discovery", "", "", Cost(data_bytes_out=150.0), "", "", budget).highest_budget_use() is None


def test_service_sizes_add_up_to_all_servers_and_cells_are_within_their_limits() -> None:
    sizes = target.service_sizes()
    assert len(sizes) == target.SERVICES
    assert sizes[0].servers == max(service.servers for service in sizes)
    assert sum(service.servers for service in sizes) == pytest.approx(target.SERVERS, rel=0.01)
    for service in sizes:
        assert service.servers <= service.cells * target.MAX_CELL_SERVERS
        assert service.planners <= service.cells * target.MAX_CELL_PLANNERS


def test_the_capacity_command_and_option_print_the_same_page(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["scale", "capacity", str(RESULT)]) == 0
    by_command = capsys.readouterr().out
    assert main(["scale", "--capacity", str(RESULT)]) == 0
    assert capsys.readouterr().out == by_command == render(read_result(RESULT))


@pytest.mark.parametrize("arguments", [["scale", "capacity"], ["scale", "--capacity"]])
def test_an_invalid_result_file_prints_an_error_of_one_line_and_exits_with_code_two(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], arguments: list[str]
) -> None:
    path = tmp_path / "slopes.json"

    def error_line() -> str:
        assert main([*arguments, str(path)]) == 2
        output = capsys.readouterr()
        assert output.out == ""
        assert output.err.count("\n") == 1
        assert str(path) in output.err
        return output.err

    assert "No such file" in error_line()
    path.write_bytes(RESULT.read_bytes()[:-500])
    assert "truncated" in error_line()
    path.write_bytes(RESULT.read_bytes().replace(b'"version": 1', b'"version": 2'))
    assert "version 2" in error_line()


def test_a_result_without_a_point_that_the_page_requires_is_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "slopes.json"
    write_result(path, msgspec.structs.replace(read_result(RESULT), direct={}))
    assert main(["scale", "capacity", str(path)]) == 2
    assert "no measured point" in capsys.readouterr().err
