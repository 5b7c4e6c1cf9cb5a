"""The configuration language: syntax, unification with a schema, and the location in error messages."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stackwheel.config_language.conjuncts import Source
from stackwheel.config_language.errors import OperatorsFileError, OperatorsSyntaxError, UnificationError
from stackwheel.config_language.load import SourceText, combine, load
from stackwheel.config_language.parser import parse
from stackwheel.config_language.tree import plain_values
from stackwheel.config_language.unify import unify

ROOT = Path(__file__).parents[2]


def unified_values(*texts: str) -> object:
    """Return the values of unified texts; the first text is the schema, and the sources are named f0, f1 and so on."""
    sources = [Source(f"f{index}", parse(text, f"f{index}")) for index, text in enumerate(texts)]
    return plain_values(unify(sources))


def load_error(text: str) -> OperatorsFileError:
    """Return the error that a text causes if it is loaded as the operators' file op.cue."""
    with pytest.raises(OperatorsFileError) as caught:
        combine([SourceText("op.cue", text)])
    assert "\n" not in str(caught.value)
    return caught.value


def test_without_a_file_all_values_are_defaults_and_nothing_is_enabled() -> None:
    defaults = combine([])
    assert defaults.records.files.enabled is False
    assert {str(origin) for _, _, origin in defaults.origins()} == {"default"}


def test_a_value_from_a_file_has_the_file_and_line_as_origin() -> None:
    text = "files: {\n  on: true // yes\n  pace: cap: 12\n  pace: {least: 200, span: 5K}\n}\n"
    operators_config = combine([SourceText("op.cue", text)])
    files = operators_config.records.files
    assert files.enabled
    assert files.pace.max_files == 12
    assert files.pace.window_ms == 5000
    origins = {path: str(origin) for path, _, origin in operators_config.origins()}
    assert {path: origin for path, origin in origins.items() if origin != "default"} == {
        "files.on": "op.cue:2",
        "files.pace.cap": "op.cue:3",
        "files.pace.least": "op.cue:4",
        "files.pace.span": "op.cue:4",
    }


def test_json_is_valid_input() -> None:
    document = {"files": {"on": True, "out": "/x", "silent": {"after": "refuse", "keep": 1.5e3}}}
    for text in (json.dumps(document), json.dumps(document, indent=4)):
        files = combine([SourceText("op.json", text)]).records.files
        assert files.output_folder == "/x"
        assert files.silent_planner.fallback == "refuse"
        assert files.silent_planner.expired_retention_ms == 1500


def test_several_files_are_unified_and_contradictions_are_rejected() -> None:
    first = SourceText("a.cue", "files: on: true")
    second = SourceText("b.cue", "files: {on: true, life: >=40000 & 50000}")
    assert combine([first, second]).records.files.lifetime_ms == 50000
    with pytest.raises(OperatorsFileError, match=r"b\.cue:1: files\.on: false found, but a\.cue:1 sets true"):
        combine([first, SourceText("b.cue", "files: on: false")])


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("files: on: 3", "op.cue:1: files.on: 3 found, bool expected"),
        ("files: {\n onn: true\n}", "op.cue:2: files.onn: no such field, did you mean 'on'?"),
        ("files: pace: cap: 5000", "op.cue:1: files.pace.cap: 5000 found, int & >=0 & <=1000 expected"),
        ("files: pace: cap: 5.5", "op.cue:1: files.pace.cap: 5.5 found, int & >=0 & <=1000 expected"),
        ('files: silent: after: "melt"', 'op.cue:1: files.silent.after: "melt" found, "even" | "refuse" expected'),
        ("files: life: 10", "op.cue:1: files.life: 10 found, #Milliseconds & >=1000 expected"),
        ("files: 3", "op.cue:1: files: a record expected"),
        ("files: on: {}", "op.cue:1: files.on: a record found, bool expected"),
        ("x: 1", "op.cue:1: x: no such field"),
        ("files: on: tru", "op.cue:1: column 12: 'tru' is not a value; strings must be in double quotes"),
        ("files: {", "op.cue:1: column 8: unexpected end of file"),
        ("files: on: true }", "op.cue:1: column 17: unexpected '}'"),
        ("files: on: 'x'", 'op.cue:1: column 12: unexpected "\'"'),
        ("#A: #A\nfiles: life: #A", "op.cue:1: files.life: the definition refers to itself"),
        ("files: life: #Nope", "op.cue:1: files.life: #Nope is not defined"),
        ("files: life: *3 | *4", "op.cue:1: column 20: more than one default"),
        ("a: " * 100 + "1", "op.cue:1: a: no such field"),
        ("{" * 100, "op.cue:1: column 1: nested more than 64 levels deep"),
    ],
)
def test_an_invalid_file_is_reported_in_one_line_with_its_location(text: str, line: str) -> None:
    assert str(load_error(text)) == line


