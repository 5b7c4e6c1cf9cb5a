"""Makes a run's report of what was read and found."""

from __future__ import annotations

import os
import platform
from collections.abc import Callable
from dataclasses import dataclass, field

from stackwheel.scale import bounds
from stackwheel.scale.bounds import Estimate
from stackwheel.scale.children import Role
from stackwheel.scale.comparison import ListComparison
from stackwheel.scale.control import Records, Traffic
from stackwheel.scale.fleet import Fleet
from stackwheel.scale.layout import Layout
from stackwheel.scale.peers import MAX_DATAGRAMS_SENT, bytes_per_cycle
from stackwheel.scale.propagation import PropagationTimes, measure
from stackwheel.scale.report import (
    VERSION,
    Arguments,
    Bounds,
    CellNotes,
    Datagrams,
    InForceFigures,
    Machine,
    Report,
)
from stackwheel.scale.sampling import Sampler

WRONG_SHOWN = 20
DIGESTS_SHOWN = 5


@dataclass(slots=True)
class Outcome:
    """All that a run has gathered."""

    arguments: Arguments
    fleet: Fleet
    layout: Layout
    hollow: frozenset[int]  # the numbers of the hollow planners
    expected: Estimate
    sampler: Sampler = field(default_factory=Sampler)
    traffic: list[tuple[Traffic, list[Traffic]]] = field(default_factory=list)  # registry and hollow, by second
    records: list[Records] = field(default_factory=list)
    duration: float = 0.0  # s
    ready: float = 0.0  # s
    settled: float = 0.0  # s


def make_report(outcome: Outcome, comparison: ListComparison) -> Report:
    """The report; it takes a while for many records."""
    arguments = outcome.arguments
    sampler = outcome.sampler
    duration = outcome.duration
    return Report(
        version=VERSION,
        arguments=arguments,
        wrong_entries=comparison.wrong,
        planners=comparison.right,
        planners_expected=len(outcome.fleet.planners) + arguments.full_list_planners,
        entries_compared=comparison.compared,
        in_force_ms=in_force_figures(in_force(outcome, comparison)),
        registry=sampler.figures(Role.REGISTRY, 1, duration),
        relay=sampler.figures(Role.RELAY, arguments.relays, duration),
        real_planner=sampler.figures(Role.REAL_PLANNER, arguments.real_planners, duration),
        full_list_planner=sampler.figures(Role.FULL_LIST_PLANNER, arguments.full_list_planners, duration),
        hollow_planner=sampler.figures(Role.HOLLOW_PLANNER, len(outcome.hollow), duration),
        machine=machine(),
        bounds=bounds_seen(outcome),
        cells=cell_notes(outcome, comparison),
        datagrams=datagrams(outcome),
        changes=len(comparison.full_list.changes),
        generation=comparison.full_list.generation,
        duration_s=round(duration, 3),
        ready_s=round(outcome.ready, 3),
        settle_s=round(outcome.settled, 3),
        failures=sum(t.failures for t in outcome.traffic[-1][1]),
        refused=outcome.traffic[-1][0].failures,
        wrong=comparison.examples[:WRONG_SHOWN],
        notes=notes(outcome),
    )


def in_force(outcome: Outcome, comparison: ListComparison) -> PropagationTimes:
    """Of hollow planners: a real one does not tell when it took a change in."""
    due = {
        name: [number for number in numbers if number in outcome.hollow]
        for name, numbers in outcome.layout.planners_of_servers(outcome.fleet).items()
    }
    entries = (entry for one in outcome.records for entry in one.entries)
    restarts = (restart for one in outcome.records for restart in one.restarts)
    return measure(comparison.full_list.changes, entries, due, restarts)


def in_force_figures(found: PropagationTimes) -> InForceFigures:
    """The percentiles that are reported."""
    return InForceFigures(
        found.percentile(50.0), found.percentile(99.0), found.percentile(100.0), found.count(), found.missing
    )


def bounds_seen(outcome: Outcome) -> Bounds:
    """The bounds, what was expected, and what was seen."""
    return Bounds(
        bounds.MAX_MEMORY_MB,
        bounds.MAX_PROCESSES,
        round(outcome.expected.memory_mb, 1),
        outcome.expected.processes,
        round(outcome.sampler.peak_memory_mb, 1),
        outcome.sampler.peak_processes,
    )


def cell_notes(outcome: Outcome, comparison: ListComparison) -> CellNotes:
    """The sizes of the cells, and the digests of the largest."""
    layout = outcome.layout
    servers = {cell: len(due) for cell, due in layout.entries_by_cell(comparison.full_list.entries).items()}
    planners = {cell: len(numbers) for cell, numbers in layout.planners_by_cell().items()}
    largest = sorted(servers, key=lambda cell: (-servers[cell], cell))[:DIGESTS_SHOWN]
    return CellNotes(
        len(servers),
        max(outcome.fleet.sizes().values()),
        max(servers.values()),
        max(planners.values()),
        round(sum(servers[one.cell] for one in layout.placed) / len(layout.placed), 1),
        {cell or "all": agreed(comparison.digests.get(cell, set())) for cell in largest},
    )


def agreed(digests: set[str]) -> str:
    """The one digest of a cell's planners; nothing where they differ."""
    return next(iter(digests)) if len(digests) == 1 else ""


def datagrams(outcome: Outcome) -> Datagrams:
    """Datagrams by the formula and for real, between the first reading and the last."""
    if outcome.duration <= 0:
        return Datagrams()
    first = outcome.traffic[0][1]
    last = outcome.traffic[-1][1]

    def rate(count: Callable[[Traffic], int]) -> float:
        return round((sum(map(count, last)) - sum(map(count, first))) / outcome.duration, 1)

    read = datagram_bytes(outcome)
    return Datagrams(
        rate(lambda t: t.datagrams_computed),
        rate(lambda t: t.datagrams_out),
        rate(lambda t: t.datagrams_in),
        round(sum(read) / len(read), 1),
        max(read),
    )


def datagram_bytes(outcome: Outcome) -> list[int]:
    """What each planner would read a second, were all datagrams of its cell sent."""
    entry_counts = outcome.layout.entries_per_planner(outcome.fleet)
    planners = {cell: len(numbers) for cell, numbers in outcome.layout.planners_by_cell().items()}
    return [bytes_per_cycle(planners[one.cell], entry_counts[one.number]) for one in outcome.layout.placed]


def notes(outcome: Outcome) -> list[str]:
    """What a reader of the figures has to know."""
    found = [
        "core: processor time of the processes over the run; bytes: payload of TCP and UDP, counted at the sockets",
        "in force: of hollow planners",
        f"datagrams: sent for real up to {MAX_DATAGRAMS_SENT} a second from each hollow process, "
        "to each peer by itself",
    ]
    if outcome.arguments.real_planners or outcome.arguments.full_list_planners:
        found.append(
            "real planners: lines of their tables against the ready servers of their cell; none sends datagrams; "
            "bytes are those from and to discovery"
        )
    dropped = sum(one.dropped for one in outcome.records)
    if dropped:
        found.append(f"{dropped} in-force records over the bound were not kept")
    return found


def machine() -> Machine:
    """This machine."""
    memory = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") >> 20
    return Machine(os.cpu_count() or 1, memory, platform.python_version())
