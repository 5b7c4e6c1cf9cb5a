"""Deliberate defects: a checker that finds none of them is no checker.

Each replaces a piece of the program's behaviour while a trial runs, in policy, state, wire or the forwarder, and
names the rules by which it may show.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from stackwheel import balance
from stackwheel import interface as face
from stackwheel.balance import Outbox, Planner
from stackwheel.endpoints import EndpointList
from stackwheel.files import codec, publisher
from stackwheel.files.accept import Acceptor
from stackwheel.files.disk import SwapFailed
from stackwheel.files.reader import Reader
from stackwheel.interface import Availability, Retry
from stackwheel.relay import cache
from stackwheel.relay.contact import Contact
from stackwheel.relay.part import Part
from stackwheel.rules.violations import Rule
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.planner_actor import PlannerActor
from stackwheel.state.streams import ProxyStreams, stream_over
from stackwheel.trials.proxies import Proxy
from stackwheel.trials.runner import SeedResult, leave_interrupts, run_seed
from stackwheel.trials.world import World
from stackwheel.wire import connection, line_codec
from stackwheel.wire.connection import BufferBudget, Connection, RateLimiter
from stackwheel.wire.discovery_client import DiscoveryClient
from stackwheel.wire.line_codec import Encoder
from stackwheel.wire.listing_server import ListingServer
from stackwheel.wire.listing_watch import UNREAD_MOST, ListingWatch
from stackwheel.wire.messages import MalformedMessage
from stackwheel.wire.transport import SocketTransport

Patch = tuple[Any, str, Any]


@dataclass(frozen=True, slots=True)
class Defect:
    name: str
    where: str
    shows: tuple[Rule, ...]
    patches: Callable[[], Sequence[Patch]]
    what: str


@contextmanager
def planted(defect: Defect | None) -> Iterator[None]:
    """The program with a defect, if any; as it was afterwards."""
    kept: list[Patch] = []
    try:
        for owner, name, value in defect.patches() if defect is not None else ():
            kept.append((owner, name, owner.__dict__[name]))
            setattr(owner, name, value)
        yield
    finally:
        for owner, name, value in reversed(kept):
            setattr(owner, name, value)


def drain_ignored() -> Sequence[Patch]:
    honest = Planner.take_entry

    def take_entry(self: Planner, entry: face.EndpointEntry) -> None:
        honest(self, replace(entry, availability=Availability.READY))

    return [(Planner, "take_entry", take_entry)]


def gone_kept() -> Sequence[Patch]:
    honest = Planner.take_list

    def take_list(self: Planner, update: face.EndpointUpdate) -> None:
        here = tuple(e for e in update.entries if e.availability is not Availability.REMOVED)
        missing = tuple(v.entry for s, v in self.servers.items() if all(e.server != s for e in here))
        honest(self, replace(update, entries=(*here, *missing)))

    return [(Planner, "take_list", take_list)]


def urgent_forgotten() -> Sequence[Patch]:
    return [
        (
            Planner,
            "moves",
            lambda self, place, table: [
                (3, gain, at, server, weight)
                for _, gain, at, server, weight in honest_moves(self, place, table)
                if weight > 0
            ],
        )
    ]


honest_moves = Planner.moves


def cold_as_warm() -> Sequence[Patch]:
    return [(Planner, "warmth", lambda self, view: 1.0), (balance, "STEP", 1e9)]


def cold_tenfold() -> Sequence[Patch]:
    honest = Planner.as_shares

    def as_shares(self: Planner, placed: dict[face.Server, float]) -> dict[face.Server, float]:
        cold = {s for s in placed if self.warmth(self.servers[s]) < 1.0}
        return honest(self, {s: rate * (10.0 if s in cold else 1.0) for s, rate in placed.items()})

    return [(Planner, "as_shares", as_shares)]


def never_bound() -> Sequence[Patch]:
    return [(Planner, "bind_joined", lambda self: None)]


def one_class_bound() -> Sequence[Patch]:
    honest = Planner.bind_joined

    def bind_joined(self: Planner) -> None:
        honest(self)
        self.actions = [
            a for a in self.actions if not (isinstance(a, face.AssignTable) and a.classes and a.classes[0] > 0)
        ]

    return [(Planner, "bind_joined", bind_joined)]


def tables_emptied() -> Sequence[Patch]:
    honest = Planner.write

    def write(
        self: Planner,
        table: Any,
        users: list[int],
        changes: dict[face.Server, float],
        levels: dict[int, face.AdmissionLevel],
    ) -> None:
        worn = dict.fromkeys(changes, 0.0) if self.slot > 8 and self.slot % 3 == 0 else changes
        honest(self, table, users, {**worn, **(dict.fromkeys(table.sent, 0.0) if worn is not changes else {})}, levels)

    return [(Planner, "write", write)]


def whole_not_said() -> Sequence[Patch]:
    honest = Encoder.part
    return [(Encoder, "part", lambda self, part: honest(self, replace(part, complete=False)))]


def zero_lines_dropped() -> Sequence[Patch]:
    honest = Encoder.part
    return [
        (
            Encoder,
            "part",
            lambda self, part: honest(self, replace(part, lines=tuple((s, w) for s, w in part.lines if w > 0))),
        )
    ]


def end_of_another() -> Sequence[Patch]:
    def leave(self: ProxyStreams, proxy: int, line: Any) -> Iterable[face.Event]:
        self.timed_out.pop(proxy, None)
        if self.by_proxy.pop(proxy, None) is not None:
            yield face.ProxyLeft(proxy)

    return [(ProxyStreams, "leave", leave)]


def words_of_another() -> Sequence[Patch]:
    """The older stream of a proxy takes it over again with its late words."""

    def message_received(self: ProxyStreams, proxy: int, line: Any) -> Iterable[face.Event] | None:
        stream = self.by_proxy.get(proxy)
        if stream is not None and not stream_over(self.by_proxy, proxy, line):
            stream.connection = line
        return ()

    return [(ProxyStreams, "message_received", message_received)]


def whole_list_as_changes() -> Sequence[Patch]:
    honest = EndpointCache.apply

    def apply(self: EndpointCache, listing: EndpointList, now: float = 0.0) -> face.EndpointUpdate:
        return honest(self, replace(listing, complete=False), now)

    return [(EndpointCache, "apply", apply)]


def older_believed() -> Sequence[Patch]:
    """Generations are not compared: an older state brings back what drains."""

    def discard_stale(self: EndpointCache, listing: EndpointList, now: float) -> EndpointList:
        return listing

    return [(EndpointCache, "discard_stale", discard_stale)]


def batch_cut() -> Sequence[Patch]:
    honest = PlannerActor.process_batch

    def process_batch(self: PlannerActor) -> None:
        self.mailbox = self.mailbox[-3:]
        honest(self)

    return [(PlannerActor, "process_batch", process_batch)]


def watch_ends() -> Sequence[Patch]:
    return [(DiscoveryClient, "failed", lambda self, failed, address: None)]


def message_lost() -> Sequence[Patch]:
    honest = Connection.send

    def send(self: Connection, data: bytes) -> None:
        if not (data.startswith(b"CONFIG") and len(data) % 17 == 0):
            honest(self, data)

    return [(Connection, "send", send)]


def exponents() -> Sequence[Patch]:
    return [(line_codec, "number", lambda value: f"{value:.5e}")]


def never_forgotten() -> Sequence[Patch]:
    def account(self: BufferBudget, peer: Connection, count: int) -> None:
        self.total += count
        self.held[peer] = count

    return [(BufferBudget, "account", account)]


def attended_for_ever() -> Sequence[Patch]:
    class Keeping(dict[Any, None]):
        def pop(self, *about: Any) -> Any:
            return None

    honest = SocketTransport.__init__

    def begin(self: SocketTransport, *about: Any, **more: Any) -> None:
        honest(self, *about, **more)
        self.unidentified = Keeping()

    return [(SocketTransport, "__init__", begin)]


def spoilt_kills() -> Sequence[Patch]:
    honest = line_codec.decode

    def decode(line: bytes, names: Any) -> Any:
        found = honest(line, names)
        if isinstance(found, MalformedMessage):
            raise KeyError(found.reason)
        return found

    return [(connection, "decode", decode)]


def held_back() -> Sequence[Patch]:
    honest = World.finish

    def finish(self: World, request: Any, proxy: Proxy, good: bool, decided: float) -> None:
        if good or self.loop.now >= request.until - 0.05:
            honest(self, request, proxy, good, decided)
        else:
            self.loop.at(request.until - 0.04, proxy.machine, honest, self, request, proxy, good, decided)

    return [(World, "finish", finish)]


def uncapped() -> Sequence[Patch]:
    return [(Outbox, "may_write", lambda self, proxy, share: True), (RateLimiter, "wait", lambda self, now: 0.0)]


def capped_by_stream() -> Sequence[Patch]:
    def limiter(self: SocketTransport, proxy: int) -> RateLimiter:
        return RateLimiter(self.settings.message_cap, self.settings.message_window)

    return [(SocketTransport, "limiter", limiter), (Outbox, "may_write", lambda self, proxy, share: True)]


def written_in_place() -> Sequence[Patch]:
    def swap(disk: Any, folder: str, name: str, data: bytes) -> SwapFailed | None:
        try:
            handle = disk.create(f"{folder}/{name}")
            for at in range(0, len(data), 200):
                disk.write(handle, data[at : at + 200])
            disk.close(handle)
        except OSError as error:
            return SwapFailed("write", str(error))
        return None

    return [(publisher, "swap", swap)]


def sequence_unchecked() -> Sequence[Patch]:
    honest = Acceptor.offer

    def offer(self: Acceptor, orders: Any, now: float) -> Any:
        kept = self.memory.marks
        self.memory.marks = {}
        try:
            return honest(self, orders, now)
        finally:
            self.memory.marks = kept

    return [(Acceptor, "offer", offer)]


def booking_forgotten() -> Sequence[Patch]:
    honest = Acceptor.commit

    def commit(self: Acceptor, accepted: Any, now: float) -> Any:
        memory = honest(self, accepted, now)
        memory.bookings = {}
        return memory

    return [(Acceptor, "commit", commit)]


def digest_unchecked() -> Sequence[Patch]:
    def unseal(data: bytes, keys: Any = None) -> Any:
        body = data.partition(b"\n")[2].partition(b"\nend ")[0]
        return body or codec.Refusal(codec.Stage.TRAILER, "empty")

    return [(codec, "unseal", unseal)]


def age_ignored() -> Sequence[Patch]:
    honest = Acceptor.offer
    return [
        (Acceptor, "offer", lambda self, orders, now: honest(self, orders, min(now, orders.made))),
        (Reader, "over", lambda self, orders: False),
    ]


def old_generation_served() -> Sequence[Patch]:
    """The part that was encoded once is served under every later generation."""
    return [(Part, "_changed", lambda self: None)]


def behind_served() -> Sequence[Patch]:
    """A relay that is behind what its caller knows answers at once."""
    return [(Part, "waits_for", lambda self, since, now: False)]


def gap_before_watch() -> Sequence[Patch]:
    """The first answer of a watch is made a second before the watch is told of changes."""
    honest = ListingServer._watch

    async def watch(self: ListingServer, cell: str, resumed: bytes | None, reader: Any, writer: Any) -> None:
        snapshot = resumed or self.cache.whole(cell)
        await asyncio.sleep(1.0)
        await honest(self, cell, snapshot, reader, writer)

    return [(ListingServer, "_watch", watch)]


def lost_registry_vouched_for() -> Sequence[Patch]:
    return [
        (Contact, "vouched", lambda self, now: self.heard_at is not None),
        (Contact, "lapse", lambda self, now: False),
    ]


def unreadable_as_departure() -> Sequence[Patch]:
    return [
        (cache, "may_be_in", lambda name, unreadable: False),
        (cache.ListingCache, "_note_unreadable", lambda self, listing: None),
    ]


def departures_not_resumed() -> Sequence[Patch]:
    honest = Part._changed_after

    def changed_after(self: Part, since: int) -> list[bytes]:
        departed, self.departed = self.departed, {}
        try:
            return honest(self, since)
        finally:
            self.departed = departed

    return [(Part, "_changed_after", changed_after)]


def resumed_below_the_log() -> Sequence[Patch]:
    return [(Part, "resumes", lambda self, since: since > 0)]


def older_told() -> Sequence[Patch]:
    return [(cache.ListingCache, "_counts", lambda self, one: True)]


def dropped_for_slow_reader() -> Sequence[Patch]:
    """What a watcher leaves unread beyond the bound is dropped, and the whole part is not told in the place of it."""
    honest = ListingWatch.tell

    def tell(self: ListingWatch, data: bytes) -> None:
        if not self.writing or self.pending_bytes + len(data) <= UNREAD_MOST:
            honest(self, data)

    return [(ListingWatch, "tell", tell)]


DEFECTS: tuple[Defect, ...] = (
    Defect("drain-ignored", "policy", (Rule.DRAINS,), drain_ignored, "a draining server counts as ready"),
    Defect("gone-kept", "policy", (Rule.DRAINS,), gone_kept, "servers that left the list stay in tables"),
    Defect("removals-late", "policy", (Rule.DRAINS,), urgent_forgotten, "lines that go are never sent"),
    Defect("cold-as-warm", "policy", (Rule.COLD,), cold_as_warm, "a started server gets its full share at once"),
    Defect("cold-share-tenfold", "policy", (Rule.COLD,), cold_tenfold, "the cold limit is taken times ten"),
    Defect(
        "repeats-ordered",
        "policy",
        (Rule.ONCE,),
        lambda: [(balance, "FURTHER_TRY", Retry.TWICE)],
        "proxies try again after any failure",
    ),
    Defect("never-bound", "policy", (Rule.SERVED, Rule.DRAINS), never_bound, "joined proxies get no tables"),
    Defect(
        "one-class-bound",
        "policy",
        (Rule.SERVED, Rule.DRAINS, Rule.AGREES),
        one_class_bound,
        "only the first class gets its table",
    ),
    Defect("tables-emptied", "policy", (Rule.SERVED,), tables_emptied, "tables lose all their lines at times"),
    Defect(
        "queue-unbounded",
        "policy",
        (Rule.QUEUE,),
        lambda: [(Outbox, "room", lambda self, lines, share: math.inf)],
        "the channel's limit is not kept",
    ),
    Defect("cap-ignored", "policy and wire", (Rule.CAP,), uncapped, "nobody counts the messages to a proxy"),
    Defect("cap-by-stream", "policy and wire", (Rule.CAP,), capped_by_stream, "a new stream begins a new count"),
    Defect(
        "end-of-another",
        "state",
        (Rule.SERVED, Rule.DRAINS, Rule.COLD),
        end_of_another,
        "the old stream's end ends the new one",
    ),
    Defect(
        "words-of-another",
        "state",
        (Rule.AGREES, Rule.SERVED, Rule.DRAINS, Rule.UPRIGHT),
        words_of_another,
        "late words of an old stream take its proxy back",
    ),
    Defect(
        "whole-list-as-changes", "state", (Rule.DRAINS,), whole_list_as_changes, "what a whole list lacks stays listed"
    ),
    Defect("older-believed", "state", (Rule.DRAINS,), older_believed, "an older generation undoes a drain"),
    Defect(
        "batch-cut",
        "state",
        (Rule.DRAINS, Rule.SERVED, Rule.AGREES),
        batch_cut,
        "of a batch only the last three events count",
    ),
    Defect("watch-ends", "wire", (Rule.DRAINS,), watch_ends, "a watch that failed is not taken up again"),
    Defect("whole-not-said", "wire", (Rule.AGREES, Rule.DRAINS), whole_not_said, "whole tables go out as changes"),
    Defect(
        "removals-not-written",
        "wire",
        (Rule.AGREES, Rule.DRAINS),
        zero_lines_dropped,
        "lines with weight 0 are not written",
    ),
    Defect("message-lost", "wire", (Rule.AGREES, Rule.DRAINS), message_lost, "some messages are not written"),
    Defect("exponents", "wire", (Rule.USABLE,), exponents, "weights are written with an exponent"),
    Defect("bytes-never-given-back", "wire", (Rule.BOUNDED,), never_forgotten, "what waited for a peer stays counted"),
    Defect(
        "strangers-kept",
        "wire",
        (Rule.BOUNDED, Rule.UPRIGHT),
        attended_for_ever,
        "connections that ended stay in the list of strangers",
    ),
    Defect("spoilt-kills", "wire", (Rule.UPRIGHT,), spoilt_kills, "a spoilt report raises an exception"),
    Defect("held-back", "forwarder", (Rule.PROMPT,), held_back, "a final answer waits for the client's time to end"),
)


FILE_DEFECTS: tuple[Defect, ...] = (
    Defect("no-rename", "files", (Rule.GENUINE,), written_in_place, "files are written in place"),
    Defect(
        "no-sequence-check", "files", (Rule.GENUINE,), sequence_unchecked, "older files are applied after newer ones"
    ),
    Defect("booking-forgotten", "files", (Rule.ONCE,), booking_forgotten, "ids of booking orders are not remembered"),
    Defect(
        "digest-unchecked", "files", (Rule.GENUINE,), digest_unchecked, "a file's digest and signature are not checked"
    ),
    Defect("age-ignored", "files", (Rule.GENUINE,), age_ignored, "files are used after their time"),
)
RELAY_DEFECTS: tuple[Defect, ...] = (
    Defect(
        "old-generation-served",
        "relay",
        (Rule.PART, Rule.DRAINS),
        old_generation_served,
        "a relay serves the part of an old generation under the present one",
    ),
    Defect(
        "behind-served",
        "relay",
        (Rule.PART, Rule.DRAINS),
        behind_served,
        "a relay answers callers that know more than it does",
    ),
    Defect(
        "gap-before-watch",
        "relay",
        (Rule.PART, Rule.DRAINS),
        gap_before_watch,
        "what changes between a watch's first answer and its place among the watches is dropped",
    ),
    Defect(
        "lost-registry-vouched-for",
        "relay",
        (Rule.VOUCHED,),
        lost_registry_vouched_for,
        "a relay goes on with empty lines and answers after it lost the registry",
    ),
    Defect(
        "unreadable-as-departure",
        "relay",
        (Rule.PART, Rule.SERVED),
        unreadable_as_departure,
        "a server whose entry can't be read counts as departed",
    ),
    Defect(
        "departures-not-resumed",
        "relay",
        (Rule.PART, Rule.DRAINS),
        departures_not_resumed,
        "a watch that goes on is not told who has left meanwhile",
    ),
    Defect(
        "resumed-below-the-log",
        "relay",
        (Rule.PART, Rule.DRAINS),
        resumed_below_the_log,
        "a relay that started later resumes a watch from before its log",
    ),
    Defect(
        "older-told",
        "relay",
        (Rule.PART, Rule.DRAINS),
        older_told,
        "an older state that the registry tells once more is told on",
    ),
    Defect(
        "dropped-for-slow-reader",
        "relay",
        (Rule.PART, Rule.DRAINS),
        dropped_for_slow_reader,
        "changes that a slow reader has no room for are lost",
    ),
)
ALL_DEFECTS = DEFECTS + FILE_DEFECTS + RELAY_DEFECTS


def named(name: str | None) -> Defect | None:
    return next((defect for defect in ALL_DEFECTS if defect.name == name), None)


def found_by(defect: Defect, result: SeedResult) -> set[Rule]:
    """The rules by which a run shows the defect."""
    return {verdict.rule for verdict in result.verdicts if verdict.rule in defect.shows}


@dataclass(frozen=True, slots=True)
class Search:
    """How many seeds it took to find a defect; `rule` is None where none of them did."""

    name: str
    needed: int
    seed: int
    rule: Rule | None


def search(name: str, seeds: Sequence[int]) -> Search:
    """Try seeds until one shows the defect by a rule that it keeps without it."""
    defect = named(name)
    assert defect is not None
    files, relays = defect in FILE_DEFECTS, defect in RELAY_DEFECTS
    for needed, seed in enumerate(seeds, 1):
        with planted(defect):
            shown = found_by(defect, run_seed(seed, files, relays))
        if shown and (news := shown - {verdict.rule for verdict in run_seed(seed, files, relays).verdicts}):
            return Search(name, needed, seed, min(news))
    return Search(name, len(seeds), -1, None)


def search_all(names: Sequence[str], seeds: Sequence[int], jobs: int) -> Iterator[Search]:
    """Each defect in a process of its own, in the order given."""
    with ProcessPoolExecutor(jobs, initializer=leave_interrupts) as pool:
        yield from pool.map(search, names, [seeds] * len(names))
