"""The capacity page agrees with the committed result; bad result files are refused in one line."""

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


def test_the_page_is_what_the_committed_result_gives() -> None:
    page = PAGE.read_text()
    generated = page[page.index(BEGIN) : page.index(END) + len(END)] + "\n"
    assert page.count(BEGIN) == page.count(END) == 1
    assert generated == render(read_result(RESULT))


def test_each_mechanism_that_a_row_names_is_there() -> None:
    named = {match.groups() for row in rows_of(read_result(RESULT)) for match in NAMED.finditer(row.mechanism)}
    assert len(named) > 5
    for path, first, second in named:
        top = {
            node.name: node
            for node in ast.parse((ROOT / "stackwheel" / path).read_text()).body
            if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef)
        }
        assert first in top, (path, first)
        body = getattr(top[first], "body", [])
        methods = {node.name for node in body if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)}
        assert second is None or second in methods, (path, first, second)


def test_every_row_says_what_carries_it_and_whence_its_figures_are() -> None:
    rows = rows_of(read_result(RESULT))
    assert {row.role for row in rows} == {"planner", "proxy", "collector", "discovery", "control machine", "server"}
    for row in rows:
        assert row.source and ("missing" in row.mechanism or NAMED.search(row.mechanism)), row.case


def test_rows_over_budget_come_by_need_over_budget() -> None:
    def row(case: str, core: float | None) -> Row:
        return Row("planner", case, "", Cost(core=core, control_in=1.0), "", "", Budget(0.5, control_bytes=2.0))

    found = over_budget([row("under", 0.4), row("twice", 1.0), row("none", None), row("thrice", 1.5)])
    assert [(one.case, name, need) for one, name, need in found] == [("thrice", "core", 3.0), ("twice", "core", 2.0)]


def test_bytes_count_against_the_budget_whichever_way_they_go() -> None:
    budget = Budget(control_bytes=100.0)
    costs = [Cost(control_in=150.0), Cost(control_out=150.0), Cost(control_in=50.0, control_out=100.0)]
    assert [Row("discovery", "", "", cost, "", "", budget).worst() for cost in costs] == [("bytes", 1.5)] * 3
    assert Row("discovery", "", "", Cost(data_out=150.0), "", "", budget).worst() is None


def test_services_add_up_and_no_cell_is_over_its_limits() -> None:
    sizes = design.service_sizes()
    assert len(sizes) == design.SERVICES
    assert sizes[0].servers == max(one.servers for one in sizes)
    assert sum(one.servers for one in sizes) == pytest.approx(design.SERVERS, rel=0.01)
    for one in sizes:
        assert one.servers <= one.cells * design.CELL_SERVERS
        assert one.planners <= one.cells * design.CELL_PLANNERS


def test_the_two_spellings_tell_the_same(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["scale", "capacity", str(RESULT)]) == 0
    first = capsys.readouterr().out
    assert main(["scale", "--capacity", str(RESULT)]) == 0
    assert capsys.readouterr().out == first == render(read_result(RESULT))


@pytest.mark.parametrize("words", [["scale", "capacity"], ["scale", "--capacity"]])
def test_a_file_that_cannot_be_used_is_one_line_and_exit_two(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], words: list[str]
) -> None:
    path = tmp_path / "slopes.json"

    def refused() -> str:
        assert main([*words, str(path)]) == 2
        found = capsys.readouterr()
        assert found.out == ""
        assert found.err.count("\n") == 1
        assert str(path) in found.err
        return found.err

    assert "No such file" in refused()
    path.write_bytes(RESULT.read_bytes()[:-500])
    assert "cut" in refused()
    path.write_bytes(RESULT.read_bytes().replace(b'"version": 1', b'"version": 2'))
    assert "version 2" in refused()


def test_a_result_without_a_point_that_the_page_needs_is_refused(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "slopes.json"
    whole = read_result(RESULT)
    write_result(path, msgspec.structs.replace(whole, direct={}))
    assert main(["scale", "capacity", str(path)]) == 2
    assert "no measured point" in capsys.readouterr().err
