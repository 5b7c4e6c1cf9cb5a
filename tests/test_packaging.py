"""What is installed is what is in the tree."""

import tomllib
from pathlib import Path

ROOT = Path(__file__).parents[1]


def test_every_package_is_installed() -> None:
    """An editable install does not notice a package that is missing from the list."""
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    present = [path.parent.relative_to(ROOT) for path in sorted((ROOT / "stackwheel").rglob("__init__.py"))]
    assert sorted(listed) == sorted(".".join(path.parts) for path in present)
