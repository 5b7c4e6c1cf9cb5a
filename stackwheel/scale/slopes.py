"""What a role costs against each size: least-squares fits of measured points, and the file of results."""

from __future__ import annotations

import math
from collections.abc import Sequence
from pathlib import Path
from typing import Literal

import msgspec
import numpy

from stackwheel.errors import InvalidInputError

VERSION = 1  # of the result file's format
MIN_SIZES = 4  # different sizes that a fit needs
MAX_RESIDUAL = 0.5  # a fit with a larger one is not taken for a slope
NEAR_ZERO = 1e-9  # stands for 0 in a power law, and separates nothing from something in a deviation
MIN_RELATIVE_VALUE = 1e-3  # of the largest value: smaller ones get no larger weight in a fit


class ResultError(InvalidInputError):
    """A result file can't be used, or lacks a result."""


class Usage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one process took in a measured span; bytes are payload, all rates are per second.

    Control is the list and datagrams between planners; data is updates to proxies, reports and health checks.
    """

    core: float  # share of one processor
    rss_mb: float  # MiB
    control_bytes_in: float
    control_bytes_out: float
    control_messages_in: float
    control_messages_out: float
    data_bytes_in: float
    data_bytes_out: float
    data_messages_in: float
    data_messages_out: float


METRICS: tuple[str, ...] = Usage.__struct_fields__


class ChannelRates(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Payload bytes and messages per second of one channel, as the measured process receives and sends them."""

    bytes_in: float
    bytes_out: float
    messages_in: float
    messages_out: float


