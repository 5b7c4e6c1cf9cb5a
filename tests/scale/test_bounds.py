"""Tests of the resource estimate of a run and of the limits that are checked before it starts."""

from __future__ import annotations

import pytest

from stackwheel.scale.bounds import (
    MAX_MEMORY_MB,
    MAX_PROCESSES,
    RunSize,
    ScaleError,
    check_run_size,
    estimate,
    hollow_processes,
)

UNLIMITED_MB = 1e9


def test_a_run_within_the_limits_returns_its_estimate() -> None:
    needed = check_run_size(RunSize(1_000, 20, 1, 0, 20_000, 1_000), UNLIMITED_MB)
    assert 0 < needed.memory_mb < 1_000
    assert needed.processes == 4


def test_estimated_memory_grows_with_each_count_of_the_run_size() -> None:
    base = RunSize(1_000, 20, 1, 2, 20_000, 1_000)
    for larger in (
        RunSize(2_000, 20, 1, 2, 20_000, 1_000),
        RunSize(1_000, 40, 1, 2, 20_000, 1_000),
        RunSize(1_000, 20, 2, 2, 20_000, 1_000),
        RunSize(1_000, 20, 1, 3, 20_000, 1_000),
        RunSize(1_000, 20, 1, 2, 40_000, 1_000),
        RunSize(1_000, 20, 1, 2, 20_000, 2_000),
    ):
        assert estimate(larger).memory_mb > estimate(base).memory_mb


@pytest.mark.parametrize(
    ("size", "available_mb", "reason"),
    [
        (
            RunSize(48_000, 15_000, 0, 0, 15_000 * 48_000, 0),
            UNLIMITED_MB,
            f"MB of memory; the maximum is {MAX_MEMORY_MB} MB",
        ),
        (RunSize(1_000, 0, 300, 0, 0, 3_000), UNLIMITED_MB, f"processes; the maximum is {MAX_PROCESSES}"),
        (RunSize(1_000, 20, 0, 0, 20_000, 0), 10.0, "MB of memory; the machine has 10 MB free"),
    ],
)
def test_a_run_over_a_limit_is_rejected_with_a_message_of_one_line(
    size: RunSize, available_mb: float, reason: str
) -> None:
    with pytest.raises(ScaleError, match=reason) as rejected:
        check_run_size(size, available_mb)
    assert "\n" not in str(rejected.value)


def test_a_process_holds_up_to_a_thousand_hollow_planners() -> None:
    assert [hollow_processes(count) for count in (0, 1, 1_000, 1_001, 15_000)] == [0, 1, 1, 2, 15]
