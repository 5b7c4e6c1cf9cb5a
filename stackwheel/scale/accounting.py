"""What a process costs: processor time and memory as the kernel counts them, and traffic counted by the stand-ins."""

from __future__ import annotations

import os
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

from stackwheel.errors import StackwheelError

PROC = Path("/proc")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEBIBYTE = 1 << 20
UTIME_FIELD = 11  # of /proc/PID/stat, counted from 0 after the closing bracket of the name; stime follows (proc(5))
NANOSECONDS = 1e9  # in a second


class AccountingError(StackwheelError):
    """A process's figures can't be read: it has ended, or the kernel does not report them."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """One reading of a process."""

    cpu_seconds: float  # processor time since the process started
    rss_mb: float  # resident memory in MiB


def read_usage(pid: int, proc: Path = PROC) -> ProcessUsage:
    """Read a process's figures; AccountingError if it has ended. `proc`: where the kernel's files are."""
    folder = proc / str(pid)
    try:
        return ProcessUsage(_cpu_seconds(folder), _rss_mb(folder))
    except (OSError, ValueError, IndexError) as error:
        raise AccountingError(f"process {pid}: {error}") from error


def _cpu_seconds(folder: Path) -> float:
    """Processor time by schedstat, in nanoseconds, where the kernel has it; else utime + stime, in ticks.

    /proc/PID/stat counts in ticks of 10 ms, a third of what an idle planner takes in a span of some seconds, so it
    is too coarse. schedstat is kept for each thread, so threads are added up. A thread that has ended counts in
    stat alone, so the larger of both is taken.
    """
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    by_ticks = (int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])) / TICKS_PER_SECOND
    threads = list((folder / "task").iterdir())
    if len(threads) > 1 or not (folder / "schedstat").exists():
        return max(by_ticks, sum(_thread_seconds(thread) for thread in threads))
    return _thread_seconds(threads[0])


def _thread_seconds(thread: Path) -> float:
    path = thread / "schedstat"
    return int(path.read_text().split()[0]) / NANOSECONDS if path.exists() else 0.0


def _rss_mb(folder: Path) -> float:
    return int((folder / "statm").read_text().split()[1]) * PAGE_BYTES / MEBIBYTE


class Channel(StrEnum):
    """The kinds of connections that a planner or a relay has, by what is at the other end."""

    LIST = "list"
    PEERS = "peers"
    STREAMS = "streams"  # of proxies
    COLLECTORS = "collectors"
    HEALTH_CHECKS = "probes"
    WATCHES = "watches"  # of planners at a relay


# The channels that count against a planner's budget for control; the others are the data path.
CONTROL = (Channel.LIST, Channel.PEERS, Channel.WATCHES)


@dataclass(slots=True)
class Traffic:
    """Payload bytes and messages of one channel, as the process under test receives (in) and sends (out) them."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages_in: int = 0
    messages_out: int = 0

    def count_received(self, size: int, messages: int = 1) -> None:
        """Count bytes and messages that the process under test was sent."""
        self.bytes_in += size
        self.messages_in += messages

    def count_sent(self, size: int, messages: int = 1) -> None:
        """Count bytes and messages that the process under test has sent."""
        self.bytes_out += size
        self.messages_out += messages

    def since(self, earlier: Traffic) -> Traffic:
        """The traffic between an earlier reading and this one."""
        return Traffic(
            self.bytes_in - earlier.bytes_in,
            self.bytes_out - earlier.bytes_out,
            self.messages_in - earlier.messages_in,
            self.messages_out - earlier.messages_out,
        )

    def copy(self) -> Traffic:
        """A copy, which later traffic does not change."""
        return Traffic(self.bytes_in, self.bytes_out, self.messages_in, self.messages_out)


@dataclass(slots=True)
class TrafficCounters:
    """Counters of all channels of one process under test, written by the stand-ins at the other ends.

    Bytes are payload, without headers of TCP, UDP and IP.
    """

    channels: dict[Channel, Traffic] = field(default_factory=lambda: {channel: Traffic() for channel in Channel})

    def __getitem__(self, channel: Channel) -> Traffic:
        return self.channels[channel]

    def reading(self) -> TrafficCounters:
        """A copy of the present counts."""
        return TrafficCounters({channel: traffic.copy() for channel, traffic in self.channels.items()})

    def since(self, earlier: TrafficCounters) -> TrafficCounters:
        """The traffic between an earlier reading and this one."""
        return TrafficCounters({channel: self[channel].since(earlier[channel]) for channel in self.channels})

    def control(self) -> Iterator[Traffic]:
        """The channels that count against the control budget."""
        return (self[channel] for channel in CONTROL)

    def data_path(self) -> Iterator[Traffic]:
        """The channels of updates to proxies, reports and health checks."""
        return (traffic for channel, traffic in self.channels.items() if channel not in CONTROL)
