"""A process of hollow planners, which follow and cache the endpoint list like real planners but compute no tables.

Hollow planners use the real planner's discovery client (`wire.discovery_client`), endpoint cache and datagram format.
A run starts `python -m stackwheel.scale.hollow` and sends it requests over standard input and output.
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
    Message,
    PlannersWithList,
    Ready,
    Record,
    Request,
    Restart,
    Stop,
    Traffic,
    WrongPlanner,
    connect_standard_streams,
)
from stackwheel.scale.entries import MACHINE_TYPE, Entry
from stackwheel.scale.hollow_endpoints import HollowEndpointCache, ListedEntry, SharedEntries, compare, entries_digest
from stackwheel.scale.peers import PeerTraffic
from stackwheel.scale.propagation_records import PropagationRecords
from stackwheel.state.messages import EndpointListFailed
from stackwheel.state.server_ids import server_id
from stackwheel.wire.discovery_client import DiscoveryClient
from stackwheel.wire.discovery_commands import DiscoveryOptions, WatchEnd
from stackwheel.wire.discovery_protocol import AVAILABILITY_BY_LIFECYCLE

# The maximum backoff of the discovery client is a share of it. Equal to `obligations.ask_within` of the example
# configuration.
LIST_POLL_DEADLINE_MS = 10_000.0
START_INTERVAL_S = 0.002  # Delay between the starts of two planners, so that their first calls are not simultaneous.
MIN_CLEANUP_ENTRIES = 10_000
STALE_SNAPSHOT_CHECK_INTERVAL_S = 0.5


class CountingLoop(asyncio.SelectorEventLoop):
    """Selector event loop that counts the bytes of all connections that it opens."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_in = 0
        self.bytes_out = 0

    async def create_connection(self, protocol_factory: Any, *args: Any, **options: Any) -> Any:
        """Open a connection whose received and written bytes are counted."""

        def counting_protocol() -> Any:
            """Create the protocol and count the bytes that it receives."""
            return self.count_received_bytes(protocol_factory())

        transport, protocol = await super().create_connection(counting_protocol, *args, **options)
        self.count_written_bytes(transport)
        return transport, protocol

    def count_received_bytes(self, protocol: Any) -> Any:
        """Replace `data_received` of a protocol by a method that counts the bytes."""
        data_received = protocol.data_received

        def counting_data_received(data: bytes) -> None:
            """Count the bytes and pass them to the protocol."""
            self.bytes_in += len(data)
            data_received(data)

        protocol.data_received = counting_data_received
        return protocol

    def count_written_bytes(self, transport: Any) -> None:
        """Replace `write` of a transport by a method that counts the bytes."""
        write = transport.write

        def counting_write(data: bytes) -> None:
            """Count the bytes and pass them to the transport."""
            self.bytes_out += len(data)
            write(data)

        transport.write = counting_write


class CountingDiscoveryClient(DiscoveryClient):
    """The planner's discovery client, extended to count ended watches as failures.

    In normal operation neither the registry nor a relay ends a watch.
    """

    failures = 0

    async def watch_replica(self, address: str, replica: str) -> WatchEnd:
        """Watch one replica until the watch ends, and count the end as a failure."""
        end = await super().watch_replica(address, replica)
        self.failures += 1
        return end


