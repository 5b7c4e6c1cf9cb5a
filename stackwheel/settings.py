"""Settings for the policy and names for the wire, from path=value pairs or from the same as nested JSON.

`drill` is given pairs, the service JSON; both become the same pairs and are read by the same code.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from stackwheel.interface import RequestClass, Retry, Settings


class SettingsError(ValueError):
    """The settings cannot be parsed."""


# A load column's other names, and the name that the settings and the policy know it by.
LOAD_COLUMN_NAMES = {
    "inflight": "outstanding",
    "queue": "backlog",
    "util": "utilization",
    "latency_ms": "recent_ms",
    "qps": "throughput",
    "eps": "errors_per_s",
}
OPTIONAL = ("obligations.only_draining_binds",)  # given only where it holds


@dataclass(frozen=True, slots=True)
class Names:
    """What the settings name and the policy knows by its place; and what only the transport reads."""

    classes: tuple[str, ...] = ()
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    columns: tuple[str, ...] = ()
    batch_delay: float = 2.0
    health_check_returns_load: bool = False  # a probe's answer carries a load report


def parse_settings(blob: bytes) -> Settings:
    return build_settings(read_pairs(blob))


def read_pairs(blob: bytes) -> dict[str, str]:
    try:
        text = blob.decode("utf-8")
    except UnicodeDecodeError as error:
        raise SettingsError(f"not UTF-8 at byte {error.start}") from None
    pairs: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        path, equals, value = line.partition("=")
        if not equals or not path:
            raise SettingsError(f"line {number} is no path=value pair")
        pairs[path.strip()] = value.strip()
    return pairs


def flatten(value: object, path: str = "") -> Iterator[tuple[str, str]]:
    """The pairs of nested JSON: objects by key, lists of plain values by commas, of objects by place."""
    if isinstance(value, Mapping):
        for key, item in value.items():
            yield from flatten(item, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list) and any(isinstance(item, Mapping | list) for item in value):
        yield f"{path}.count", str(len(value))
        for place, item in enumerate(value):
            yield from flatten(item, f"{path}.{place}")
    elif isinstance(value, list):
        yield path, ",".join(plain(item) for item in value)
    elif value is not None:
        yield path, plain(value)


def plain(value: object) -> str:
    """A value as the pairs have it: spaces and commas would end it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


