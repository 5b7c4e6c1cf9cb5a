"""Measurement of the CPU time of a virtual second and of the share of the rules' checks."""

from __future__ import annotations

import inspect

import pytest

from stackwheel.rules.checker import Checker
from stackwheel.trials import measure
from stackwheel.trials.measure import CHECKER_METHODS, SIZES

SPAN_S = 1.0


@pytest.mark.parametrize("name", CHECKER_METHODS)
def test_timed_methods_exist_in_checker(name: str) -> None:
    assert inspect.isfunction(inspect.getattr_static(Checker, name, None))


def test_measurement_of_smallest_size_runs_and_times_the_checks(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(measure, "SIZES", SIZES[:1])
    (result,) = measure.measure(SPAN_S)
    assert (result.planners, result.proxies, result.servers) == SIZES[0]
    assert result.requests_per_second > 0.0
    assert 0.0 < result.checks_share < 1.0
    assert result.verdicts == 0
