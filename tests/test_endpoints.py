"""Endpoint lists: deduplication of entries, merging, and comparison of older entries with the known process."""

from __future__ import annotations

import pytest

from stackwheel.endpoints import (
    EndpointList,
    EntryFreshness,
    Instance,
    KnownProcess,
    StaleSnapshot,
    entry_freshness,
    latest_by_name,
    merge,
)
from stackwheel.interface import Availability

REMOVED, READY, DRAINING = Availability.REMOVED, Availability.READY, Availability.DRAINING
NEW, REVIVED, KNOWN = EntryFreshness.NEW, EntryFreshness.REVIVED, EntryFreshness.KNOWN


def instance(name: str = "s-0", availability: Availability = READY, started_at: float = 0.0) -> Instance:
    return Instance(name, "127.0.0.1:1", "east", "small", 0, availability, 1.0, started_at)


@pytest.mark.parametrize(
    ("known", "entry", "freshness"),
    [
        (READY, READY, KNOWN),
        (READY, DRAINING, NEW),
        (READY, REMOVED, NEW),
        (DRAINING, READY, REVIVED),
        (DRAINING, DRAINING, NEW),
        (DRAINING, REMOVED, NEW),
        (REMOVED, READY, REVIVED),
        (REMOVED, DRAINING, REVIVED),
        (REMOVED, REMOVED, KNOWN),
    ],
)
def test_freshness_of_an_older_entry_of_the_known_process(
    known: Availability, entry: Availability, freshness: EntryFreshness
) -> None:
    assert entry_freshness(instance("s-0", entry, 5.0), KnownProcess(known, 5.0)) is freshness


@pytest.mark.parametrize("entry", list(Availability))
def test_an_entry_of_an_unknown_or_a_later_process_is_new(entry: Availability) -> None:
    assert entry_freshness(instance("s-0", entry, 5.0), None) is NEW
    for known in Availability:
        assert entry_freshness(instance("s-0", entry, 5.0), KnownProcess(known, 4.0)) is NEW


@pytest.mark.parametrize(
    ("known", "entry", "freshness"),
    [
        (READY, READY, KNOWN),
        (READY, DRAINING, KNOWN),
        (READY, REMOVED, KNOWN),
        (DRAINING, READY, REVIVED),
        (DRAINING, DRAINING, KNOWN),
        (DRAINING, REMOVED, KNOWN),
        (REMOVED, READY, REVIVED),
        (REMOVED, DRAINING, REVIVED),
        (REMOVED, REMOVED, KNOWN),
    ],
)
def test_freshness_of_an_older_entry_of_an_earlier_process(
    known: Availability, entry: Availability, freshness: EntryFreshness
) -> None:
    assert entry_freshness(instance("s-0", entry, 3.0), KnownProcess(known, 5.0)) is freshness


def test_latest_process_and_its_last_entry_are_kept_of_repeated_entries() -> None:
    repeated = (instance("a", READY, 2.0), instance("a", DRAINING, 2.0), instance("a", READY, 1.0), instance("b"))
    assert latest_by_name(repeated) == (repeated[1], repeated[3])


def test_stale_snapshot_and_merged_list_apply_changes_alike() -> None:
    base = EndpointList(3, True, (instance("a"), instance("b")), frozenset({"x"}))
    changes = EndpointList(4, False, (instance("b", DRAINING), instance("c")), frozenset({"y"}))
    snapshot = StaleSnapshot.from_list(base, 1000.0)
    snapshot.advance(changes)
    merged = merge(base, changes)
    applied = snapshot.endpoint_list()
    assert merged == EndpointList(
        4, True, (instance("a"), instance("b", DRAINING), instance("c")), frozenset({"x", "y"})
    )
    assert applied.generations_restarted
    assert (applied.generation, applied.complete) == (merged.generation, merged.complete)
    assert (applied.instances, applied.unreadable) == (merged.instances, merged.unreadable)
