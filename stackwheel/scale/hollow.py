"""A process of hollow planners: each follows the list as a planner does and holds it; nothing is decided.

Their watches are the planner's own client (`wire.discovery`), what they hold is its own roster, and their datagrams
are of its own format. `python -m stackwheel.scale.hollow` speaks with the run over standard input and output.
"""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Callable
from random import Random
from typing import Any

from loguru import logger

from stackwheel.endpoints import EndpointList
from stackwheel.interface import EndpointEntry
from stackwheel.scale.control import (
    Compare,
    Compared,
    CountPlannersWithList,
    DropEntry,
    Follow,
    GetRecords,
    GetTraffic,
    HollowPlanner,
    Lines,
    PlannersWithList,
    Ready,
    Record,
    Request,
    Restart,
    Stop,
    Traffic,
    WrongPlanner,
    standard_lines,
)
from stackwheel.scale.entries import MACHINE_TYPE, Entry
from stackwheel.scale.hollow_endpoints import HollowEndpointCache, ListedEntry, SharedEntries, compare, digest_of
from stackwheel.scale.peers import PeerTraffic
from stackwheel.scale.propagation_records import PropagationRecords
from stackwheel.state.planner_actor import EndpointListFailed
from stackwheel.state.server_ids import server_id
from stackwheel.wire.discovery_client import DiscoveryClient, WatchEnd
from stackwheel.wire.discovery_protocol import LIFECYCLES

LIST_POLL_DEADLINE = 10_000.0  # ms: `obligations.ask_within` of the example configuration; it bounds the back-off
START_STEP = 0.002  # s between the planners of a process that begin to follow, so that a start is no herd
MIN_SWEEP_ENTRIES = 10_000  # entries of a process below which none are forgotten
SETTLE_EVERY = 0.5  # s between looks for lists that are held as doubtful, see `Roster.settled`


class CountingLoop(asyncio.SelectorEventLoop):
    """The usual loop, which counts the bytes of all the connections that it opens."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_in = self.bytes_out = 0

    async def create_connection(self, protocol_factory: Any, *args: Any, **options: Any) -> Any:
        """As usual; bytes received and written are counted."""

        def counted() -> Any:
            return self.count_received(protocol_factory())

        transport, protocol = await super().create_connection(counted, *args, **options)
        self.count_written(transport)
        return transport, protocol

    def count_received(self, protocol: Any) -> Any:
        """Count the bytes that a protocol is handed."""
        received = protocol.data_received

        def data_received(data: bytes) -> None:
            self.bytes_in += len(data)
            received(data)

        protocol.data_received = data_received
        return protocol

    def count_written(self, transport: Any) -> None:
        """Count the bytes that a transport is handed."""
        write = transport.write

        def counted_write(data: bytes) -> None:
            self.bytes_out += len(data)
            write(data)

        transport.write = counted_write


class CountedDiscovery(DiscoveryClient):
    """The planner's own client, which counts the calls and watches that ended: each of them is a failure."""

    failures = 0

    async def watch_replica(self, address: str, replica: str) -> WatchEnd:
        """One watch at one replica until its end."""
        ended = await super().watch_replica(address, replica)
        self.failures += 1
        return ended


class Follower:
    """One hollow planner: its watch, and what it holds."""

    def __init__(self, planner: HollowPlanner, shared: SharedEntries, records: PropagationRecords) -> None:
        self.planner = planner
        self.shared = shared
        self.records = records
        self.former_failures = 0
        self.incarnation = 0
        self.ended = 0.0  # s, when it ended to start anew
        self.task: asyncio.Task[None] | None = None
        self.begin()

    def begin(self) -> None:
        """Start from nothing, as a new process does."""
        self.incarnation += 1
        self.endpoints = HollowEndpointCache(self.shared)
        self.has_list = False
        self.discovery = CountedDiscovery(
            self.planner.discovery,
            0,
            True,
            self.on_endpoint_list,
            Random(f"{self.planner.seed} {self.incarnation}"),
            LIST_POLL_DEADLINE,
        )
        self.task = asyncio.create_task(self.discovery.run())

    def end(self) -> None:
        """As a process that dies: its connection is reset."""
        if self.task is not None:
            self.task.cancel()
        self.discovery.post = lambda _item: None
        self.discovery.cancel_watches()

    def restart(self) -> None:
        """End as a process does that dies, and start from nothing at once."""
        self.ended = time.monotonic()
        self.former_failures = self.failures()
        self.end()
        self.begin()

    def failures(self) -> int:
        """Calls and watches that ended, in all its lives; not those that it ended itself."""
        return self.former_failures + self.discovery.failures

    def on_endpoint_list(self, item: EndpointList | EndpointListFailed) -> None:
        """Take in what discovery sent, and record when each changed entry came into force."""
        if isinstance(item, EndpointListFailed):
            return
        changed = self.endpoints.apply_list(item, 1000.0 * time.monotonic())
        now = time.monotonic()
        self.records.add(self.planner.number, changed, now)
        if not self.has_list and self.incarnation > 1:
            self.records.restarted(self.planner.number, self.ended, now)
        self.has_list = True

    def accept_stale_snapshot(self, now: float) -> None:
        """Take in a list that was held for an older state, once nothing newer can be on its way."""
        if (endpoint_list := self.endpoints.confirmed_snapshot(1000.0 * now)) is not None:
            self.records.add(self.planner.number, self.endpoints.apply_list(endpoint_list, 1000.0 * now), now)

    def drop_entry(self) -> None:
        """Lose an entry, the last one listed."""
        if self.endpoints.entries:
            self.endpoints.entries.popitem()


