"""The list of packages in pyproject.toml."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]


def test_every_package_is_listed_for_installation() -> None:
    """A package that is missing from the list is not installed, which an editable install does not show."""
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    present = [path.parent.relative_to(ROOT) for path in sorted((ROOT / "stackwheel").rglob("__init__.py"))]
    assert sorted(listed) == sorted(".".join(path.parts) for path in present)
