"""The list as kept: older states, discoveries that begin anew, former processes, entries that can't be read."""

from typing import NoReturn

import pytest

from stackwheel import interface as face
from stackwheel.endpoints import MAX_LIST_AGE, EndpointList, Instance
from stackwheel.interface import Availability
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.server_ids import ServerIds, server_id

READY, DRAINING, GONE = Availability.READY, Availability.DRAINING, Availability.REMOVED


def one(name: str, state: Availability = READY, started: float = 0.0, zone: str = "east") -> Instance:
    return Instance(name, "127.0.0.1:1", zone, "small", 0, state, 1.0, started)


def whole(generation: int, *instances: Instance, unreadable: tuple[str, ...] = (), anew: bool = False) -> EndpointList:
    return EndpointList(generation, True, instances, frozenset(unreadable), anew)


def changes(generation: int, *instances: Instance) -> EndpointList:
    return EndpointList(generation, False, instances)


class Kept:
    def __init__(self, *listings: EndpointList) -> None:
        self.roster = EndpointCache(("east", "west"), ("small",), ServerIds())
        self.told: dict[face.Server, face.EndpointEntry] = {}
        self.take(whole(40, one("a"), one("b"), one("c")), *listings)

    def take(self, *listings: EndpointList, now: float = 0.0) -> None:
        """As the policy keeps it: what it is told, and nothing else."""
        for listing in listings:
            update = self.roster.apply(listing, now)
            if update.kind is face.UpdateKind.FULL:
                self.told = {}
            self.told.update({entry.server: entry for entry in update.entries})

    def ready(self) -> set[str]:
        told = {s for s, e in self.told.items() if e.availability is READY}
        assert told == {s for s, e in self.roster.entries.items() if e.availability is READY}
        return {str(self.roster.server_ids.name(s)) for s in told}


OVERTAKEN = whole(41, one("a"), one("b"), one("c"))  # the state before b drained and c left


def test_an_older_whole_list_brings_nothing_back() -> None:
    """It was believed whole, and what drained or had left was ready again."""
    kept = Kept(changes(42, one("b", DRAINING)), changes(43, one("c", GONE)), changes(44, one("d")))
    kept.take(OVERTAKEN, now=1000.0)
    assert kept.ready() == {"a", "d"} and kept.roster.generation == 44
    assert kept.roster.settled(1000.0 + MAX_LIST_AGE - 1.0) is None
    kept.take(changes(45, one("e")), now=2000.0)  # the line of generations goes on: it was stale
    assert kept.roster.settled(1e9) is None
    assert kept.ready() == {"a", "d", "e"}


def test_a_discovery_that_began_anew_holds_once_nothing_newer_can_come() -> None:
    kept = Kept(changes(42, one("b", DRAINING)), changes(43, one("c", GONE)), changes(44, one("d")))
    kept.take(whole(1, one("a"), one("b"), one("c")), now=1000.0)
    kept.take(changes(2, one("f"), one("a", DRAINING)), now=2000.0)
    assert kept.ready() == {"d", "f"}  # drains count from any generation
    settled = kept.roster.settled(1000.0 + MAX_LIST_AGE)
    assert settled is not None
    kept.take(settled, now=1000.0 + MAX_LIST_AGE)
    assert kept.ready() == {"b", "c", "f"} and kept.roster.generation == 2
    kept.take(changes(3, one("g")))
    assert kept.ready() == {"b", "c", "f", "g"} and kept.roster.settled(1e9) is None


def test_where_changes_pass_a_doubted_list_the_whole_list_is_asked_for_once() -> None:
    """Discovery began anew without c, and reached the old generations before its list could hold: c stayed listed."""
    kept = Kept(changes(42, one("b", DRAINING)))
    assert not kept.roster.lacks_whole()
    kept.take(whole(1, one("a"), one("b")), now=1000.0)
    assert not kept.roster.lacks_whole()  # it may still hold by itself
    kept.take(changes(42, one("d")), now=2000.0)
    assert kept.ready() == {"a", "c", "d"} and kept.roster.lacks_whole() and not kept.roster.lacks_whole()
    kept.take(whole(42, one("a"), one("b"), one("d")), now=2100.0)
    assert kept.ready() == {"a", "b", "d"} and not kept.roster.lacks_whole()


@pytest.mark.parametrize("answer", [whole(42, one("a")), whole(7, one("a"), anew=True)])
def test_a_whole_list_that_comes_by_itself_need_not_be_asked_for(answer: EndpointList) -> None:
    kept = Kept(changes(42, one("b", DRAINING)))
    kept.take(whole(1, one("a"), one("b")), changes(42, one("d")), answer)
    assert kept.ready() == {"a"} and not kept.roster.lacks_whole()


def test_a_discovery_that_began_anew_and_revives_nothing_is_believed_at_once() -> None:
    """Its departures bind from their telling: they may not wait."""
    kept = Kept(changes(42, one("b", DRAINING)))
    kept.take(whole(1, one("a")))
    assert kept.ready() == {"a"} and kept.roster.generation == 1


