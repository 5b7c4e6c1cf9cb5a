"""The core of a relay: the registry's list in, lines for the watchers of each cell out.

`ListingCache` is a state machine over values. Each method takes an event and the time (ms, of one clock that
never goes back) and gives what is to be done; it does no I/O. Generations are the registry's.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace

from stackwheel.endpoints import MAX_LIST_AGE, EndpointList, Instance, latest_by_name, merge
from stackwheel.interface import Availability
from stackwheel.relay.contact import Contact
from stackwheel.relay.encoding import encode_line
from stackwheel.relay.messages import Action, Answer, EndWatches, Resumed, TellChanges, TellWhole, Unavailable, WholeDue
from stackwheel.relay.part import Part

Locate = Callable[[str, str], str | None]  # name and zone of a server: the served cell that holds it

UNREADABLE_MOST = 64  # names of entries that can't be read; beyond it any server may be one of them
PLAN_SETTLES = 60_000.0  # ms: all relays have read a new plan by then, see docs/relay.md


@dataclass(slots=True)
class Doubted:
    """A whole list of an older generation, held until it must be the registry's present word."""

    listing: EndpointList
    since: float
    patience: float  # ms


@dataclass(frozen=True, slots=True)
class Gap:
    """Generations between two, not with them, that the registry told this relay nothing of: a whole list came in
    their place, which names no server that came and went in between."""

    begin: int
    end: int

    def __contains__(self, generation: int) -> bool:
        return self.begin < generation < self.end