class Repeat(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One repeat at one size."""

    size: float
    usage: Usage
    span_seconds: float
    peak: Usage  # the highest second of each metric
    channels: dict[str, ChannelRates]  # by channel; `usage` is their sum
    load_average: float  # of the machine in the last minute, at the end of the span
    start_list_bytes: int = 0  # of the full list, as sent at the start
    updates: int = msgspec.field(default=0, name="orders")  # that proxies received since the start


class Fit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A line, intercept + slope x size, or a power law, intercept x size ** slope."""

    shape: Literal["line", "power"]
    intercept: float
    slope: float
    residual: float  # root mean square of (measured / fitted - 1)
    largest: float  # size that the fit was made from

    def at(self, size: float) -> float:
        """The fitted value at a size; never under 0."""
        if self.shape == "power":
            return float(self.intercept * max(size, NEAR_ZERO) ** self.slope)
        return max(0.0, self.intercept + self.slope * size)

    def is_slope(self) -> bool:
        """Whether it is a slope: not if the metric is mostly noise or nothing."""
        return self.residual <= MAX_RESIDUAL

    def factor(self, size: float) -> float:
        """By what factor a size exceeds the largest fitted one; 1 if it does not."""
        return max(1.0, size / self.largest)


class HeldOut(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A size that the fits were not made from: predicted first, then measured."""

    size: float
    predicted: dict[str, float]
    repeats: list[Repeat]
    error: dict[str, float]  # measured over predicted, less 1


class Sweep(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The measurements of one variable at several sizes, with all other sizes fixed."""

    role: str
    variable: str
    fixed: dict[str, float]
    repeats: list[Repeat]
    fits: dict[str, Fit]
    held_out: HeldOut | None = None


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The machine that it was measured on."""

    cores: int
    python: str
    system: str


class Choice(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How long a forwarder takes to choose a server, in microseconds: the lowest and the median mean of the repeats."""

    lines: int  # of the table
    attempted: int = msgspec.field(name="without")  # servers that earlier attempts were sent to
    min_us: float = msgspec.field(name="least_us")
    median_us: float
    repeats: list[float]  # means


class Result(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that one call of `stackwheel scale slopes` has measured."""

    version: int
    arguments: dict[str, float]
    machine: Machine
    sweeps: list[Sweep]
    direct: dict[str, list[Repeat]]  # single points, by name
    choices: list[Choice]

    def sweep(self, role: str, variable: str) -> Sweep:
        """The sweep of a variable at a role; ResultError if there is none."""
        for sweep in self.sweeps:
            if (sweep.role, sweep.variable) == (role, variable):
                return sweep
        raise ResultError("", f"no sweep of {role} against {variable}")


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The line or power law with the lower residual; ValueError for fewer than `MIN_SIZES` different sizes."""
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(f"{len(set(sizes))} different sizes; a fit needs {MIN_SIZES}")
    candidates = [fit_line(sizes, values)]
    if min(sizes) > 0 and min(values) > 0:
        candidates.append(fit_power(sizes, values))
    return min(candidates, key=lambda candidate: candidate.residual)


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Least squares of intercept + slope x size, each point weighted by the inverse of its value.

    Sizes double, so without weights the largest one alone would decide, and the fit at the smallest one be far off.
    """
    smallest = max(map(abs, values), default=1.0) * MIN_RELATIVE_VALUE or 1.0
    weights = 1.0 / numpy.maximum(numpy.abs(values), smallest)
    slope, intercept = numpy.polyfit(sizes, values, 1, w=weights)
    return with_residual(Fit("line", float(intercept), float(slope), 0.0, max(sizes)), sizes, values)


def fit_power(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Least squares of the logarithms."""
    slope, logarithm = numpy.polyfit(numpy.log(sizes), numpy.log(values), 1)
    return with_residual(Fit("power", math.exp(logarithm), float(slope), 0.0, max(sizes)), sizes, values)


def with_residual(fitted: Fit, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The same fit with its residual."""
    deviations = [deviation(value, fitted.at(size)) for size, value in zip(sizes, values, strict=True)]
    mean_square = sum(one * one for one in deviations) / len(deviations)
    return msgspec.structs.replace(fitted, residual=math.sqrt(mean_square))


def deviation(measured: float, fitted: float) -> float:
    """Measured over fitted, less 1; 0 if both are nothing."""
    if abs(fitted) < NEAR_ZERO:
        return 0.0 if abs(measured) < NEAR_ZERO else 1.0
    return measured / fitted - 1.0


def fit_all(repeats: Sequence[Repeat]) -> dict[str, Fit]:
    """A fit of each metric."""
    sizes = [repeat.size for repeat in repeats]
    return {metric: fit(sizes, [getattr(repeat.usage, metric) for repeat in repeats]) for metric in METRICS}


def mean_usage(repeats: Sequence[Repeat]) -> Usage:
    """The mean of each metric over repeats."""
    return mean([repeat.usage for repeat in repeats])


def mean(usages: Sequence[Usage]) -> Usage:
    """The mean of each metric."""
    return Usage(*(sum(getattr(usage, metric) for usage in usages) / len(usages) for metric in METRICS))


def highest(usages: Sequence[Usage]) -> Usage:
    """The highest value of each metric."""
    return Usage(*(max(getattr(usage, metric) for usage in usages) for metric in METRICS))


def predict(fits: dict[str, Fit], size: float) -> dict[str, float]:
    """The fitted value of each metric at a size."""
    return {metric: metric_fit.at(size) for metric, metric_fit in fits.items()}


def held_out(predicted: dict[str, float], repeats: list[Repeat]) -> HeldOut:
    """A prediction and the repeats that were measured after it, with the error of each metric."""
    measured = mean_usage(repeats)
    errors = {metric: deviation(getattr(measured, metric), value) for metric, value in predicted.items()}
    return HeldOut(repeats[0].size, predicted, repeats, errors)


def write_result(path: Path, result: Result) -> None:
    """Write a result file atomically: completely or not at all."""
    data = msgspec.json.format(msgspec.json.encode(result, order="deterministic"), indent=1)
    temporary = path.with_name(path.name + ".part")
    temporary.write_bytes(data + b"\n")
    temporary.replace(path)


def merge_results(former: Result, later: Result) -> Result:
    """The later result, with those sweeps and points of the former one that were not measured again."""
    measured_again = {(sweep.role, sweep.variable): sweep for sweep in later.sweeps}
    sweeps = [measured_again.pop((sweep.role, sweep.variable), sweep) for sweep in former.sweeps]
    new_sweeps = list(measured_again.values())
    return msgspec.structs.replace(later, sweeps=sweeps + new_sweeps, direct={**former.direct, **later.direct})


class _Versioned(msgspec.Struct):
    version: int


def read_result(path: Path) -> Result:
    """Read a result file; ResultError if it is absent, truncated, of another version, or has another format."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ResultError(str(path), error.strerror or str(error)) from error
    try:
        version = msgspec.json.decode(data, type=_Versioned).version
        if version != VERSION:
            raise ResultError(str(path), f"version {version}; this program reads version {VERSION}")
        return msgspec.json.decode(data, type=Result)
    except msgspec.ValidationError as error:
        raise ResultError(str(path), str(error)) from error
    except msgspec.DecodeError as error:
        raise ResultError(str(path), f"cut or no JSON: {error}") from error
