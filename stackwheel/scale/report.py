"""The result of a run as one JSON object, and the figures it is made of."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from stackwheel.scale.children import Role

Progress = Callable[[str], None]  # takes one line that says how far a run is

VERSION = 1  # of the report's format


class Arguments(msgspec.Struct, frozen=True):
    """What the run was asked for, with what was left out filled in."""

    scenario: str
    servers: int
    zones: int
    planners: int
    real_planners: int
    relays: int
    duration: float  # s
    seed: int
    event_rate: float  # servers a second that drain, leave and return
    plant: str = ""
    full_list_planners: int = msgspec.field(default=0, name="whole_list_planners")
    fault: str = ""


class RoleFigures(msgspec.Struct, frozen=True):
    """Means of one process of a role, or of one hollow planner; nothing where the run has none."""

    count: int = 0
    core: float | None = None  # of one processor core
    rss_mb: float | None = None
    bytes_in_per_s: float | None = None
    bytes_out_per_s: float | None = None
    highest_second_in: int | None = None  # bytes of the whole role in its highest second
    highest_second_out: int | None = None


class InForceFigures(msgspec.Struct, frozen=True):
    """ms from the change made at the registry to held by each hollow planner that should hold it."""

    p50: float | None = None
    p99: float | None = None
    max: float | None = None
    count: int = 0
    missing: int = 0  # changes that a planner was never seen to hold


class Datagrams(msgspec.Struct, frozen=True):
    """What hollow planners send to their cells, a second of all of them."""

    computed_per_s: float = 0.0  # by the planner's own formula
    sent_per_s: float = 0.0  # for real, over UDP
    received_per_s: float = 0.0
    mean_bytes_per_s: float = 0.0  # that one planner would read by the formula, sent for real or not
    most_bytes_per_s: int = 0  # of the planner that would read most


class Machine(msgspec.Struct, frozen=True):
    """Where the run was made."""

    cores: int
    memory_mb: int
    python: str


class Bounds(msgspec.Struct, frozen=True):
    """What a run may take, what was expected, and the most that was seen."""

    memory_most_mb: int
    processes_most: int
    memory_expected_mb: float
    processes_expected: int
    memory_seen_mb: float
    processes_seen: int


class CellNotes(msgspec.Struct, frozen=True):
    """The sizes of the cells that have planners."""

    cells: int = 0
    largest_service: int = 0  # servers
    largest_servers: int = 0
    largest_planners: int = 0
    mean_servers_of_a_planner: float = 0.0
    digests: dict[str, str] = {}  # of the largest cells, the digest that their planners agree on; "" where they don't


class Report(msgspec.Struct, frozen=True):
    """All of it."""

    version: int
    arguments: Arguments
    wrong_entries: int
    planners: int  # how many ended right
    planners_expected: int
    entries_compared: int
    in_force_ms: InForceFigures
    registry: RoleFigures
    relay: RoleFigures
    real_planner: RoleFigures
    full_list_planner: RoleFigures = msgspec.field(name="whole_list_planner")
    hollow_planner: RoleFigures
    machine: Machine
    bounds: Bounds
    cells: CellNotes
    datagrams: Datagrams
    changes: int
    generation: int
    duration_s: float  # as it was
    ready_s: float  # from the start of the first planner to all holding a list
    settle_s: float  # from the last second of the run to all planners right, or to giving up
    failures: int  # calls and watches of hollow planners that failed
    refused: int  # calls that the registry answered with 503
    wrong: list[str] = []  # some of what is wrong, in words
    notes: list[str] = []

    def passed(self) -> bool:
        """Whether every planner ended right."""
        return self.wrong_entries == 0 and self.planners == self.planners_expected

    def figures(self, role: Role) -> RoleFigures:
        """The figures of one role."""
        by_role = {
            Role.REGISTRY: self.registry,
            Role.RELAY: self.relay,
            Role.REAL_PLANNER: self.real_planner,
            Role.FULL_LIST_PLANNER: self.full_list_planner,
            Role.HOLLOW_PLANNER: self.hollow_planner,
        }
        return by_role[role]


def encode(report: Report) -> str:
    """One line of JSON."""
    return msgspec.json.encode(report).decode()
