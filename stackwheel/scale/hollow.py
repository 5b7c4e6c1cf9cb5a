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
    AskHeld,
    AskRecords,
    AskTraffic,
    Compare,
    Compared,
    DropEntry,
    Follow,
    Held,
    HollowPlanner,
    Lines,
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
from stackwheel.scale.holding import Holding, ListedEntry, Shared, compare, digest_of
from stackwheel.scale.peers import PeerTraffic
from stackwheel.scale.records import InForceRecords
from stackwheel.state.messages import EndpointListFailed
from stackwheel.state.server_ids import server_id
from stackwheel.wire.discovery_client import LIFECYCLES, DiscoveryClient
from stackwheel.wire.http import CallFailed

ASK_WITHIN = 10_000.0  # ms: `obligations.ask_within` of the example configuration; it bounds the back-off
START_STEP = 0.002  # s between the planners of a process that begin to follow, so that a start is no herd
SWEEP_LEAST = 10_000  # entries of a process below which none are forgotten
SETTLE_EVERY = 0.5  # s between looks for lists that are held as doubtful, see `EndpointCache.confirmed_snapshot`


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
        received = protocol.data_received

        def data_received(data: bytes) -> None:
            self.bytes_in += len(data)
            received(data)

        protocol.data_received = data_received
        return protocol

    def count_written(self, transport: Any) -> None:
        write = transport.write

        def counted_write(data: bytes) -> None:
            self.bytes_out += len(data)
            write(data)

        transport.write = counted_write


class CountedDiscovery(DiscoveryClient):
    """The planner's own client, which counts the calls and watches that ended: each of them is a failure."""

    failures = 0

    async def follow(self, address: str, replica: str) -> tuple[bool, CallFailed]:
        """One watch at one replica until its end."""
        ended = await super().follow(address, replica)
        self.failures += 1
        return ended


class Follower:
    """One hollow planner: its watch, and what it holds."""

    def __init__(self, planner: HollowPlanner, shared: Shared, records: InForceRecords) -> None:
        self.planner, self.shared, self.records = planner, shared, records
        self.former_failures, self.lives = 0, 0
        self.ended = 0.0  # s, when it ended to start anew
        self.task: asyncio.Task[None] | None = None
        self.begin()

    def begin(self) -> None:
        """Start from nothing, as a new process does."""
        self.lives += 1
        self.holding = Holding(self.shared)
        self.holds = False
        self.discovery = CountedDiscovery(
            self.planner.discovery,
            0,
            True,
            self.told,
            Random(f"{self.planner.seed} {self.lives}"),
            ASK_WITHIN,
        )
        self.task = asyncio.create_task(self.discovery.run())

    def end(self) -> None:
        """As a process that dies: its connection is reset."""
        if self.task is not None:
            self.task.cancel()
        self.discovery.post = lambda item: None
        self.discovery.let_go()

    def restart(self) -> None:
        self.ended = time.monotonic()
        self.former_failures = self.failures()
        self.end()
        self.begin()

    def failures(self) -> int:
        """Calls and watches that ended, in all its lives; not those that it ended itself."""
        return self.former_failures + self.discovery.failures

    def told(self, item: EndpointList | EndpointListFailed) -> None:
        if isinstance(item, EndpointListFailed):
            return
        changed = self.holding.take(item, 1000.0 * time.monotonic())
        now = time.monotonic()
        self.records.add(self.planner.number, changed, now)
        if not self.holds and self.lives > 1:
            self.records.restarted(self.planner.number, self.ended, now)
        self.holds = True

    def settle(self, now: float) -> None:
        """Take in a list that was held for an older state, once nothing newer can be on its way."""
        if (listing := self.holding.confirmed_snapshot(1000.0 * now)) is not None:
            self.records.add(self.planner.number, self.holding.take(listing, 1000.0 * now), now)

    def drop_entry(self) -> None:
        """Lose an entry, the last one listed."""
        if self.holding.entries:
            self.holding.entries.popitem()


class HollowProcess:
    """All hollow planners of a process, and what they are asked."""

    def __init__(self, loop: CountingLoop) -> None:
        self.loop = loop
        self.followers: dict[int, Follower] = {}
        self.records = InForceRecords()
        self.peers = PeerTraffic()
        self.shared = Shared((), (MACHINE_TYPE,))
        self.sweep_at = SWEEP_LEAST

    async def follow(self, message: Follow) -> None:
        """Begin to follow, spread over a short time."""
        self.shared = Shared(tuple(message.zones), (MACHINE_TYPE,))
        for planner in message.planners:
            self.followers[planner.number] = Follower(planner, self.shared, self.records)
            await asyncio.sleep(START_STEP)
        await self.peers.start(message.planners, self.held_by)

    def held_by(self, planner: int) -> Holding:
        return self.followers[planner].holding

    async def settle(self) -> None:
        while True:
            await asyncio.sleep(SETTLE_EVERY)
            for follower in self.followers.values():
                if follower.holding.stale_snapshot is not None:
                    follower.settle(time.monotonic())
            if len(self.shared.entries) > self.sweep_at:
                self.shared.sweep(follower.holding for follower in self.followers.values())
                self.sweep_at = max(SWEEP_LEAST, 2 * len(self.shared.entries))

    def traffic(self) -> Traffic:
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

    def held(self) -> Held:
        return Held(sum(follower.holds for follower in self.followers.values()))

    async def compare(self, message: Compare) -> Compared:
        """Each planner's entries against those listed for its cell."""
        listed = {cell: self.listed(entries) for cell, entries in message.cells.items()}
        compared, right, wrong, digests = 0, 0, [], {cell: set[str]() for cell in listed}
        for number, follower in self.followers.items():
            held, due = follower.holding.listed(), listed[follower.planner.cell]
            difference = compare(held, due)
            compared += len(due)
            if difference.count() or not follower.holds:
                wrong.append(WrongPlanner(number, max(1, difference.count()), difference.example() or "holds no list"))
            else:
                right += 1
            digests[follower.planner.cell].add(digest_of(held))
            await asyncio.sleep(0)  # watches go on meanwhile
        return Compared(compared, right, wrong, {cell: sorted(found) for cell, found in digests.items()})

    def listed(self, entries: list[Entry]) -> dict[str, ListedEntry]:
        """What a planner that was told these entries holds, read apart from the planner's own reader."""
        zones = {zone: place for place, zone in enumerate(self.shared.zones)}
        return {entry.instance_id: listed_entry(entry, zones, self.shared) for entry in entries}


def listed_entry(entry: Entry, zones: dict[str, int], shared: Shared) -> ListedEntry:
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
    lines, process = await standard_lines(), HollowProcess(loop)
    settling = asyncio.create_task(process.settle())
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
        case AskHeld():
            await lines.send(process.held())
        case AskTraffic():
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
        case AskRecords():
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
