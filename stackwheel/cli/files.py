"""`stackwheel files`: look at table files and compare them."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from stackwheel.files.codec import NO_KEYS, KeyRing, Refusal, decode, encode
from stackwheel.files.disk import SystemDisk, read_file
from stackwheel.files.keys import KeyFileError, load_keys
from stackwheel.files.records import Document, Orders


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


def open_file(path: str, keys: KeyRing) -> Document | Refusal:
    place = Path(path)
    data = read_file(SystemDisk(), str(place.parent), place.name)
    return data if isinstance(data, Refusal) else decode(data, keys)


@click.group()
def files() -> None:
    """Table files: tables, orders and reports that are pushed and swapped whole."""


@files.command()
@click.argument("path")
@key_file
@as_json_flag
def check(path: str, keys: KeyRing, as_json: bool) -> int:
    """Whether a file is whole and genuine; exit 1 with the reason where it is not."""
    found = open_file(path, keys)
    if isinstance(found, Refusal):
        reason = {"ok": False, "stage": found.stage.name.lower(), "reason": found.reason}
        click.echo(json.dumps(reason) if as_json else f"{path}: {found}")
        return 1
    over = isinstance(found, Orders) and found.until <= time.time() * 1000.0
    told = {"ok": True, "kind": "orders" if isinstance(found, Orders) else "answer", "over": over}
    click.echo(json.dumps(told) if as_json else f"{path}: sound{', but its time is over' if over else ''}")
    return 0


@files.command()
@click.argument("path")
@key_file
@as_json_flag
def show(path: str, keys: KeyRing, as_json: bool) -> int:
    """What a file says."""
    found = open_file(path, keys)
    if isinstance(found, Refusal):
        click.echo(f"{path}: {found}", err=True)
        return 1
    if as_json:
        click.echo(msgspec.json.encode(found, order="deterministic").decode())
    else:
        for line in told(found):
            click.echo(line)
    return 0


def told(document: Document) -> list[str]:
    if not isinstance(document, Orders):
        return [
            f"answer {document.sequence} of proxy {document.proxy} in {document.zone}: applied "
            f"{document.applied} of {document.planner or 'nobody'}, {len(document.came)} classes, "
            f"{len(document.met)} servers met"
        ]
    what = "whole file" if document.whole else f"change {document.sequence} on whole file {document.base}"
    whom = "all" if document.proxy is None else f"proxy {document.proxy}"
    life = document.incarnation
    lines = [
        f"{what} {document.sequence if document.whole else ''}".rstrip() + f" of {document.planner}, life "
        f"{life.epoch}.{life.started}.{life.salt}, for {whom} in {document.zone}, usable for "
        f"{(document.until - document.made) / 1000.0:g} s from {document.made / 1000.0:.3f}"
    ]
    for table in document.tables:
        level = "" if table.level is None else f", level {table.level.admit:g}, policy {table.level.policy}"
        lines.append(f"  {table.route}: {len(table.lines)} lines{level}")
        lines += [f"    {server} {weight:g}" for server, weight in sorted(table.lines.items())]
    lines += [f"  withdrawn: {', '.join(document.withdrawn)}"] if document.withdrawn else []
    lines += [f"  booking order {b.id}: {b.grant} of {b.route}" for b in document.bookings]
    return lines


@files.command()
@click.argument("old")
@click.argument("new")
@key_file
@as_json_flag
def diff(old: str, new: str, keys: KeyRing, as_json: bool) -> int:
    """What differs between two files of orders; exit 1 where something does."""
    found: list[Orders] = []
    for path in (old, new):
        document = open_file(path, keys)
        if not isinstance(document, Orders):
            raise click.UsageError(f"{path}: {document if isinstance(document, Refusal) else 'no file of orders'}")
        found.append(document)
    rows = differences(*found)
    click.echo(
        json.dumps(rows)
        if as_json
        else "\n".join(f"{row['what']}: {row['old']} -> {row['new']}" for row in rows) or "no difference"
    )
    return 1 if rows else 0


def differences(old: Orders, new: Orders) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []

    def row(what: str, before: object, after: object) -> None:
        if before != after:
            rows.append({"what": what, "old": before, "new": after})

    for field in ("planner", "sequence", "zone", "proxy", "base", "made", "until"):
        row(field, getattr(old, field), getattr(new, field))
    row("incarnation", msgspec.to_builtins(old.incarnation), msgspec.to_builtins(new.incarnation))
    tables = [{t.route: t for t in orders.tables} for orders in (old, new)]
    for route in sorted({*tables[0], *tables[1]}):
        sides = [side.get(route) for side in tables]
        lines = [side.lines if side is not None else {} for side in sides]
        for server in sorted({*lines[0], *lines[1]}):
            row(f"{route} {server}", lines[0].get(server), lines[1].get(server))
        row(f"{route} level", *(msgspec.to_builtins(side.level) if side is not None else None for side in sides))
    row("withdrawn", list(old.withdrawn), list(new.withdrawn))
    row("bookings", [b.id for b in old.bookings], [b.id for b in new.bookings])
    return rows


@files.command()
@click.argument("source", type=click.Path(dir_okay=False, path_type=Path))
@click.argument("out", type=click.Path(dir_okay=False, path_type=Path))
@key_file
def make(source: Path, out: Path, keys: KeyRing) -> int:
    """Make a file from a document in JSON, as `show --json` prints it; signed where keys are given."""
    from stackwheel.files.disk import swap
    from stackwheel.files.records import DECODER

    try:
        document = DECODER.decode(source.read_bytes())
    except OSError as error:
        raise click.UsageError(f"{source}: {error.strerror or error}") from None
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise click.UsageError(f"{source}: {error}") from None
    failed = swap(SystemDisk(), str(out.parent), out.name, encode(document, keys))
    if failed is not None:
        raise click.UsageError(f"{out}: {failed.step}: {failed.reason}")
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

    from stackwheel.files.precedence import Terms
    from stackwheel.files.reader import Place
    from stackwheel.files.serve import Server

    def tell(news: dict[str, object]) -> None:
        if as_json:
            click.echo(json.dumps(news))
        elif news["taken"]:
            click.echo(f"applied {news['file']}: number {news['sequence']}, {'whole' if news['whole'] else 'change'}")
        else:
            click.echo(f"refused {news['file']}: {news['stage']}: {news['reason']}")

    with contextlib.ExitStack() as stack:
        kept = state or stack.enter_context(tempfile.TemporaryDirectory())
        server = Server(Place(zone, proxy, folders, answers, kept), lambda: keys, Terms(), sinks, tell, poll)
        try:
            return 0 if asyncio.run(server.run(once)) or not once else 1
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
    from stackwheel.files.serve import Sinks

    return run_server(folders, zone, proxy, state, keys, poll, once, as_json, "", Sinks())


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
    from stackwheel.files.serve import Sinks

    return run_server(folders, zone, proxy, state, keys, poll, once, as_json, answers, Sinks(out, command))


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