class _Reader:
    """Typed look-ups with a default for what is absent."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs = pairs
        self.absent: list[str] = []  # looked up, but not there

    def find(self, path: str) -> str | None:
        if path not in self.pairs and path not in OPTIONAL:
            self.absent.append(path)
        return self.pairs.get(path)

    def number(self, path: str, default: float) -> float:
        text = self.find(path)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError:
            raise SettingsError(f"{path} is no number: {text[:40]!r}") from None
        if not math.isfinite(value) or value < 0:
            raise SettingsError(f"{path} is out of range: {text[:40]!r}")
        return value

    def whole(self, path: str, default: int) -> int:
        value = self.number(path, default)
        if value != int(value):
            raise SettingsError(f"{path} is no whole number: {value}")
        return int(value)

    def flag(self, path: str, default: bool) -> bool:
        text = self.find(path)
        if text is None:
            return default
        if text.lower() not in ("true", "false"):
            raise SettingsError(f"{path} is neither true nor false: {text[:40]!r}")
        return text.lower() == "true"

    def word(self, path: str, default: str, allowed: tuple[str, ...]) -> str:
        found = self.find(path)
        text = default if found is None else found
        if text not in allowed:
            raise SettingsError(f"{path} is none of {', '.join(allowed)}: {text[:40]!r}")
        return text

    def words(self, path: str) -> tuple[str, ...]:
        return tuple(part for part in (self.find(path) or "").split(",") if part)

    def places(self, path: str) -> tuple[int, ...]:
        try:
            return tuple(int(part) for part in self.words(path)) if path in self.pairs else ()
        except ValueError:
            raise SettingsError(f"{path} is no list of whole numbers") from None


def build_settings(pairs: Mapping[str, str]) -> Settings:
    return collect_settings(_Reader(pairs))


def build_all(pairs: Mapping[str, str]) -> tuple[Settings, Names, tuple[str, ...]]:
    """Settings, names, and the paths that the pairs lack: a misspelt one quietly becomes a default."""
    read = _Reader(pairs)
    settings = collect_settings(read)
    names = collect_names(read, settings)
    return settings, names, tuple(sorted(set(read.absent)))


def collect_settings(read: _Reader) -> Settings:
    defaults = Settings()
    return Settings(
        planner_index=read.whole("me", defaults.planner_index),
        planner_count=max(1, read.whole("instances", defaults.planner_count)),
        home_zone=read.whole("zone", defaults.home_zone),
        zones=max(1, len(read.words("zones"))),
        classes=read_classes(read),
        load_columns=tuple(LOAD_COLUMN_NAMES.get(name, name) for name in read.words("load_report.columns")),
        endpoint_weights_enabled=(read.find("weight_kind") or "off") != "off",
        endpoint_list_on_request=read.word("discovery", "pushed", ("pushed", "on_request")) == "on_request",
        list_poll_deadline=read.number("obligations.ask_within", defaults.list_poll_deadline),
        gossip_enabled=read.flag("bounds.peers", defaults.gossip_enabled),
        health_checks_enabled=read.flag("bounds.probes", defaults.health_checks_enabled),
        cross_zone_cost=read.number("deductions.cross_zone", defaults.cross_zone_cost),
        proxy_count=read.whole("family_info.agents", defaults.proxy_count),
        report_interval=read.number("family_info.cycle", defaults.report_interval) or defaults.report_interval,
        message_overhead=read.number("family_info.overhead", defaults.message_overhead),
        channel_rate=read.number("family_info.channel_rate", defaults.channel_rate) or defaults.channel_rate,
        queue_limit=read.number("family_info.backlog", defaults.queue_limit),
        message_cap=read.whole("family_info.update_cap", defaults.message_cap),
        message_window=read.number("family_info.messages_over", defaults.message_window),
        max_unserved_time=read.number("family_info.unserved_max", defaults.max_unserved_time),
        transit_time=read.number("family_info.transit", defaults.transit_time),
        admission_mode=read.word("family_info.level_kind", defaults.admission_mode, ("share", "rate", "off")),
        load_balancing_policy=read.word(
            "family_info.lb_method", defaults.load_balancing_policy, ("weighted", "round", "two")
        ),
        default_retry=read_retry(read, defaults),
        retry_factor=read.number("family_info.try_factor", defaults.retry_factor),
        consecutive_failure_limit=read.whole("family_info.strikes", defaults.consecutive_failure_limit),
        key_range_count=read.whole("family_info.key_ranges", defaults.key_range_count),
        exclusive_key_ranges=read.flag("family_info.exclusive", defaults.exclusive_key_ranges),
        drain_grace=read.number("obligations.drain_grace", defaults.drain_grace),
        removal_is_advisory=read.flag("obligations.only_draining_binds", defaults.removal_is_advisory),
        slow_start_min_share=read.number("obligations.cold_share", defaults.slow_start_min_share),
        slow_start_duration=read.number("obligations.cold", defaults.slow_start_duration),
        overload_multiple=read.number("obligations.fall_multiple", defaults.overload_multiple),
        overload_duration=read.number("obligations.overload_for", defaults.overload_duration),
    )


def collect_names(read: _Reader, settings: Settings) -> Names:
    defaults = Names()
    return Names(
        classes=tuple(wanted.name for wanted in settings.classes),
        zones=read.words("zones"),
        kinds=read.words("kinds"),
        columns=settings.load_columns,
        batch_delay=read.number("tick", defaults.batch_delay),
        health_check_returns_load=(read.find("load_report.source") or "off") != "off",
    )


def read_retry(read: _Reader, defaults: Settings) -> Retry:
    value = read.whole("family_info.usual_how", int(defaults.default_retry))
    if value > max(Retry):
        raise SettingsError(f"family_info.usual_how is out of range: {value}")
    return Retry(value)


def read_classes(read: _Reader) -> tuple[RequestClass, ...]:
    count = read.whole("services.count", 0)
    if count > 32:
        raise SettingsError(f"services.count is over the 32 that an order can name: {count}")
    bound = read.words("family_info.zone_bound")
    return tuple(read_class(read, place, bound[place : place + 1] == ("true",)) for place in range(count))


def read_class(read: _Reader, place: int, zone_bound: bool) -> RequestClass:
    path = f"services.{place}."
    defaults = RequestClass()
    aim = read.number(path + "target", defaults.latency_objective) or defaults.latency_objective
    return RequestClass(
        name=read.find(path + "name") or "",
        latency_objective=aim,
        deadline=max(aim, read.number(path + "deadline", defaults.deadline)),
        priority_weight=read.number(path + "worth", defaults.priority_weight),
        idempotency=read.word(path + "effect", defaults.idempotency, ("repeatable", "by_key", "once")),
        deduplication_scope=read.word(path + "group", defaults.deduplication_scope, ("all", "zone", "cell")),
        idempotency_key_ttl=read.number(path + "key_ttl", defaults.idempotency_key_ttl),
        allowed_zones=read.places(path + "only_zones"),
        allowed_kinds=read.places(path + "only_kinds"),
        zone_local=zone_bound,
    )
