"""What a run may take of its machine: an estimate and its bounds, checked before anything is started."""

from __future__ import annotations

import math
import os
from dataclasses import dataclass
from pathlib import Path

from stackwheel.errors import StackwheelError

MAX_MEMORY_MB = 12 * 1024  # of all processes of a run together: what a shared machine can spare
MAX_PROCESSES = 300  # of a run
PLANNERS_PER_PROCESS = 1_000  # hollow ones: they take two descriptors each, of the 20,000 of a process

# Estimates of memory in MB, rounded up from measurements.
RUN_MB = 60.0  # the run's own process, without the fleet
REGISTRY_MB = 40.0  # the registry, without its list
HOLLOW_MB = 50.0  # a process of hollow planners, without the planners
RELAY_MB = 50.0  # a relay, without its list
REAL_PLANNER_MB = 35.0  # a real planner, without its list
HOLLOW_PLANNER_MB = 0.08  # connection, parser, watch and tasks of one; 0.05 as measured, with 50 entries
ENTRY_MB = 0.0015  # one listed server in the run, the registry, a relay or a hollow process; 0.001 in a relay
HOLLOW_ENTRY_MB = 0.0006  # one entry of one hollow planner, beside the entry itself, which all planners share
REAL_ENTRY_MB = 0.01  # one entry of a real planner, with its tables


class ScaleError(StackwheelError):
    """A run can't be made as requested."""


@dataclass(frozen=True, slots=True)
class RunSize:
    """The numbers that decide how much a run takes."""

    servers: int
    planners: int  # hollow
    real_planners: int
    relays: int
    hollow_entries: int  # of all hollow planners together
    real_entries: int  # of all real planners together


@dataclass(frozen=True, slots=True)
class ResourceEstimate:
    """What a run is expected to take."""

    memory_mb: float
    processes: int


def hollow_processes(planners: int) -> int:
    """The number of processes for a number of hollow planners."""
    return math.ceil(planners / PLANNERS_PER_PROCESS)


def estimate(size: RunSize) -> ResourceEstimate:
    """The memory and the number of processes that a run of this size is expected to take."""
    hollow_process_count = hollow_processes(size.planners)
    list_mb = size.servers * ENTRY_MB
    memory_mb = (
        RUN_MB
        + REGISTRY_MB
        + 2 * list_mb
        + hollow_process_count * (HOLLOW_MB + list_mb)
        + size.planners * HOLLOW_PLANNER_MB
        + size.hollow_entries * HOLLOW_ENTRY_MB
        + size.real_planners * REAL_PLANNER_MB
        + size.real_entries * REAL_ENTRY_MB
        + size.relays * (RELAY_MB + list_mb)
    )
    run_and_registry = 2
    return ResourceEstimate(memory_mb, run_and_registry + hollow_process_count + size.real_planners + size.relays)


def check_run_size(size: RunSize, available_mb: float | None = None) -> ResourceEstimate:
    """The estimate of a run of this size.

    Args:
        size: of the run.
        available_mb: free memory of the machine in MB; read from the kernel if left out.

    Raises:
        ScaleError: the estimate is over a bound.
    """
    needed = estimate(size)
    free_mb = available_memory_mb() if available_mb is None else available_mb
    if needed.processes > MAX_PROCESSES:
        raise ScaleError(f"the run needs {needed.processes} processes; the maximum is {MAX_PROCESSES}")
    if needed.memory_mb > MAX_MEMORY_MB:
        raise ScaleError(f"the run needs {needed.memory_mb:.0f} MB of memory; the maximum is {MAX_MEMORY_MB} MB")
    if needed.memory_mb > free_mb:
        raise ScaleError(f"the run needs {needed.memory_mb:.0f} MB of memory; the machine has {free_mb:.0f} MB free")
    return needed


def available_memory_mb(path: Path = Path("/proc/meminfo")) -> float:
    """Memory in MB that the kernel can provide without swapping."""
    for line in path.read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return float(line.split()[1]) / 1024.0
    return os.sysconf("SC_AVPHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
