"""Estimate of the memory and processes that a run needs, checked against limits before the run starts."""

from __future__ import annotations

import math
import os
from dataclasses import dataclass
from pathlib import Path

from stackwheel.errors import StackwheelError

MAX_MEMORY_MB = 12 * 1024  # limit of the estimated memory of all processes of a run together
MAX_PROCESSES = 300
MAX_HOLLOW_PLANNERS_PER_PROCESS = 1_000  # each uses two of the 20,000 file descriptors of a process

# Memory estimates. The estimate of a process excludes its endpoint list and its planners, which are added to it.
RUN_PROCESS_MB = 60.0  # the process that controls the run
REGISTRY_PROCESS_MB = 40.0
HOLLOW_PROCESS_MB = 50.0
RELAY_PROCESS_MB = 50.0
REAL_PLANNER_MB = 35.0
HOLLOW_PLANNER_MB = 0.08  # connection, parser, watch and tasks
LIST_ENTRY_MB = 0.0015  # one server in the endpoint list of a process
HOLLOW_PLANNER_ENTRY_MB = 0.0006  # reference to an entry that the hollow planners of a process share
REAL_PLANNER_ENTRY_MB = 0.01  # one server, including its weight lines


class ScaleError(StackwheelError):
    """The requested run is not possible."""


@dataclass(frozen=True, slots=True)
class RunSize:
    """The counts that determine the resources of a run.

    Attributes:
        servers: in the registry's endpoint list.
        planners: hollow planners.
        real_planners: planners that run as separate processes.
        relays: in the run.
        hollow_entries: entries of all hollow planners together.
        real_entries: entries of all real planners together.
    """

    servers: int
    planners: int
    real_planners: int
    relays: int
    hollow_entries: int
    real_entries: int


@dataclass(frozen=True, slots=True)
class ResourceEstimate:
    """The memory and the number of processes that a run is expected to need."""

    memory_mb: float
    processes: int


def hollow_processes(planners: int) -> int:
    """Return the number of processes that a number of hollow planners needs."""
    return math.ceil(planners / MAX_HOLLOW_PLANNERS_PER_PROCESS)


def estimate(size: RunSize) -> ResourceEstimate:
    """Estimate the memory and the number of processes that a run of this size needs."""
    hollow_process_count = hollow_processes(size.planners)
    list_mb = size.servers * LIST_ENTRY_MB
    memory_mb = (
        RUN_PROCESS_MB
        + REGISTRY_PROCESS_MB
        + 2 * list_mb
        + hollow_process_count * (HOLLOW_PROCESS_MB + list_mb)
        + size.planners * HOLLOW_PLANNER_MB
        + size.hollow_entries * HOLLOW_PLANNER_ENTRY_MB
        + size.real_planners * REAL_PLANNER_MB
        + size.real_entries * REAL_PLANNER_ENTRY_MB
        + size.relays * (RELAY_PROCESS_MB + list_mb)
    )
    run_and_registry = 2
    return ResourceEstimate(memory_mb, run_and_registry + hollow_process_count + size.real_planners + size.relays)


def check_run_size(size: RunSize, available_mb: float | None = None) -> ResourceEstimate:
    """Estimate the resources of a run and check that they are within the limits and the machine's free memory.

    Args:
        size: the size of the run.
        available_mb: free memory of the machine in MB; read from the kernel if omitted.

    Returns:
        The estimate.

    Raises:
        ScaleError: the estimate exceeds a limit or the free memory.
    """
    required = estimate(size)
    free_mb = available_memory_mb() if available_mb is None else available_mb
    if required.processes > MAX_PROCESSES:
        raise ScaleError(f"the run needs {required.processes} processes; the maximum is {MAX_PROCESSES}")
    if required.memory_mb > MAX_MEMORY_MB:
        raise ScaleError(f"the run needs {required.memory_mb:.0f} MB of memory; the maximum is {MAX_MEMORY_MB} MB")
    if required.memory_mb > free_mb:
        raise ScaleError(f"the run needs {required.memory_mb:.0f} MB of memory; the machine has {free_mb:.0f} MB free")
    return required


def available_memory_mb(path: Path = Path("/proc/meminfo")) -> float:
    """Return the memory in MB that is available without swapping, as the kernel estimates it."""
    for line in path.read_text().splitlines():
        if line.startswith("MemAvailable:"):
            return float(line.split()[1]) / 1024.0
    return os.sysconf("SC_AVPHYS_PAGES") * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
