"""The capacity page agrees with the committed result; invalid result files are rejected with one line."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import msgspec
import pytest

from stackwheel.cli.entry import main
from stackwheel.scale import target_size as design
from stackwheel.scale.capacity import Budget, Cost, Row, over_budget
from stackwheel.scale.capacity_page import BEGIN, END, render, rows_of
from stackwheel.scale.slopes import read_result, write_result

ROOT = Path(__file__).parents[2]
RESULT = ROOT / "docs" / "scale" / "slopes.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
NAMED = re.compile(r"`(\w+(?:/\w+)*\.py)` `(\w+)(?:\.(\w+))?`")


def test_the_page_has_what_is_rendered_from_the_committed_result() -> None:
    page = PAGE.read_text()
    generated = page[page.index(BEGIN) : page.index(END) + len(END)] + "\n"
    assert page.count(BEGIN) == page.count(END) == 1
    assert generated == render(read_result(RESULT))


def test_each_mechanism_that_a_row_names_exists() -> None:
    named = {match.groups() for row in rows_of(read_result(RESULT)) for match in NAMED.finditer(row.mechanism)}
    assert len(named) > 5
    for path, first, second in named:
        definitions = {
            node.name: node
            for node in ast.parse((ROOT / "stackwheel" / path).read_text()).body
            if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef)
        }
        assert first in definitions, (path, first)
        body = getattr(definitions[first], "body", [])
        methods = {node.name for node in body if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)}
        assert second is None or second in methods, (path, first, second)


def test_every_row_names_its_mechanism_and_the_source_of_its_figures() -> None:
    rows = rows_of(read_result(RESULT))
    assert {row.role for row in rows} == {"planner", "proxy", "collector", "discovery", "control machine", "server"}
    for row in rows:
        assert row.source, row.case
        assert "missing" in row.mechanism or NAMED.search(row.mechanism), row.case


def test_rows_over_budget_are_sorted_by_need_over_budget() -> None:
    def row(case: str, core: float | None) -> Row:
        return Row("planner", case, "", Cost(core=core, control_in=1.0), "", "", Budget(0.5, control_bytes=2.0))

    exceeding = over_budget([row("under", 0.4), row("twice", 1.0), row("none", None), row("thrice", 1.5)])
    assert [(exceeded.row.case, exceeded.budget, exceeded.need) for exceeded in exceeding] == [
        ("thrice", "core", 3.0),
        ("twice", "core", 2.0),
    ]


def test_bytes_count_against_the_budget_in_both_directions() -> None:
    budget = Budget(control_bytes=100.0)
    costs = [Cost(control_in=150.0), Cost(control_out=150.0), Cost(control_in=50.0, control_out=100.0)]
    assert [Row("discovery", "", "", cost, "", "", budget).worst() for cost in costs] == [("bytes", 1.5)] * 3
    assert Row("discovery", "", "", Cost(data_out=150.0), "", "", budget).worst() is None


def test_services_add_up_and_no_cell_is_over_its_limits() -> None:
    sizes = design.service_sizes()
    assert len(sizes) == design.SERVICES
    assert sizes[0].servers == max(service.servers for service in sizes)
    assert sum(service.servers for service in sizes) == pytest.approx(design.SERVERS, rel=0.01)
    for service in sizes:
        assert service.servers <= service.cells * design.CELL_SERVERS
        assert service.planners <= service.cells * design.CELL_PLANNERS


def test_command_and_option_print_the_same(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["scale", "capacity", str(RESULT)]) == 0
    by_command = capsys.readouterr().out
    assert main(["scale", "--capacity", str(RESULT)]) == 0
    assert capsys.readouterr().out == by_command == render(read_result(RESULT))


@pytest.mark.parametrize("arguments", [["scale", "capacity"], ["scale", "--capacity"]])
def test_an_invalid_file_gives_one_line_and_exit_code_two(
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
    assert "cut" in error_line()
    path.write_bytes(RESULT.read_bytes().replace(b'"version": 1', b'"version": 2'))
    assert "version 2" in error_line()


def test_a_result_without_a_point_that_the_page_needs_is_rejected(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "slopes.json"
    write_result(path, msgspec.structs.replace(read_result(RESULT), direct={}))
    assert main(["scale", "capacity", str(path)]) == 2
    assert "no measured point" in capsys.readouterr().err
