"""`stackwheel files`: look at table files and compare them."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from stackwheel.files.codec import NO_KEYS, KeyRing, decode, encode
from stackwheel.files.disk import SystemDisk, read_file
from stackwheel.files.errors import FileRejectedError, KeyFileError, ReplaceError
from stackwheel.files.key_file import load_keys
from stackwheel.files.records import Document, TableUpdate

COMPARED_FIELDS = {  # name in files and output: attribute
    "planner": "planner",
    "sequence": "sequence",
    "zone": "zone",
    "proxy": "proxy",
    "base": "base_sequence",
    "made": "created_at",
    "until": "expires_at",
}


class Keys(click.ParamType[KeyRing]):
    """A file of keys."""

    name = "file"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> KeyRing:
        if isinstance(value, KeyRing):
            return value
        try:
            return load_keys(Path(str(value)))
        except KeyFileError as error:
            self.fail(str(error), param, ctx)


key_file = click.option("--key-file", "keys", type=Keys(), default=NO_KEYS, help="Keys that files must be signed with.")
as_json_flag = click.option("--json", "as_json", is_flag=True, help="End with one JSON object.")


def open_file(path: str, keys: KeyRing) -> Document:
    """FileRejectedError where the file can't be read, is not complete or is not genuine."""
    place = Path(path)
    return decode(read_file(SystemDisk(), str(place.parent), place.name), keys)


@click.group()
def files() -> None:
    """Table files: tables, orders and reports that are pushed and swapped whole."""


@files.command()
@click.argument("path")
@key_file
@as_json_flag
def check(path: str, keys: KeyRing, as_json: bool) -> int:
    """Whether a file is whole and genuine; exit 1 with the reason where it is not."""
    try:
        found = open_file(path, keys)
    except FileRejectedError as error:
        reason = {"ok": False, "stage": error.stage.name.lower(), "reason": error.reason}
        click.echo(json.dumps(reason) if as_json else f"{path}: {error}")
        return 1
    over = isinstance(found, TableUpdate) and found.expires_at <= time.time() * 1000.0
    told = {"ok": True, "kind": "orders" if isinstance(found, TableUpdate) else "answer", "over": over}
    click.echo(json.dumps(told) if as_json else f"{path}: sound{', but its time is over' if over else ''}")
    return 0


@files.command()
@click.argument("path")
@key_file
@as_json_flag
def show(path: str, keys: KeyRing, as_json: bool) -> int:
    """What a file says."""
    try:
        found = open_file(path, keys)
    except FileRejectedError as error:
        click.echo(f"{path}: {error}", err=True)
        return 1
    if as_json:
        click.echo(msgspec.json.encode(found, order="deterministic").decode())
    else:
        for line in told(found):
            click.echo(line)
    return 0


def told(document: Document) -> list[str]:
    if not isinstance(document, TableUpdate):
        return [
            f"answer {document.sequence} of proxy {document.proxy} in {document.zone}: applied "
            f"{document.applied_sequence} of {document.planner or 'nobody'}, {len(document.demand)} classes, "
            f"{len(document.observations)} servers met"
        ]
    what = "whole file" if document.complete else f"change {document.sequence} on whole file {document.base_sequence}"
    whom = "all" if document.proxy is None else f"proxy {document.proxy}"
    life = document.incarnation
    lines = [
        f"{what} {document.sequence if document.complete else ''}".rstrip() + f" of {document.planner}, life "
        f"{life.epoch}.{life.started}.{life.salt}, for {whom} in {document.zone}, usable for "
        f"{(document.expires_at - document.created_at) / 1000.0:g} s from {document.created_at / 1000.0:.3f}"
    ]
    for table in document.tables:
        level = "" if table.level is None else f", level {table.level.admitted:g}, policy {table.level.retry}"
        lines.append(f"  {table.request_class}: {len(table.lines)} lines{level}")
        lines += [f"    {server} {weight:g}" for server, weight in sorted(table.lines.items())]
    lines += [f"  withdrawn: {', '.join(document.ejected)}"] if document.ejected else []
    lines += [f"  booking order {b.id}: {b.requests} of {b.request_class}" for b in document.reservations]
    return lines


@files.command()
@click.argument("old")
@click.argument("new")
@key_file
@as_json_flag
def diff(old: str, new: str, keys: KeyRing, as_json: bool) -> int:
    """What differs between two files of orders; exit 1 where something does."""
    found: list[TableUpdate] = []
    for path in (old, new):
        try:
            document = open_file(path, keys)
        except FileRejectedError as error:
            raise click.UsageError(f"{path}: {error}") from error
        if not isinstance(document, TableUpdate):
            raise click.UsageError(f"{path}: no file of orders")
        found.append(document)
    rows = differences(*found)
    click.echo(
        json.dumps(rows)
        if as_json
        else "\n".join(f"{row['what']}: {row['old']} -> {row['new']}" for row in rows) or "no difference"
    )
    return 1 if rows else 0


