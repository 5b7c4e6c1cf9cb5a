"""What a run may take of its machine, estimated before anything is started."""

from __future__ import annotations

import math
import os
from dataclasses import dataclass
from pathlib import Path

MAX_MEMORY_MB = 12 * 1024  # of all processes of a run
MAX_PROCESSES = 300
PLANNERS_A_PROCESS = 1_000  # hollow ones: two descriptors each, of the 20,000 of a process

RUN_MB = 60.0  # the run itself, before its fleet
REGISTRY_MB = 40.0
HOLLOW_MB = 50.0  # a process, before its planners
RELAY_MB = 50.0
REAL_PLANNER_MB = 35.0
HOLLOW_PLANNER_MB = 0.08  # connection, parser, watch and tasks of one; 0.05 as measured, with 50 entries held
ENTRY_MB = 0.0015  # one listed server, in the run, the registry, a relay or a hollow process; 0.001 in a relay
HOLLOW_ENTRY_MB = 0.0006  # one entry held by one hollow planner, beside the entry itself that all share
REAL_ENTRY_MB = 0.01  # one entry at a real planner with its tables


class ScaleError(ValueError):
    """A run that can't be made as asked, in one line."""


@dataclass(frozen=True, slots=True)
class Size:
    """What decides how much a run takes."""

    servers: int
    planners: int  # hollow
    real_planners: int
    relays: int
    hollow_entries: int  # by all hollow planners together
    real_entries: int  # by all real ones


@dataclass(frozen=True, slots=True)
class Estimate:
    """What a run of a size is expected to take."""

    memory_mb: float
    processes: int


def hollow_processes(planners: int) -> int:
    """Processes for so many hollow planners."""
    return math.ceil(planners / PLANNERS_A_PROCESS)


def estimate(size: Size) -> Estimate:
    """Memory and processes of a run."""
    hollow = hollow_processes(size.planners)
    list_mb = size.servers * ENTRY_MB
    memory = (
        RUN_MB
        + REGISTRY_MB
        + 2 * list_mb
        + hollow * (HOLLOW_MB + list_mb)
        + size.planners * HOLLOW_PLANNER_MB
        + size.hollow_entries * HOLLOW_ENTRY_MB
        + size.real_planners * REAL_PLANNER_MB
        + size.real_entries * REAL_ENTRY_MB
        + size.relays * (RELAY_MB + list_mb)
    )
    return Estimate(memory, 2 + hollow + size.real_planners + size.relays)


def check(size: Size, available_mb: float | None = None) -> Estimate:
    """The estimate; ScaleError where it is over a bound. `available_mb`: free memory of the machine."""
    found = estimate(size)
    free = available_memory_mb() if available_mb is None else available_mb
    if found.processes > MAX_PROCESSES:
        raise ScaleError(f"{found.processes} processes needed, {MAX_PROCESSES} are the most")
    if found.memory_mb > MAX_MEMORY_MB:
        raise ScaleError(f"{found.memory_mb:.0f} MB needed, {MAX_MEMORY_MB} MB are the most")
    if found.memory_mb > free:
        raise ScaleError(f"{found.memory_mb:.0f} MB needed, the machine has {free:.0f} MB free")
    return found


def available_memory_mb(path: Path = Path("/proc/meminfo")) -> float:
    """Memory that the kernel can give without swapping, in MB."""
    for line in path.read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return float(line.split()[1]) / 1024.0
    return os.sysconf("SC_AVPHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