class HollowProcess:
    """All hollow planners of a process, and what they are asked."""

    def __init__(self, loop: CountingLoop) -> None:
        self.loop = loop
        self.followers: dict[int, Follower] = {}
        self.records = PropagationRecords()
        self.peers = PeerTraffic()
        self.shared = SharedEntries((), (MACHINE_TYPE,))
        self.sweep_at = MIN_SWEEP_ENTRIES

    async def follow(self, message: Follow) -> None:
        """Begin to follow, spread over a short time."""
        self.shared = SharedEntries(tuple(message.zones), (MACHINE_TYPE,))
        for planner in message.planners:
            self.followers[planner.number] = Follower(planner, self.shared, self.records)
            await asyncio.sleep(START_STEP)
        await self.peers.start(message.planners, self.endpoints_of)

    def endpoints_of(self, planner: int) -> HollowEndpointCache:
        """What one planner of the process holds."""
        return self.followers[planner].endpoints

    async def accept_stale_snapshots(self) -> None:
        """From time to time, accept stale snapshots that nothing newer has followed, and drop unused shared entries."""
        while True:
            await asyncio.sleep(SETTLE_EVERY)
            for follower in self.followers.values():
                if follower.endpoints.stale_snapshot is not None:
                    follower.accept_stale_snapshot(time.monotonic())
            if len(self.shared.entries) > self.sweep_at:
                self.shared.sweep(follower.endpoints for follower in self.followers.values())
                self.sweep_at = max(MIN_SWEEP_ENTRIES, 2 * len(self.shared.entries))

    def traffic(self) -> Traffic:
        """Bytes, datagrams and failures so far, of all planners of the process."""
        return Traffic(
            self.loop.bytes_in + self.peers.bytes_in,
            self.loop.bytes_out + self.peers.bytes_out,
            self.peers.bytes_in,
            self.peers.bytes_out,
            self.peers.datagrams_in,
            self.peers.datagrams_out,
            self.peers.datagrams_computed,
            sum(follower.failures() for follower in self.followers.values()),
        )

    def planners_with_list(self) -> PlannersWithList:
        """How many planners of the process hold a list."""
        return PlannersWithList(sum(follower.has_list for follower in self.followers.values()))

    async def compare(self, message: Compare) -> Compared:
        """Each planner's entries against those listed for its cell."""
        listed = {cell: self.listed(entries) for cell, entries in message.cells.items()}
        compared = 0
        right = 0
        wrong = []
        digests = {cell: set[str]() for cell in listed}
        for number, follower in self.followers.items():
            actual = follower.endpoints.listed()
            due = listed[follower.planner.cell]
            difference = compare(actual, due)
            compared += len(due)
            if difference.count() or not follower.has_list:
                wrong.append(WrongPlanner(number, max(1, difference.count()), difference.example() or "holds no list"))
            else:
                right += 1
            digests[follower.planner.cell].add(digest_of(actual))
            await asyncio.sleep(0)  # watches go on meanwhile
        return Compared(compared, right, wrong, {cell: sorted(found) for cell, found in digests.items()})

    def listed(self, entries: list[Entry]) -> dict[str, ListedEntry]:
        """What a planner that was told these entries holds, read apart from the planner's own reader."""
        zones = {zone: place for place, zone in enumerate(self.shared.zones)}
        return {entry.instance_id: listed_entry(entry, zones, self.shared) for entry in entries}


def listed_entry(entry: Entry, zones: dict[str, int], shared: SharedEntries) -> ListedEntry:
    """One entry in a planner's terms."""
    read = EndpointEntry(
        server_id(entry.instance_id),
        zones[entry.zone],
        shared.kinds.index(entry.machine_type),
        entry.cell,
        LIFECYCLES[entry.lifecycle],
        entry.weight,
        float(entry.started_at_ms),
    )
    return ListedEntry(read, entry.host_port)


async def main(loop: CountingLoop) -> None:
    """Do as the run says until told to stop, or until its end of the control connection is gone."""
    logger.remove()  # a thousand planners' logs tell nothing that the counters don't
    lines = await standard_lines()
    process = HollowProcess(loop)
    settling = asyncio.create_task(process.accept_stale_snapshots())
    await lines.send(Ready())
    gc.freeze()
    while (message := await lines.receive()) is not None and not isinstance(message, Stop):
        await carry_out(process, lines, message)
    settling.cancel()
    process.peers.close()
    for follower in process.followers.values():
        follower.end()


async def carry_out(process: HollowProcess, lines: Lines[Request], message: Request) -> None:
    """One request of the run, answered where it has an answer."""
    match message:
        case Follow():
            await process.follow(message)
            await lines.send(Ready())
        case CountPlannersWithList():
            await lines.send(process.planners_with_list())
        case GetTraffic():
            await lines.send(process.traffic())
        case Record():
            process.records.begin()
        case Restart(planners):
            for planner in planners:
                process.followers[planner].restart()
        case DropEntry(planner):
            process.followers[planner].drop_entry()
        case Compare():
            await lines.send(await process.compare(message))
        case GetRecords():
            await lines.send(process.records.message(process.shared.ids.name))
        case other:
            raise TypeError(f"hollow planners can't do {other}")


def run(work: Callable[[CountingLoop], Any]) -> None:
    """Run on a loop that counts."""
    loop = CountingLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(work(loop))
    finally:
        loop.close()


if __name__ == "__main__":
    run(main)
