"""The cell plan: its typed records, what makes one valid, and its file (JSON, `docs/cells.md` is the format)."""

from __future__ import annotations

import contextlib
import json
import os
import re
import tempfile
from collections import defaultdict
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, Struct

Key = TypeVar("Key", str, int)
Decoded = TypeVar("Decoded")

VERSION = 1
REPLICAS = 2  # relays that serve each cell: one may fail
MAX_PARTS = 1_024  # of one service and set of regions; at 512 servers each that is 524,288 servers
LIMIT_MOST = 65_536  # of servers or planners a cell; over this a limit limits nothing in a fleet of 48,000 servers
PORT_MOST = 65_535  # of TCP

Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[^\x00-\x20\x7f,]+\Z")]
Host = Annotated[str, Meta(min_length=1, max_length=253, pattern=r"^[^\x00-\x20\x7f,/:]+\Z")]  # it becomes "host:port"
Limit = Annotated[int, Meta(ge=1, le=LIMIT_MOST)]


class CellPlanError(ValueError):
    """A plan that can't hold: one line that names the file or record at fault and the reason."""

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f"{place}: {reason}")
        self.place, self.reason = place, reason


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """The most servers and planners that a cell may hold."""

    servers: Limit = 512
    planners: Limit = 16


class Relay(Struct, frozen=True, forbid_unknown_fields=True):
    """A relay process; it listens at `host` on the port of each cell that it serves."""

    name: Name
    host: Host


class Cell(Struct, frozen=True, forbid_unknown_fields=True):
    """A service, in some regions or in all (`regions` empty), or one of the `parts` parts of that."""

    name: Name
    service: Name
    regions: tuple[Name, ...]
    part: Annotated[int, Meta(ge=0, lt=MAX_PARTS)]
    parts: Annotated[int, Meta(ge=1, le=MAX_PARTS)]
    port: Annotated[int, Meta(ge=1, le=PORT_MOST)]


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """All cells, the region of each zone, and the relays that serve the cells."""

    version: int
    limits: Limits
    regions: dict[Name, Name]
    relays: tuple[Relay, ...]
    cells: tuple[Cell, ...]


PLANS = msgspec.json.Decoder(Plan)
REGIONS = msgspec.json.Decoder(dict[Name, Name])
PLACE_IN_MESSAGE = re.compile(r"^(?P<reason>.*) - at (?:`key` in )?`\$\.?(?P<place>[^`]*)`$", re.DOTALL)


def load_plan(path: Path | str) -> Plan:
    """The valid plan of a file; CellPlanError where it can't be read, is cut, or can't hold."""
    return decode_plan(_read(path), str(path))


def decode_plan(data: bytes, source: str = "plan") -> Plan:
    """The valid plan of a file's bytes; errors begin with `source`."""
    plan = _decode(PLANS, data, source)
    validate(plan, source)
    return plan


def load_regions(path: Path | str) -> dict[str, str]:
    """The region of each zone, from a file that holds one JSON object; CellPlanError where it holds none."""
    regions = _decode(REGIONS, _read(path), str(path))
    if not regions:
        raise CellPlanError(str(path), "no zone is given")
    return regions


