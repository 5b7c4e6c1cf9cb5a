"""The smallest script that still breaks the same rule: leaves out what is not needed, and tries again."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from stackwheel.rules.violations import Rule
from stackwheel.trials.faults import Fault, machine_name_fields
from stackwheel.trials.script import Script, ScriptError, check
from stackwheel.trials.shape import machine_names
from stackwheel.trials.simulation import run_script

MAX_RUNS = 400  # trials that one shrinking may take
KEPT_AFTER_BREAK_S = 0.5
SMALLER_SIZES: dict[str, tuple[int, ...]] = {  # by field of the shape: what is tried, the smallest first
    "zones": (1, 2),
    "planners": (1, 2),
    "proxies": (1, 2, 4, 8),
    "servers": (2, 4, 6, 8),
}

BreakFinder = Callable[[Script, Rule], float | None]


@dataclass(slots=True)
class ShrinkResult:
    """The smallest script found, the rule that it breaks, when (s), and how many trials that took."""

    script: Script
    rule: Rule
    broken_at: float
    runs: int


class Shrinker:
    """Makes a script smaller as long as it breaks a rule.

    Attributes:
        best: The smallest script so far.
        broken_at: When it breaks the rule, in s.
        runs: Trials so far.
    """

    def __init__(
        self,
        script: Script,
        rule: Rule,
        max_runs: int = MAX_RUNS,
        find_break: BreakFinder | None = None,
    ) -> None:
        self.best = script
        self.rule = rule
        self.runs_left = max_runs
        self.find_break = find_break or first_break
        self.broken_at = 0.0
        self.runs = 0

    def still_breaks(self, script: Script) -> bool:
        """Whether a smaller script still breaks the rule; it is the best from then on."""
        if self.runs_left <= 0:
            return False
        try:
            check(script)
        except ScriptError:
            return False
        self.runs_left -= 1
        self.runs += 1
        broken_at = self.find_break(script, self.rule)
        if broken_at is None:
            return False
        self.best = script
        self.broken_at = broken_at
        return True

    def run(self) -> ShrinkResult:
        """Shrink the script; the result is the script itself where nothing smaller breaks the rule.

        Raises:
            ScriptError: The script does not break the rule.
        """
        if not self.still_breaks(self.best):
            raise ScriptError("", f"seed {self.best.seed} does not break the rule: {self.rule.value}")
        self.shorten()
        before = None
        while before != self.best and self.runs_left > 0:
            before = self.best
            self.drop_faults()
            self.drop_names()
            self.reduce_shape()
            self.shorten()
        return ShrinkResult(self.best, self.rule, self.broken_at, self.runs)

    def shorten(self) -> None:
        """End the script soon after the break."""
        span = round(min(self.best.span, self.broken_at + KEPT_AFTER_BREAK_S), 1)
        if span < self.best.span:
            faults = tuple(fault for fault in self.best.faults if fault.at <= span)
            self.still_breaks(msgspec.structs.replace(self.best, span=span, faults=faults))

    def drop_faults(self) -> None:
        """Leave faults out: halves first, then smaller pieces, down to single faults."""
        size = max(1, len(self.best.faults) // 2)
        while size >= 1 and self.best.faults:
            start = 0
            while start < len(self.best.faults):
                faults = self.best.faults[:start] + self.best.faults[start + size :]
                if not self.still_breaks(msgspec.structs.replace(self.best, faults=faults)):
                    start += size
            size //= 2

    def drop_names(self) -> None:
        """Leave machines out of faults."""
        for index in range(len(self.best.faults)):
            for field in machine_name_fields(self.best.faults[index]):
                self.drop_names_of(index, field)

    def drop_names_of(self, index: int, field: str) -> None:
        """Leave names out of one field of a fault, down to one."""
        place = 0
        names = machine_name_fields(self.best.faults[index])[field]
        while place < len(names) > 1:
            fewer = names[:place] + names[place + 1 :]
            fault = msgspec.structs.replace(self.best.faults[index], **{field: fewer})
            if self.still_breaks(self.with_fault(index, fault)):
                names = fewer
            else:
                place += 1

    def with_fault(self, index: int, fault: Fault) -> Script:
        """The best script with another fault in one place."""
        faults = (*self.best.faults[:index], fault, *self.best.faults[index + 1 :])
        return msgspec.structs.replace(self.best, faults=faults)

    def reduce_shape(self) -> None:
        """Make the deployment smaller, one figure after the other."""
        for name, sizes in SMALLER_SIZES.items():
            for size in sizes:
                if size < getattr(self.best.shape, name) and self.still_breaks(self.with_size(name, size)):
                    break

    def with_size(self, name: str, size: int) -> Script:
        """The best script with a smaller deployment, and the faults that fit it."""
        shape = msgspec.structs.replace(self.best.shape, **{name: size})
        smaller = msgspec.structs.replace(self.best, shape=shape)
        return msgspec.structs.replace(smaller, faults=tuple(fitting_faults(smaller)))


def fitting_faults(script: Script) -> Iterator[Fault]:
    """The faults of a script, without the machines that its shape does not have."""
    for fault in script.faults:
        present = {
            field: tuple(name for name in names if machine_names((name,), script.shape))
            for field, names in machine_name_fields(fault).items()
        }
        if all(present.values()):
            yield msgspec.structs.replace(fault, **present)


def first_break(script: Script, rule: Rule) -> float | None:
    """When a script breaks a rule first, in s; None where it keeps it."""
    times = [verdict.at for verdict in run_script(script).verdicts if verdict.rule is rule]
    return min(times) / 1000.0 if times else None


def shrink(script: Script, rule: Rule | None = None, max_runs: int = MAX_RUNS) -> ShrinkResult:
    """Shrink a script; where no rule is named, by the one that breaks first.

    Raises:
        ScriptError: The script breaks no rule, or not this one.
    """
    if rule is None:
        verdicts = run_script(script).verdicts
        if not verdicts:
            raise ScriptError("", f"seed {script.seed} breaks no rule")
        rule = min(verdicts, key=lambda verdict: verdict.at).rule
    return Shrinker(script, rule, max_runs).run()
