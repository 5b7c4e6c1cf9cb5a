"""Reads the operators' settings into typed settings for the policy and the names that adapters need.

The simulator passes settings as lines of `path=value` and the service passes nested JSON. Both are converted to pairs
of path and value and read by the same code. Only this module contains the setting paths, such as `family_info.cycle`
and `services.0.worth`. Unknown paths are ignored, absent ones have defaults, and an invalid value is reported as an
error with its path.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import Final, NamedTuple, TypeVar

from stackwheel.errors import InvalidInputError
from stackwheel.interface import RequestClass, Retry, Settings

ChoiceT = TypeVar("ChoiceT", bound=str)


class SettingsError(InvalidInputError):
    """The settings are invalid; `location` is the path of the setting or the line number."""


LOAD_COLUMN_ALIASES = {
    "inflight": "outstanding",
    "queue": "backlog",
    "util": "utilization",
    "latency_ms": "recent_ms",
    "qps": "throughput",
    "eps": "errors_per_s",
}
"""Canonical names of load columns, by alias."""

OPTIONAL_PATHS = ("obligations.only_draining_binds",)
"""Paths whose absence is not reported, because they are set only if they are true."""

MAX_REQUEST_CLASSES: Final = 32

MAX_QUOTED_CHARACTERS: Final = 40
"""Maximum number of characters of an invalid value or line that an error message quotes."""


@dataclass(frozen=True, slots=True)
class ConfiguredNames:
    """Names to which the policy refers by index, and settings that only the adapters use.

    Attributes:
        classes: names of the request classes.
        zones: names of the zones.
        kinds: names of the machine kinds.
        columns: canonical names of the load columns.
        batch_delay: time for which the planner actor collects messages before it processes them as a batch, ms.
        health_check_returns_load: whether the response to a health check contains load figures.
    """

    classes: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    columns: tuple[str, ...] = ()
    batch_delay: float = 2.0
    health_check_returns_load: bool = False


class LoadedSettings(NamedTuple):
    """The result of reading nested settings.

    Attributes:
        settings: settings of the policy.
        names: names and settings of the adapters.
        absent_paths: paths that were not set and whose defaults are used, sorted; they help to find misspelt paths.
    """

    settings: Settings
    names: ConfiguredNames
    absent_paths: tuple[str, ...]


def parse_settings(data: bytes) -> Settings:
    """Read settings from lines of `path=value`; raises SettingsError if they are invalid."""
    return build_settings(SettingsReader(parse_pairs(data)))


def load_settings(nested: Mapping[str, object]) -> LoadedSettings:
    """Read settings from nested JSON objects; raises SettingsError if they are invalid."""
    reader = SettingsReader(dict(flatten(nested)))
    settings = build_settings(reader)
    names = build_names(reader, settings)
    return LoadedSettings(settings, names, tuple(sorted(set(reader.absent_paths))))


def parse_pairs(data: bytes) -> dict[str, str]:
    """Split lines of `path=value` into pairs; empty lines are ignored."""
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        raise SettingsError("", f"not UTF-8 at byte {error.start}") from error
    pairs: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        path, equals, value = line.partition("=")
        if not equals or not path:
            raise SettingsError(f"line {number}", f"not of the form path=value: {line[:MAX_QUOTED_CHARACTERS]!r}")
        pairs[path.strip()] = value.strip()
    return pairs


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """Convert nested JSON to pairs of path and value.

    Paths consist of object keys and of the indexes of objects in lists. Null values are omitted.
    """
    if isinstance(value, Mapping):
        for key, item in value.items():
            yield from flatten(item, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list):
        yield from flatten_list(value, path)
    elif value is not None:
        yield path, format_scalar(value)


def flatten_list(items: list[object], path: str) -> Iterator[tuple[str, str]]:
    """Convert a list to pairs: scalars are joined by commas, other items become a count and pairs by index."""
    if any(isinstance(item, Mapping | list) for item in items):
        yield f"{path}.count", str(len(items))
        for index, item in enumerate(items):
            yield from flatten(item, f"{path}.{index}")
    else:
        yield path, ",".join(format_scalar(item) for item in items)


def format_scalar(value: object) -> str:
    """Format a scalar as a setting value; spaces and commas are separators and become underscores."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