def _read(path: Path | str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise CellPlanError(str(path), error.strerror or str(error)) from None


def _decode(decoder: msgspec.json.Decoder[Decoded], data: bytes, source: str) -> Decoded:
    try:
        found = decoder.decode(data)
        json.loads(data, object_pairs_hook=_refuse_repeated_keys)
    except msgspec.ValidationError as error:
        parts = PLACE_IN_MESSAGE.match(str(error))
        place, reason = (parts["place"], parts["reason"]) if parts else ("", str(error))
        raise CellPlanError(f"{source}: {place}" if place else source, reason) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise CellPlanError(source, f"no JSON: {error}") from None
    except _RepeatedKeyError as error:
        raise CellPlanError(source, str(error)) from None
    return found


def encode_plan(plan: Plan) -> bytes:
    """The bytes of a plan's file, the same for equal plans."""
    return msgspec.json.format(msgspec.json.encode(plan), indent=1) + b"\n"


def encode_valid_plan(plan: Plan, source: str = "plan") -> bytes:
    """The bytes of a plan's file; CellPlanError where a reader would refuse them.

    A plan that was not read may break the constraints of its fields, which are checked where one is read.
    """
    try:
        data = encode_plan(plan)
    except UnicodeEncodeError as error:
        raise CellPlanError(source, f"a name is no text: {error.object!r}") from None
    decode_plan(data, source)
    return data


def save_plan(plan: Plan, path: Path | str) -> None:
    """Put a valid plan in place of a file, whole; CellPlanError where it can't hold or can't be written.

    A failed call leaves the former file, and nothing beside it.
    """
    data = encode_valid_plan(plan, str(path))
    target = Path(path)
    part = ""
    try:
        handle, part = tempfile.mkstemp(prefix=f".{target.name}.", dir=target.parent)
        with os.fdopen(handle, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(part, 0o644)
        os.replace(part, target)
    except OSError as error:
        if part:
            with contextlib.suppress(OSError):
                os.unlink(part)
        raise CellPlanError(str(path), error.strerror or str(error)) from None


def validate(plan: Plan, source: str = "plan") -> None:
    """Raise CellPlanError, with its place after `source`, where a plan can't hold."""
    if plan.version != VERSION:
        raise CellPlanError(f"{source}: version", f"{plan.version} is unknown, {VERSION} is known")
    _validate_relays(plan.relays, source)
    _validate_cells(plan, source)
    _validate_groups(plan.cells, source)


def _validate_relays(relays: tuple[Relay, ...], source: str) -> None:
    if len(relays) < REPLICAS:
        raise CellPlanError(f"{source}: relays", f"{len(relays)} given, at least {REPLICAS} needed")
    names: dict[str, int] = {}
    hosts: dict[str, int] = {}
    for place, relay in enumerate(relays):
        _once(names, relay.name, place, f"{source}: relays", "name")
        _once(hosts, relay.host, place, f"{source}: relays", "host")


def _validate_cells(plan: Plan, source: str) -> None:
    known = set(plan.regions.values())
    names: dict[str, int] = {}
    ports: dict[int, int] = {}
    for place, cell in enumerate(plan.cells):
        _once(names, cell.name, place, f"{source}: cells", "name")
        _once(ports, cell.port, place, f"{source}: cells", "port")
        for index, region in enumerate(cell.regions):
            if region not in known:
                raise CellPlanError(f"{source}: cells[{place}].regions[{index}]", f"unknown region {region!r}")
            if region in cell.regions[:index]:
                raise CellPlanError(f"{source}: cells[{place}].regions[{index}]", f"region {region!r} twice")
        if cell.part >= cell.parts:
            raise CellPlanError(f"{source}: cells[{place}].part", f"{cell.part} of {cell.parts} parts")


def _once(seen: dict[Key, int], key: Key, place: int, source: str, field: str) -> None:
    if key in seen:
        raise CellPlanError(f"{source}[{place}].{field}", f"{key!r} is also that of [{seen[key]}]")
    seen[key] = place


def _validate_groups(cells: tuple[Cell, ...], source: str) -> None:
    """That no two cells hold the same server, and that the parts of each service and regions are all there."""
    services: defaultdict[str, dict[frozenset[str], list[int]]] = defaultdict(dict)
    for place, cell in enumerate(cells):
        services[cell.service].setdefault(frozenset(cell.regions), []).append(place)
    for groups in services.values():
        _validate_overlap(cells, groups, source)
        for places in groups.values():
            _validate_parts(cells, places, source)


def _validate_overlap(cells: tuple[Cell, ...], groups: dict[frozenset[str], list[int]], source: str) -> None:
    if len(groups) < 2:
        return
    owners: dict[str, int] = {}
    for regions, (place, *_) in groups.items():
        if not regions:
            other = next(found[0] for key, found in groups.items() if key)
            raise CellPlanError(
                f"{source}: cells[{place}].regions",
                f"all regions of service {cells[place].service!r} include those of cells[{other}]",
            )
        for region in sorted(regions):
            if region in owners:
                raise CellPlanError(
                    f"{source}: cells[{place}].regions",
                    f"{region!r} of service {cells[place].service!r} is also that of cells[{owners[region]}]",
                )
            owners[region] = place


def _validate_parts(cells: tuple[Cell, ...], places: list[int], source: str) -> None:
    first = places[0]
    parts = cells[first].parts
    seen: dict[int, int] = {}
    for place in places:
        cell = cells[place]
        if cell.parts != parts:
            raise CellPlanError(f"{source}: cells[{place}].parts", f"{cell.parts}, but cells[{first}] says {parts}")
        if cell.part in seen:
            raise CellPlanError(
                f"{source}: cells[{place}].part", f"part {cell.part} is also that of cells[{seen[cell.part]}]"
            )
        seen[cell.part] = place
    if len(seen) < parts:
        missing = next(part for part in range(parts) if part not in seen)
        raise CellPlanError(f"{source}: cells[{first}].parts", f"part {missing} of {parts} is missing")


class _RepeatedKeyError(ValueError):
    """A JSON object that says one key twice; readers would keep the last and lose the others."""


def _refuse_repeated_keys(pairs: list[tuple[str, object]]) -> None:
    seen: set[str] = set()
    for key, _ in pairs:
        if key in seen:
            raise _RepeatedKeyError(f"key {key!r} is given twice")
        seen.add(key)
