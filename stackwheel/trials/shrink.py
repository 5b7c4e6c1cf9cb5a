"""Shrinks a script that breaks a rule: removes faults, names and machines while the rule is still broken."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from stackwheel.rules.violations import Rule
from stackwheel.trials.faults import Fault, machine_name_fields
from stackwheel.trials.script import Script, ScriptError, check
from stackwheel.trials.shape import machine_names
from stackwheel.trials.simulation import run_script

MAX_RUNS = 400
SPAN_AFTER_VIOLATION_S = 0.5
CANDIDATE_SIZES: dict[str, tuple[int, ...]] = {
    "zones": (1, 2),
    "planners": (1, 2),
    "proxies": (1, 2, 4, 8),
    "servers": (2, 4, 6, 8),
}

ViolationFinder = Callable[[Script, Rule], float | None]


@dataclass(slots=True)
class ShrinkResult:
    """Result of shrinking a script.

    Attributes:
        script: The smallest script found.
        rule: The rule that it breaks.
        broken_at: Time of the first violation, in s of virtual time.
        runs: Number of trials run.
    """

    script: Script
    rule: Rule
    broken_at: float
    runs: int


class Shrinker:
    """Searches for a smaller script that still breaks a rule.

    Attributes:
        best: The smallest script so far.
        rule: The rule to break.
        runs_left: Number of trials that may still be run.
        find_violation_time: Returns the time at which a script first breaks a rule, in s, or None if it does not.
        broken_at: Time of the first violation in `best`, in s of virtual time.
        runs: Number of trials run so far.
    """

    def __init__(
        self,
        script: Script,
        rule: Rule,
        max_runs: int = MAX_RUNS,
        find_violation_time: ViolationFinder | None = None,
    ) -> None:
        self.best = script
        self.rule = rule
        self.runs_left = max_runs
        self.find_violation_time = find_violation_time or first_violation_time
        self.broken_at = 0.0
        self.runs = 0

    def try_candidate(self, script: Script) -> bool:
        """Return whether a candidate is valid and breaks the rule; if so, it becomes `best`."""
        if self.runs_left <= 0:
            return False
        try:
            check(script)
        except ScriptError:
            return False
        self.runs_left -= 1
        self.runs += 1
        broken_at = self.find_violation_time(script, self.rule)
        if broken_at is None:
            return False
        self.best = script
        self.broken_at = broken_at
        return True

    def run(self) -> ShrinkResult:
        """Shrink the script; the result is the script itself if no smaller one breaks the rule.

        Raises:
            ScriptError: The script does not break the rule, or no trial may be run.
        """
        if not self.try_candidate(self.best):
            raise ScriptError("", f"seed {self.best.seed} does not break the rule: {self.rule.value}")
        # Only then is the script shortened: without an unneeded fault, the rule may be broken somewhat later.
        self.drop_faults()
        self.shorten()
        previous_best = None
        while previous_best != self.best and self.runs_left > 0:
            previous_best = self.best
            self.drop_faults()
            self.drop_names()
            self.reduce_shape()
            self.shorten()
        return ShrinkResult(self.best, self.rule, self.broken_at, self.runs)

    def shorten(self) -> None:
        """End the script shortly after the first violation."""
        span = round(min(self.best.span, self.broken_at + SPAN_AFTER_VIOLATION_S), 1)
        if span < self.best.span:
            faults = tuple(fault for fault in self.best.faults if fault.at <= span)
            self.try_candidate(msgspec.structs.replace(self.best, span=span, faults=faults))

    def drop_faults(self) -> None:
        """Remove faults: first half of them at a time, then smaller groups, then single faults."""
        size = max(1, len(self.best.faults) // 2)
        while size >= 1 and self.best.faults:
            start = 0
            while start < len(self.best.faults):
                faults = self.best.faults[:start] + self.best.faults[start + size :]
                if not self.try_candidate(msgspec.structs.replace(self.best, faults=faults)):
                    start += size
            size //= 2

    def drop_names(self) -> None:
        """Remove machine names from faults."""
        for index in range(len(self.best.faults)):
            for field in machine_name_fields(self.best.faults[index]):
                self.drop_names_of_field(index, field)

    def drop_names_of_field(self, index: int, field: str) -> None:
        """Remove names from one field of a fault, except the last one."""
        name_index = 0
        names = machine_name_fields(self.best.faults[index])[field]
        while name_index < len(names) > 1:
            remaining = names[:name_index] + names[name_index + 1 :]
            fault = msgspec.structs.replace(self.best.faults[index], **{field: remaining})
            if self.try_candidate(self.with_fault(index, fault)):
                names = remaining
            else:
                name_index += 1

    def with_fault(self, index: int, fault: Fault) -> Script:
        """Return `best` with the fault at an index replaced."""
        faults = (*self.best.faults[:index], fault, *self.best.faults[index + 1 :])
        return msgspec.structs.replace(self.best, faults=faults)

    def reduce_shape(self) -> None:
        """Reduce the number of zones, planners, proxies and servers, one after the other, smallest size first."""
        for name, sizes in CANDIDATE_SIZES.items():
            for size in sizes:
                if size < getattr(self.best.shape, name) and self.try_candidate(self.with_size(name, size)):
                    break

    def with_size(self, name: str, size: int) -> Script:
        """Return `best` with one field of the shape reduced, without the faults that no longer match the shape."""
        shape = msgspec.structs.replace(self.best.shape, **{name: size})
        smaller = msgspec.structs.replace(self.best, shape=shape)
        return msgspec.structs.replace(smaller, faults=tuple(fitting_faults(smaller)))


def fitting_faults(script: Script) -> Iterator[Fault]:
    """Yield the faults of a script without the names that match no machine; faults left without names are omitted."""
    for fault in script.faults:
        matching = {
            field: tuple(name for name in names if machine_names((name,), script.shape))
            for field, names in machine_name_fields(fault).items()
        }
        if all(matching.values()):
            yield msgspec.structs.replace(fault, **matching)


def first_violation_time(script: Script, rule: Rule) -> float | None:
    """Run a script and return the time of its first violation of a rule, in s; None if there is none."""
    times = [verdict.at for verdict in run_script(script).verdicts if verdict.rule is rule]
    return min(times) / 1000.0 if times else None


def shrink(script: Script, rule: Rule | None = None, max_runs: int = MAX_RUNS) -> ShrinkResult:
    """Shrink a script that breaks `rule`, by default the rule that it breaks first.

    Raises:
        ScriptError: The script breaks no rule, or not `rule`.
    """
    if rule is None:
        verdicts = run_script(script).verdicts
        if not verdicts:
            raise ScriptError("", f"seed {script.seed} breaks no rule")
        rule = min(verdicts, key=lambda verdict: verdict.at).rule
    return Shrinker(script, rule, max_runs).run()