class Follower:
    """One hollow planner across its incarnations: its discovery client and its endpoint cache."""

    def __init__(self, planner: HollowPlanner, shared: SharedEntries, records: PropagationRecords) -> None:
        self.planner = planner
        self.shared = shared
        self.records = records
        self.earlier_failures = 0
        self.incarnation = 0
        self.ended_at = 0.0  # Monotonic time in s at which the previous incarnation ended.
        self.task: asyncio.Task[None] | None = None
        self.begin()

    def begin(self) -> None:
        """Start a new incarnation with an empty cache, like a new process."""
        self.incarnation += 1
        self.endpoints = HollowEndpointCache(self.shared)
        self.has_list = False
        self.discovery = CountingDiscoveryClient(
            address=self.planner.discovery,
            generation=0,
            post=self.on_endpoint_list,
            random=Random(f"{self.planner.seed} {self.incarnation}"),
            options=DiscoveryOptions(always_watch=True, poll_deadline_ms=LIST_POLL_DEADLINE_MS),
        )
        self.task = asyncio.create_task(self.discovery.run())

    def end(self) -> None:
        """Stop the client and reset its connections, like a killed process."""
        if self.task is not None:
            self.task.cancel()
        self.discovery.post = lambda _item: None
        self.discovery.cancel_watches()

    def restart(self) -> None:
        """End the current incarnation and start a new one immediately."""
        self.ended_at = time.monotonic()
        self.earlier_failures = self.failures()
        self.end()
        self.begin()

    def failures(self) -> int:
        """Return the number of watches that ended in all incarnations, except those ended by the planner itself."""
        return self.earlier_failures + self.discovery.failures

    def on_endpoint_list(self, item: EndpointList | EndpointListFailed) -> None:
        """Apply an endpoint list from discovery and record the time at which each changed entry came into force."""
        if isinstance(item, EndpointListFailed):
            return
        changed = self.endpoints.apply_list(item, 1000.0 * time.monotonic())
        now = time.monotonic()
        self.records.add(self.planner.number, changed, now)
        if not self.has_list and self.incarnation > 1:
            self.records.add_restart(self.planner.number, self.ended_at, now)
        self.has_list = True

    def apply_confirmed_snapshot(self, now: float) -> None:
        """Apply a stale snapshot once the cache has confirmed it. `now` is the monotonic time in s."""
        if (endpoint_list := self.endpoints.confirmed_snapshot(1000.0 * now)) is not None:
            self.records.add(self.planner.number, self.endpoints.apply_list(endpoint_list, 1000.0 * now), now)

    def drop_entry(self) -> None:
        """Remove the most recently added entry from the cache."""
        if self.endpoints.entries:
            self.endpoints.entries.popitem()