class SettingsReader:
    """Typed access to settings by path. Its methods raise SettingsError if a value is invalid.

    Attributes:
        pairs: setting values by path.
        absent_paths: paths that were looked up but are not set.
    """

    def __init__(self, pairs: Mapping[str, str]) -> None:
        """Create a reader for setting values by path."""
        self.pairs = pairs
        self.absent_paths: list[str] = []

    def string(self, path: str) -> str | None:
        """Return the value as a string; None if it is absent."""
        if path not in self.pairs and path not in OPTIONAL_PATHS:
            self.absent_paths.append(path)
        return self.pairs.get(path)

    def number(self, path: str, default: float) -> float:
        """Return a finite, non-negative number, or the default if the value is absent."""
        text = self.string(path)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError as error:
            raise invalid_value(path, "not a number", text) from error
        if not math.isfinite(value) or value < 0:
            raise invalid_value(path, "not a finite, non-negative number", text)
        return value

    def integer(self, path: str, default: int) -> int:
        """Return a non-negative integer, or the default if the value is absent."""
        value = self.number(path, default)
        if value != int(value):
            raise invalid_value(path, "not an integer", str(value))
        return int(value)

    def boolean(self, path: str, default: bool) -> bool:
        """Return a boolean, written as true or false in any letter case, or the default if the value is absent."""
        text = self.string(path)
        if text is None:
            return default
        if text.lower() not in ("true", "false"):
            raise invalid_value(path, "neither true nor false", text)
        return text.lower() == "true"

    def choice(self, path: str, default: ChoiceT, allowed: tuple[ChoiceT, ...]) -> ChoiceT:
        """Return the value, which has to be one of those allowed, or the default if the value is absent."""
        given = self.string(path)
        if given is None:
            return default
        for value in allowed:
            if value == given:
                return value
        raise invalid_value(path, f"not one of {', '.join(allowed)}", given)

    def string_list(self, path: str) -> tuple[str, ...]:
        """Return a comma-separated list of strings; empty if it is absent."""
        return tuple(item for item in (self.string(path) or "").split(",") if item)

    def integer_list(self, path: str) -> tuple[int, ...]:
        """Return a list of integers; empty if it is absent, which is usual and not recorded in `absent_paths`."""
        if path not in self.pairs:
            return ()
        try:
            return tuple(int(item) for item in self.string_list(path))
        except ValueError as error:
            raise invalid_value(path, "not a list of integers", self.pairs[path]) from error

    def is_enabled(self, path: str) -> bool:
        """Return whether the value is present, not empty and not "off"."""
        return (self.string(path) or "off") != "off"


def invalid_value(path: str, problem: str, value: str) -> SettingsError:
    """Create the error for an invalid value, which is truncated."""
    return SettingsError(path, f"{problem}: {value[:MAX_QUOTED_CHARACTERS]!r}")


def build_settings(reader: SettingsReader) -> Settings:
    """Build the settings of the policy; absent settings keep their defaults."""
    settings = read_planner(reader, Settings())
    settings = read_channel(reader, settings)
    settings = read_proxy_behaviour(reader, settings)
    return read_server_lifecycle(reader, settings)


def build_names(reader: SettingsReader, settings: Settings) -> ConfiguredNames:
    """Build the names and the settings of the adapters."""
    return ConfiguredNames(
        classes=tuple(request_class.name for request_class in settings.classes),
        zones=reader.string_list("zones"),
        kinds=reader.string_list("kinds"),
        columns=settings.load_columns,
        batch_delay=reader.number("tick", ConfiguredNames().batch_delay),
        health_check_returns_load=reader.is_enabled("load_report.source"),
    )


def read_planner(reader: SettingsReader, defaults: Settings) -> Settings:
    """Read the planner's identity, its request classes, and its sources of endpoints and load information."""
    return replace(
        defaults,
        planner_index=reader.integer("me", defaults.planner_index),
        planner_count=max(1, reader.integer("instances", defaults.planner_count)),
        home_zone=reader.integer("zone", defaults.home_zone),
        zone_count=max(1, len(reader.string_list("zones"))),
        classes=read_classes(reader),
        load_columns=tuple(LOAD_COLUMN_ALIASES.get(name, name) for name in reader.string_list("load_report.columns")),
        endpoint_weights_enabled=reader.is_enabled("weight_kind"),
        endpoint_list_on_request=reader.choice("discovery", "pushed", ("pushed", "on_request")) == "on_request",
        list_poll_deadline=reader.number("obligations.ask_within", defaults.list_poll_deadline),
        gossip_enabled=reader.boolean("bounds.peers", defaults.gossip_enabled),
        health_checks_enabled=reader.boolean("bounds.probes", defaults.health_checks_enabled),
        cross_zone_cost=reader.number("deductions.cross_zone", defaults.cross_zone_cost),
    )


