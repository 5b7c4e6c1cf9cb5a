"""What each role takes during a run: readings about once a second, then means of one and highest seconds."""

from __future__ import annotations

import os
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from stackwheel.scale.accounting import AccountingError, read_usage
from stackwheel.scale.children import Child, Role
from stackwheel.scale.control import Traffic
from stackwheel.scale.report import RoleFigures

MIN_RATE_INTERVAL = 0.5  # s between readings that a rate is made of: the last reading may follow another at once


class ByteCounts(NamedTuple):
    """Payload bytes that a role has received and sent so far."""

    received: int = 0
    sent: int = 0

    def plus(self, other: ByteCounts) -> ByteCounts:
        """The counts of both together."""
        return ByteCounts(self.received + other.received, self.sent + other.sent)

    def minus(self, other: ByteCounts) -> ByteCounts:
        """These counts without the other's."""
        return ByteCounts(self.received - other.received, self.sent - other.sent)


NO_BYTES = ByteCounts()


@dataclass(frozen=True, slots=True)
class TrafficReading:
    """All counters of a run at one moment of the monotonic clock, in seconds."""

    monotonic_s: float
    registry: Traffic
    hollow_processes: Sequence[Traffic]  # of each process of hollow planners
    real_planners: ByteCounts
    full_list_planners: ByteCounts

    def by_role(self) -> dict[Role, ByteCounts]:
        """The bytes of each role.

        Those of the relays are computed, not counted at their sockets: they receive what the registry sends to all
        but the full-list planners, and the calls of the planners in cells; what they send is the reverse.
        """
        registry = ByteCounts(self.registry.bytes_in, self.registry.bytes_out)
        hollow = ByteCounts(
            sum(t.bytes_in for t in self.hollow_processes), sum(t.bytes_out for t in self.hollow_processes)
        )
        gossip = ByteCounts(
            sum(t.peer_bytes_in for t in self.hollow_processes), sum(t.peer_bytes_out for t in self.hollow_processes)
        )
        lists = hollow.minus(gossip).plus(self.real_planners)
        return {
            Role.REGISTRY: registry,
            Role.RELAY: ByteCounts(
                received=registry.sent - self.full_list_planners.received + lists.sent,
                sent=registry.received - self.full_list_planners.sent + lists.received,
            ),
            Role.REAL_PLANNER: self.real_planners,
            Role.FULL_LIST_PLANNER: self.full_list_planners,
            Role.HOLLOW_PLANNER: hollow,
        }


@dataclass(slots=True)
class ByteSeries:
    """One role's bytes, reading by reading, about a second apart."""

    first: ByteCounts | None = None
    last: ByteCounts = NO_BYTES
    last_at: float = 0.0  # s on the monotonic clock
    highest_received: float = 0.0  # bytes a second, between two readings
    highest_sent: float = 0.0  # bytes a second, between two readings

    def add(self, counts: ByteCounts, now: float) -> None:
        """A further reading of the counters. `now`: s on the monotonic clock."""
        interval = now - self.last_at
        if self.first is None:
            self.first = counts
        elif interval >= MIN_RATE_INTERVAL:
            added = counts.minus(self.last)
            self.highest_received = max(self.highest_received, added.received / interval)
            self.highest_sent = max(self.highest_sent, added.sent / interval)
        self.last = counts
        self.last_at = now

    def total(self) -> ByteCounts:
        """Bytes between the first reading and the last."""
        return NO_BYTES if self.first is None else self.last.minus(self.first)


@dataclass(slots=True)
class ProcessSeries:
    """Processor time and memory of one process, reading by reading."""

    role: Role
    first_cpu: float  # s of processor time
    last_cpu: float  # s of processor time
    rss_mb: list[float] = field(default_factory=list)


class Sampler:
    """Readings of all processes and counters of a run."""

    def __init__(self) -> None:
        self.processes: dict[int, ProcessSeries] = {}  # by process id
        self.bytes: dict[Role, ByteSeries] = {role: ByteSeries() for role in Role}
        self.peak_memory_mb = 0.0
        self.peak_processes = 0
        self.begun = False

    def read_processes(self, children: list[Child]) -> None:
        """Read each running process once; one that has just ended is left out."""
        memory = read_usage(os.getpid()).rss_mb
        for child in children:
            try:
                usage = read_usage(child.pid)
            except AccountingError:
                continue
            before = 0.0 if self.begun else usage.cpu_seconds  # a later process was started within the measured time
            series = self.processes.setdefault(child.pid, ProcessSeries(child.role, before, before))
            series.last_cpu = usage.cpu_seconds
            series.rss_mb.append(usage.rss_mb)
            memory += usage.rss_mb
        self.peak_memory_mb = max(self.peak_memory_mb, memory)
        self.peak_processes = max(self.peak_processes, len(children) + 1)
        self.begun = True

    def add_traffic(self, reading: TrafficReading) -> None:
        """A further reading of the counters."""
        for role, counts in reading.by_role().items():
            self.bytes[role].add(counts, reading.monotonic_s)

    def figures(self, role: Role, count: int, seconds: float) -> RoleFigures:
        """Means of one of the `count` processes or planners of a role, over a time in seconds."""
        if count == 0 or seconds <= 0:
            return RoleFigures()
        processes = [process for process in self.processes.values() if process.role is role]
        core = sum(process.last_cpu - process.first_cpu for process in processes) / seconds / count
        readings = max((len(process.rss_mb) for process in processes), default=1)
        rss_mb = sum(sum(process.rss_mb) for process in processes) / readings / count
        series = self.bytes[role]
        total = series.total()
        return RoleFigures(
            count=count,
            core=round(core, 6),
            rss_mb=round(rss_mb, 3),
            bytes_in_per_s=round(total.received / seconds / count, 1),
            bytes_out_per_s=round(total.sent / seconds / count, 1),
            highest_second_in=round(series.highest_received),
            highest_second_out=round(series.highest_sent),
        )
