"""Tests of fits to known laws, of predictions, and of reading and writing result files."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from stackwheel.scale.slopes import (
    METRICS,
    VERSION,
    Machine,
    Repeat,
    Result,
    ResultError,
    Sweep,
    Usage,
    compare_prediction,
    fit,
    fit_metrics,
    merge_results,
    predict,
    read_result,
    write_result,
)

SIZES = [10.0, 20.0, 40.0, 80.0]


def usage(value: float) -> Usage:
    return Usage(*(value for _ in METRICS))


def repeat(size: float, value: float) -> Repeat:
    return Repeat(size, usage(value), 6.0, usage(value), {}, 1.0)


def result() -> Result:
    return Result(VERSION, {"seed": 1.0}, Machine(8, "3.11", "Linux"), [], {"mean cell": [repeat(1.0, 2.0)]}, [])


def test_values_on_a_line_are_fitted_by_that_line() -> None:
    fitted = fit(SIZES, [3.0 + 0.5 * size for size in SIZES])
    assert fitted.shape == "line"
    assert fitted.residual < 1e-9
    assert (fitted.intercept, fitted.slope) == pytest.approx((3.0, 0.5))
    assert fitted.value_at(160.0) == pytest.approx(83.0)


def test_values_of_a_power_law_are_fitted_by_that_power_law() -> None:
    fitted = fit(SIZES, [0.2 * size**1.7 for size in SIZES])
    assert fitted.shape == "power"
    assert fitted.residual < 1e-9
    assert (fitted.intercept, fitted.slope) == pytest.approx((0.2, 1.7))
    assert fitted.value_at(160.0) == pytest.approx(0.2 * 160**1.7)


def test_the_residual_is_the_relative_deviation_from_the_fit() -> None:
    fitted = fit(SIZES * 2, [value * factor for factor in (1.1, 0.9) for value in (10.0, 20.0, 40.0, 80.0)])
    assert fitted.residual == pytest.approx(0.1, abs=0.01)


def test_values_of_zero_at_all_sizes_are_predicted_as_zero() -> None:
    fitted = fit(SIZES, [0.0] * 4)
    assert fitted.value_at(160.0) == 0.0
    assert fitted.residual == 0.0


def test_a_falling_line_never_predicts_a_negative_value() -> None:
    assert fit(SIZES, [8.0, 7.0, 5.0, 1.0]).value_at(1_000.0) == 0.0


def test_a_fit_of_three_distinct_sizes_raises_an_error() -> None:
    with pytest.raises(ValueError, match="3 distinct sizes"):
        fit([1.0, 2.0, 3.0, 3.0], [1.0, 2.0, 3.0, 3.0])


def test_the_extrapolation_factor_is_the_ratio_to_the_largest_fitted_size_and_at_least_one() -> None:
    fitted = fit(SIZES, SIZES)
    assert fitted.extrapolation_factor(160.0) == 2.0
    assert fitted.extrapolation_factor(40.0) == 1.0


def test_the_error_of_a_prediction_is_relative_to_the_predicted_value() -> None:
    predicted = predict(fit_metrics([repeat(size, 2.0 * size) for size in SIZES]), 160.0)
    prediction = compare_prediction(predicted, [repeat(160.0, 380.0), repeat(160.0, 388.0)])
    assert prediction.predicted["core"] == pytest.approx(320.0)
    assert prediction.error["core"] == pytest.approx(0.2)


def test_a_written_result_is_read_unchanged(tmp_path: Path) -> None:
    path = tmp_path / "slopes.json"
    write_result(path, result())
    assert read_result(path) == result()
    assert [file.name for file in tmp_path.iterdir()] == ["slopes.json"]


def test_the_error_about_an_absent_sweep_names_it() -> None:
    with pytest.raises(ResultError, match="no sweep of planner against zones"):
        result().sweep("planner", "zones")


def test_a_result_file_that_is_absent_or_truncated_or_has_another_version_or_format_is_rejected(tmp_path: Path) -> None:
    path = tmp_path / "slopes.json"
    with pytest.raises(ResultError, match=r"slopes\.json: No such file"):
        read_result(path)
    write_result(path, result())
    complete = path.read_bytes()
    path.write_bytes(complete[: len(complete) // 2])
    with pytest.raises(ResultError, match=r"slopes\.json: truncated or not JSON"):
        read_result(path)
    path.write_bytes(msgspec.json.encode({"version": VERSION + 1}))
    with pytest.raises(ResultError, match=f"version {VERSION + 1}; this program reads version {VERSION}"):
        read_result(path)
    path.write_bytes(msgspec.json.encode({"version": VERSION}))
    with pytest.raises(ResultError, match="missing required field"):
        read_result(path)
    path.write_bytes(b"[]")
    with pytest.raises(ResultError, match="Expected `object`"):
        read_result(path)


def test_a_fit_of_noise_does_not_count_as_a_slope() -> None:
    assert fit(SIZES, SIZES).is_slope()
    assert not fit(SIZES * 2, [1.0, 50.0, 2.0, 90.0, 60.0, 1.0, 70.0, 2.0]).is_slope()


def test_merging_results_replaces_only_sweeps_and_points_that_were_measured_again() -> None:
    def sweep(role: str, variable: str, value: float) -> Sweep:
        return Sweep(role, variable, {}, [repeat(1.0, value)], {})

    former = msgspec.structs.replace(
        result(), sweeps=[sweep("planner", "servers", 1.0), sweep("relay", "servers", 1.0)]
    )
    later = msgspec.structs.replace(
        result(), sweeps=[sweep("relay", "servers", 2.0), sweep("relay", "changes", 3.0)], direct={}
    )
    both = merge_results(former, later)
    assert [(one.role, one.variable, one.repeats[0].usage.core) for one in both.sweeps] == [
        ("planner", "servers", 1.0), ("relay", "servers", 2.0), ("relay", "changes", 3.0),
    ]  # fmt: skip
    assert both.direct == former.direct
