"""What a role costs against each size: least-squares fits of measured points, and the result file that holds them."""

from __future__ import annotations

import math
from collections.abc import Sequence
from pathlib import Path
from typing import Literal

import msgspec
import numpy

VERSION = 1
MIN_SIZES = 4  # different sizes that a fit needs
POOR = 0.5  # a residual over which a fit is no slope
FLOOR = 1e-9  # a power law knows no zero


class ResultError(ValueError):
    """A result file that cannot be used; the text names the file and the place, in one line."""


class Usage(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One measured span of one process. Bytes are payload a second; `core` is the share of one processor.

    Control is the list and datagrams between planners; data is orders, reports and probes.
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
    """Payload bytes and messages a second of one channel, as the measured process receives and sends them."""

    bytes_in: float
    bytes_out: float
    messages_in: float
    messages_out: float


class Repeat(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One repeat at one size, with what the machine was doing beside it."""

    size: float
    usage: Usage
    span_seconds: float
    peak: Usage  # of each metric the highest second
    channels: dict[str, ChannelRates]  # what `usage` adds up
    load_average: float  # of the last minute, as the kernel tells it at the end of the span
    start_list_bytes: int = 0  # of the whole list, as it was first sent
    orders: int = 0  # messages that came to proxies in all, from the start on


class Fit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """`line`: intercept + slope x size. `power`: intercept x size ** slope. Residual: RMS of (measured/fitted - 1)."""

    shape: Literal["line", "power"]
    intercept: float
    slope: float
    residual: float
    largest: float  # size that went into the fit

    def at(self, size: float) -> float:
        """The fitted value; never under 0."""
        if self.shape == "power":
            return float(self.intercept * max(size, FLOOR) ** self.slope)
        return max(0.0, self.intercept + self.slope * size)

    def holds(self) -> bool:
        """Whether it says anything: not where the metric is mostly noise or nothing."""
        return self.residual <= POOR

    def factor(self, size: float) -> float:
        """How far beyond the largest fitted size this is; 1 within."""
        return max(1.0, size / self.largest)


class HeldOut(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A size that no fit has seen: what was predicted before it was measured, and what then came."""

    size: float
    predicted: dict[str, float]
    repeats: list[Repeat]
    error: dict[str, float]  # measured over predicted, less 1


class Sweep(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One size swept while all else stands."""

    role: str
    variable: str
    fixed: dict[str, float]
    repeats: list[Repeat]
    fits: dict[str, Fit]
    held_out: HeldOut | None = None


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where it was measured."""

    cores: int
    python: str
    system: str


class Choice(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One forwarder's choice from a table of so many lines, in microseconds: least and median of the repeats' means."""

    lines: int
    without: int  # servers that were tried already
    least_us: float
    median_us: float
    repeats: list[float]


class Result(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All that one call of `stackwheel scale slopes` has measured."""

    version: int
    arguments: dict[str, float]
    machine: Machine
    sweeps: list[Sweep]
    direct: dict[str, list[Repeat]]  # whole points that were measured as such, by name
    choices: list[Choice]

    def sweep(self, role: str, variable: str) -> Sweep:
        """The sweep of that name; ResultError if it is absent."""
        for found in self.sweeps:
            if (found.role, found.variable) == (role, variable):
                return found
        raise ResultError(f"no sweep of {role} against {variable}")


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The line or power law with the lower residual; ValueError under four different sizes."""
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(f"{len(set(sizes))} different sizes; a fit needs {MIN_SIZES}")
    candidates = [fit_line(sizes, values)]
    if min(sizes) > 0 and min(values) > 0:
        candidates.append(fit_power(sizes, values))
    return min(candidates, key=lambda one: one.residual)


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Least squares of intercept + slope x size, each point weighted by the inverse of its value.

    Sizes double, so without weights the largest alone would decide and the smallest be off by a multiple.
    """
    weights = 1.0 / numpy.maximum(numpy.abs(values), max(map(abs, values), default=1.0) * 1e-3 or 1.0)
    slope, intercept = numpy.polyfit(sizes, values, 1, w=weights)
    return with_residual(Fit("line", float(intercept), float(slope), 0.0, max(sizes)), sizes, values)


def fit_power(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Least squares in logarithms."""
    slope, logarithm = numpy.polyfit(numpy.log(sizes), numpy.log(values), 1)
    return with_residual(Fit("power", math.exp(logarithm), float(slope), 0.0, max(sizes)), sizes, values)


def with_residual(found: Fit, sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """A fit with the root mean square of measured over fitted, less 1."""
    off = [deviation(value, found.at(size)) for size, value in zip(sizes, values, strict=True)]
    return msgspec.structs.replace(found, residual=math.sqrt(sum(one * one for one in off) / len(off)))


def deviation(measured: float, fitted: float) -> float:
    """Measured over fitted, less 1; 0 where both are nothing."""
    if abs(fitted) < FLOOR:
        return 0.0 if abs(measured) < FLOOR else 1.0
    return measured / fitted - 1.0


def fit_all(repeats: Sequence[Repeat]) -> dict[str, Fit]:
    """A fit of each metric."""
    sizes = [repeat.size for repeat in repeats]
    return {metric: fit(sizes, [getattr(repeat.usage, metric) for repeat in repeats]) for metric in METRICS}


def mean_usage(repeats: Sequence[Repeat]) -> Usage:
    """The mean of each metric."""
    return mean([one.usage for one in repeats])


def mean(usages: Sequence[Usage]) -> Usage:
    """The mean of each metric."""
    return Usage(*(sum(getattr(one, metric) for one in usages) / len(usages) for metric in METRICS))


def highest(usages: Sequence[Usage]) -> Usage:
    """The highest value of each metric."""
    return Usage(*(max(getattr(one, metric) for one in usages) for metric in METRICS))


def predict(fits: dict[str, Fit], size: float) -> dict[str, float]:
    """What the fits say of a size."""
    return {metric: found.at(size) for metric, found in fits.items()}


def held_out(predicted: dict[str, float], repeats: list[Repeat]) -> HeldOut:
    """A prediction beside what was measured after it."""
    measured = mean_usage(repeats)
    errors = {metric: deviation(getattr(measured, metric), value) for metric, value in predicted.items()}
    return HeldOut(repeats[0].size, predicted, repeats, errors)


def write_result(path: Path, result: Result) -> None:
    """Write the file whole or not at all."""
    data = msgspec.json.format(msgspec.json.encode(result, order="deterministic"), indent=1)
    beside = path.with_name(path.name + ".part")
    beside.write_bytes(data + b"\n")
    beside.replace(path)


def merged(former: Result, later: Result) -> Result:
    """A result with those sweeps and points replaced that were measured again; the rest stays as it was."""
    measured_again = {(sweep.role, sweep.variable): sweep for sweep in later.sweeps}
    return msgspec.structs.replace(
        later,
        sweeps=[measured_again.pop((sweep.role, sweep.variable), sweep) for sweep in former.sweeps]
        + list(measured_again.values()),
        direct={**former.direct, **later.direct},
    )


class _Versioned(msgspec.Struct):
    version: int


def read_result(path: Path) -> Result:
    """Read a result file; ResultError if it is absent, cut, of another version, or not as written here."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ResultError(f"{path}: {error.strerror or error}") from None
    try:
        version = msgspec.json.decode(data, type=_Versioned).version
        if version != VERSION:
            raise ResultError(f"{path}: version {version}; this program reads version {VERSION}")
        return msgspec.json.decode(data, type=Result)
    except msgspec.ValidationError as error:
        raise ResultError(f"{path}: {error}") from None
    except msgspec.DecodeError as error:
        raise ResultError(f"{path}: cut or no JSON: {error}") from None
