"""The console script: says what to install where the command line's libraries are absent."""

from __future__ import annotations

import sys

EXIT_USAGE = 2


def main(arguments: list[str] | None = None) -> int:
    """Run the command line; the exit code.

    Args:
        arguments: the words after the program's name; those of the process if None.
    """
    try:
        import click  # noqa: F401 - only whether it is there
        import rich  # noqa: F401 - only whether it is there
    except ImportError as error:
        print(f"stackwheel: the command line needs {error.name}: pip install 'stackwheel[cli]'", file=sys.stderr)
        return EXIT_USAGE
    from stackwheel.cli.root import run

    return run(arguments)
