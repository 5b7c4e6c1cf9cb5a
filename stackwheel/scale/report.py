"""The result of a run as one JSON object, and the figures it is made of."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from stackwheel.scale.children import Role

Progress = Callable[[str], None]  # takes one line about what a run is doing

VERSION = 1  # of the report's format


class Arguments(msgspec.Struct, frozen=True):
    """The arguments of a run, defaults included."""

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
    """Means of one process of a role, or of one hollow planner; None if the run has none."""

    count: int = 0
    core: float | None = None  # share of one processor core
    rss_mb: float | None = None  # MiB
    bytes_in_per_s: float | None = None
    bytes_out_per_s: float | None = None
    highest_second_in: int | None = None  # bytes of all processes of the role in its highest second
    highest_second_out: int | None = None


class InForceFigures(msgspec.Struct, frozen=True):
    """Times in ms from a change at the registry until it is in force at each hollow planner concerned."""

    p50: float | None = None
    p99: float | None = None
    max: float | None = None
    count: int = 0
    missing: int = 0  # changes that were never seen in force at a planner


class Datagrams(msgspec.Struct, frozen=True):
    """The datagrams of all hollow planners together, a second; the two byte rates are those of one planner."""

    computed_per_s: float = 0.0  # by the planner's own formula
    sent_per_s: float = 0.0  # over UDP
    received_per_s: float = 0.0
    mean_bytes_per_s: float = 0.0  # that one planner would read by the formula, whether they were sent or not
    max_bytes_per_s: int = msgspec.field(
        default=0, name="most_bytes_per_s"
    )  # of the planner that would read the largest number of bytes


class Machine(msgspec.Struct, frozen=True):
    """The machine that the run was made on."""

    cores: int
    memory_mb: int
    python: str


class Bounds(msgspec.Struct, frozen=True):
    """What a run may take, what it was expected to take, and the highest readings."""

    memory_max_mb: int = msgspec.field(name="memory_most_mb")
    processes_max: int = msgspec.field(name="processes_most")
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
    digests: dict[str, str] = {}  # of the largest cells: the digest of all planners' entries; "" where they differ


class Report(msgspec.Struct, frozen=True):
    """The complete result of a run."""

    version: int
    arguments: Arguments
    wrong_entries: int
    planners: int  # that had exactly the entries that they should have
    planners_expected: int  # all planners
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
    duration_s: float  # as measured
    ready_s: float  # from the start of the first planner until all have a list
    settle_s: float  # from the end of the scenario until all planners are right, or the wait is given up
    failures: int  # calls and watches of hollow planners that failed
    rejected: int = msgspec.field(name="refused")  # calls that the registry answered with 503
    wrong: list[str] = []  # some wrong planners, one line each
    notes: list[str] = []  # what a reader of the figures has to know

    def passed(self) -> bool:
        """Whether every planner had exactly the entries that it should have."""
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


def encode_report(report: Report) -> str:
    """One line of JSON."""
    return msgspec.json.encode(report).decode()
