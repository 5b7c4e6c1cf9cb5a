"""Makes the report of a run from its readings, its records and the comparison."""

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

MAX_WRONG_SHOWN = 20  # wrong planners that a report names
MAX_DIGESTS_SHOWN = 5  # cells whose digest a report has, the largest ones


@dataclass(slots=True)
class RunMeasurements:
    """All that a run has collected, from which its report is made."""

    arguments: Arguments
    fleet: Fleet
    layout: Layout
    hollow_planners: frozenset[int]  # the numbers of the hollow planners
    expected_resources: ResourceEstimate
    sampler: Sampler = field(default_factory=Sampler)
    traffic_readings: list[TrafficReading] = field(default_factory=list)  # about one a second
    records: list[Records] = field(default_factory=list)  # of each hollow process
    measured_duration_s: float = 0.0  # s from the first reading to the last
    startup_s: float = 0.0  # s from the first planner's start until all have a list
    settling_s: float = 0.0  # s from the end of the scenario until all planners are right, or the wait is given up


def make_report(measurements: RunMeasurements, comparison: ListComparison) -> Report:
    """The report; for many records this takes seconds, so it is called in a thread."""
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
        wrong=comparison.examples[:MAX_WRONG_SHOWN],
        notes=notes(measurements),
    )


def propagation_times(measurements: RunMeasurements, comparison: ListComparison) -> PropagationTimes:
    """Times until changes were in force at hollow planners: a real one does not report when it applied a change."""
    planners_of_servers = {
        name: [number for number in numbers if number in measurements.hollow_planners]
        for name, numbers in measurements.layout.planners_of_servers(measurements.fleet).items()
    }
    entries = (entry for records in measurements.records for entry in records.entries)
    restarts = (restart for records in measurements.records for restart in records.restarts)
    return measure(comparison.full_list.changes, entries, planners_of_servers, restarts)


def in_force_figures(times: PropagationTimes) -> InForceFigures:
    """The percentiles that are reported, in ms."""
    return InForceFigures(
        p50=times.percentile(50.0),
        p99=times.percentile(99.0),
        max=times.percentile(100.0),
        count=times.count(),
        missing=times.missing,
    )


def bounds_seen(measurements: RunMeasurements) -> Bounds:
    """The bounds, what was expected, and the highest readings."""
    return Bounds(
        memory_max_mb=bounds.MAX_MEMORY_MB,
        processes_max=bounds.MAX_PROCESSES,
        memory_expected_mb=round(measurements.expected_resources.memory_mb, 1),
        processes_expected=measurements.expected_resources.processes,
        memory_seen_mb=round(measurements.sampler.peak_memory_mb, 1),
        processes_seen=measurements.sampler.peak_processes,
    )


def cell_notes(measurements: RunMeasurements, comparison: ListComparison) -> CellNotes:
    """The sizes of the cells, and the digests of the largest."""
    layout = measurements.layout
    servers = {cell: len(entries) for cell, entries in layout.entries_by_cell(comparison.full_list.entries).items()}
    planners = {cell: len(numbers) for cell, numbers in layout.planners_by_cell().items()}
    largest = sorted(servers, key=lambda cell: (-servers[cell], cell))[:MAX_DIGESTS_SHOWN]
    return CellNotes(
        cells=len(servers),
        largest_service=max(measurements.fleet.sizes().values()),
        largest_servers=max(servers.values()),
        largest_planners=max(planners.values()),
        mean_servers_of_a_planner=round(sum(servers[placed.cell] for placed in layout.placed) / len(layout.placed), 1),
        digests={cell or "all": common_digest(comparison.digests.get(cell, set())) for cell in largest},
    )


def common_digest(digests: set[str]) -> str:
    """The digest that all planners of a cell have; "" where they differ."""
    return next(iter(digests)) if len(digests) == 1 else ""


def datagrams(measurements: RunMeasurements) -> Datagrams:
    """Datagrams, computed and sent, between the first reading and the last."""
    if measurements.measured_duration_s <= 0:
        return Datagrams()
    first = measurements.traffic_readings[0].hollow_processes
    last = measurements.traffic_readings[-1].hollow_processes

    def rate(count: Callable[[Traffic], int]) -> float:
        """The growth of a counter, a second."""
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
    """Bytes that each planner would read a second if all datagrams of its cell were sent."""
    entry_counts = measurements.layout.entries_per_planner(measurements.fleet)
    planners = {cell: len(numbers) for cell, numbers in measurements.layout.planners_by_cell().items()}
    return [
        bytes_per_interval(planners[placed.cell], entry_counts[placed.number]) for placed in measurements.layout.placed
    ]


def notes(measurements: RunMeasurements) -> list[str]:
    """What a reader of the figures has to know, as it is printed in the report."""
    lines = [
        "core: processor time of the processes over the run; bytes: payload of TCP and UDP, counted at the sockets",
        "in force: of hollow planners",
        f"datagrams: sent for real up to {MAX_DATAGRAMS_SENT} a second from each hollow process, "
        "to each peer by itself",
    ]
    if measurements.arguments.real_planners or measurements.arguments.full_list_planners:
        lines.append(
            "real planners: lines of their tables against the ready servers of their cell; none sends datagrams; "
            "bytes are those from and to discovery"
        )
    dropped = sum(records.dropped for records in measurements.records)
    if dropped:
        lines.append(f"{dropped} in-force records over the bound were not kept")
    return lines


def machine() -> Machine:
    """The machine that the run is made on."""
    memory_mb = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") >> 20
    return Machine(os.cpu_count() or 1, memory_mb, platform.python_version())
