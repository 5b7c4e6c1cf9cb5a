"""The table of log lines in docs/oncall.md and the code that logs: each line of the page is logged, and the other way round."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "oncall.md"
PACKAGE = ROOT / "stackwheel"
NOT_IN_SERVICE = {"trials", "scale"}  # programs that nobody is on call for
LEVELS = {"debug": "debug", "info": "info", "warning": "warning", "error": "error", "exception": "error"}
FIELDS_IN_ORDER = [
    "connection",
    "proxy",
    "planner",
    "server",
    "file",
    "incarnation",
    "source",
    "address",
    "cell",
    "generation",
    "kind",
    "stage",
    "count",
    "bytes",
    "lines",
    "nonce",
    "duration_s",
    "reason",
]
ROW = re.compile(r"^\| (debug|info|warning|error) \| `([^`]+)` \|", re.MULTILINE)
FIELD = re.compile(r"(\w+)=")


class LogLine(NamedTuple):
    """A line as the code logs it or as the page shows it: level, event, and the names of its fields in order."""

    level: str
    event: str
    fields: tuple[str, ...]


def parse(level: str, text: str) -> LogLine:
    event, _, rest = text.partition(": ")
    return LogLine(level, event, tuple(FIELD.findall(rest)))


def is_logger(node: ast.expr) -> bool:
    """Whether an expression is `logger`, or `logger.opt(...)`."""
    if isinstance(node, ast.Call):
        return isinstance(node.func, ast.Attribute) and is_logger(node.func.value)
    return isinstance(node, ast.Name) and node.id == "logger"


def calls_that_log() -> Iterator[tuple[str, ast.Call]]:
    """Each call of a logging method in the programs in service, with where it stands."""
    for path in sorted(PACKAGE.rglob("*.py")):
        relative = path.relative_to(PACKAGE)
        if relative.parts[0] in NOT_IN_SERVICE:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in LEVELS
                and is_logger(node.func.value)
            ):
                yield f"{relative}:{node.lineno}", node


def text_of(call: ast.Call) -> str | None:
    """The constant text that a call logs; None where it is not constant."""
    first = call.args[0]
    return first.value if isinstance(first, ast.Constant) and isinstance(first.value, str) else None


LOGGED = {
    where: parse(LEVELS[call.func.attr], text_of(call) or "")
    for where, call in calls_that_log()
    if isinstance(call.func, ast.Attribute)
}
DOCUMENTED = [parse(level, text) for level, text in ROW.findall(PAGE.read_text())]


@pytest.mark.parametrize("line", DOCUMENTED, ids=lambda line: line.event)
def test_each_line_of_the_page_is_logged(line: LogLine) -> None:
    assert line in LOGGED.values()


@pytest.mark.parametrize("where", [where for where, line in LOGGED.items() if line.level in ("warning", "error")])
def test_each_warning_and_error_is_on_the_page(where: str) -> None:
    assert LOGGED[where] in DOCUMENTED


@pytest.mark.parametrize("where", [where for where, line in LOGGED.items() if line.level != "debug"])
def test_fields_come_in_one_order(where: str) -> None:
    fields = LOGGED[where].fields
    assert set(fields) <= set(FIELDS_IN_ORDER)
    assert list(fields) == sorted(fields, key=FIELDS_IN_ORDER.index)


def test_the_page_and_the_code_have_lines_at_all() -> None:
    assert len(DOCUMENTED) > 30
    assert len(LOGGED) > 40
