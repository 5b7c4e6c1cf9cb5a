"""What a broken rule or invariant is told as, and the figures that the rules hang on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from stackwheel.interface import Settings

ALLOWANCE = 300.0  # ms by which the protocol's page lengthens the time limits on sockets
AFTER_READY = 1000.0  # ms after a planner's first answer during which no limit runs
AFTER_RELOAD = 4000.0  # ms after SIGHUP during which no limit runs
TOLD_AT_LAST = 6000.0  # ms after which what discovery wrote counts as told, whether it arrived or not


class Rule(StrEnum):
    SERVED = "no proxy without a server"
    ONCE = "no effect twice"
    DRAINS = "drains kept"
    COLD = "no cold server pushed over"
    QUEUE = "a short queue"
    CAP = "messages to one proxy capped"
    AGREES = "a proxy holds what its planner believes"
    USABLE = "orders can be used"
    BOUNDED = "what is kept for peers is bounded"
    UPRIGHT = "no task dies with an exception"
    GENUINE = "only whole and genuine files are used, none older than the last"
    PROMPT = "a final answer is not held back"
    PART = "a planner holds its part of the registry's list"
    VOUCHED = "a relay vouches only while it hears the registry"


@dataclass(frozen=True, slots=True)
class Limits:
    """The figures of the rules, in ms and lines, as a deployment's settings state them."""

    unserved: float
    drain: float
    overload: float
    overload_multiple: float
    backlog: float  # 0: no limit
    cap: int  # 0: no limit
    cap_window: float
    removal_is_advisory: bool

    @classmethod
    def of(cls, settings: Settings) -> Limits:
        return cls(
            settings.max_unserved_time + ALLOWANCE,
            settings.drain_grace + ALLOWANCE,
            settings.overload_duration + ALLOWANCE,
            settings.overload_multiple,
            settings.queue_limit,
            settings.message_cap,
            settings.message_window,
            settings.removal_is_advisory,
        )


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken: when (ms), by whom, and the last events that led there."""

    at: float
    rule: Rule
    planner: int | None
    proxy: int | None
    server: str | None
    detail: str
    trail: tuple[str, ...] = ()

    def __str__(self) -> str:
        who = [
            f"planner {self.planner}" if self.planner is not None else "",
            f"proxy {self.proxy}" if self.proxy is not None else "",
            self.server or "",
        ]
        subjects = ", ".join(word for word in who if word)
        return f"{self.at / 1000.0:.3f} s: {self.rule.value}: {subjects}{': ' if subjects else ''}{self.detail}"
