"""The operators' file: what can be said, what unifies, and one line with the place where something can't be."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stackwheel.cli import root
from stackwheel.config_language.load import OperatorsError, combine, load
from stackwheel.config_language.notation import NotationError, parse
from stackwheel.config_language.schema import SCHEMA
from stackwheel.config_language.unify import Source, Unifier, UnifyError, values

ROOT = Path(__file__).parents[2]


def unify(*texts: str) -> object:
    return values(Unifier([Source(f"f{n}", parse(text)) for n, text in enumerate(texts)]).run())


def told(text: str) -> str:
    with pytest.raises(OperatorsError) as caught:
        combine([("op.cue", text)])
    assert "\n" not in str(caught.value)
    return str(caught.value)


def test_nothing_said_is_all_defaults_and_off() -> None:
    found = combine([])
    assert found.records.files.on is False and {origin for _, _, origin in found.origins()} == {"default"}


def test_what_is_said_is_kept_with_its_origin() -> None:
    found = combine([("op.cue", "files: {\n  on: true // yes\n  pace: cap: 12\n  pace: {least: 200, span: 5K}\n}\n")])
    assert found.records.files.on and found.records.files.pace.cap == 12 and found.records.files.pace.span == 5000
    said = {path: origin for path, _, origin in found.origins() if origin != "default"}
    assert said == {
        "files.on": "op.cue:2",
        "files.pace.cap": "op.cue:3",
        "files.pace.least": "op.cue:4",
        "files.pace.span": "op.cue:4",
    }


def test_json_is_valid_in_it() -> None:
    document = {"files": {"on": True, "out": "/x", "silent": {"after": "refuse", "keep": 1.5e3}}}
    for text in (json.dumps(document), json.dumps(document, indent=4)):
        records = combine([("op.json", text)]).records
        assert (
            records.files.out == "/x" and records.files.silent.after == "refuse" and records.files.silent.keep == 1500
        )


def test_several_files_hold_together() -> None:
    found = combine([("a.cue", "files: on: true"), ("b.cue", "files: {on: true, life: >=40000 & 50000}")])
    assert found.records.files.life == 50000
    with pytest.raises(OperatorsError, match=r"b\.cue:1: files\.on: false, but a\.cue:1 says true"):
        combine([("a.cue", "files: on: true"), ("b.cue", "files: on: false")])


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("files: on: 3", "op.cue:1: files.on: 3 found, bool expected"),
        ("files: {\n onn: true\n}", "op.cue:2: files.onn: no such field; is 'on' meant?"),
        ("files: pace: cap: 5000", "op.cue:1: files.pace.cap: 5000 found, int & >=0 & <=1000 expected"),
        ("files: pace: cap: 5.5", "op.cue:1: files.pace.cap: 5.5 found, int & >=0 & <=1000 expected"),
        ('files: silent: after: "melt"', 'op.cue:1: files.silent.after: "melt" found, "even" | "refuse" expected'),
        ("files: life: 10", "op.cue:1: files.life: 10 found, #Milliseconds & >=1000 expected"),
        ("files: 3", "op.cue:1: files: a record was expected"),
        ("files: on: {}", "op.cue:1: files.on: a record found, bool expected"),
        ("x: 1", "op.cue:1: x: no such field"),
        ("files: on: tru", "op.cue:1: column 12: 'tru' is no value; text stands in double quotes"),
        ("files: {", "op.cue:1: column 8: ends too early"),
        ("files: on: true }", "op.cue:1: column 17: unexpected '}'"),
        ("files: on: 'x'", 'op.cue:1: column 12: unexpected "\'"'),
        ("#A: #A\nfiles: life: #A", "op.cue:1: files.life: a definition that names itself"),
        ("files: life: #Nope", "op.cue:1: files.life: #Nope is defined nowhere"),
        ("files: life: *3 | *4", "op.cue:1: column 20: a second default"),
        ("a: " * 100 + "1", "op.cue:1: a: no such field"),
        ("{" * 100, "op.cue:1: column 1: over 64 records deep"),
    ],
)
def test_bad_input_is_one_line_that_names_the_place(text: str, line: str) -> None:
    assert told(text) == line


def test_bounds_choices_definitions_lists_and_open_records() -> None:
    schema = """
    #Port: int & >0 & <65536
    ports: [#Port]
    mode: *"a" | "b"
    name: string & =~"^[a-z]+$" & !="root"
    extra: {known: int | *1, ...}
    note?: string
    """
    assert unify(schema, 'ports: [80, 443], name: "web", extra: other: true') == {
        "ports": [80, 443],
        "mode": "a",
        "name": "web",
        "extra": {"known": 1, "other": True},
    }
    assert unify(schema, 'ports: []\nname: "x"\nnote: "n"\nmode: "b"') == {
        "ports": [],
        "mode": "b",
        "name": "x",
        "extra": {"known": 1},
        "note": "n",
    }
    for text, line in (
        ('ports: [80, 0], name: "w"', "f1:1: ports[1]: 0 found, int & >0 & <65536 expected"),
        ('name: "root"', 'f1:1: name: "root" found, string & =~"^[a-z]+$" & !="root" expected'),
        ("ports: [1]", "f1: name: not given"),
        ('name: "x", ports: {a: 1}', "f1:1: ports"),
    ):
        with pytest.raises(UnifyError) as caught:
            unify(schema, text)
        assert str(caught.value).startswith(line.split(" expected")[0])


PLAIN = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**9), 10**9)
    | st.text(max_size=8).filter(lambda t: all(c >= " " for c in t)),
    lambda inner: (
        st.dictionaries(st.text("abcxyz", min_size=1, max_size=4), inner, max_size=4) | st.lists(inner, max_size=3)
    ),
    max_leaves=12,
)


@settings(max_examples=150, deadline=None)
@given(st.dictionaries(st.text("abcxyz", min_size=1, max_size=4), PLAIN, max_size=4))
def test_any_json_object_means_itself(document: dict[str, object]) -> None:
    assert unify("...", json.dumps(document)) == document
    assert unify("...", json.dumps(document, indent=2), json.dumps(document)) == document


@settings(max_examples=200, deadline=None)
@given(st.text(alphabet='ab:{}[]"|&*<>=#.,\n 01?/', max_size=40))
def test_no_text_does_anything_but_parse_or_be_refused(text: str) -> None:
    try:
        parse(text)
    except NotationError as error:
        assert error.line >= 1


def test_the_file_in_the_repository_is_sound_and_turns_nothing_on() -> None:
    assert load(ROOT / "deploy" / "operators.cue").records.files.on is False


def test_what_cannot_be_read_is_one_line(tmp_path: Path) -> None:
    with pytest.raises(OperatorsError, match=r"none\.cue: No such file or directory"):
        load(tmp_path / "none.cue")
    (tmp_path / "x.cue").write_bytes(b"\xff")
    with pytest.raises(OperatorsError, match=r"x\.cue: not UTF-8 at byte 0"):
        load(tmp_path / "x.cue")


def test_the_command_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "op.cue"
    path.write_text("files: on: true")
    assert root.run(["config", "check", str(path)]) == 0 and capsys.readouterr().out == "sound; 1 values given\n"
    assert root.run(["config", "show", str(path)]) == 0
    assert f"files.on: true    // {path}:1\n" in capsys.readouterr().out
    assert root.run(["config", "show", str(path), "--json"]) == 0
    assert json.loads(capsys.readouterr().out)["origins"]["files.life"] == "default"
    path.write_text("files: on: 1")
    assert root.run(["config", "check", str(path)]) == 1
    assert capsys.readouterr().out == f"{path}:1: files.on: 1 found, bool expected\n"
    assert root.run(["config", "schema"]) == 0 and capsys.readouterr().out.strip() == SCHEMA.strip()
