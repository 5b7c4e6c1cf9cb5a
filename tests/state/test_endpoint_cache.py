"""The endpoint cache: older lists, restarted generations, earlier processes, unreadable entries."""

from typing import NoReturn

import pytest

from stackwheel import interface
from stackwheel.endpoints import MAX_LIST_AGE_MS, EndpointList, Instance
from stackwheel.interface import Availability
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.server_ids import ServerIds, server_id

READY, DRAINING, REMOVED = Availability.READY, Availability.DRAINING, Availability.REMOVED


def instance(name: str, availability: Availability = READY, started_at: float = 0.0, zone: str = "east") -> Instance:
    return Instance(name, "127.0.0.1:1", zone, "small", 0, availability, 1.0, started_at)


def complete_list(
    generation: int, *instances: Instance, unreadable: tuple[str, ...] = (), restarted: bool = False
) -> EndpointList:
    return EndpointList(generation, True, instances, frozenset(unreadable), restarted)


def delta(generation: int, *instances: Instance) -> EndpointList:
    return EndpointList(generation, False, instances)


class PolicyView:
    """An endpoint cache, and the endpoints that a policy knows from the cache's updates alone."""

    def __init__(self, *lists: EndpointList) -> None:
        self.cache = EndpointCache(("east", "west"), ("small",), ServerIds())
        self.known: dict[interface.ServerId, interface.EndpointEntry] = {}
        self.apply(complete_list(40, instance("a"), instance("b"), instance("c")), *lists)

    def apply(self, *lists: EndpointList, now: float = 0.0) -> None:
        for endpoint_list in lists:
            update = self.cache.apply(endpoint_list, now)
            if update.kind is interface.UpdateKind.FULL:
                self.known = {}
            self.known.update({entry.server: entry for entry in update.entries})

    def ready(self) -> set[str]:
        ready = {server for server, entry in self.known.items() if entry.availability is READY}
        assert ready == {server for server, entry in self.cache.entries.items() if entry.availability is READY}
        return {str(self.cache.server_ids.name(server)) for server in ready}


OVERTAKEN_LIST = complete_list(41, instance("a"), instance("b"), instance("c"))
"""The state before b started to drain and c was removed."""


def test_an_older_complete_list_does_not_revive_servers() -> None:
    """Guards against draining and removed servers becoming ready again."""
    view = PolicyView(delta(42, instance("b", DRAINING)), delta(43, instance("c", REMOVED)), delta(44, instance("d")))
    view.apply(OVERTAKEN_LIST, now=1000.0)
    assert view.ready() == {"a", "d"}
    assert view.cache.generation == 44
    assert view.cache.confirmed_snapshot(1000.0 + MAX_LIST_AGE_MS - 1.0) is None
    view.apply(delta(45, instance("e")), now=2000.0)  # continues the known generations, so the deferred list is stale
    assert view.cache.confirmed_snapshot(1e9) is None
    assert view.ready() == {"a", "d", "e"}


def test_restarted_generations_are_accepted_once_nothing_newer_can_be_in_transit() -> None:
    view = PolicyView(delta(42, instance("b", DRAINING)), delta(43, instance("c", REMOVED)), delta(44, instance("d")))
    view.apply(complete_list(1, instance("a"), instance("b"), instance("c")), now=1000.0)
    view.apply(delta(2, instance("f"), instance("a", DRAINING)), now=2000.0)
    assert view.ready() == {"d", "f"}  # draining is applied from any generation
    confirmed = view.cache.confirmed_snapshot(1000.0 + MAX_LIST_AGE_MS)
    assert confirmed is not None
    view.apply(confirmed, now=1000.0 + MAX_LIST_AGE_MS)
    assert view.ready() == {"b", "c", "f"}
    assert view.cache.generation == 2
    view.apply(delta(3, instance("g")))
    assert view.ready() == {"b", "c", "f", "g"}
    assert view.cache.confirmed_snapshot(1e9) is None