class ListingCache:
    """All servers that the registry lists, and the part of each cell that this relay serves.

    `silence`: ms without a line or beat after which the registry is lost; `beat`: ms between two beats.
    """

    def __init__(self, locate: Locate, cells: Iterable[str], silence: float, beat: float) -> None:
        self.locate, self.beat = locate, beat
        self.contact = Contact(silence)
        self.generation: int | None = None  # None: no list yet
        self.known: dict[str, Instance] = {}  # of all cells, so that a new plan needs no new list
        self.homes: dict[str, str] = {}  # the cell of each server that is in a served one
        self.parts = {cell: Part(0) for cell in cells}
        self.unreadable: tuple[str, ...] = ()  # servers not known that the list may hold; "": any
        self.doubted: Doubted | None = None
        self.former = -1  # the highest generation of a numbering that the registry has given up
        self.gap = Gap(0, 0)  # the last one
        self.floor = 0  # the end of the gap before it
        self.plan_settles_at = 0.0  # until then the twin may have told by another plan

    # Events

    def take(self, listing: EndpointList, now: float) -> tuple[Action, ...]:
        """The registry has told a list or changes. It counts as heard."""
        self.contact.heard(now)
        listing = replace(listing, instances=latest_by_name(listing.instances))
        if self.generation is None:
            return self._begin(listing)
        if listing.generations_restarted:
            return self._begin_anew(listing)
        if listing.generation < self.generation:
            return self._take_older(listing, now)
        self.doubted = None
        return self._advance(listing)

    def heard(self, now: float) -> None:
        """The registry vouches for what it told last."""
        self.contact.heard(now)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Time has passed; to be called several times a beat."""
        if self.contact.lapse(now):
            for part in self.parts.values():
                part.ahead.clear()
            return (EndWatches(tuple(self.parts), "the registry is lost"),)
        doubted = self.doubted
        if doubted is None or not self.contact.vouched(now) or now < doubted.since + doubted.patience:
            return ()
        return self._begin_anew(doubted.listing)

    def replan(self, locate: Locate, cells: Iterable[str], now: float) -> tuple[Action, ...]:
        """Another plan holds: the cells served now, and where each server belongs."""
        cells = tuple(cells)
        ended = tuple(cell for cell in self.parts if cell not in cells)
        # a part that begins here knows no departures: nobody goes on after what was told elsewhere
        fresh = (self.generation or 0) + 1
        self.parts = {cell: self.parts.get(cell) or Part(fresh) for cell in cells}
        self.locate, self.plan_settles_at = locate, now + PLAN_SETTLES
        self.homes = {name: cell for name, cell in self.homes.items() if cell in self.parts}
        moved = [one for one in self.known.values() if self._cell(one) != self.homes.get(one.name)]
        actions = self._tell(moved, late=True)
        return (EndWatches(ended, "the cell is served elsewhere"), *actions) if ended else actions

    # Questions

    def vouches(self, now: float) -> bool:
        """Whether the list may be told as the present one."""
        return self.generation is not None and self.contact.vouched(now)

    def ask(self, cell: str, since: int | None, now: float) -> Answer:
        """A call for a cell's part, or for what changed after a generation that the caller knows."""
        part = self.parts.get(cell)
        if part is None:
            return Unavailable("the cell is served elsewhere")
        if self.generation is None:
            return Unavailable("no list yet")
        if not self.vouches(now):
            return Unavailable("the registry is lost")
        if since is None:
            return WholeDue()
        if since > self.generation:
            return Unavailable("behind what the caller knows") if part.waits_for(since, now) else WholeDue()
        if now < self.plan_settles_at or since < self.floor or since in self.gap or not part.resumes(since):
            return WholeDue()
        return Resumed(part.changes(since, self.generation))

    def whole(self, cell: str) -> bytes | None:
        """The line with a cell's whole part as it is now; None if it is not served here."""
        part = self.parts.get(cell)
        return None if part is None else part.whole(self.generation or 0, self.unreadable)

    # Listings

    def _begin(self, listing: EndpointList) -> tuple[Action, ...]:
        """The first list: a watch that knows nothing is told all, in whatever form."""
        present = [one for one in listing.instances if one.availability is not Availability.REMOVED]
        self._hold(listing, present)
        return ()

    def _begin_anew(self, listing: EndpointList) -> tuple[Action, ...]:
        """The registry's numbers, or its word, say nothing of those known: all are told the whole part."""
        self.doubted = None
        self.former = max(self.former, self.generation or 0)
        named = {one.name for one in listing.instances}
        kept = [one for name, one in self.known.items() if name not in named and may_be_in(name, listing.unreadable)]
        present = [one for one in listing.instances if one.availability is not Availability.REMOVED]
        self._hold(listing, kept + present)
        return tuple(TellWhole(cell) for cell in self.parts)

    def _hold(self, listing: EndpointList, present: Iterable[Instance]) -> None:
        self.generation = listing.generation
        self.known = {one.name: one for one in present}
        self.unreadable = ()
        self.floor, self.gap = 0, Gap(0, 0)
        self._note_unreadable(listing)
        self.homes = {}
        members: dict[str, list[Instance]] = {cell: [] for cell in self.parts}
        for one in self.known.values():
            if (cell := self._cell(one)) is not None:
                self.homes[one.name] = cell
                members[cell].append(one)
        for cell, part in self.parts.items():
            part.begin(members[cell], self.generation, self.former)

    def _advance(self, listing: EndpointList) -> tuple[Action, ...]:
        assert self.generation is not None
        late = listing.generation == self.generation
        former, self.generation = self.generation, listing.generation
        changed = [one for one in listing.instances if self.known.get(one.name) != one]
        if listing.complete:
            named = {one.name for one in listing.instances}
            changed += [
                replace(one, availability=Availability.REMOVED)
                for name, one in self.known.items()
                if name not in named and not may_be_in(name, listing.unreadable)
            ]
            self.unreadable = ()
            if self.generation > former + 1:
                self.floor, self.gap = self.gap.end, Gap(former, self.generation)
        actions = self._tell(changed, late)
        self._note_unreadable(listing)
        return actions

    def _take_older(self, listing: EndpointList, now: float) -> tuple[Action, ...]:
        """Of an older generation what still tells something counts at once. A whole list may be the word of a
        registry that counts anew: it holds once nothing newer comes. Two watches may cross within a beat; a list
        that brings back what has left or drains gets the longest that any list can be old."""
        if listing.complete:
            since = now if self.doubted is None else self.doubted.since
            self.doubted = Doubted(listing, since, MAX_LIST_AGE if self._revives(listing) else self.beat)
        elif self.doubted is not None:
            self.doubted.listing = merge(self.doubted.listing, listing)
        return self._tell([one for one in listing.instances if self._counts(one)], late=True)

    def _counts(self, one: Instance) -> bool:
        """As `Roster.counts`: a newer process, a server not known yet, or the known process drains or has left."""
        known = self.known.get(one.name)
        if known is not None and one.started_at == known.started_at:
            return one.availability not in (Availability.READY, known.availability)
        started = known.started_at if known is not None else self._departed_process(one)
        return started is None or one.started_at > started

    def _revives(self, listing: EndpointList) -> bool:
        """Whether it has a process ready that is known to drain, or present that is known to have left."""
        for one in listing.instances:
            known = self.known.get(one.name)
            drains = known is not None and known.availability is Availability.DRAINING
            if drains and one.availability is Availability.READY and one.started_at <= known.started_at:  # type: ignore[union-attr]
                return True
            left = self._departed_process(one)
            if left is not None and one.availability is not Availability.REMOVED and one.started_at <= left:
                return True
        return False

    def _departed_process(self, one: Instance) -> float | None:
        """When the process that departed under that name had started; None if none is known to have departed."""
        cell = self._cell(one)
        change = None if cell is None else self.parts[cell].departed.get(one.name)
        return None if change is None or one.name in self.known else change.instance.started_at

    # Changes

    def _tell(self, changed: Iterable[Instance], late: bool) -> tuple[Action, ...]:
        """Note changes in the cells that they concern; a line for each of these."""
        told: dict[str, list[bytes]] = {}
        for one in changed:
            for cell, entry in self._note(one, late):
                told.setdefault(cell, []).append(entry)
        generation = self.generation or 0
        return tuple(TellChanges(cell, encode_line(generation, False, entries)) for cell, entries in told.items())

    def _note(self, one: Instance, late: bool) -> Iterator[tuple[str, bytes]]:
        """Note a change; each cell that it concerns, with the entry to tell there."""
        generation, name = self.generation or 0, one.name
        here = one.availability is not Availability.REMOVED
        former, cell = self.homes.pop(name, None), self._cell(one)
        if here:
            self.known[name] = one
        else:
            self.known.pop(name, None)
        if former is not None and former != cell:  # it departs from the cell where it was
            entry = self.parts[former].depart(name, generation, late)
            if entry is not None:
                yield former, entry
        if cell is not None and (here or former == cell or (former is None and self._departs_unknown(one, cell))):
            if here:
                self.homes[name] = cell
            yield cell, self.parts[cell].put(one, generation, late)

    def _departs_unknown(self, one: Instance, cell: str) -> bool:
        """Whether a departure is told of a server that is not known, and for the first time."""
        change = self.parts[cell].departed.get(one.name)
        return change is None or change.instance != one

    def _cell(self, one: Instance) -> str | None:
        cell = self.locate(one.name, one.zone)
        return cell if cell in self.parts else None

    def _note_unreadable(self, listing: EndpointList) -> None:
        """Keep the names of entries that could not be read and are of no known server."""
        names = {*self.unreadable, *listing.unreadable}
        if not names:
            return
        names -= {one.name for one in listing.instances} | self.known.keys()
        self.unreadable = tuple(sorted(names)) if len(names) <= UNREADABLE_MOST else ("",)


def may_be_in(name: str, unreadable: frozenset[str]) -> bool:
    """Whether an entry that could not be read may be this server's."""
    return name in unreadable or "" in unreadable
