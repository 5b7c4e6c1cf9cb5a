"""Parse the path=value settings of an instance's first message."""

from __future__ import annotations

import math
from collections.abc import Mapping

from stackwheel.interface import RequestClass, Retry, Settings


class SettingsError(ValueError):
    """The settings cannot be parsed."""


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


class _Reader:
    """Typed look-ups with a default for what is absent."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs = pairs

    def number(self, path: str, default: float) -> float:
        text = self.pairs.get(path)
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
        text = self.pairs.get(path)
        if text is None:
            return default
        if text.lower() not in ("true", "false"):
            raise SettingsError(f"{path} is neither true nor false: {text[:40]!r}")
        return text.lower() == "true"

    def word(self, path: str, default: str, allowed: tuple[str, ...]) -> str:
        text = self.pairs.get(path, default)
        if text not in allowed:
            raise SettingsError(f"{path} is none of {', '.join(allowed)}: {text[:40]!r}")
        return text

    def words(self, path: str) -> tuple[str, ...]:
        return tuple(part for part in self.pairs.get(path, "").split(",") if part)

    def places(self, path: str) -> tuple[int, ...]:
        try:
            return tuple(int(part) for part in self.words(path))
        except ValueError:
            raise SettingsError(f"{path} is no list of whole numbers") from None


def build_settings(pairs: Mapping[str, str]) -> Settings:
    read = _Reader(pairs)
    defaults = Settings()
    return Settings(
        planner=read.whole("me", defaults.planner),
        planners=max(1, read.whole("instances", defaults.planners)),
        home_zone=read.whole("zone", defaults.home_zone),
        zones=max(1, len(read.words("zones"))),
        classes=read_classes(read),
        load_columns=read.words("load_report.columns"),
        weights_listed=pairs.get("weight_kind", "off") != "off",
        list_on_request=read.word("discovery", "pushed", ("pushed", "on_request")) == "on_request",
        ask_within=read.number("obligations.ask_within", defaults.ask_within),
        peers_allowed=read.flag("bounds.peers", defaults.peers_allowed),
        probes_allowed=read.flag("bounds.probes", defaults.probes_allowed),
        cross_zone_price=read.number("deductions.cross_zone", defaults.cross_zone_price),
        proxies=read.whole("family_info.agents", defaults.proxies),
        cycle=read.number("family_info.cycle", defaults.cycle) or defaults.cycle,
        overhead=read.number("family_info.overhead", defaults.overhead),
        channel_rate=read.number("family_info.channel_rate", defaults.channel_rate) or defaults.channel_rate,
        backlog=read.number("family_info.backlog", defaults.backlog),
        message_cap=read.whole("family_info.update_cap", defaults.message_cap),
        message_window=read.number("family_info.messages_over", defaults.message_window),
        unserved_max=read.number("family_info.unserved_max", defaults.unserved_max),
        transit=read.number("family_info.transit", defaults.transit),
        admission=read.word("family_info.level_kind", defaults.admission, ("share", "rate", "off")),
        pick=read.word("family_info.lb_method", defaults.pick, ("weighted", "round", "two")),
        usual_retry=read_retry(read, defaults),
        try_factor=read.number("family_info.try_factor", defaults.try_factor),
        strikes=read.whole("family_info.strikes", defaults.strikes),
        slices=read.whole("family_info.key_ranges", defaults.slices),
        exclusive=read.flag("family_info.exclusive", defaults.exclusive),
        drain_grace=read.number("obligations.drain_grace", defaults.drain_grace),
        only_draining_binds=read.flag("obligations.only_draining_binds", defaults.only_draining_binds),
        cold_share=read.number("obligations.cold_share", defaults.cold_share),
        cold_time=read.number("obligations.cold", defaults.cold_time),
        fall_multiple=read.number("obligations.fall_multiple", defaults.fall_multiple),
        overload_for=read.number("obligations.overload_for", defaults.overload_for),
    )


def read_retry(read: _Reader, defaults: Settings) -> Retry:
    value = read.whole("family_info.usual_how", int(defaults.usual_retry))
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
    aim = read.number(path + "target", defaults.aim) or defaults.aim
    return RequestClass(
        name=read.pairs.get(path + "name", ""),
        aim=aim,
        deadline=max(aim, read.number(path + "deadline", defaults.deadline)),
        worth=read.number(path + "worth", defaults.worth),
        effect=read.word(path + "effect", defaults.effect, ("repeatable", "by_key", "once")),
        group=read.word(path + "group", defaults.group, ("all", "zone", "cell")),
        key_window=read.number(path + "key_ttl", defaults.key_window),
        open_zones=read.places(path + "only_zones"),
        open_kinds=read.places(path + "only_kinds"),
        zone_bound=zone_bound,
    )
