"""The rules and invariants, their limits, and how a violation is reported."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from stackwheel.interface import Settings

TIME_LIMIT_ALLOWANCE = 300.0
"""ms by which the protocol extends its time limits where proxies are connected by sockets."""

READY_GRACE = 1000.0
"""ms after a planner's first answer during which no limit runs."""

RELOAD_GRACE_MS = 4000.0
"""ms after SIGHUP during which no limit runs."""

NOTIFICATION_DEADLINE_MS = 6000.0
"""ms after which what discovery has written counts as received, whether it arrived or not."""


class Rule(StrEnum):
    """The protocol's rules, then the service's own invariants.

    A value is what reports print and what digests of runs include; a name in lower case is a word of the command line.
    """

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
    """The figures of the rules, as a deployment's settings state them.

    Attributes:
        max_unserved_time: ms for which a proxy may have no server for a class.
        drain_grace: ms within which a proxy has to stop sending to a draining server.
        overload_duration: ms for which a server that warms up may be overloaded.
        overload_multiple: multiple of its present capacity over which such a server is overloaded.
        queue_limit: lines that may wait in the channel; 0: no limit.
        message_cap: messages to one proxy within `message_window`; 0: no limit.
        message_window: ms.
        removal_is_advisory: whether a removal from the endpoint list does not oblige the planner.
    """

    max_unserved_time: float
    drain_grace: float
    overload_duration: float
    overload_multiple: float
    queue_limit: float
    message_cap: int
    message_window: float
    removal_is_advisory: bool

    @classmethod
    def from_settings(cls, settings: Settings) -> Limits:
        """The limits of a deployment, with the allowance for sockets."""
        return cls(
            max_unserved_time=settings.max_unserved_time + TIME_LIMIT_ALLOWANCE,
            drain_grace=settings.drain_grace + TIME_LIMIT_ALLOWANCE,
            overload_duration=settings.overload_duration + TIME_LIMIT_ALLOWANCE,
            overload_multiple=settings.overload_multiple,
            queue_limit=settings.queue_limit,
            message_cap=settings.message_cap,
            message_window=settings.message_window,
            removal_is_advisory=settings.removal_is_advisory,
        )


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken.

    Attributes:
        at: ms, when it was found.
        rule: the rule.
        planner: number of the planner concerned, if any.
        proxy: number of the proxy concerned, if any.
        server: name of the server concerned, if any.
        detail: what was found.
        trail: the last events that concern these.
    """

    at: float
    rule: Rule
    planner: int | None
    proxy: int | None
    server: str | None
    detail: str
    trail: tuple[str, ...] = ()

    def __str__(self) -> str:
        subjects = [
            f"planner {self.planner}" if self.planner is not None else "",
            f"proxy {self.proxy}" if self.proxy is not None else "",
            self.server or "",
        ]
        named = ", ".join(subject for subject in subjects if subject)
        return f"{self.at / 1000.0:.3f} s: {self.rule.value}: {named}{': ' if named else ''}{self.detail}"
