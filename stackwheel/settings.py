"""The settings reader: the operators' setting paths become typed settings for the policy and names for the transport.

The simulator gives settings as lines of `path=value`, the service as nested JSON; both become the same pairs and are
read by the same code. The paths (`family_info.cycle`, `services.0.worth`, ...) appear in this module only. An unknown
path is ignored, an absent one has its default, and a value that can't be used is an error that names its path.
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
    """The settings can't be used; `location` is the path of the setting."""


LOAD_COLUMN_ALIASES = {
    "inflight": "outstanding",
    "queue": "backlog",
    "util": "utilization",
    "latency_ms": "recent_ms",
    "qps": "throughput",
    "eps": "errors_per_s",
}
"""Other names of load columns, with the name that settings and policy know them by."""

OPTIONAL_PATHS = ("obligations.only_draining_binds",)  # given only where it holds, so its absence says nothing
MAX_CLASSES: Final = 32  # that an update can name
SHOWN_CHARACTERS: Final = 40  # of an offending value in an error


@dataclass(frozen=True, slots=True)
class ConfiguredNames:
    """What the settings name and the policy knows by its index, and what only the transport needs.

    Attributes:
        classes: request classes.
        zones: zones.
        kinds: server kinds.
        columns: load columns.
        batch_delay: ms for which the planner actor gathers a batch of events.
        health_check_returns_load: whether the answer to a health check is a load report.
    """

    classes: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    columns: tuple[str, ...] = ()
    batch_delay: float = 2.0
    health_check_returns_load: bool = False


class LoadedSettings(NamedTuple):
    """All that settings say, and the paths that they lack: a misspelt path quietly becomes a default."""

    settings: Settings
    names: ConfiguredNames
    absent_paths: tuple[str, ...]


def parse_settings(blob: bytes) -> Settings:
    """Settings from lines of `path=value`; SettingsError where they can't be used."""
    return build_settings(SettingsReader(parse_pairs(blob)))


def load_settings(nested: Mapping[str, object]) -> LoadedSettings:
    """Settings from nested JSON; SettingsError where they can't be used."""
    reader = SettingsReader(dict(flatten(nested)))
    settings = build_settings(reader)
    names = build_names(reader, settings)
    return LoadedSettings(settings, names, tuple(sorted(set(reader.absent_paths))))


def parse_pairs(blob: bytes) -> dict[str, str]:
    """The pairs of lines of `path=value`; empty lines are ignored."""
    try:
        text = blob.decode("utf-8")
    except UnicodeDecodeError as error:
        raise SettingsError("", f"not UTF-8 at byte {error.start}") from error
    pairs: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        path, equals, value = line.partition("=")
        if not equals or not path:
            raise SettingsError(f"line {number}", "not path=value")
        pairs[path.strip()] = value.strip()
    return pairs


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """The pairs of nested JSON: objects by key, lists of scalars joined by commas, lists of objects by index."""
    if isinstance(value, Mapping):
        for key, item in value.items():
            yield from flatten(item, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list):
        yield from flatten_list(value, path)
    elif value is not None:
        yield path, format_scalar(value)


def flatten_list(items: list[object], path: str) -> Iterator[tuple[str, str]]:
    """The pairs of a list: one of scalars joined by commas, or those of each item and their count."""
    if any(isinstance(item, Mapping | list) for item in items):
        yield f"{path}.count", str(len(items))
        for index, item in enumerate(items):
            yield from flatten(item, f"{path}.{index}")
    else:
        yield path, ",".join(format_scalar(item) for item in items)


def format_scalar(value: object) -> str:
    """A value as the pairs have it: a space or comma would end it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


class SettingsReader:
    """Typed look-ups by path, with a default for what is absent; SettingsError names path and value.

    Attributes:
        absent_paths: looked up, but not given.
    """

    def __init__(self, pairs: Mapping[str, str]) -> None:
        """Read from pairs of path and value."""
        self.pairs = pairs
        self.absent_paths: list[str] = []

    def text(self, path: str) -> str | None:
        """The value as it is given; None if it is absent."""
        if path not in self.pairs and path not in OPTIONAL_PATHS:
            self.absent_paths.append(path)
        return self.pairs.get(path)

    def number(self, path: str, default: float) -> float:
        """A finite number, not below 0."""
        text = self.text(path)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError as error:
            raise invalid(path, "not a number", text) from error
        if not math.isfinite(value) or value < 0:
            raise invalid(path, "not a finite number from 0 up", text)
        return value

    def integer(self, path: str, default: int) -> int:
        """An integer, not below 0."""
        value = self.number(path, default)
        if value != int(value):
            raise invalid(path, "not an integer", str(value))
        return int(value)

    def flag(self, path: str, default: bool) -> bool:
        """True or false, in any case of letters."""
        text = self.text(path)
        if text is None:
            return default
        if text.lower() not in ("true", "false"):
            raise invalid(path, "neither true nor false", text)
        return text.lower() == "true"

    def choice(self, path: str, default: ChoiceT, allowed: tuple[ChoiceT, ...]) -> ChoiceT:
        """One of the values allowed."""
        given = self.text(path)
        if given is None:
            return default
        for value in allowed:
            if value == given:
                return value
        raise invalid(path, f"none of {', '.join(allowed)}", given)

    def texts(self, path: str) -> tuple[str, ...]:
        """A list of values; empty if it is absent."""
        return tuple(item for item in (self.text(path) or "").split(",") if item)

    def indexes(self, path: str) -> tuple[int, ...]:
        """A list of integers that usually is absent, so its absence is not recorded."""
        if path not in self.pairs:
            return ()
        try:
            return tuple(int(item) for item in self.texts(path))
        except ValueError as error:
            raise invalid(path, "not a list of integers", self.pairs[path]) from error

    def is_enabled(self, path: str) -> bool:
        """Whether a kind of something is given that is not "off"."""
        return (self.text(path) or "off") != "off"


def invalid(path: str, problem: str, value: str) -> SettingsError:
    """The error for a value that can't be used."""
    return SettingsError(path, f"{problem}: {value[:SHOWN_CHARACTERS]!r}")