def differences(old: TableUpdate, new: TableUpdate) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []

    def row(what: str, before: object, after: object) -> None:
        if before != after:
            rows.append({"what": what, "old": before, "new": after})

    for shown, field in COMPARED_FIELDS.items():
        row(shown, getattr(old, field), getattr(new, field))
    row("incarnation", msgspec.to_builtins(old.incarnation), msgspec.to_builtins(new.incarnation))
    tables = [{t.request_class: t for t in orders.tables} for orders in (old, new)]
    for route in sorted({*tables[0], *tables[1]}):
        sides = [side.get(route) for side in tables]
        lines = [side.lines if side is not None else {} for side in sides]
        for server in sorted({*lines[0], *lines[1]}):
            row(f"{route} {server}", lines[0].get(server), lines[1].get(server))
        row(f"{route} level", *(msgspec.to_builtins(side.level) if side is not None else None for side in sides))
    row("withdrawn", list(old.ejected), list(new.ejected))
    row("bookings", [b.id for b in old.reservations], [b.id for b in new.reservations])
    return rows


@files.command()
@click.argument("source", type=click.Path(dir_okay=False, path_type=Path))
@click.argument("out", type=click.Path(dir_okay=False, path_type=Path))
@key_file
def make(source: Path, out: Path, keys: KeyRing) -> int:
    """Make a file from a document in JSON, as `show --json` prints it; signed where keys are given."""
    from stackwheel.files.atomic_replace import replace_file
    from stackwheel.files.records import DECODER

    try:
        document = DECODER.decode(source.read_bytes())
    except OSError as error:
        raise click.UsageError(f"{source}: {error.strerror or error}") from None
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise click.UsageError(f"{source}: {error}") from None
    try:
        replace_file(SystemDisk(), str(out.parent), out.name, encode(document, keys))
    except ReplaceError as error:
        raise click.UsageError(f"{out}: {error}") from error
    return 0


def place_options(command: Any) -> Any:
    for option in (
        click.argument("folders", nargs=-1, required=True, type=click.Path(file_okay=False)),
        click.option("--zone", required=True, help="The reader's zone."),
        click.option("--proxy", type=click.IntRange(0, 65535), default=0, show_default=True, help="Its number."),
        click.option("--state", type=click.Path(file_okay=False), help="Where it remembers what it applied."),
        key_file,
        click.option(
            "--poll",
            type=click.FloatRange(0.05, 60),
            default=1.0,
            show_default=True,
            help="s between looks where nothing is told.",
        ),
        click.option("--once", is_flag=True, help="Look once; exit 1 where something was refused."),
        as_json_flag,
    ):
        command = option(command)
    return command


def run_server(
    folders: tuple[str, ...],
    zone: str,
    proxy: int,
    state: str | None,
    keys: KeyRing,
    poll: float,
    once: bool,
    as_json: bool,
    answers: str,
    sinks: Any,
) -> int:
    import asyncio
    import contextlib
    import tempfile

    from stackwheel.files.follower import FolderFollower
    from stackwheel.files.precedence import PrecedenceSettings
    from stackwheel.files.reader import ReaderConfig

    def tell(news: dict[str, object]) -> None:
        if as_json:
            click.echo(json.dumps(news))
        elif news["taken"]:
            click.echo(f"applied {news['file']}: number {news['sequence']}, {'whole' if news['whole'] else 'change'}")
        else:
            click.echo(f"refused {news['file']}: {news['stage']}: {news['reason']}")

    with contextlib.ExitStack() as stack:
        kept = state or stack.enter_context(tempfile.TemporaryDirectory())
        config = ReaderConfig(zone, proxy, folders, answers, kept)
        follower = FolderFollower(config, lambda: keys, PrecedenceSettings(), sinks, tell, poll)
        try:
            return 0 if asyncio.run(follower.run(once)) or not once else 1
        except KeyboardInterrupt:
            return 0


@files.command()
@place_options
def follow(
    folders: tuple[str, ...],
    zone: str,
    proxy: int,
    state: str | None,
    keys: KeyRing,
    poll: float,
    once: bool,
    as_json: bool,
) -> int:
    """Tell what a reader of folders would apply and refuse, as it happens."""
    from stackwheel.files.follower import Outputs

    return run_server(folders, zone, proxy, state, keys, poll, once, as_json, "", Outputs())


@files.command()
@place_options
@click.option("--answers", type=click.Path(file_okay=False), default="", help="Where its answers go.")
@click.option("--out", type=click.Path(dir_okay=False), default="", help="A file that holds what is in force, as JSON.")
@click.option("--command", default="", help="Run by the shell at each change, with the same on its standard input.")
def serve(
    folders: tuple[str, ...],
    zone: str,
    proxy: int,
    state: str | None,
    keys: KeyRing,
    poll: float,
    once: bool,
    as_json: bool,
    answers: str,
    out: str,
    command: str,
) -> int:
    """Read folders for a forwarder that can't itself: what is in force goes to a file and a command."""
    from stackwheel.files.follower import Outputs

    return run_server(folders, zone, proxy, state, keys, poll, once, as_json, answers, Outputs(out, command))


@files.command()
@as_json_flag
def measure(as_json: bool) -> None:
    """Measure what files cost on this machine; takes about half a minute."""
    from stackwheel.files.measure import measure as rows

    found = []
    for row in rows():
        found.append(row)
        if not as_json:
            click.echo(f"{row.what:42} {row.size:32} {row.value:12.1f} {row.unit}")
    if as_json:
        click.echo(json.dumps([{"what": r.what, "size": r.size, "value": r.value, "unit": r.unit} for r in found]))
