"""Least-squares fits of the measured cost of a role against each size, and the file of results."""

from __future__ import annotations

import math
from collections.abc import Sequence
from pathlib import Path
from typing import Literal

import msgspec
import numpy

from stackwheel.errors import InvalidInputError

VERSION = 1  # format of the result file
MIN_DISTINCT_SIZES = 4  # needed for a fit
MAX_SLOPE_RESIDUAL = 0.5  # a fit with a larger residual does not count as a slope
NEAR_ZERO = 1e-9  # smallest size in a power law; fitted values below it count as 0
MIN_RELATIVE_VALUE = 1e-3  # relative to the largest value; limits the weights of smaller values in a fit


class ResultError(InvalidInputError):
    """A result file is unreadable or invalid, or does not contain a requested result."""


class Usage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The resource usage of one process over a measured span; bytes are payload, all rates are per second.

    Control traffic is the endpoint list and gossip; data traffic is updates to proxies, load reports and health
    checks.

    Attributes:
        core: CPU time as a share of one core.
        rss_mb: resident memory in MiB.
        control_bytes_in: received control traffic.
        control_bytes_out: sent control traffic.
        control_messages_in: received control messages.
        control_messages_out: sent control messages.
        data_bytes_in: received data traffic.
        data_bytes_out: sent data traffic.
        data_messages_in: received data messages.
        data_messages_out: sent data messages.
    """

    core: float
    rss_mb: float
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
    """Payload bytes and messages per second that the measured process receives and sends on one channel."""

    bytes_in: float
    bytes_out: float
    messages_in: float
    messages_out: float


class Repeat(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One repeat of the measurement at one size.

    Attributes:
        size: of the swept variable.
        usage: means over the span.
        span_seconds: the measured time.
        peak: the highest value of each metric between two readings.
        channels: traffic by channel; the traffic of `usage` is their sum.
        load_average: of the machine over the last minute, at the end of the span.
        start_list_bytes: bytes of the endpoint list that the process received before the span.
        updates: number of updates that proxies received since the process started.
    """

    size: float
    usage: Usage
    span_seconds: float
    peak: Usage
    channels: dict[str, ChannelRates]
    load_average: float
    start_list_bytes: int = 0
    updates: int = msgspec.field(default=0, name="orders")


class Fit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A line, intercept + slope x size, or a power law, intercept x size ** slope.

    Attributes:
        shape: which of the two laws it is.
        intercept: of the line, or factor of the power law.
        slope: of the line, or exponent of the power law.
        residual: root mean square of (measured / fitted - 1).
        largest: the largest size that the fit was made from.
    """

    shape: Literal["line", "power"]
    intercept: float
    slope: float
    residual: float
    largest: float

    def value_at(self, size: float) -> float:
        """Return the fitted value at a size, at least 0."""
        if self.shape == "power":
            return float(self.intercept * max(size, NEAR_ZERO) ** self.slope)
        return max(0.0, self.intercept + self.slope * size)

    def is_slope(self) -> bool:
        """Return whether the residual is small enough for a slope; it is not if the metric is mostly noise."""
        return self.residual <= MAX_SLOPE_RESIDUAL

    def extrapolation_factor(self, size: float) -> float:
        """Return the ratio of a size to the largest fitted one, at least 1."""
        return max(1.0, size / self.largest)


class HeldOut(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A size that the fits were not made from, with the prediction and the measurement made after it.

    Attributes:
        size: of the swept variable.
        predicted: the predicted value of each metric.
        repeats: the measurement.
        error: measured / predicted - 1 for each metric.
    """

    size: float
    predicted: dict[str, float]
    repeats: list[Repeat]
    error: dict[str, float]


