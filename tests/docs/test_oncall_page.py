"""Checks that the table of log lines in docs/oncall.md agrees with the logging calls in the source code."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "oncall.md"
PACKAGE = ROOT / "stackwheel"
NON_PRODUCTION_PACKAGES = {"trials", "scale"}
LEVELS = {"debug": "debug", "info": "info", "warning": "warning", "error": "error", "exception": "error"}
FIELD_ORDER = [
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
ROW_PATTERN = re.compile(r"^\| (debug|info|warning|error) \| `([^`]+)` \|", re.MULTILINE)
FIELD_PATTERN = re.compile(r"(\w+)=")


class LogLine(NamedTuple):
    """A kind of log line in the code or on the page: level, event, and the names of its fields in order."""

    level: str
    event: str
    fields: tuple[str, ...]


def parse(level: str, text: str) -> LogLine:
    """Parse a log text of the form `event: field={} field={}`."""
    event, _, rest = text.partition(": ")
    return LogLine(level, event, tuple(FIELD_PATTERN.findall(rest)))


def is_logger(node: ast.expr) -> bool:
    """Return whether an expression is `logger` or a call of one of its methods, such as `logger.opt(...)`."""
    if isinstance(node, ast.Call):
        return isinstance(node.func, ast.Attribute) and is_logger(node.func.value)
    return isinstance(node, ast.Name) and node.id == "logger"


def logging_calls() -> Iterator[tuple[str, ast.Call]]:
    """Yield each logging call of the packages for production, with its file and line number."""
    for path in sorted(PACKAGE.rglob("*.py")):
        relative = path.relative_to(PACKAGE)
        if relative.parts[0] in NON_PRODUCTION_PACKAGES:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in LEVELS
                and is_logger(node.func.value)
            ):
                yield f"{relative}:{node.lineno}", node


def logged_text(call: ast.Call) -> str | None:
    """Return the text that a call logs, or None if it is not a string constant."""
    argument = call.args[0]
    return argument.value if isinstance(argument, ast.Constant) and isinstance(argument.value, str) else None


LINES_IN_CODE = {
    location: parse(LEVELS[call.func.attr], logged_text(call) or "")
    for location, call in logging_calls()
    if isinstance(call.func, ast.Attribute)
}
LINES_ON_PAGE = [parse(level, text) for level, text in ROW_PATTERN.findall(PAGE.read_text())]


@pytest.mark.parametrize("line", LINES_ON_PAGE, ids=lambda line: line.event)
def test_each_log_line_on_the_page_is_in_the_code(line: LogLine) -> None:
    assert line in LINES_IN_CODE.values()


@pytest.mark.parametrize(
    "location", [location for location, line in LINES_IN_CODE.items() if line.level in ("warning", "error")]
)
def test_each_warning_and_error_is_on_the_page(location: str) -> None:
    assert LINES_IN_CODE[location] in LINES_ON_PAGE


@pytest.mark.parametrize("location", [location for location, line in LINES_IN_CODE.items() if line.level != "debug"])
def test_log_fields_are_known_and_in_the_common_order(location: str) -> None:
    fields = LINES_IN_CODE[location].fields
    assert set(fields) <= set(FIELD_ORDER)
    assert list(fields) == sorted(fields, key=FIELD_ORDER.index)


def test_the_page_and_the_code_contain_enough_log_lines_to_compare() -> None:
    assert len(LINES_ON_PAGE) > 30
    assert len(LINES_IN_CODE) > 40