def build_settings(reader: SettingsReader) -> Settings:
    """The policy's settings, group by group; what is absent keeps its default."""
    settings = read_planner(reader, Settings())
    settings = read_channel(reader, settings)
    settings = read_proxy_behaviour(reader, settings)
    return read_obligations(reader, settings)


def build_names(reader: SettingsReader, settings: Settings) -> ConfiguredNames:
    """The names that go with the settings."""
    return ConfiguredNames(
        classes=tuple(request_class.name for request_class in settings.classes),
        zones=reader.texts("zones"),
        kinds=reader.texts("kinds"),
        columns=settings.load_columns,
        batch_delay=reader.number("tick", ConfiguredNames().batch_delay),
        health_check_returns_load=reader.is_enabled("load_report.source"),
    )


def read_planner(reader: SettingsReader, defaults: Settings) -> Settings:
    """Which planner this is, what it serves and what it may use."""
    return replace(
        defaults,
        planner_index=reader.integer("me", defaults.planner_index),
        planner_count=max(1, reader.integer("instances", defaults.planner_count)),
        home_zone=reader.integer("zone", defaults.home_zone),
        zone_count=max(1, len(reader.texts("zones"))),
        classes=read_classes(reader),
        load_columns=tuple(LOAD_COLUMN_ALIASES.get(name, name) for name in reader.texts("load_report.columns")),
        endpoint_weights_enabled=reader.is_enabled("weight_kind"),
        endpoint_list_on_request=reader.choice("discovery", "pushed", ("pushed", "on_request")) == "on_request",
        list_poll_deadline=reader.number("obligations.ask_within", defaults.list_poll_deadline),
        gossip_enabled=reader.flag("bounds.peers", defaults.gossip_enabled),
        health_checks_enabled=reader.flag("bounds.probes", defaults.health_checks_enabled),
        cross_zone_cost=reader.number("deductions.cross_zone", defaults.cross_zone_cost),
    )


def read_channel(reader: SettingsReader, defaults: Settings) -> Settings:
    """The proxies and the channel to them. A cycle or channel rate of 0 makes no sense, so it has its default."""
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
    """How proxies admit, balance and retry requests."""
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
        exclusive_key_ranges=reader.flag("family_info.exclusive", defaults.exclusive_key_ranges),
    )


def read_obligations(reader: SettingsReader, defaults: Settings) -> Settings:
    """Draining, slow start and overload of servers."""
    return replace(
        defaults,
        drain_grace=reader.number("obligations.drain_grace", defaults.drain_grace),
        removal_is_advisory=reader.flag("obligations.only_draining_binds", defaults.removal_is_advisory),
        slow_start_min_share=reader.number("obligations.cold_share", defaults.slow_start_min_share),
        slow_start_duration=reader.number("obligations.cold", defaults.slow_start_duration),
        overload_multiple=reader.number("obligations.fall_multiple", defaults.overload_multiple),
        overload_duration=reader.number("obligations.overload_for", defaults.overload_duration),
    )


def read_default_retry(reader: SettingsReader, default: Retry) -> Retry:
    """The retry mode where a table says nothing."""
    path = "family_info.usual_how"
    value = reader.integer(path, int(default))
    if value > max(Retry):
        raise invalid(path, f"over {int(max(Retry))}", str(value))
    return Retry(value)


def read_classes(reader: SettingsReader) -> tuple[RequestClass, ...]:
    """All request classes."""
    path = "services.count"
    count = reader.integer(path, 0)
    if count > MAX_CLASSES:
        raise invalid(path, f"over the {MAX_CLASSES} that an update can name", str(count))
    zone_local = reader.texts("family_info.zone_bound")
    return tuple(read_class(reader, index, zone_local[index : index + 1] == ("true",)) for index in range(count))


def read_class(reader: SettingsReader, index: int, zone_local: bool) -> RequestClass:
    """One request class; its deadline is never before its latency objective."""
    path = f"services.{index}."
    defaults = RequestClass()
    latency_objective = reader.number(path + "target", defaults.latency_objective) or defaults.latency_objective
    return RequestClass(
        name=reader.text(path + "name") or "",
        latency_objective=latency_objective,
        deadline=max(latency_objective, reader.number(path + "deadline", defaults.deadline)),
        priority_weight=reader.number(path + "worth", defaults.priority_weight),
        idempotency=reader.choice(path + "effect", defaults.idempotency, ("repeatable", "by_key", "once")),
        deduplication_scope=reader.choice(path + "group", defaults.deduplication_scope, ("all", "zone", "cell")),
        idempotency_key_ttl=reader.number(path + "key_ttl", defaults.idempotency_key_ttl),
        allowed_zones=reader.indexes(path + "only_zones"),
        allowed_kinds=reader.indexes(path + "only_kinds"),
        zone_local=zone_local,
    )