def test_an_error_has_the_file_the_line_and_the_field_as_attributes() -> None:
    error = load_error("files: {\n on: 3\n}")
    assert isinstance(error, UnificationError)
    assert (error.file, error.line, error.field) == ("op.cue", 2, "files.on")
    assert error.problem == "3 found, bool expected"
    error = load_error("files: {")
    assert isinstance(error, OperatorsSyntaxError)
    assert (error.file, error.line, error.field, error.problem) == ("op.cue", 1, "column 8", "unexpected end of file")


SCHEMA_WITH_ALL_CONSTRUCTS = """
    #Port: int & >0 & <65536
    ports: [#Port]
    mode: *"a" | "b"
    name: string & =~"^[a-z]+$" & !="root"
    extra: {known: int | *1, ...}
    note?: string
    """


def test_bounds_disjunctions_definitions_lists_and_open_records() -> None:
    assert unified_values(SCHEMA_WITH_ALL_CONSTRUCTS, 'ports: [80, 443], name: "web", extra: other: true') == {
        "ports": [80, 443],
        "mode": "a",
        "name": "web",
        "extra": {"known": 1, "other": True},
    }
    assert unified_values(SCHEMA_WITH_ALL_CONSTRUCTS, 'ports: []\nname: "x"\nnote: "n"\nmode: "b"') == {
        "ports": [],
        "mode": "b",
        "name": "x",
        "extra": {"known": 1},
        "note": "n",
    }


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ('ports: [80, 0], name: "w"', "f1:1: ports[1]: 0 found, int & >0 & <65536 expected"),
        ('name: "root"', 'f1:1: name: "root" found, string & =~"^[a-z]+$" & !="root" expected'),
        ("ports: [1]", 'f1: name: no value given, string & =~"^[a-z]+$" & !="root" expected'),
        ('name: "x", ports: {a: 1}', "f1:1: ports: a record found, a list expected"),
    ],
)
def test_values_that_the_schema_does_not_allow_are_rejected(text: str, line: str) -> None:
    with pytest.raises(UnificationError) as caught:
        unified_values(SCHEMA_WITH_ALL_CONSTRUCTS, text)
    assert str(caught.value) == line


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**9), 10**9)
    | st.text(max_size=8).filter(lambda text: all(char >= " " for char in text)),
    lambda inner: (
        st.dictionaries(st.text("abcxyz", min_size=1, max_size=4), inner, max_size=4) | st.lists(inner, max_size=3)
    ),
    max_leaves=12,
)


@settings(max_examples=150, deadline=None)
@given(st.dictionaries(st.text("abcxyz", min_size=1, max_size=4), JSON_VALUES, max_size=4))
def test_any_json_object_evaluates_to_itself(document: dict[str, object]) -> None:
    assert unified_values("...", json.dumps(document)) == document
    assert unified_values("...", json.dumps(document, indent=2), json.dumps(document)) == document


@settings(max_examples=200, deadline=None)
@given(st.text(alphabet='ab:{}[]"|&*<>=#.,\n 01?/', max_size=40))
def test_any_text_is_parsed_or_rejected_with_a_line_number(text: str) -> None:
    line: int | None = 1
    try:
        parse(text, "op.cue")
    except OperatorsSyntaxError as error:
        line = error.line
    assert line is not None
    assert line >= 1


def test_the_operators_file_of_the_repository_is_valid_and_enables_nothing() -> None:
    assert load(ROOT / "deploy" / "operators.cue").records.files.enabled is False


def test_an_unreadable_file_is_reported_with_its_path(tmp_path: Path) -> None:
    with pytest.raises(OperatorsFileError, match=r"none\.cue: No such file or directory"):
        load(tmp_path / "none.cue")
    (tmp_path / "x.cue").write_bytes(b"\xff")
    with pytest.raises(OperatorsFileError, match=r"x\.cue: not UTF-8 at byte 0"):
        load(tmp_path / "x.cue")
