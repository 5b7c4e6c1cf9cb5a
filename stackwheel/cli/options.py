"""Options that several command groups have."""

from __future__ import annotations

import click

json_option = click.option("--json", "as_json", is_flag=True, help="Print one JSON object as the last line.")
