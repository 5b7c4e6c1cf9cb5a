"""The rules and invariants, their limits, and the violations that are reported."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from stackwheel.interface import Settings

TIME_LIMIT_ALLOWANCE_MS = 300.0
"""Extension of the protocol's time limits where proxies are connected by sockets."""

READY_GRACE_MS = 1000.0
"""Time after the first response of a planner during which no limit applies to it."""

RELOAD_GRACE_MS = 4000.0
"""Time after a SIGHUP during which no limit applies to the planner."""

NOTIFICATION_DEADLINE_MS = 6000.0
"""Time after which an update written by discovery counts as received, even if it was not delivered."""


class Rule(StrEnum):
    """The rules of the protocol, followed by the invariants of the service.

    Reports print the values, and digests of runs include them. The command line uses the member names in lower case.
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
    """Limits of the rules, as set for a deployment.

    Attributes:
        max_unserved_time: time for which a proxy may have no server for a request class, ms.
        drain_grace: time within which a proxy has to stop sending to a draining server, ms.
        overload_duration: time for which a server that is warming up may be overloaded, ms.
        overload_multiple: multiple of its current capacity above which such a server is overloaded.
        queue_limit: maximum number of lines queued in the channel; 0 for no limit.
        message_cap: maximum number of messages to one proxy within `message_window`; 0 for no limit.
        message_window: length of the sliding window of the message cap, ms.
        removal_is_advisory: whether proxies may continue to use a server that was removed from the endpoint list.
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
        """Return the limits of a deployment, including the allowance for sockets."""
        return cls(
            max_unserved_time=settings.max_unserved_time + TIME_LIMIT_ALLOWANCE_MS,
            drain_grace=settings.drain_grace + TIME_LIMIT_ALLOWANCE_MS,
            overload_duration=settings.overload_duration + TIME_LIMIT_ALLOWANCE_MS,
            overload_multiple=settings.overload_multiple,
            queue_limit=settings.queue_limit,
            message_cap=settings.message_cap,
            message_window=settings.message_window,
            removal_is_advisory=settings.removal_is_advisory,
        )


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of a rule.

    Attributes:
        at: time of detection, ms.
        rule: the violated rule.
        planner: number of the planner concerned, if any.
        proxy: number of the proxy concerned, if any.
        server: name of the server concerned, if any.
        detail: what was observed.
        trail: the most recent events that concern the planner, proxy or server.
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
        subject_list = ", ".join(subject for subject in subjects if subject)
        return f"{self.at / 1000.0:.3f} s: {self.rule.value}: {subject_list}{': ' if subject_list else ''}{self.detail}"
