"""Resource usage of each role during a run: periodic readings, and the means and maxima computed from them."""

from __future__ import annotations

import os
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from stackwheel.scale.accounting import AccountingError, read_usage
from stackwheel.scale.children import Child, Role
from stackwheel.scale.control import Traffic
from stackwheel.scale.report import RoleFigures

# Shorter intervals between readings give no rate: the last reading of a run may directly follow a periodic one.
MIN_RATE_INTERVAL_S = 0.5


class ByteCounts(NamedTuple):
    """Payload bytes that a role has received and sent."""

    received: int = 0
    sent: int = 0

    def plus(self, other: ByteCounts) -> ByteCounts:
        """Return the sum of both counts."""
        return ByteCounts(self.received + other.received, self.sent + other.sent)

    def minus(self, other: ByteCounts) -> ByteCounts:
        """Return these counts less the other ones."""
        return ByteCounts(self.received - other.received, self.sent - other.sent)


NO_BYTES = ByteCounts()


@dataclass(frozen=True, slots=True)
class TrafficReading:
    """All traffic counters of a run at one moment.

    Attributes:
        monotonic_s: time of the reading on the monotonic clock.
        registry: counters of the registry.
        hollow_processes: counters of each process of hollow planners.
        real_planners: bytes of all real planners, without the full-list planners.
        full_list_planners: bytes of all planners that watch the full list.
    """

    monotonic_s: float
    registry: Traffic
    hollow_processes: Sequence[Traffic]
    real_planners: ByteCounts
    full_list_planners: ByteCounts

    def by_role(self) -> dict[Role, ByteCounts]:
        """Return the bytes of each role.

        The bytes of the relays are computed, not counted at their sockets: relays receive what the registry sends to
        clients other than the full-list planners, and the requests of the planners in cells. The bytes that they send
        are computed from the opposite directions.
        """
        registry = ByteCounts(self.registry.bytes_in, self.registry.bytes_out)
        hollow = ByteCounts(
            sum(traffic.bytes_in for traffic in self.hollow_processes),
            sum(traffic.bytes_out for traffic in self.hollow_processes),
        )
        gossip = ByteCounts(
            sum(traffic.peer_bytes_in for traffic in self.hollow_processes),
            sum(traffic.peer_bytes_out for traffic in self.hollow_processes),
        )
        list_traffic = hollow.minus(gossip).plus(self.real_planners)
        return {
            Role.REGISTRY: registry,
            Role.RELAY: ByteCounts(
                received=registry.sent - self.full_list_planners.received + list_traffic.sent,
                sent=registry.received - self.full_list_planners.sent + list_traffic.received,
            ),
            Role.REAL_PLANNER: self.real_planners,
            Role.FULL_LIST_PLANNER: self.full_list_planners,
            Role.HOLLOW_PLANNER: hollow,
        }


@dataclass(slots=True)
class ByteSeries:
    """The bytes of one role at the first and the last reading, and the highest rates between two readings."""

    first_counts: ByteCounts | None = None
    last_counts: ByteCounts = NO_BYTES
    last_read_s: float = 0.0  # time of the last reading on the monotonic clock
    highest_received_per_s: float = 0.0
    highest_sent_per_s: float = 0.0

    def add(self, counts: ByteCounts, now_s: float) -> None:
        """Add a reading that was taken at `now_s` on the monotonic clock."""
        interval_s = now_s - self.last_read_s
        if self.first_counts is None:
            self.first_counts = counts
        elif interval_s >= MIN_RATE_INTERVAL_S:
            added = counts.minus(self.last_counts)
            self.highest_received_per_s = max(self.highest_received_per_s, added.received / interval_s)
            self.highest_sent_per_s = max(self.highest_sent_per_s, added.sent / interval_s)
        self.last_counts = counts
        self.last_read_s = now_s

    def total(self) -> ByteCounts:
        """Return the bytes between the first reading and the last."""
        return NO_BYTES if self.first_counts is None else self.last_counts.minus(self.first_counts)


@dataclass(slots=True)
class ProcessSeries:
    """CPU time and memory of one process over all readings.

    Attributes:
        role: of the process.
        first_cpu_s: CPU time at the first reading; 0 if the process started after the first reading of the run.
        last_cpu_s: CPU time at the last reading.
        rss_mb: resident memory in MiB at each reading.
    """

    role: Role
    first_cpu_s: float
    last_cpu_s: float
    rss_mb: list[float] = field(default_factory=list)


class Sampler:
    """Collects readings of all processes and traffic counters of a run."""

    def __init__(self) -> None:
        self.processes: dict[int, ProcessSeries] = {}  # by process id
        self.byte_series: dict[Role, ByteSeries] = {role: ByteSeries() for role in Role}
        self.peak_memory_mb = 0.0
        self.peak_processes = 0
        self.has_first_reading = False

    def read_processes(self, children: list[Child]) -> None:
        """Read the usage of each running process; skip those that have just ended."""
        memory_mb = read_usage(os.getpid()).rss_mb
        for child in children:
            try:
                usage = read_usage(child.pid)
            except AccountingError:
                continue
            initial_cpu_s = 0.0 if self.has_first_reading else usage.cpu_seconds
            series = self.processes.setdefault(child.pid, ProcessSeries(child.role, initial_cpu_s, initial_cpu_s))
            series.last_cpu_s = usage.cpu_seconds
            series.rss_mb.append(usage.rss_mb)
            memory_mb += usage.rss_mb
        self.peak_memory_mb = max(self.peak_memory_mb, memory_mb)
        self.peak_processes = max(self.peak_processes, len(children) + 1)
        self.has_first_reading = True

    def add_traffic(self, reading: TrafficReading) -> None:
        """Add a reading of the traffic counters."""
        for role, counts in reading.by_role().items():
            self.byte_series[role].add(counts, reading.monotonic_s)

    def figures(self, role: Role, count: int, seconds: float) -> RoleFigures:
        """Return the means for one of the `count` processes or planners of a role over a duration in seconds."""
        if count == 0 or seconds <= 0:
            return RoleFigures()
        processes = [process for process in self.processes.values() if process.role is role]
        core = sum(process.last_cpu_s - process.first_cpu_s for process in processes) / seconds / count
        reading_count = max((len(process.rss_mb) for process in processes), default=1)
        rss_mb = sum(sum(process.rss_mb) for process in processes) / reading_count / count
        series = self.byte_series[role]
        total = series.total()
        return RoleFigures(
            count=count,
            core=round(core, 6),
            rss_mb=round(rss_mb, 3),
            bytes_in_per_s=round(total.received / seconds / count, 1),
            bytes_out_per_s=round(total.sent / seconds / count, 1),
            highest_second_in=round(series.highest_received_per_s),
            highest_second_out=round(series.highest_sent_per_s),
        )