def test_changes_that_supersede_a_deferred_list_cause_one_fetch() -> None:
    """Guards against c staying listed after discovery restarted without it and soon reached the known generation."""
    view = PolicyView(delta(42, instance("b", DRAINING)))
    assert not view.cache.take_refetch_needed()
    view.apply(complete_list(1, instance("a"), instance("b")), now=1000.0)
    assert not view.cache.take_refetch_needed()  # the deferred list may still be accepted
    view.apply(delta(42, instance("d")), now=2000.0)
    assert view.ready() == {"a", "c", "d"}
    assert view.cache.take_refetch_needed()
    assert not view.cache.take_refetch_needed()
    view.apply(complete_list(42, instance("a"), instance("b"), instance("d")), now=2100.0)
    assert view.ready() == {"a", "b", "d"}
    assert not view.cache.take_refetch_needed()


@pytest.mark.parametrize("answer", [complete_list(42, instance("a")), complete_list(7, instance("a"), restarted=True)])
def test_no_fetch_is_needed_after_a_complete_list_arrives_unrequested(answer: EndpointList) -> None:
    view = PolicyView(delta(42, instance("b", DRAINING)))
    view.apply(complete_list(1, instance("a"), instance("b")), delta(42, instance("d")), answer)
    assert view.ready() == {"a"}
    assert not view.cache.take_refetch_needed()


def test_restarted_generations_that_revive_no_server_are_accepted_at_once() -> None:
    """Guards against deferring removals, which planners have to observe from their notification."""
    view = PolicyView(delta(42, instance("b", DRAINING)))
    view.apply(complete_list(1, instance("a")))
    assert view.ready() == {"a"}
    assert view.cache.generation == 1


def test_a_list_with_explicitly_restarted_generations_is_accepted() -> None:
    view = PolicyView(delta(42, instance("b", REMOVED)))
    view.apply(complete_list(7, instance("b"), restarted=True))
    assert view.ready() == {"b"}
    assert view.cache.generation == 7


@pytest.mark.parametrize("availability", [DRAINING, REMOVED])
def test_an_older_entry_of_an_earlier_process_does_not_affect_the_current_process(availability: Availability) -> None:
    """Guards against the drain or removal of an earlier process being applied to its successor."""
    view = PolicyView(delta(42, instance("b", REMOVED, 100.0)), delta(43, instance("b", READY, 500.0)))
    view.apply(delta(41, instance("b", availability, 100.0)))
    assert view.ready() == {"a", "b", "c"}
    view.apply(delta(41, instance("b", availability, 500.0)))  # an entry of the current process is applied
    assert view.ready() == {"a", "c"}


def test_a_removed_server_is_not_listed_again_as_draining() -> None:
    view = PolicyView(delta(43, instance("b", REMOVED)))
    view.apply(delta(42, instance("b", DRAINING)))
    assert server_id("b") not in view.cache.entries


@pytest.mark.parametrize("removal_is_advisory", [True, False])
def test_a_late_drain_of_a_removed_server_reaches_the_policy_where_removal_is_advisory(
    removal_is_advisory: bool,
) -> None:
    """Guards against ignoring the drain of a server that the policy still uses after its removal."""
    view = PolicyView(
        delta(41, instance("c", READY, 100.0)), delta(43, instance("b", REMOVED), instance("c", REMOVED, 100.0))
    )
    view.cache.removal_is_advisory = removal_is_advisory
    # The entry of c belongs to an earlier process than the removed one.
    update = view.cache.apply(delta(42, instance("a"), instance("b", DRAINING), instance("c", DRAINING)))
    notified = [(view.cache.server_ids.name(entry.server), entry.availability) for entry in update.entries]
    assert notified == ([("b", DRAINING)] if removal_is_advisory else [])
    assert list(view.cache.entries) == list(view.cache.addresses) == [server_id("a")]
    assert view.cache.generation == 43
    assert list(view.cache.removed) == [server_id("b"), server_id("c")]