class HollowProcess:
    """All hollow planners of one process, and the handlers of the run's requests."""

    def __init__(self, loop: CountingLoop) -> None:
        self.loop = loop
        self.followers: dict[int, Follower] = {}
        self.records = PropagationRecords()
        self.peers = PeerTraffic()
        self.shared = SharedEntries((), (MACHINE_TYPE,))
        self.cleanup_threshold = MIN_CLEANUP_ENTRIES

    async def follow(self, message: Follow) -> None:
        """Start the planners one after another, `START_INTERVAL_S` apart, then start sending their datagrams."""
        self.shared = SharedEntries(tuple(message.zones), (MACHINE_TYPE,))
        for planner in message.planners:
            self.followers[planner.number] = Follower(planner, self.shared, self.records)
            await asyncio.sleep(START_INTERVAL_S)
        await self.peers.start(message.planners, self.endpoints_of)

    def endpoints_of(self, planner: int) -> HollowEndpointCache:
        """Return the endpoint cache of one planner of the process."""
        return self.followers[planner].endpoints

    async def maintain_caches(self) -> None:
        """Periodically apply confirmed stale snapshots and remove shared entries that are no longer used."""
        while True:
            await asyncio.sleep(STALE_SNAPSHOT_CHECK_INTERVAL_S)
            for follower in self.followers.values():
                if follower.endpoints.stale_snapshot is not None:
                    follower.apply_confirmed_snapshot(time.monotonic())
            if len(self.shared.entries) > self.cleanup_threshold:
                self.shared.remove_unused(follower.endpoints for follower in self.followers.values())
                self.cleanup_threshold = max(MIN_CLEANUP_ENTRIES, 2 * len(self.shared.entries))

    def traffic(self) -> Traffic:
        """Return the bytes, datagrams and failures so far of all planners of the process together."""
        return Traffic(
            bytes_in=self.loop.bytes_in + self.peers.bytes_in,
            bytes_out=self.loop.bytes_out + self.peers.bytes_out,
            peer_bytes_in=self.peers.bytes_in,
            peer_bytes_out=self.peers.bytes_out,
            datagrams_in=self.peers.datagrams_in,
            datagrams_out=self.peers.datagrams_out,
            datagrams_computed=self.peers.datagrams_computed,
            failures=sum(follower.failures() for follower in self.followers.values()),
        )

    def planners_with_list(self) -> PlannersWithList:
        """Return the number of planners of the process that have received an endpoint list."""
        return PlannersWithList(sum(follower.has_list for follower in self.followers.values()))

    async def compare(self, message: Compare) -> Compared:
        """Compare the entries of each planner with those listed for its cell."""
        listed = {cell: self.expected_entries(entries) for cell, entries in message.cells.items()}
        compared = 0
        right = 0
        wrong = []
        digests = {cell: set[str]() for cell in listed}
        for number, follower in self.followers.items():
            actual = follower.endpoints.listed_entries()
            expected = listed[follower.planner.cell]
            difference = compare(actual, expected)
            compared += len(expected)
            if difference.count() or not follower.has_list:
                wrong.append(
                    WrongPlanner(number, max(1, difference.count()), difference.example() or "no list received")
                )
            else:
                right += 1
            digests[follower.planner.cell].add(entries_digest(actual))
            await asyncio.sleep(0)  # Yield after each planner's comparison so that the event loop can read the watches.
        return Compared(compared, right, wrong, {cell: sorted(cell_digests) for cell, cell_digests in digests.items()})

    def expected_entries(self, entries: list[Entry]) -> dict[str, ListedEntry]:
        """Return the entries that a planner should have, by server name.

        They are converted without the planner's own parser, so that an error of the parser is found.
        """
        zones = {zone: index for index, zone in enumerate(self.shared.zones)}
        return {entry.instance_id: listed_entry(entry, zones, self.shared) for entry in entries}

    def restart(self, planners: list[int]) -> None:
        """Restart several planners at the same time."""
        for planner in planners:
            self.followers[planner].restart()

    async def handle(self, message: Request) -> Message | None:
        """Handle a request of the run and return its answer, or None for a request without an answer."""
        match message:
            case Follow():
                await self.follow(message)
                return Ready()
            case Compare():
                return await self.compare(message)
            case _:
                return self.handle_immediately(message)

    def handle_immediately(self, message: Request) -> Message | None:
        """Handle a request that needs no I/O and return its answer, or None for a request without an answer."""
        match message:
            case CountPlannersWithList():
                return self.planners_with_list()
            case GetTraffic():
                return self.traffic()
            case GetRecords():
                return self.records.to_message(self.shared.ids.name)
            case Record():
                self.records.begin()
            case Restart(planners):
                self.restart(planners)
            case DropEntry(planner):
                self.followers[planner].drop_entry()
            case other:
                raise TypeError(f"unexpected request to a process of hollow planners: {other}")
        return None


def listed_entry(entry: Entry, zones: dict[str, int], shared: SharedEntries) -> ListedEntry:
    """Convert an entry of the published list to the form that a planner stores. `zones`: index of each zone by name."""
    endpoint = EndpointEntry(
        server=server_id(entry.instance_id),
        zone=zones[entry.zone],
        kind=shared.kinds.index(entry.machine_type),
        cell=entry.cell,
        availability=AVAILABILITY_BY_LIFECYCLE[entry.lifecycle],
        weight=entry.weight,
        started_at=float(entry.started_at_ms),
    )
    return ListedEntry(endpoint, entry.host_port)


async def main(loop: CountingLoop) -> None:
    """Handle the run's requests until it sends `Stop` or closes the control connection."""
    logger.remove()  # The logs of all planners of a process would be too long; the counters replace them.
    connection = await connect_standard_streams()
    process = HollowProcess(loop)
    maintenance_task = asyncio.create_task(process.maintain_caches())
    await connection.send(Ready())
    gc.freeze()
    while (message := await connection.receive()) is not None and not isinstance(message, Stop):
        answer = await process.handle(message)
        if answer is not None:
            await connection.send(answer)
    maintenance_task.cancel()
    process.peers.close()
    for follower in process.followers.values():
        follower.end()


def run(work: Callable[[CountingLoop], Any]) -> None:
    """Run a coroutine function on a new `CountingLoop`."""
    loop = CountingLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(work(loop))
    finally:
        loop.close()


if __name__ == "__main__":
    run(main)
