"""Data types of a cell plan; `docs/cells.md` describes the file format."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from stackwheel.errors import InvalidInputError

PLAN_FORMAT_VERSION = 1

REPLICAS = 2
"""Number of relays that serve each cell, so that one of them may fail."""

MAX_PARTS = 1_024
"""Maximum number of parts of a service in one set of regions."""

MAX_CELL_LIMIT = 65_536
"""Upper bound of the configurable limits on the servers and planners of a cell."""

MAX_PORT = 65_535

Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[^\x00-\x20\x7f,]+\Z")]
Host = Annotated[str, Meta(min_length=1, max_length=253, pattern=r"^[^\x00-\x20\x7f,/:]+\Z")]
Limit = Annotated[int, Meta(ge=1, le=MAX_CELL_LIMIT)]


class CellPlanError(InvalidInputError):
    """A cell plan, or the input from which one is designed, is invalid or cannot be read or written."""


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """The maximum numbers of servers and planners in a cell."""

    servers: Limit = 512
    planners: Limit = 16


class Relay(Struct, frozen=True, forbid_unknown_fields=True):
    """A relay process, which listens at `host` on the port of each cell that it serves."""

    name: Name
    host: Host


class Cell(Struct, frozen=True, forbid_unknown_fields=True):
    """A service or one part of it, in some regions or in all.

    Attributes:
        name: name of the cell.
        service: name of the service.
        regions: names of the regions; empty for all regions.
        part: index of the part, from 0.
        parts: number of parts of the service in these regions.
        port: TCP port of the cell at each relay that serves it.
    """

    name: Name
    service: Name
    regions: tuple[Name, ...]
    part: Annotated[int, Meta(ge=0, lt=MAX_PARTS)]
    parts: Annotated[int, Meta(ge=1, le=MAX_PARTS)]
    port: Annotated[int, Meta(ge=1, le=MAX_PORT)]


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """A cell plan.

    Attributes:
        version: version of the file format.
        limits: limits on the size of each cell.
        regions: the region of each zone.
        relays: all relays of the fleet.
        cells: all cells of the fleet.
    """

    version: int
    limits: Limits
    regions: dict[Name, Name]
    relays: tuple[Relay, ...]
    cells: tuple[Cell, ...]
