"""Checks that the code does not depend on names of specific deployments."""

import re
import tomllib
from pathlib import Path

import pytest

PACKAGE = Path(__file__).parents[2] / "stackwheel"
POLICY_FILES = sorted((PACKAGE / "policy").rglob("*.py"))
DEPLOY_FILE = PACKAGE.parent / "deploy" / "balancer.toml"
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


def test_the_deploy_file_lists_every_policy_file() -> None:
    paths = tomllib.loads(DEPLOY_FILE.read_text())["policy"]
    assert sorted(PACKAGE.parent / path for path in paths) == POLICY_FILES


def test_the_policy_refers_to_its_interface_at_the_start() -> None:
    """Applies to the first file in the deploy file and to the policy package."""
    assert (PACKAGE / "interface" / "__init__.py").is_file()
    first = tomllib.loads(DEPLOY_FILE.read_text())["policy"][0]
    for path in (PACKAGE.parent / first, PACKAGE / "policy" / "__init__.py"):
        assert "`stackwheel/interface/`" in "\n".join(path.read_text().splitlines()[:5])


@pytest.mark.parametrize("path", POLICY_FILES, ids=lambda path: path.name)
def test_the_policy_does_not_access_names(path: Path) -> None:
    """Decisions must not depend on the names of classes, zones and machine kinds."""
    assert not re.search(r"\.name\b", path.read_text())


@pytest.mark.parametrize("path", sorted(PACKAGE.rglob("*.py")), ids=lambda path: str(path.relative_to(PACKAGE)))
def test_the_code_contains_no_deployment_name(path: Path) -> None:
    text = path.read_text().lower()
    for name in NAMES:
        assert not re.search(rf"(?<![a-z]){re.escape(name)}(?![a-z])", text), name
