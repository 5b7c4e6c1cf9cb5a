"""One cell's part of the list: its entries, and a compacted log of their changes.

The log holds the last change of each server, not every change: whoever goes on after a generation wants to know
how things are, not how they came to be so. The change of a present server is its entry. Those of departed servers
are kept up to a bound.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from stackwheel.endpoints import MAX_LIST_AGE, MIN_REMOVED_KEPT, REMOVED_KEPT_RATIO, Instance
from stackwheel.interface import Availability
from stackwheel.relay.encoding import encode_instance, encode_line, encode_unreadable

DEPARTED_LEAST = MIN_REMOVED_KEPT  # departed servers kept whatever the size: as many as a planner remembers
DEPARTED_SHARE = REMOVED_KEPT_RATIO  # and this times the present ones, so that a log is never longer than three lists
AHEAD_MOST = 64  # generations ahead of this relay that are remembered: four a planner of a cell of 16
ANSWERS_MOST = 16  # encoded answers kept, one a generation that is asked for: one a planner of the cell


@dataclass(frozen=True, slots=True)
class Change:
    """The last that was told of a server."""

    instance: Instance
    encoded: bytes
    generation: int
    late: bool  # told when the generation had been told already: who knows that generation may not know this


class Part:
    """Entries and log of one cell. Generations are the registry's, times are ms."""

    def __init__(self, generation: int) -> None:
        self.present: dict[str, Change] = {}
        self.departed: dict[str, Change] = {}  # the first to go first
        self.floor = generation  # the log tells all that has changed after it
        self.former = -1  # the highest generation of a numbering that the registry has given up
        self.ahead: dict[int, float] = {}  # generations that callers know and this relay does not, since when
        self.body: bytes | None = None  # the entries of the whole part, encoded
        self.answers: dict[int, bytes] = {}  # changes after a generation, encoded
        self.answers_of = generation  # the generation that they lead to

    def put(self, instance: Instance, generation: int, late: bool) -> bytes:
        """Note a change, a departure if the instance is gone; the encoded entry."""
        name = instance.name
        change = Change(instance, encode_instance(instance), generation, late)
        self.present.pop(name, None)
        self.departed.pop(name, None)
        kept = self.departed if instance.availability is Availability.REMOVED else self.present
        kept[name] = change
        self._forget_departed()
        self._changed()
        return change.encoded

    def depart(self, name: str, generation: int, late: bool) -> bytes | None:
        """Note that a server has left the cell; the encoded entry, None if it was not here."""
        if name not in self.present:
            return None
        return self.put(replace(self.present[name].instance, availability=Availability.REMOVED), generation, late)

    def begin(self, instances: Iterable[Instance], generation: int, former: int = -1) -> None:
        """Hold these entries alone, with a log that begins here; `former` as the attribute."""
        self.present = {one.name: Change(one, encode_instance(one), generation, False) for one in instances}
        self.departed.clear()
        self.ahead.clear()
        self.floor, self.former = generation, former
        self._changed()

    def resumes(self, since: int) -> bool:
        """Whether the log tells all that has changed after a generation. One that the registry may have told in
        a former numbering says nothing."""
        return since >= self.floor and since > max(0, self.former)

    def changes(self, since: int, generation: int) -> bytes:
        """The line with what changed after a generation that `resumes`, up to the present one."""
        if generation != self.answers_of:
            self.answers.clear()
            self.answers_of = generation
        line = self.answers.get(since)
        if line is None:
            line = encode_line(generation, False, self._changed_after(since))
            if len(self.answers) < ANSWERS_MOST:
                self.answers[since] = line
        return line

    def whole(self, generation: int, unreadable: Iterable[str]) -> bytes:
        """The line with all entries, and with those that could not be read."""
        if self.body is None:
            self.body = b",".join(change.encoded for change in self.present.values())
        entries = [self.body] if self.body else []
        return encode_line(generation, True, entries + [encode_unreadable(name) for name in unreadable])

    def waits_for(self, since: int, now: float) -> bool:
        """Whether a generation ahead of this relay may still reach it: the twin may be ahead. Where it does not
        come while a list can be that old, the registry counts in other numbers now."""
        first = self.ahead.get(since)
        if first is None:
            if len(self.ahead) >= AHEAD_MOST:
                self.ahead.pop(next(iter(self.ahead)))
            first = self.ahead[since] = now
        return now < first + MAX_LIST_AGE

    def _changed_after(self, since: int) -> list[bytes]:
        return [
            change.encoded
            for changes in (self.departed, self.present)
            for change in changes.values()
            if change.generation > since or (change.late and change.generation == since)
        ]

    def _forget_departed(self) -> None:
        most = max(DEPARTED_LEAST, DEPARTED_SHARE * len(self.present))
        while len(self.departed) > most:
            name = next(iter(self.departed))
            dropped = self.departed.pop(name)
            # a late change was told within its generation: who knows only that may lack it
            self.floor = max(self.floor, dropped.generation + dropped.late)

    def _changed(self) -> None:
        self.body = None
        self.answers.clear()