@pytest.mark.parametrize(("unreadable", "ready"), [(("b",), {"a", "b"}), (("",), {"a", "b", "c"}), ((), {"a"})])
def test_an_unreadable_entry_does_not_remove_its_server(unreadable: tuple[str, ...], ready: set[str]) -> None:
    """Guards against removing a server whose entry is malformed; an entry without a name may be that of any server."""
    view = PolicyView()
    view.apply(complete_list(41, instance("a"), unreadable=unreadable))
    assert view.ready() == ready


def test_an_entry_with_an_unknown_zone_does_not_remove_its_server() -> None:
    view = PolicyView()
    view.apply(complete_list(41, instance("a"), instance("b", zone="moon"), instance("new", zone="moon")))
    assert view.ready() == {"a", "b"}


def test_repeated_entries_are_reduced_to_the_latest_process_and_its_last_entry() -> None:
    view = PolicyView()
    view.apply(
        delta(
            41,
            instance("a", REMOVED),
            instance("a", READY, 900.0),
            instance("b", READY, 900.0),
            instance("b", REMOVED, 100.0),
            instance("c"),
            instance("c", DRAINING),
        )
    )
    assert view.ready() == {"a", "b"}
    assert view.cache.entries[server_id("b")].started_at == 900.0


def test_measurements_of_an_earlier_process_are_recognized() -> None:
    view = PolicyView(
        delta(41, instance("b", REMOVED, 100.0)),
        delta(42, instance("b", READY, 5000.0), instance("new", READY, 5000.0)),
    )
    cache = view.cache
    assert cache.predates_current_process(server_id("b"), 4999.0)
    assert not cache.predates_current_process(server_id("b"), 5000.0)
    assert not cache.predates_current_process(server_id("new"), 4000.0)  # had no earlier process
    view.apply(complete_list(43, instance("a", READY, 7000.0)))
    assert cache.predates_current_process(server_id("a"), 6000.0)
    assert list(cache.restarted) == [server_id("a")]


class LookupOnly(dict[interface.ServerId, object]):
    """A dict that supports lookups and changes, but not iteration."""

    def __iter__(self) -> NoReturn:
        raise AssertionError("unexpected iteration over the whole mapping")

    keys = items = values = __iter__  # type: ignore[assignment]


@pytest.mark.parametrize("generation", [41, 3])
def test_applying_changes_does_not_iterate_over_the_whole_list(generation: int) -> None:
    """Guards against a cost per change that grows with the number of listed and removed servers."""
    view = PolicyView(delta(40, instance("c", REMOVED, 100.0)))
    cache = view.cache
    cache.entries, cache.removed = LookupOnly(cache.entries), LookupOnly(cache.removed)  # type: ignore[assignment]
    changed = (instance("a", DRAINING), instance("b", REMOVED), instance("c", READY, 500.0), instance("d"))
    update = cache.apply(delta(generation, *changed))
    assert [str(cache.server_ids.name(entry.server)) for entry in update.entries] == ["a", "b", "c", "d"]
    assert {str(cache.server_ids.name(listed)) for listed in dict.__iter__(cache.entries)} == {"a", "c", "d"}
    assert list(cache.restarted) == [server_id("c")]
    assert list(dict.__iter__(cache.removed)) == [server_id("b")]


def test_entries_with_unknown_zones_are_ignored_and_those_with_unknown_kinds_accepted() -> None:
    endpoints = EndpointCache(("east",), ("small",), ServerIds())
    event = endpoints.apply(
        EndpointList(
            1,
            True,
            (
                Instance("s-1", "h:1", "north", "small", 0, Availability.READY, 1.0, 0.0),
                Instance("s-2", "h:1", "east", "huge", 3, Availability.DRAINING, 2.0, 1234.5),
            ),
        )
    )
    assert event.entries == (interface.EndpointEntry(server_id("s-2"), 0, 1, 3, Availability.DRAINING, 2.0, 1234.5),)
