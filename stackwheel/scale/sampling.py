"""What each role takes while a run lasts: read once a second, then as means of one and as highest seconds."""

from __future__ import annotations

import os
from dataclasses import dataclass, field

from stackwheel.scale.accounting import AccountingError, read_usage
from stackwheel.scale.children import Child, Role
from stackwheel.scale.report import RoleFigures

SHORTEST = 0.5  # s between readings whose difference tells a rate: the last one may come right after another


@dataclass(slots=True)
class Series:
    """One role's bytes so far, reading by reading, about a second apart."""

    first: tuple[int, int] | None = None
    last: tuple[int, int] = (0, 0)
    last_at: float = 0.0
    highest_in: float = 0.0  # a second, between two readings
    highest_out: float = 0.0

    def add(self, bytes_in: int, bytes_out: int, now: float) -> None:
        """A further reading of the counters. `now`: s on the monotonic clock."""
        if self.first is None:
            self.first = bytes_in, bytes_out
        elif now - self.last_at >= SHORTEST:
            self.highest_in = max(self.highest_in, (bytes_in - self.last[0]) / (now - self.last_at))
            self.highest_out = max(self.highest_out, (bytes_out - self.last[1]) / (now - self.last_at))
        self.last = (bytes_in, bytes_out)
        self.last_at = now

    def total(self) -> tuple[int, int]:
        """Bytes in and out between the first reading and the last."""
        if self.first is None:
            return 0, 0
        return self.last[0] - self.first[0], self.last[1] - self.first[1]


@dataclass(slots=True)
class Usage:
    """Processor time and memory of one process, from its first reading to its last."""

    role: Role
    cpu_first: float
    cpu_last: float
    rss: list[float] = field(default_factory=list)


class Sampler:
    """Readings of all processes and counters of a run."""

    def __init__(self) -> None:
        self.usage: dict[int, Usage] = {}
        self.bytes: dict[Role, Series] = {role: Series() for role in Role}
        self.peak_memory_mb = 0.0
        self.peak_processes = 0
        self.begun = False

    def read(self, children: list[Child]) -> None:
        """One reading of each process that is there; one that has just ended is left out."""
        memory = read_usage(os.getpid()).rss_mb
        for child in children:
            try:
                found = read_usage(child.pid)
            except AccountingError:
                continue
            before = 0.0 if self.begun else found.cpu_seconds  # who came later was started within the run
            usage = self.usage.setdefault(child.pid, Usage(child.role, before, before))
            usage.cpu_last = found.cpu_seconds
            usage.rss.append(found.rss_mb)
            memory += found.rss_mb
        self.peak_memory_mb = max(self.peak_memory_mb, memory)
        self.peak_processes = max(self.peak_processes, len(children) + 1)
        self.begun = True

    def figures(self, role: Role, count: int, seconds: float, counted: bool = True) -> RoleFigures:
        """Means of one of `count`; `counted`: whether the role's bytes are known."""
        if count == 0 or seconds <= 0:
            return RoleFigures()
        usages = [usage for usage in self.usage.values() if usage.role is role]
        core = sum(usage.cpu_last - usage.cpu_first for usage in usages) / seconds / count
        readings = max((len(usage.rss) for usage in usages), default=1)
        rss = sum(sum(usage.rss) for usage in usages) / readings / count
        series = self.bytes[role]
        total_in, total_out = series.total()
        if not counted:
            return RoleFigures(count, round(core, 6), round(rss, 3))
        return RoleFigures(
            count,
            round(core, 6),
            round(rss, 3),
            round(total_in / seconds / count, 1),
            round(total_out / seconds / count, 1),
            round(series.highest_in),
            round(series.highest_out),
        )
