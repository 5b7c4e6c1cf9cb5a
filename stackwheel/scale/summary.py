"""Builds the report of a run from its readings, its records and the comparison of entries."""

from __future__ import annotations

import os
import platform
from collections.abc import Callable
from dataclasses import dataclass, field

from stackwheel.scale import bounds
from stackwheel.scale.bounds import ResourceEstimate
from stackwheel.scale.children import Role
from stackwheel.scale.comparison import ListComparison
from stackwheel.scale.control import Records, Traffic
from stackwheel.scale.fleet import Fleet
from stackwheel.scale.layout import Layout
from stackwheel.scale.peers import MAX_DATAGRAMS_SENT, bytes_per_interval
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
from stackwheel.scale.sampling import Sampler, TrafficReading

MAX_WRONG_PLANNERS_REPORTED = 20
MAX_CELL_DIGESTS_REPORTED = 5


@dataclass(slots=True)
class RunMeasurements:
    """The data that a run collects for its report.

    Attributes:
        arguments: of the run.
        fleet: the servers and planners of the run.
        layout: the assignment of planners to cells and relays.
        hollow_planners: numbers of the hollow planners.
        expected_resources: estimate made before the run.
        sampler: readings of processes and counters.
        traffic_readings: readings of all counters, about one per second.
        records: propagation records of each process of hollow planners.
        measured_duration_s: time from the first reading to the last.
        startup_s: time from the start of the first planner until all planners have an endpoint list.
        settling_s: time from the end of the scenario until all planners are correct or the wait is abandoned.
    """

    arguments: Arguments
    fleet: Fleet
    layout: Layout
    hollow_planners: frozenset[int]
    expected_resources: ResourceEstimate
    sampler: Sampler = field(default_factory=Sampler)
    traffic_readings: list[TrafficReading] = field(default_factory=list)
    records: list[Records] = field(default_factory=list)
    measured_duration_s: float = 0.0
    startup_s: float = 0.0
    settling_s: float = 0.0


def make_report(measurements: RunMeasurements, comparison: ListComparison) -> Report:
    """Build the report. With many records this takes seconds, so the caller runs it in a thread."""
    arguments = measurements.arguments
    sampler = measurements.sampler
    duration = measurements.measured_duration_s
    last_reading = measurements.traffic_readings[-1]
    return Report(
        version=VERSION,
        arguments=arguments,
        wrong_entries=comparison.wrong_entry_count,
        planners=comparison.correct_planner_count,
        planners_expected=len(measurements.fleet.planners) + arguments.full_list_planners,
        entries_compared=comparison.compared_entry_count,
        in_force_ms=in_force_figures(propagation_times(measurements, comparison)),
        registry=sampler.figures(Role.REGISTRY, 1, duration),
        relay=sampler.figures(Role.RELAY, arguments.relays, duration),
        real_planner=sampler.figures(Role.REAL_PLANNER, arguments.real_planners, duration),
        full_list_planner=sampler.figures(Role.FULL_LIST_PLANNER, arguments.full_list_planners, duration),
        hollow_planner=sampler.figures(Role.HOLLOW_PLANNER, len(measurements.hollow_planners), duration),
        machine=machine(),
        bounds=bounds_seen(measurements),
        cells=cell_notes(measurements, comparison),
        datagrams=datagrams(measurements),
        changes=len(comparison.full_list.changes),
        generation=comparison.full_list.generation,
        duration_s=round(duration, 3),
        ready_s=round(measurements.startup_s, 3),
        settle_s=round(measurements.settling_s, 3),
        failures=sum(process.failures for process in last_reading.hollow_processes),
        rejected=last_reading.registry.failures,
        wrong=comparison.examples[:MAX_WRONG_PLANNERS_REPORTED],
        notes=notes(measurements),
    )


def propagation_times(measurements: RunMeasurements, comparison: ListComparison) -> PropagationTimes:
    """Return the propagation times at hollow planners; real planners do not report when they apply a change."""
    planners_of_servers = {
        name: [number for number in numbers if number in measurements.hollow_planners]
        for name, numbers in measurements.layout.planners_of_servers(measurements.fleet).items()
    }
    entries = (entry for records in measurements.records for entry in records.entries)
    restarts = (restart for records in measurements.records for restart in records.restarts)
    return measure(comparison.full_list.changes, entries, planners_of_servers, restarts)


