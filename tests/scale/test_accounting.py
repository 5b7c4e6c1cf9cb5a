"""Tests of CPU time and memory as read from the kernel, and of the traffic counters."""

from __future__ import annotations

import os
import subprocess
import sys
import time
from pathlib import Path

import pytest

from stackwheel.scale.accounting import (
    PAGE_BYTES,
    TICKS_PER_SECOND,
    AccountingError,
    Channel,
    Traffic,
    TrafficCounters,
    read_usage,
)


def test_cpu_time_excludes_time_spent_sleeping() -> None:
    before = read_usage(os.getpid())
    cpu_before = time.process_time()
    began = time.monotonic()
    time.sleep(0.2)
    while time.process_time() < cpu_before + 0.2:
        pass
    measured = read_usage(os.getpid()).cpu_seconds - before.cpu_seconds
    expected = time.process_time() - cpu_before
    assert measured == pytest.approx(expected, abs=0.05)
    assert measured < time.monotonic() - began - 0.1


def test_reading_the_usage_of_an_ended_process_raises_an_error() -> None:
    process = subprocess.Popen([sys.executable, "-c", ""])
    process.wait()
    with pytest.raises(AccountingError, match=f"process {process.pid}"):
        read_usage(process.pid)


def write_proc_files(folder: Path, threads: dict[int, int | None], ticks: tuple[int, int], pages: int) -> None:
    """Write the /proc files of process 7: nanoseconds of each thread, utime and stime in ticks, resident pages."""
    process = folder / "7"
    for number, nanoseconds in threads.items():
        (process / "task" / str(number)).mkdir(parents=True)
        if nanoseconds is not None:
            (process / "task" / str(number) / "schedstat").write_text(f"{nanoseconds} 5 9\n")
    if threads[7] is not None:
        (process / "schedstat").write_text(f"{threads[7]} 5 9\n")
    (process / "stat").write_text(f"7 (a b) c) S 1 7 7 0 -1 0 0 0 0 0 {ticks[0]} {ticks[1]} 0 0 20 0\n")
    (process / "statm").write_text(f"999 {pages} 3 1 0 5 0\n")


def test_cpu_time_of_a_single_thread_is_read_from_schedstat_in_nanoseconds(tmp_path: Path) -> None:
    write_proc_files(tmp_path, {7: 36_000_000}, (3, 0), 256)
    usage = read_usage(7, tmp_path)
    assert usage.cpu_seconds == 0.036
    assert usage.rss_mb == 256 * PAGE_BYTES / (1 << 20)


def test_cpu_time_is_the_sum_over_all_threads_including_ended_ones(tmp_path: Path) -> None:
    write_proc_files(tmp_path, {7: 1_000_000_000, 8: 500_000_000}, (1, 1), 1)
    assert read_usage(7, tmp_path).cpu_seconds == 1.5
    (tmp_path / "7" / "stat").write_text(f"7 (x) S 1 7 7 0 -1 0 0 0 0 0 {3 * TICKS_PER_SECOND} 0 0 0 20 0\n")
    assert read_usage(7, tmp_path).cpu_seconds == 3.0


def test_cpu_time_is_read_in_ticks_if_schedstat_is_absent(tmp_path: Path) -> None:
    write_proc_files(tmp_path, {7: None}, (TICKS_PER_SECOND, TICKS_PER_SECOND // 2), 1)
    assert read_usage(7, tmp_path).cpu_seconds == 1.5


def test_counters_return_the_traffic_since_a_snapshot() -> None:
    counters = TrafficCounters()
    counters[Channel.LIST].count_received(100)
    before = counters.snapshot()
    counters[Channel.LIST].count_received(7, 2)
    counters[Channel.STREAMS].count_sent(30)
    since = counters.since(before)
    assert since[Channel.LIST] == Traffic(7, 0, 2, 0)
    assert since[Channel.STREAMS] == Traffic(0, 30, 0, 1)
    assert sum(traffic.bytes_in for traffic in since.control_channels()) == 7
    assert sum(traffic.bytes_out for traffic in since.data_channels()) == 30