def test_a_list_of_a_discovery_that_moved_is_taken_whole() -> None:
    kept = Kept(changes(42, one("b", GONE)))
    kept.take(whole(7, one("b"), anew=True))
    assert kept.ready() == {"b"} and kept.roster.generation == 7


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_a_former_process_takes_out_nothing(state: Availability) -> None:
    """An older generation that tells the drain of a server's former process took its new one out."""
    kept = Kept(changes(42, one("b", GONE, 100.0)), changes(43, one("b", READY, 500.0)))
    kept.take(changes(41, one("b", state, 100.0)))
    assert kept.ready() == {"a", "b", "c"}
    kept.take(changes(41, one("b", state, 500.0)))  # but that of this one does
    assert kept.ready() == {"a", "c"}


def test_what_left_is_not_listed_again_as_draining() -> None:
    kept = Kept(changes(43, one("b", GONE)))
    kept.take(changes(42, one("b", DRAINING)))
    assert server_id("b") not in kept.roster.entries


@pytest.mark.parametrize("removal_is_advisory", [True, False])
def test_a_late_drain_of_what_has_left_is_told_where_departures_do_not_bind(removal_is_advisory: bool) -> None:
    """The policy keeps what the list dropped there, and an older generation's drain of it was left out (seed 700451)."""
    kept = Kept(changes(41, one("c", READY, 100.0)), changes(43, one("b", GONE), one("c", GONE, 100.0)))
    kept.roster.removal_is_advisory = removal_is_advisory
    update = kept.roster.apply(changes(42, one("a"), one("b", DRAINING), one("c", DRAINING)))  # c: its former process
    told = [(kept.roster.server_ids.name(entry.server), entry.availability) for entry in update.entries]
    assert told == ([("b", DRAINING)] if removal_is_advisory else [])
    assert list(kept.roster.entries) == list(kept.roster.addresses) == [server_id("a")]
    assert kept.roster.generation == 43 and list(kept.roster.removed) == [server_id("b"), server_id("c")]


@pytest.mark.parametrize(("unreadable", "left"), [(("b",), {"a", "b"}), (("",), {"a", "b", "c"}), ((), {"a"})])
def test_an_entry_that_cannot_be_read_is_no_departure(unreadable: tuple[str, ...], left: set[str]) -> None:
    """A whole list without it took a good server away; of one whose name is lost nobody can say who it was."""
    kept = Kept()
    kept.take(whole(41, one("a"), unreadable=unreadable))
    assert kept.ready() == left


def test_an_unknown_zone_is_no_departure() -> None:
    kept = Kept()
    kept.take(whole(41, one("a"), one("b", zone="moon"), one("new", zone="moon")))
    assert kept.ready() == {"a", "b"}


def test_of_doubled_entries_the_later_process_or_the_last_word_counts() -> None:
    kept = Kept()
    kept.take(
        changes(
            41,
            one("a", GONE),
            one("a", READY, 900.0),
            one("b", READY, 900.0),
            one("b", GONE, 100.0),
            one("c"),
            one("c", DRAINING),
        )
    )
    assert kept.ready() == {"a", "b"}
    assert kept.roster.entries[server_id("b")].started_at == 900.0


def test_what_was_met_at_a_former_process_is_told_apart() -> None:
    kept = Kept(changes(41, one("b", GONE, 100.0)), changes(42, one("b", READY, 5000.0), one("new", READY, 5000.0)))
    roster = kept.roster
    assert roster.past(server_id("b"), 4999.0) and not roster.past(server_id("b"), 5000.0)
    assert not roster.past(server_id("new"), 4000.0)  # nobody else had that id
    kept.take(whole(43, one("a", READY, 7000.0)))
    assert roster.past(server_id("a"), 6000.0) and list(roster.renewed) == [server_id("a")]  # and b is forgotten


class Unwalked(dict[face.Server, object]):
    """A mapping that is looked into and changed, never gone through."""

    def __iter__(self) -> NoReturn:
        raise AssertionError("gone through")

    keys = items = values = __iter__  # type: ignore[assignment]


@pytest.mark.parametrize("generation", [41, 3])
def test_changes_cost_by_what_they_name_and_not_by_the_list(generation: int) -> None:
    """Each list of changes copied all that is listed and all that is gone."""
    kept = Kept(changes(40, one("c", GONE, 100.0)))
    roster = kept.roster
    roster.entries, roster.removed = Unwalked(roster.entries), Unwalked(roster.removed)  # type: ignore[assignment]
    words = (one("a", DRAINING), one("b", GONE), one("c", READY, 500.0), one("d"))
    update = roster.apply(changes(generation, *words))
    assert [str(roster.server_ids.name(entry.server)) for entry in update.entries] == ["a", "b", "c", "d"]
    assert {str(roster.server_ids.name(s)) for s in dict.__iter__(roster.entries)} == {"a", "c", "d"}
    assert list(roster.renewed) == [server_id("c")] and list(dict.__iter__(roster.removed)) == [server_id("b")]
