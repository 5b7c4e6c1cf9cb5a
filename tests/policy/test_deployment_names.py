"""The policy module is free of what belongs to one deployment."""

import re
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "stackwheel"
MODULE = PACKAGE / "balance.py"
NAMES = (
    "austin",
    "houston",
    "amarillo",
    "katy",
    "pasadena",
    "spring",
    "rate-lookup",
    "load-book",
    "book-load",
    "quote-save",
    "lane-rate",
    "north-room",
    "std-3",
    "slow-3",
    "slow-quad",
    "quick-pair",
    "san-marcos",
    "round-rock",
    "middle-room",
    "dock-room",
    "-later",
)


def test_policy_names_its_interface_first() -> None:
    assert "stackwheel/interface.py" in "\n".join(MODULE.read_text().splitlines()[:5])


def test_policy_reads_no_name() -> None:
    """Settings may name classes, zones and kinds; the policy must not look at any such name."""
    assert not re.search(r"\.name\b", MODULE.read_text())


@pytest.mark.parametrize("path", sorted(PACKAGE.rglob("*.py")), ids=lambda path: str(path.relative_to(PACKAGE)))
def test_code_knows_no_deployment(path: Path) -> None:
    text = path.read_text().lower()
    for word in NAMES:
        assert not re.search(rf"(?<![a-z]){re.escape(word)}(?![a-z])", text), word
