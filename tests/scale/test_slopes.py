"""Fits against known laws, predictions, and the result file with what can be wrong with it."""

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
    fit,
    fit_all,
    held_out,
    merged,
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


def test_a_line_is_found_with_its_intercept() -> None:
    found = fit(SIZES, [3.0 + 0.5 * size for size in SIZES])
    assert found.shape == "line"
    assert found.residual < 1e-9
    assert (found.intercept, found.slope) == pytest.approx((3.0, 0.5))
    assert found.at(160.0) == pytest.approx(83.0)


def test_a_power_is_found_with_its_exponent() -> None:
    found = fit(SIZES, [0.2 * size**1.7 for size in SIZES])
    assert found.shape == "power"
    assert found.residual < 1e-9
    assert (found.intercept, found.slope) == pytest.approx((0.2, 1.7))
    assert found.at(160.0) == pytest.approx(0.2 * 160**1.7)


def test_the_residual_is_that_of_measured_over_fitted() -> None:
    found = fit(SIZES * 2, [value * off for off in (1.1, 0.9) for value in (10.0, 20.0, 40.0, 80.0)])
    assert found.residual == pytest.approx(0.1, abs=0.01)


def test_what_is_nothing_everywhere_is_predicted_as_nothing() -> None:
    found = fit(SIZES, [0.0] * 4)
    assert found.at(160.0) == 0.0
    assert found.residual == 0.0


def test_a_falling_line_never_predicts_less_than_nothing() -> None:
    assert fit(SIZES, [8.0, 7.0, 5.0, 1.0]).at(1_000.0) == 0.0


def test_three_sizes_are_too_few() -> None:
    with pytest.raises(ValueError, match="3 different sizes"):
        fit([1.0, 2.0, 3.0, 3.0], [1.0, 2.0, 3.0, 3.0])


def test_how_far_a_size_lies_beyond_the_fitted() -> None:
    found = fit(SIZES, SIZES)
    assert found.factor(160.0) == 2.0
    assert found.factor(40.0) == 1.0


def test_a_held_out_size_is_told_with_its_error() -> None:
    predicted = predict(fit_all([repeat(size, 2.0 * size) for size in SIZES]), 160.0)
    found = held_out(predicted, [repeat(160.0, 380.0), repeat(160.0, 388.0)])
    assert found.predicted["core"] == pytest.approx(320.0)
    assert found.error["core"] == pytest.approx(0.2)


def test_a_result_comes_back_as_written(tmp_path: Path) -> None:
    path = tmp_path / "slopes.json"
    write_result(path, result())
    assert read_result(path) == result()
    assert [one.name for one in tmp_path.iterdir()] == ["slopes.json"]


def test_a_sweep_that_is_not_there_is_named() -> None:
    with pytest.raises(ResultError, match="no sweep of planner against zones"):
        result().sweep("planner", "zones")


def test_a_file_that_is_cut_or_of_another_version_or_absent_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "slopes.json"
    with pytest.raises(ResultError, match=r"slopes\.json: No such file"):
        read_result(path)
    write_result(path, result())
    whole = path.read_bytes()
    path.write_bytes(whole[: len(whole) // 2])
    with pytest.raises(ResultError, match=r"slopes\.json: cut or no JSON"):
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


def test_noise_is_no_slope() -> None:
    assert fit(SIZES, SIZES).is_slope()
    assert not fit(SIZES * 2, [1.0, 50.0, 2.0, 90.0, 60.0, 1.0, 70.0, 2.0]).is_slope()


def test_what_is_measured_again_replaces_the_former_and_nothing_else() -> None:
    def sweep(role: str, variable: str, value: float) -> Sweep:
        return Sweep(role, variable, {}, [repeat(1.0, value)], {})

    former = msgspec.structs.replace(
        result(), sweeps=[sweep("planner", "servers", 1.0), sweep("relay", "servers", 1.0)]
    )
    later = msgspec.structs.replace(
        result(), sweeps=[sweep("relay", "servers", 2.0), sweep("relay", "changes", 3.0)], direct={}
    )
    found = merged(former, later)
    assert [(one.role, one.variable, one.repeats[0].usage.core) for one in found.sweeps] == [
        ("planner", "servers", 1.0), ("relay", "servers", 2.0), ("relay", "changes", 3.0),
    ]  # fmt: skip
    assert found.direct == former.direct
