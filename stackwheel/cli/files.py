"""`stackwheel files`: check, show, compare, create and follow table files."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, fields
from pathlib import Path

import click
import msgspec

from stackwheel.cli.files_output import describe_document, describe_outcome
from stackwheel.cli.options import FILE_PATH, json_option
from stackwheel.files.codec import NO_KEYS, KeyRing, decode, encode
from stackwheel.files.disk import SystemDisk, read_file
from stackwheel.files.errors import FileRejectedError, KeyFileError, ReplaceError
from stackwheel.files.key_file import load_keys
from stackwheel.files.records import DECODER, Document, TableUpdate


class KeyFileParameter(click.ParamType[KeyRing]):
    """Parameter type of a key file."""

    name = "file"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> KeyRing:
        """Load the keys from the file whose path is given as an option."""
        if isinstance(value, KeyRing):
            return value
        try:
            return load_keys(Path(str(value)))
        except KeyFileError as error:
            self.fail(str(error), param, ctx)


key_file_option = click.option(
    "--key-file",
    "keys",
    type=KeyFileParameter(),
    default=NO_KEYS,
    help="File with the keys that table files must be signed with.",
)


@dataclass(frozen=True, slots=True)
class FollowOptions:
    """Options of the commands that follow folders; `poll` is in seconds."""

    folders: tuple[str, ...]
    zone: str
    proxy: int
    state: str | None
    keys: KeyRing
    poll: float
    once: bool
    as_json: bool


def follow_options(command: Callable[..., int]) -> Callable[..., int]:
    """Add the options of `FollowOptions` to a command, which receives them as its first argument."""

    @functools.wraps(command)
    def call(**values: object) -> int:
        """Run the command with its `FollowOptions` as the first argument."""
        follow = {field.name: values.pop(field.name) for field in fields(FollowOptions)}
        return command(FollowOptions(**follow), **values)  # type: ignore[arg-type]  # click has converted each

    with_options: Callable[..., int] = call
    for option in (
        click.argument("folders", nargs=-1, required=True, type=click.Path(file_okay=False)),
        click.option("--zone", required=True, help="Name of the reader's zone."),
        click.option(
            "--proxy", type=click.IntRange(0, 65535), default=0, show_default=True, help="Number of the proxy."
        ),
        click.option(
            "--state",
            type=click.Path(file_okay=False),
            help="Folder for the reader memory; a temporary folder by default.",
        ),
        key_file_option,
        click.option(
            "--poll",
            type=click.FloatRange(0.05, 60),
            default=1.0,
            show_default=True,
            help="Seconds between polls if the folders cannot be watched.",
        ),
        click.option("--once", is_flag=True, help="Poll once; exit 1 if a file was rejected."),
        json_option,
    ):
        with_options = option(with_options)
    return with_options


@click.group()
def files() -> None:
    """Check, show, compare, create and follow table files, which contain table updates and proxy statuses."""


@files.command()
@click.argument("path")
@key_file_option
@json_option
def check(path: str, keys: KeyRing, as_json: bool) -> int:
    """Check that a file is complete, intact and signed as required; exit 1 with the reason if it is not."""
    try:
        document = read_document(path, keys)
    except FileRejectedError as error:
        result: dict[str, object] = {"ok": False, "stage": error.stage.name.lower(), "reason": error.reason}
        click.echo(json.dumps(result) if as_json else f"{path}: {error}")
        return 1
    is_update = isinstance(document, TableUpdate)
    expired = isinstance(document, TableUpdate) and document.expires_at <= time.time() * 1000.0
    result = {"ok": True, "kind": "orders" if is_update else "answer", "over": expired}
    click.echo(json.dumps(result) if as_json else f"{path}: valid{', but expired' if expired else ''}")
    return 0


@files.command()
@click.argument("path")
@key_file_option
@json_option
def show(path: str, keys: KeyRing, as_json: bool) -> int:
    """Show the content of a file."""
    try:
        document = read_document(path, keys)
    except FileRejectedError as error:
        click.echo(f"{path}: {error}", err=True)
        return 1
    if as_json:
        click.echo(msgspec.json.encode(document, order="deterministic").decode())
        return 0
    for line in describe_document(document):
        click.echo(line)
    return 0


@files.command()
@click.argument("old")
@click.argument("new")
@key_file_option
@json_option
def diff(old: str, new: str, keys: KeyRing, as_json: bool) -> int:
    """Show the differences between two table updates; exit 1 if there are any."""
    from stackwheel.files.comparison import compare_updates

    old_update = read_update(old, keys)
    new_update = read_update(new, keys)
    differences = compare_updates(old_update, new_update)
    if as_json:
        click.echo(json.dumps([{"what": name, "old": before, "new": after} for name, before, after in differences]))
    else:
        lines = [f"{name}: {before} -> {after}" for name, before, after in differences]
        click.echo("\n".join(lines) or "no differences")
    return 1 if differences else 0


@files.command()
@click.argument("source", type=FILE_PATH)
@click.argument("out", type=FILE_PATH)
@key_file_option
def make(source: Path, out: Path, keys: KeyRing) -> int:
    """Create a file from a JSON document, as `show --json` prints it; signed if keys are given."""
    from stackwheel.files.atomic_replace import replace_file

    try:
        document = DECODER.decode(source.read_bytes())
    except OSError as error:
        raise click.UsageError(f"{source}: {error.strerror or error}") from error
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise click.UsageError(f"{source}: {error}") from error
    try:
        replace_file(SystemDisk(), str(out.parent), out.name, encode(document, keys))
    except ReplaceError as error:
        raise click.UsageError(f"{out}: {error}") from error
    return 0


@files.command()
@follow_options
def follow(options: FollowOptions) -> int:
    """Follow folders and show which files a reader applies or rejects."""
    return follow_folders(options, status_folder="", output_file="", output_command="")


@files.command()
@follow_options
@click.option("--answers", type=click.Path(file_okay=False), default="", help="Folder for the status file.")
@click.option("--out", type=click.Path(dir_okay=False), default="", help="File for the tables in force, as JSON.")
@click.option(
    "--command",
    default="",
    help="Shell command that is run at each change with the tables as JSON on its standard input.",
)
def serve(options: FollowOptions, answers: str, out: str, command: str) -> int:
    """Follow folders and pass the tables in force to a file and a command, for proxies that cannot read table files."""
    return follow_folders(options, status_folder=answers, output_file=out, output_command=command)


@files.command()
@json_option
def measure(as_json: bool) -> None:
    """Measure the cost of table files on this machine; takes about half a minute."""
    from stackwheel.files.measure import measure as run_measurements

    documents = []
    for result in run_measurements():
        documents.append({"what": result.what, "size": result.size, "value": result.value, "unit": result.unit})
        if not as_json:
            click.echo(f"{result.what:42} {result.size:32} {result.value:12.1f} {result.unit}")
    if as_json:
        click.echo(json.dumps(documents))


def read_document(path: str, keys: KeyRing) -> Document:
    """Read the document in a file; raises FileRejectedError if the file cannot be read or is invalid."""
    location = Path(path)
    return decode(read_file(SystemDisk(), str(location.parent), location.name), keys)


def read_update(path: str, keys: KeyRing) -> TableUpdate:
    """Read the table update in a file; raises UsageError (exit 2) if it contains no valid one."""
    try:
        document = read_document(path, keys)
    except FileRejectedError as error:
        raise click.UsageError(f"{path}: {error}") from error
    if not isinstance(document, TableUpdate):
        raise click.UsageError(f"{path}: expected a table update, found a proxy status")
    return document


def follow_folders(options: FollowOptions, status_folder: str, output_file: str, output_command: str) -> int:
    """Follow folders until Ctrl-C, or poll them once; return the exit code."""
    from stackwheel.files.follower import FolderFollower, Outputs
    from stackwheel.files.precedence import PrecedenceSettings
    from stackwheel.files.reader import ReaderConfig

    def print_outcome(outcome: dict[str, object]) -> None:
        """Print the outcome of reading a file, as JSON if the option is set."""
        click.echo(json.dumps(outcome) if options.as_json else describe_outcome(outcome))

    with contextlib.ExitStack() as stack:
        state_folder = options.state or stack.enter_context(tempfile.TemporaryDirectory())
        config = ReaderConfig(options.zone, options.proxy, options.folders, status_folder, state_folder)
        outputs = Outputs(output_file, output_command)
        follower = FolderFollower(
            config, lambda: options.keys, PrecedenceSettings(), outputs, print_outcome, options.poll
        )
        try:
            all_applied = asyncio.run(follower.run(options.once))
        except KeyboardInterrupt:
            return 0
    return 1 if options.once and not all_applied else 0
