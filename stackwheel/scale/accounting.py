"""What a process costs, read from the kernel: processor time, resident memory; and bytes counted at sockets' ends."""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

PROC = Path("/proc")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEBIBYTE = 1 << 20
STAT_AFTER_NAME = 11  # fields of /proc/PID/stat between the closing bracket of the name and utime (proc(5))


class AccountingError(OSError):
    """A process's figures cannot be read: it has ended, or the kernel tells none."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """One reading of a process: processor time so far in seconds, resident memory in MiB."""

    cpu_seconds: float
    rss_mb: float


def read_usage(pid: int, proc: Path = PROC) -> ProcessUsage:
    """Read a process's figures; AccountingError if it has ended."""
    folder = proc / str(pid)
    try:
        return ProcessUsage(_cpu_seconds(folder), _rss_mb(folder))
    except (OSError, ValueError, IndexError) as error:
        raise AccountingError(f"process {pid}: {error}") from None


def _cpu_seconds(folder: Path) -> float:
    """Nanoseconds on a processor from schedstat where the kernel keeps it, else utime + stime in ticks.

    /proc/PID/stat counts in ticks of 10 ms, a third of what an idle planner takes within a span of some seconds.
    schedstat is kept for each thread, so threads are added up; a thread that has ended is in stat alone, so the
    larger of both counts.
    """
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticked = (int(fields[STAT_AFTER_NAME]) + int(fields[STAT_AFTER_NAME + 1])) / TICKS_PER_SECOND
    threads = list((folder / "task").iterdir())
    if len(threads) > 1 or not (folder / "schedstat").exists():
        return max(ticked, sum(_on_processor(thread) for thread in threads))
    return _on_processor(threads[0])


def _on_processor(thread: Path) -> float:
    path = thread / "schedstat"
    return int(path.read_text().split()[0]) / 1e9 if path.exists() else 0.0


def _rss_mb(folder: Path) -> float:
    return int((folder / "statm").read_text().split()[1]) * PAGE_BYTES / MEBIBYTE


class Channel(StrEnum):
    """What a planner or a relay speaks, by who is at the other end."""

    LIST = "list"
    PEERS = "peers"
    STREAMS = "streams"  # of proxies
    COLLECTORS = "collectors"
    PROBES = "probes"
    WATCHES = "watches"  # of planners at a relay


CONTROL = (
    Channel.LIST,
    Channel.PEERS,
    Channel.WATCHES,
)  # what counts against a planner's budget; the rest is the data path


@dataclass(slots=True)
class Traffic:
    """Payload bytes and messages of one channel, as the process under test sends (out) and receives (in) them."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0

    def received(self, size: int, messages: int = 1) -> None:
        """The process under test was sent so much."""
        self.bytes_in += size
        self.messages_in += messages

    def sent(self, size: int, messages: int = 1) -> None:
        """The process under test has sent so much."""
        self.bytes_out += size
        self.messages_out += messages

    def since(self, earlier: Traffic) -> Traffic:
        """What came between two readings."""
        return Traffic(
            self.bytes_in - earlier.bytes_in,
            self.bytes_out - earlier.bytes_out,
            self.messages_in - earlier.messages_in,
            self.messages_out - earlier.messages_out,
        )

    def copy(self) -> Traffic:
        """A reading that no longer changes."""
        return Traffic(self.bytes_in, self.bytes_out, self.messages_in, self.messages_out)


@dataclass(slots=True)
class TrafficCounters:
    """Counters of all channels of one process under test, kept by the stand-ins at the other ends.

    Bytes are payload: neither TCP, UDP nor IP headers are in them.
    """

    channels: dict[Channel, Traffic] = field(default_factory=lambda: {channel: Traffic() for channel in Channel})

    def __getitem__(self, channel: Channel) -> Traffic:
        return self.channels[channel]

    def reading(self) -> TrafficCounters:
        """The present state, as a copy."""
        return TrafficCounters({channel: traffic.copy() for channel, traffic in self.channels.items()})

    def since(self, earlier: TrafficCounters) -> TrafficCounters:
        """What came between two readings."""
        return TrafficCounters({channel: self[channel].since(earlier[channel]) for channel in self.channels})

    def control(self) -> Iterator[Traffic]:
        """The channels that count against the control budget."""
        return (self[channel] for channel in CONTROL)

    def data_path(self) -> Iterator[Traffic]:
        """Orders, reports and probes."""
        return (traffic for channel, traffic in self.channels.items() if channel not in CONTROL)
