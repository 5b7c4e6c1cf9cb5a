"""The report of a run, encoded as one JSON object."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from stackwheel.scale.children import Role

Progress = Callable[[str], None]  # called with one line of text about the progress of a run

VERSION = 1  # format of the report


class Arguments(msgspec.Struct, frozen=True):
    """The arguments of a run, including defaults.

    Attributes:
        scenario: name of the scenario.
        servers: in the fleet.
        zones: in the fleet.
        planners: number of hollow planners.
        real_planners: planners that run as separate processes.
        relays: 0 if planners watch the registry directly.
        duration: of the scenario in seconds.
        seed: of the fleet and the scenario.
        event_rate: servers per second that drain, leave and return.
        plant: name of a deliberate error that the comparison has to detect; empty for none.
        full_list_planners: further real planners, which watch the full list.
        fault: name of a fault during the scenario; empty for none.
    """

    scenario: str
    servers: int
    zones: int
    planners: int
    real_planners: int
    relays: int
    duration: float
    seed: int
    event_rate: float
    plant: str = ""
    full_list_planners: int = msgspec.field(default=0, name="whole_list_planners")
    fault: str = ""


class RoleFigures(msgspec.Struct, frozen=True):
    """Means for one process of a role, or for one hollow planner; None if the run has none.

    Attributes:
        count: number of processes or hollow planners of the role.
        core: CPU time as a share of one core.
        rss_mb: resident memory in MiB.
        bytes_in_per_s: received payload bytes per second.
        bytes_out_per_s: sent payload bytes per second.
        highest_second_in: bytes that all processes of the role together received in the highest second.
        highest_second_out: bytes that all processes of the role together sent in the highest second.
    """

    count: int = 0
    core: float | None = None
    rss_mb: float | None = None
    bytes_in_per_s: float | None = None
    bytes_out_per_s: float | None = None
    highest_second_in: int | None = None
    highest_second_out: int | None = None


class InForceFigures(msgspec.Struct, frozen=True):
    """Propagation times in ms from a change at the registry until each affected hollow planner applied it.

    Attributes:
        p50: the median.
        p99: the 99th percentile.
        max: the maximum.
        count: number of measured times.
        missing: number of changes that an affected planner never applied.
    """

    p50: float | None = None
    p99: float | None = None
    max: float | None = None
    count: int = 0
    missing: int = 0


class Datagrams(msgspec.Struct, frozen=True):
    """Gossip datagrams per second of all hollow planners together, and bytes per second of one planner.

    Attributes:
        computed_per_s: datagrams according to the planner's formula, including those that were not sent.
        sent_per_s: datagrams sent over UDP.
        received_per_s: datagrams received over UDP.
        mean_bytes_per_s: computed bytes that one planner reads, as the mean of all planners.
        max_bytes_per_s: computed bytes that one planner reads, as the maximum of all planners.
    """

    computed_per_s: float = 0.0
    sent_per_s: float = 0.0
    received_per_s: float = 0.0
    mean_bytes_per_s: float = 0.0
    max_bytes_per_s: int = msgspec.field(default=0, name="most_bytes_per_s")


class Machine(msgspec.Struct, frozen=True):
    """The machine on which the run was executed."""

    cores: int
    memory_mb: int
    python: str


class Bounds(msgspec.Struct, frozen=True):
    """The limits of a run, its estimated resources, and the highest readings.

    Attributes:
        memory_max_mb: limit of the memory of all processes.
        processes_max: limit of the number of processes.
        memory_expected_mb: estimated memory of all processes.
        processes_expected: estimated number of processes.
        memory_seen_mb: highest reading of the memory of all processes.
        processes_seen: highest reading of the number of processes.
    """

    memory_max_mb: int = msgspec.field(name="memory_most_mb")
    processes_max: int = msgspec.field(name="processes_most")
    memory_expected_mb: float
    processes_expected: int
    memory_seen_mb: float
    processes_seen: int


class CellNotes(msgspec.Struct, frozen=True):
    """The sizes of the cells that have planners.

    Attributes:
        cells: number of cells.
        largest_service: servers of the largest service.
        largest_servers: servers of the cell with the most servers.
        largest_planners: planners of the cell with the most planners.
        mean_servers_of_a_planner: servers in the cell of a planner, as the mean of all planners.
        digests: digest of the entries of all planners of each of the largest cells; empty where they differ.
    """

    cells: int = 0
    largest_service: int = 0
    largest_servers: int = 0
    largest_planners: int = 0
    mean_servers_of_a_planner: float = 0.0
    digests: dict[str, str] = {}


class Report(msgspec.Struct, frozen=True):
    """The complete result of a run.

    Attributes:
        version: format of the report.
        arguments: of the run.
        wrong_entries: wrong or missing entries of all planners.
        planners: number of planners that had exactly the expected entries.
        planners_expected: number of all planners.
        entries_compared: number of compared entries of all planners.
        in_force_ms: propagation times of changes.
        registry: usage of the registry.
        relay: usage of one relay.
        real_planner: usage of one real planner in a cell.
        full_list_planner: usage of one real planner that watches the full list.
        hollow_planner: usage of one hollow planner.
        machine: on which the run was executed.
        bounds: limits, estimates and highest readings of resources.
        cells: sizes of the cells.
        datagrams: rates of gossip.
        changes: number of changes that the registry made to its endpoint list.
        generation: of the registry's list at the end.
        duration_s: measured duration of the scenario.
        ready_s: time from the start of the first planner until all planners have an endpoint list.
        settle_s: time from the end of the scenario until all planners are correct or the wait is abandoned.
        failures: number of watches of hollow planners that failed or ended, except those that the planners cancelled.
        rejected: requests that the registry rejected with status 503.
        wrong: one line of text for each of the first planners with a wrong or missing entry.
        notes: explanations of the figures for the reader.
    """

    version: int
    arguments: Arguments
    wrong_entries: int
    planners: int
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
    duration_s: float
    ready_s: float
    settle_s: float
    failures: int
    rejected: int = msgspec.field(name="refused")
    wrong: list[str] = []
    notes: list[str] = []

    def passed(self) -> bool:
        """Return whether every planner had exactly the expected entries."""
        return self.wrong_entries == 0 and self.planners == self.planners_expected

    def figures(self, role: Role) -> RoleFigures:
        """Return the figures of one role."""
        by_role = {
            Role.REGISTRY: self.registry,
            Role.RELAY: self.relay,
            Role.REAL_PLANNER: self.real_planner,
            Role.FULL_LIST_PLANNER: self.full_list_planner,
            Role.HOLLOW_PLANNER: self.hollow_planner,
        }
        return by_role[role]


def encode_report(report: Report) -> str:
    """Encode a report as one line of JSON."""
    return msgspec.json.encode(report).decode()