def read_channel(reader: SettingsReader, defaults: Settings) -> Settings:
    """Read the settings of the channel to the proxies; an interval or rate of 0 is replaced by its default."""
    return replace(
        defaults,
        proxy_count=reader.integer("family_info.agents", defaults.proxy_count),
        report_interval=reader.number("family_info.cycle", defaults.report_interval) or defaults.report_interval,
        message_overhead=reader.number("family_info.overhead", defaults.message_overhead),
        channel_rate=reader.number("family_info.channel_rate", defaults.channel_rate) or defaults.channel_rate,
        queue_limit=reader.number("family_info.backlog", defaults.queue_limit),
        message_cap=reader.integer("family_info.update_cap", defaults.message_cap),
        message_window=reader.number("family_info.messages_over", defaults.message_window),
        max_unserved_time=reader.number("family_info.unserved_max", defaults.max_unserved_time),
        transit_time=reader.number("family_info.transit", defaults.transit_time),
    )


def read_proxy_behaviour(reader: SettingsReader, defaults: Settings) -> Settings:
    """Read how proxies admit, balance and retry requests."""
    return replace(
        defaults,
        admission_mode=reader.choice("family_info.level_kind", defaults.admission_mode, ("share", "rate", "off")),
        load_balancing_policy=reader.choice(
            "family_info.lb_method", defaults.load_balancing_policy, ("weighted", "round", "two")
        ),
        default_retry=read_default_retry(reader, defaults.default_retry),
        attempt_duration_factor=reader.number("family_info.try_factor", defaults.attempt_duration_factor),
        consecutive_failure_limit=reader.integer("family_info.strikes", defaults.consecutive_failure_limit),
        key_range_count=reader.integer("family_info.key_ranges", defaults.key_range_count),
        exclusive_key_ranges=reader.boolean("family_info.exclusive", defaults.exclusive_key_ranges),
    )


def read_server_lifecycle(reader: SettingsReader, defaults: Settings) -> Settings:
    """Read the settings for draining, slow start and overload of servers."""
    return replace(
        defaults,
        drain_grace=reader.number("obligations.drain_grace", defaults.drain_grace),
        removal_is_advisory=reader.boolean("obligations.only_draining_binds", defaults.removal_is_advisory),
        slow_start_min_share=reader.number("obligations.cold_share", defaults.slow_start_min_share),
        slow_start_duration=reader.number("obligations.cold", defaults.slow_start_duration),
        overload_multiple=reader.number("obligations.fall_multiple", defaults.overload_multiple),
        overload_duration=reader.number("obligations.overload_for", defaults.overload_duration),
    )


def read_default_retry(reader: SettingsReader, default: Retry) -> Retry:
    """Read the retry mode of tables that do not set one."""
    path = "family_info.usual_how"
    value = reader.integer(path, int(default))
    if value > max(Retry):
        raise invalid_value(path, f"over the maximum of {int(max(Retry))}", str(value))
    return Retry(value)


def read_classes(reader: SettingsReader) -> tuple[RequestClass, ...]:
    """Read all request classes."""
    path = "services.count"
    count = reader.integer(path, 0)
    if count > MAX_REQUEST_CLASSES:
        raise invalid_value(path, f"over the maximum of {MAX_REQUEST_CLASSES} request classes", str(count))
    zone_local = reader.string_list("family_info.zone_bound")
    return tuple(read_class(reader, index, zone_local[index : index + 1] == ("true",)) for index in range(count))


def read_class(reader: SettingsReader, index: int, zone_local: bool) -> RequestClass:
    """Read one request class; its deadline is at least its latency objective."""
    path = f"services.{index}."
    defaults = RequestClass()
    latency_objective = reader.number(path + "target", defaults.latency_objective) or defaults.latency_objective
    return RequestClass(
        name=reader.string(path + "name") or "",
        latency_objective=latency_objective,
        deadline=max(latency_objective, reader.number(path + "deadline", defaults.deadline)),
        priority_weight=reader.number(path + "worth", defaults.priority_weight),
        idempotency=reader.choice(path + "effect", defaults.idempotency, ("repeatable", "by_key", "once")),
        deduplication_scope=reader.choice(path + "group", defaults.deduplication_scope, ("all", "zone", "cell")),
        idempotency_key_ttl=reader.number(path + "key_ttl", defaults.idempotency_key_ttl),
        allowed_zones=reader.integer_list(path + "only_zones"),
        allowed_kinds=reader.integer_list(path + "only_kinds"),
        zone_local=zone_local,
    )
