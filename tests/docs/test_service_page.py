"""Each file, test, event and action that docs/service.md mentions is there."""

import re
from pathlib import Path
from typing import get_args

import pytest

from stackwheel import interface

ROOT = Path(__file__).parents[2]
TEXT = (ROOT / "docs" / "service.md").read_text()
FILES = sorted(set(re.findall(r"`([a-z_]+(?:/[a-z_]+)*\.py)`", TEXT)))
RACES = TEXT[TEXT.index("## Races") : TEXT.index("## Protocol and policy")]
RACE_LINES = [line for line in RACES.splitlines() if "`tests/" in line]
TYPES = [kind.__name__ for kind in (*get_args(interface.Event), *get_args(interface.Action))]
COUNTS = {"four": 4}


def names_of_tests(files: list[str]) -> list[str]:
    """The names of all tests in some files, as words."""
    text = "\n".join((ROOT / file).read_text() for file in files)
    return [name.replace("_", " ") for name in re.findall(r"def test_(\w+)", text)]


@pytest.mark.parametrize("file", FILES)
def test_each_file_exists(file: str) -> None:
    assert (ROOT / file).is_file() or (ROOT / "stackwheel" / file).is_file()


@pytest.mark.parametrize("line", RACE_LINES, ids=lambda line: line.split("|")[1].strip())
def test_each_race_names_a_test(line: str) -> None:
    """A phrase of the last column stands in the name of a test of its files; a number counts the file's tests."""
    for part in line.split("|")[-2].split(";"):
        names = names_of_tests(re.findall(r"`(tests/[a-z_/]+\.py)`", part))
        phrases = part.rpartition("`")[2].strip(" :").removesuffix(" (two)")
        for phrase in filter(None, phrases.split(", ")):
            if phrase in COUNTS:
                assert len(names) == COUNTS[phrase]
            else:
                assert any(phrase.lower() in name for name in names), phrase


@pytest.mark.parametrize("name", TYPES)
def test_each_event_and_action_is_on_the_page(name: str) -> None:
    assert f"`{name}`" in TEXT


def test_the_page_mentions_files_and_races_at_all() -> None:
    assert len(FILES) > 20
    assert len(RACE_LINES) > 25