def in_force_figures(times: PropagationTimes) -> InForceFigures:
    """Return the reported percentiles of the propagation times in ms."""
    return InForceFigures(
        p50=times.percentile(50.0),
        p99=times.percentile(99.0),
        max=times.percentile(100.0),
        count=times.count(),
        missing=times.missing,
    )


def bounds_seen(measurements: RunMeasurements) -> Bounds:
    """Return the limits, the estimated resources and the highest readings."""
    return Bounds(
        memory_max_mb=bounds.MAX_MEMORY_MB,
        processes_max=bounds.MAX_PROCESSES,
        memory_expected_mb=round(measurements.expected_resources.memory_mb, 1),
        processes_expected=measurements.expected_resources.processes,
        memory_seen_mb=round(measurements.sampler.peak_memory_mb, 1),
        processes_seen=measurements.sampler.peak_processes,
    )


def cell_notes(measurements: RunMeasurements, comparison: ListComparison) -> CellNotes:
    """Return the sizes of the cells and the digests of the largest ones."""
    layout = measurements.layout
    servers = {cell: len(entries) for cell, entries in layout.entries_by_cell(comparison.full_list.entries).items()}
    planners = {cell: len(numbers) for cell, numbers in layout.planners_by_cell().items()}
    largest = sorted(servers, key=lambda cell: (-servers[cell], cell))[:MAX_CELL_DIGESTS_REPORTED]
    return CellNotes(
        cells=len(servers),
        largest_service=max(measurements.fleet.sizes().values()),
        largest_servers=max(servers.values()),
        largest_planners=max(planners.values()),
        mean_servers_of_a_planner=round(sum(servers[placed.cell] for placed in layout.placed) / len(layout.placed), 1),
        digests={cell or "all": common_digest(comparison.digests.get(cell, set())) for cell in largest},
    )


def common_digest(digests: set[str]) -> str:
    """Return the digest that all planners of a cell have, or "" if they differ."""
    return next(iter(digests)) if len(digests) == 1 else ""


def datagrams(measurements: RunMeasurements) -> Datagrams:
    """Return the rates of computed and sent datagrams between the first reading and the last."""
    if measurements.measured_duration_s <= 0:
        return Datagrams()
    first = measurements.traffic_readings[0].hollow_processes
    last = measurements.traffic_readings[-1].hollow_processes

    def rate(count: Callable[[Traffic], int]) -> float:
        """Return the increase of a counter per second, rounded."""
        return round((sum(map(count, last)) - sum(map(count, first))) / measurements.measured_duration_s, 1)

    bytes_by_planner = datagram_bytes(measurements)
    return Datagrams(
        computed_per_s=rate(lambda traffic: traffic.datagrams_computed),
        sent_per_s=rate(lambda traffic: traffic.datagrams_out),
        received_per_s=rate(lambda traffic: traffic.datagrams_in),
        mean_bytes_per_s=round(sum(bytes_by_planner) / len(bytes_by_planner), 1),
        max_bytes_per_s=max(bytes_by_planner),
    )


def datagram_bytes(measurements: RunMeasurements) -> list[int]:
    """Return the bytes per second that each planner reads if all datagrams of its cell are sent."""
    entry_counts = measurements.layout.entries_per_planner(measurements.fleet)
    planners = {cell: len(numbers) for cell, numbers in measurements.layout.planners_by_cell().items()}
    return [
        bytes_per_interval(planners[placed.cell], entry_counts[placed.number]) for placed in measurements.layout.placed
    ]


def notes(measurements: RunMeasurements) -> list[str]:
    """Return the explanations of the figures that the report includes."""
    lines = [
        "core: CPU time of the processes over the run; bytes: payload of TCP and UDP, counted at the sockets",
        "in force: propagation times at hollow planners only",
        f"datagrams: each hollow process sends up to {MAX_DATAGRAMS_SENT} a second over UDP, separately to each peer, "
        "and only computes the others",
    ]
    if measurements.arguments.real_planners or measurements.arguments.full_list_planners:
        lines.append(
            "real planners: the lines of their weight tables are compared with the ready servers of their cell; they "
            "send no datagrams; bytes are those received from and sent to discovery"
        )
    dropped = sum(records.dropped for records in measurements.records)
    if dropped:
        lines.append(f"{dropped} propagation records over the limit were discarded")
    return lines


def machine() -> Machine:
    """Return the properties of the machine that the run is executed on."""
    memory_mb = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") >> 20
    return Machine(os.cpu_count() or 1, memory_mb, platform.python_version())
