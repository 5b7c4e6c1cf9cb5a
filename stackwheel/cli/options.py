"""Options and parameter types that several groups of commands use."""

from __future__ import annotations

from pathlib import Path

import click

FILE_PATH = click.Path(dir_okay=False, path_type=Path)
json_option = click.option("--json", "as_json", is_flag=True, help="Print the result as JSON.")
