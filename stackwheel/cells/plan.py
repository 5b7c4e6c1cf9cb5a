"""The records of a cell plan; `docs/cells.md` describes the format of its file."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from stackwheel.errors import InvalidInputError

PLAN_FORMAT_VERSION = 1  # of the plan file
REPLICAS = 2  # relays that serve each cell: one may fail
MAX_PARTS = 1_024  # of one service and set of regions; at 512 servers each that is 524,288 servers
MAX_CELL_LIMIT = 65_536  # servers or planners a cell; over this a limit limits nothing in a fleet of 48,000 servers
MAX_PORT = 65_535  # of TCP

Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[^\x00-\x20\x7f,]+\Z")]
Host = Annotated[str, Meta(min_length=1, max_length=253, pattern=r"^[^\x00-\x20\x7f,/:]+\Z")]  # it becomes "host:port"
Limit = Annotated[int, Meta(ge=1, le=MAX_CELL_LIMIT)]


class CellPlanError(InvalidInputError):
    """A plan that can't hold: one line that names the file or record at fault and the reason."""


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
    port: Annotated[int, Meta(ge=1, le=MAX_PORT)]


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """All cells, the region of each zone, and the relays that serve the cells."""

    version: int
    limits: Limits
    regions: dict[Name, Name]
    relays: tuple[Relay, ...]
    cells: tuple[Cell, ...]
