"""A checker that can't fail is no checker: each deliberate defect shows on its seed, which is sound without it."""

from __future__ import annotations

import pytest

from stackwheel.trials.defects import ALL_DEFECTS, FILE_DEFECTS, Defect, found_by, planted
from stackwheel.trials.runner import run_seed

SEEDS: dict[str, int] = {
}


@pytest.mark.parametrize("defect", ALL_DEFECTS, ids=lambda defect: defect.name)
def test_each_defect_is_found(defect: Defect) -> None:
    seed = SEEDS[defect.name]
    with planted(defect):
        shown = found_by(defect, run_seed(seed, defect in FILE_DEFECTS))
    assert shown, f"{defect.what}: not found on seed {seed}"
    assert not shown <= {verdict.rule for verdict in run_seed(seed, defect in FILE_DEFECTS).verdicts}


def test_what_was_planted_is_taken_out_again() -> None:
    before = run_seed(1).digest
    for defect in ALL_DEFECTS:
        with planted(defect):
            pass
    assert run_seed(1).digest == before
