"""Checks that the files and tests mentioned in docs/service.md exist, and that it mentions all events and actions."""

import re
from pathlib import Path
from typing import get_args

import pytest

from stackwheel import interface

ROOT = Path(__file__).parents[2]
PAGE_TEXT = (ROOT / "docs" / "service.md").read_text()
MENTIONED_FILES = sorted(set(re.findall(r"`([a-z_]+(?:/[a-z_]+)*\.py)`", PAGE_TEXT)))
RACE_SECTION = PAGE_TEXT[PAGE_TEXT.index("## Races") : PAGE_TEXT.index("## Protocol and policy")]
RACE_ROWS = [row for row in RACE_SECTION.splitlines() if "`tests/" in row]
EVENT_AND_ACTION_NAMES = [
    event_or_action.__name__ for event_or_action in (*get_args(interface.Event), *get_args(interface.Action))
]
NUMBER_WORDS = {"four": 4}


def names_of_tests(files: list[str]) -> list[str]:
    """Return the names of all tests in the given files, with spaces instead of underscores."""
    text = "\n".join((ROOT / file).read_text() for file in files)
    return [name.replace("_", " ") for name in re.findall(r"def test_(\w+)", text)]


@pytest.mark.parametrize("file", MENTIONED_FILES)
def test_each_mentioned_file_exists(file: str) -> None:
    assert (ROOT / file).is_file() or (ROOT / "stackwheel" / file).is_file()


@pytest.mark.parametrize("row", RACE_ROWS, ids=lambda row: row.split("|")[1].strip())
def test_each_race_refers_to_existing_tests(row: str) -> None:
    """Each phrase in the last column has to occur in a test name of its files, or to be the number of their tests."""
    for reference in row.split("|")[-2].split(";"):
        names = names_of_tests(re.findall(r"`(tests/[a-z_/]+\.py)`", reference))
        phrases = reference.rpartition("`")[2].strip(" :").removesuffix(" (two)")
        for phrase in filter(None, phrases.split(", ")):
            if phrase in NUMBER_WORDS:
                assert len(names) == NUMBER_WORDS[phrase]
            else:
                assert any(phrase.lower() in name for name in names), phrase


@pytest.mark.parametrize("name", EVENT_AND_ACTION_NAMES)
def test_each_event_and_action_is_on_the_page(name: str) -> None:
    assert f"`{name}`" in PAGE_TEXT


def test_the_page_mentions_enough_files_and_races_to_check() -> None:
    assert len(MENTIONED_FILES) > 20
    assert len(RACE_ROWS) > 25
