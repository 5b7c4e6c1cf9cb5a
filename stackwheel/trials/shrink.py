"""The smallest script that still breaks the same rule: leaves out what is not needed, and tries again."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

import msgspec

from stackwheel.rules.violations import Rule
from stackwheel.trials.script import Fault, Script, ScriptError, check, machines
from stackwheel.trials.world import run_script

RUNS_MOST = 400  # trials that one shrinking may take
AFTER = 0.5  # s kept after the break
FIELDS = ("planners", "proxies", "servers", "who", "source", "target")
SMALLER: dict[str, tuple[int, ...]] = {
    "zones": (1, 2),
    "planners": (1, 2),
    "proxies": (1, 2, 4, 8),
    "servers": (2, 4, 6, 8),
}


@dataclass(slots=True)
class Shrunk:
    script: Script
    rule: Rule
    at: float  # s
    runs: int


class Shrinker:
    def __init__(
        self,
        script: Script,
        rule: Rule,
        runs_most: int = RUNS_MOST,
        breaks: Callable[[Script, Rule], float | None] | None = None,
    ) -> None:
        self.best, self.rule, self.left = script, rule, runs_most
        self.breaks = breaks or when_broken
        self.at = 0.0
        self.runs = 0

    def keeps(self, script: Script) -> bool:
        """Whether a smaller script still breaks the rule; it is the best from then on."""
        if self.left <= 0:
            return False
        try:
            check(script)
        except ScriptError:
            return False
        self.left -= 1
        self.runs += 1
        at = self.breaks(script, self.rule)
        if at is None:
            return False
        self.best, self.at = script, at
        return True

    def run(self) -> Shrunk:
        """The script itself where nothing smaller does."""
        if not self.keeps(self.best):
            raise ScriptError(f"seed {self.best.seed} does not break the rule: {self.rule.value}")
        self.shorten()
        before = None
        while before != self.best and self.left > 0:
            before = self.best
            self.drop_faults()
            self.drop_names()
            self.reduce_shape()
            self.shorten()
        return Shrunk(self.best, self.rule, self.at, self.runs)

    def shorten(self) -> None:
        span = round(min(self.best.span, self.at + AFTER), 1)
        if span < self.best.span:
            faults = tuple(f for f in self.best.faults if f.at <= span)
            self.keeps(msgspec.structs.replace(self.best, span=span, faults=faults))

    def drop_faults(self) -> None:
        """Halves first, then smaller pieces, down to single faults."""
        size = max(1, len(self.best.faults) // 2)
        while size >= 1 and self.best.faults:
            at = 0
            while at < len(self.best.faults):
                faults = self.best.faults[:at] + self.best.faults[at + size :]
                if not self.keeps(msgspec.structs.replace(self.best, faults=faults)):
                    at += size
            size //= 2

    def drop_names(self) -> None:
        for place in range(len(self.best.faults)):
            for field in FIELDS:
                self.drop_names_of(place, field)

    def drop_names_of(self, place: int, field: str) -> None:
        """Names of one field; a field of that name may also be a flag, as `proxies` of a lost zone is."""
        at = 0
        while isinstance(names := getattr(self.best.faults[place], field, None), tuple) and at < len(names) > 1:
            fewer = names[:at] + names[at + 1 :]
            fault = msgspec.structs.replace(self.best.faults[place], **{field: fewer})
            if not self.keeps(self.with_fault(place, fault)):
                at += 1

    def with_fault(self, place: int, fault: Fault) -> Script:
        faults = (*self.best.faults[:place], fault, *self.best.faults[place + 1 :])
        return msgspec.structs.replace(self.best, faults=faults)

    def reduce_shape(self) -> None:
        for name, sizes in SMALLER.items():
            for size in sizes:
                if size < getattr(self.best.shape, name):
                    shape = msgspec.structs.replace(self.best.shape, **{name: size})
                    smaller = msgspec.structs.replace(self.best, shape=shape)
                    if self.keeps(msgspec.structs.replace(smaller, faults=tuple(fitting(smaller)))):
                        break


def fitting(script: Script) -> Iterator[Fault]:
    """The faults, as far as the shape has whom they name."""
    for fault in script.faults:
        changed: dict[str, tuple[str, ...]] = {}
        for field in FIELDS:
            names = getattr(fault, field, None)
            if isinstance(names, tuple):
                changed[field] = tuple(name for name in names if machines((name,), script.shape))
        if all(changed.values()):
            yield msgspec.structs.replace(fault, **changed)


def when_broken(script: Script, rule: Rule) -> float | None:
    """When a script breaks a rule first, in s; None where it keeps it."""
    times: Sequence[float] = [v.at for v in run_script(script).verdicts if v.rule is rule]
    return min(times) / 1000.0 if times else None


def shrink(script: Script, rule: Rule | None = None, runs_most: int = RUNS_MOST) -> Shrunk:
    """The rule that breaks first where none is named; ScriptError where none breaks."""
    if rule is None:
        verdicts = run_script(script).verdicts
        if not verdicts:
            raise ScriptError(f"seed {script.seed} breaks no rule")
        rule = min(verdicts, key=lambda v: v.at).rule
    return Shrinker(script, rule, runs_most).run()