class Sweep(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The measurements of one variable at several sizes, with all other sizes fixed."""

    role: str
    variable: str
    fixed: dict[str, float]
    repeats: list[Repeat]
    fits: dict[str, Fit]
    held_out: HeldOut | None = None


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The machine on which the results were measured."""

    cores: int
    python: str
    system: str


class Choice(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The time that a forwarder takes to choose a server.

    Attributes:
        lines: of the weight table.
        attempted: number of servers to which earlier attempts were sent.
        min_us: the smallest of the repeats in microseconds.
        median_us: the median of the repeats in microseconds.
        repeats: the mean time of a choice in each repeat, in microseconds.
    """

    lines: int
    attempted: int = msgspec.field(name="without")
    min_us: float = msgspec.field(name="least_us")
    median_us: float
    repeats: list[float]


class Result(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All measurements of one run of `stackwheel scale slopes`."""

    version: int
    arguments: dict[str, float]
    machine: Machine
    sweeps: list[Sweep]
    direct: dict[str, list[Repeat]]  # repeats of the single points by name
    choices: list[Choice]

    def sweep(self, role: str, variable: str) -> Sweep:
        """Return the sweep of a variable for a role.

        Raises:
            ResultError: the result has no such sweep.
        """
        for sweep in self.sweeps:
            if (sweep.role, sweep.variable) == (role, variable):
                return sweep
        raise ResultError("", f"no sweep of {role} against {variable}")


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return the line or the power law, whichever has the smaller residual.

    Raises:
        ValueError: there are fewer than `MIN_DISTINCT_SIZES` distinct sizes.
    """
    if len(set(sizes)) < MIN_DISTINCT_SIZES:
        raise ValueError(f"{len(set(sizes))} distinct sizes; a fit needs at least {MIN_DISTINCT_SIZES}")
    candidates = [fit_line(sizes, values)]
    if min(sizes) > 0 and min(values) > 0:
        candidates.append(fit_power(sizes, values))
    return min(candidates, key=lambda candidate: candidate.residual)


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line by least squares, each point weighted by the inverse of its value.

    The sizes of a sweep double, so an unweighted fit would depend almost only on the largest one.
    """
    smallest = max(map(abs, values), default=1.0) * MIN_RELATIVE_VALUE or 1.0
    weights = 1.0 / numpy.maximum(numpy.abs(values), smallest)
    slope, intercept = numpy.polyfit(sizes, values, 1, w=weights)
    return with_residual(Fit("line", float(intercept), float(slope), 0.0, max(sizes)), sizes, values)


def fit_power(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a power law by least squares of the logarithms."""
    slope, logarithm = numpy.polyfit(numpy.log(sizes), numpy.log(values), 1)
    return with_residual(Fit("power", math.exp(logarithm), float(slope), 0.0, max(sizes)), sizes, values)


def with_residual(fitted: Fit, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Return a fit with its residual set from the values it was made from."""
    deviations = [relative_error(value, fitted.value_at(size)) for size, value in zip(sizes, values, strict=True)]
    mean_square = sum(deviation * deviation for deviation in deviations) / len(deviations)
    return msgspec.structs.replace(fitted, residual=math.sqrt(mean_square))


def relative_error(measured: float, fitted: float) -> float:
    """Return measured / fitted - 1; if the fitted value is near 0, return 0 if the measured one is too, otherwise 1."""
    if abs(fitted) < NEAR_ZERO:
        return 0.0 if abs(measured) < NEAR_ZERO else 1.0
    return measured / fitted - 1.0


def fit_metrics(repeats: Sequence[Repeat]) -> dict[str, Fit]:
    """Fit each metric against the size."""
    sizes = [repeat.size for repeat in repeats]
    return {metric: fit(sizes, [getattr(repeat.usage, metric) for repeat in repeats]) for metric in METRICS}


def mean_usage(repeats: Sequence[Repeat]) -> Usage:
    """Return the mean of each metric over repeats."""
    return mean_of_usages([repeat.usage for repeat in repeats])


def mean_of_usages(usages: Sequence[Usage]) -> Usage:
    """Return the mean of each metric."""
    return Usage(*(sum(getattr(usage, metric) for usage in usages) / len(usages) for metric in METRICS))


def max_of_usages(usages: Sequence[Usage]) -> Usage:
    """Return the highest value of each metric."""
    return Usage(*(max(getattr(usage, metric) for usage in usages) for metric in METRICS))


def predict(fits: dict[str, Fit], size: float) -> dict[str, float]:
    """Return the fitted value of each metric at a size."""
    return {metric: metric_fit.value_at(size) for metric, metric_fit in fits.items()}


def compare_prediction(predicted: dict[str, float], repeats: list[Repeat]) -> HeldOut:
    """Return a prediction together with the repeats measured after it and the error of each metric."""
    measured = mean_usage(repeats)
    errors = {metric: relative_error(getattr(measured, metric), value) for metric, value in predicted.items()}
    return HeldOut(repeats[0].size, predicted, repeats, errors)


def write_result(path: Path, result: Result) -> None:
    """Write a result file atomically by renaming a temporary file."""
    data = msgspec.json.format(msgspec.json.encode(result, order="deterministic"), indent=1)
    temporary = path.with_name(path.name + ".part")
    temporary.write_bytes(data + b"\n")
    temporary.replace(path)


def merge_results(earlier: Result, later: Result) -> Result:
    """Return the later result with the sweeps and points of the earlier one that were not measured again."""
    measured_again = {(sweep.role, sweep.variable): sweep for sweep in later.sweeps}
    sweeps = [measured_again.pop((sweep.role, sweep.variable), sweep) for sweep in earlier.sweeps]
    new_sweeps = list(measured_again.values())
    return msgspec.structs.replace(later, sweeps=sweeps + new_sweeps, direct={**earlier.direct, **later.direct})


class _VersionHeader(msgspec.Struct):
    version: int


def read_result(path: Path) -> Result:
    """Read a result file.

    Raises:
        ResultError: the file is absent, truncated, of another version, or has another format.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ResultError(str(path), error.strerror or str(error)) from error
    try:
        version = msgspec.json.decode(data, type=_VersionHeader).version
        if version != VERSION:
            raise ResultError(str(path), f"version {version}; this program reads version {VERSION}")
        return msgspec.json.decode(data, type=Result)
    except msgspec.ValidationError as error:
        raise ResultError(str(path), str(error)) from error
    except msgspec.DecodeError as error:
        raise ResultError(str(path), f"truncated or not JSON: {error}") from error
