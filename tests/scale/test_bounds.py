"""What a run may take, decided before it starts."""

from __future__ import annotations

import pytest

from stackwheel.scale.bounds import MAX_MEMORY_MB, MAX_PROCESSES, ScaleError, Size, check, estimate, hollow_processes

PLENTY = 1e9


def test_a_run_that_fits_is_estimated() -> None:
    found = check(Size(1_000, 20, 1, 0, 20_000, 1_000), PLENTY)
    assert 0 < found.memory_mb < 1_000
    assert found.processes == 4


def test_more_of_anything_takes_more() -> None:
    base = Size(1_000, 20, 1, 2, 20_000, 1_000)
    for more in (
        Size(2_000, 20, 1, 2, 20_000, 1_000),
        Size(1_000, 40, 1, 2, 20_000, 1_000),
        Size(1_000, 20, 2, 2, 20_000, 1_000),
        Size(1_000, 20, 1, 3, 20_000, 1_000),
        Size(1_000, 20, 1, 2, 40_000, 1_000),
        Size(1_000, 20, 1, 2, 20_000, 2_000),
    ):
        assert estimate(more).memory_mb > estimate(base).memory_mb


@pytest.mark.parametrize(
    ("size", "free", "why"),
    [
        (Size(48_000, 15_000, 0, 0, 15_000 * 48_000, 0), PLENTY, f"{MAX_MEMORY_MB} MB are the most"),
        (Size(1_000, 0, 300, 0, 0, 3_000), PLENTY, f"{MAX_PROCESSES} are the most"),
        (Size(1_000, 20, 0, 0, 20_000, 0), 10.0, "the machine has 10 MB free"),
    ],
)
def test_what_can_not_be_held_is_refused_in_one_line(size: Size, free: float, why: str) -> None:
    with pytest.raises(ScaleError, match=why) as found:
        check(size, free)
    assert "\n" not in str(found.value)


def test_processes_hold_a_thousand_planners() -> None:
    assert [hollow_processes(count) for count in (0, 1, 1_000, 1_001, 15_000)] == [0, 1, 1, 2, 15]
