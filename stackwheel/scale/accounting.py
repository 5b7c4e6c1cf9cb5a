"""Resource usage of a process: CPU time and memory from the kernel, and traffic counted by the stand-ins."""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

from stackwheel.errors import StackwheelError

PROC_PATH = Path("/proc")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MIB = 1 << 20
# Index of utime among the fields of /proc/PID/stat that follow the process name; stime is the next one (proc(5)).
UTIME_FIELD_INDEX = 11
NANOSECONDS_PER_SECOND = 1e9


class AccountingError(StackwheelError):
    """The usage of a process cannot be read: it has ended, or the kernel does not report it."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """The resource usage of a process at one moment.

    Attributes:
        cpu_seconds: CPU time since the process started.
        rss_mb: resident memory in MiB.
    """

    cpu_seconds: float
    rss_mb: float


def read_usage(pid: int, proc: Path = PROC_PATH) -> ProcessUsage:
    """Read the usage of a process from the proc file system mounted at `proc`.

    Raises:
        AccountingError: the process has ended, or the kernel does not report its usage.
    """
    folder = proc / str(pid)
    try:
        return ProcessUsage(_cpu_seconds(folder), _rss_mb(folder))
    except (OSError, ValueError, IndexError) as error:
        raise AccountingError(f"process {pid}: cannot read its usage: {error}") from error


def _cpu_seconds(folder: Path) -> float:
    """Return the CPU time of a process from schedstat if the kernel provides it, otherwise from stat.

    schedstat counts nanoseconds for each thread. /proc/PID/stat counts ticks of 10 ms, too coarse for an idle
    planner, but includes threads that have ended. A process with several threads gets the larger of both values.
    """
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    tick_seconds = (int(fields[UTIME_FIELD_INDEX]) + int(fields[UTIME_FIELD_INDEX + 1])) / TICKS_PER_SECOND
    threads = list((folder / "task").iterdir())
    if len(threads) > 1 or not (folder / "schedstat").exists():
        return max(tick_seconds, sum(_thread_seconds(thread) for thread in threads))
    return _thread_seconds(threads[0])


def _thread_seconds(thread: Path) -> float:
    path = thread / "schedstat"
    return int(path.read_text().split()[0]) / NANOSECONDS_PER_SECOND if path.exists() else 0.0


def _rss_mb(folder: Path) -> float:
    return int((folder / "statm").read_text().split()[1]) * PAGE_BYTES / BYTES_PER_MIB


class Channel(StrEnum):
    """A kind of connection of a planner or a relay, named after what is at the other end."""

    LIST = "list"
    PEERS = "peers"
    STREAMS = "streams"  # streams from planners to proxies
    COLLECTORS = "collectors"
    HEALTH_CHECKS = "probes"
    WATCHES = "watches"  # watches that planners open at a relay


# Channels whose traffic counts against the budget for control traffic; all others carry data.
CONTROL_CHANNELS = (Channel.LIST, Channel.PEERS, Channel.WATCHES)


@dataclass(slots=True)
class Traffic:
    """Payload bytes and messages of one channel that the process under test receives (in) and sends (out)."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0

    def count_received(self, size: int, messages: int = 1) -> None:
        """Count payload bytes and messages that the process under test received."""
        self.bytes_in += size
        self.messages_in += messages

    def count_sent(self, size: int, messages: int = 1) -> None:
        """Count payload bytes and messages that the process under test sent."""
        self.bytes_out += size
        self.messages_out += messages

    def since(self, earlier: Traffic) -> Traffic:
        """Return the traffic between an earlier snapshot and this one."""
        return Traffic(
            self.bytes_in - earlier.bytes_in,
            self.bytes_out - earlier.bytes_out,
            self.messages_in - earlier.messages_in,
            self.messages_out - earlier.messages_out,
        )

    def copy(self) -> Traffic:
        """Return a copy that is independent of later traffic."""
        return Traffic(self.bytes_in, self.bytes_out, self.messages_in, self.messages_out)


@dataclass(slots=True)
class TrafficCounters:
    """Traffic counters of all channels of one process under test, updated by the stand-ins at the other ends.

    Bytes are payload without TCP, UDP and IP headers.
    """

    channels: dict[Channel, Traffic] = field(default_factory=lambda: {channel: Traffic() for channel in Channel})

    def __getitem__(self, channel: Channel) -> Traffic:
        return self.channels[channel]

    def snapshot(self) -> TrafficCounters:
        """Return a copy of the current counters."""
        return TrafficCounters({channel: traffic.copy() for channel, traffic in self.channels.items()})

    def since(self, earlier: TrafficCounters) -> TrafficCounters:
        """Return the traffic between an earlier snapshot and this one."""
        return TrafficCounters({channel: self[channel].since(earlier[channel]) for channel in self.channels})

    def control_channels(self) -> Iterator[Traffic]:
        """Return the counters of the channels that count against the budget for control traffic."""
        return (self[channel] for channel in CONTROL_CHANNELS)

    def data_channels(self) -> Iterator[Traffic]:
        """Return the counters of all other channels: updates to proxies, load reports and health checks."""
        return (traffic for channel, traffic in self.channels.items() if channel not in CONTROL_CHANNELS)
