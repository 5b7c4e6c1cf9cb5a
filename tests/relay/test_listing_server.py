"""The relay's server on real sockets: requests, watches, beats, slow readers, bounds."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Coroutine
from typing import Any, ClassVar

import pytest
from lists import DRAINING, GONE, READY, cache, changes, part, read, server, states, whole

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.relay.cache import ListingCache
from stackwheel.wire import listing_requests, timing
from stackwheel.wire.byte_budget import ByteBudget
from stackwheel.wire.listing_server import TURNS, ListingServer
from stackwheel.wire.listing_watch import UNREAD_MOST, ListingWatch

LIST = "/registry/instances"
FILLER = "x" * 200


class Caller:
    """A connection that says what the test says, and reads when it is told to."""

    opened: ClassVar[list[socket.socket]] = []  # by the present test

    def __init__(self, opened: socket.socket) -> None:
        self.socket = opened
        self.opened.append(opened)

    @classmethod
    async def open(cls, address: str, request: str = "", buffer: int = 0) -> Caller:
        host, _, port = address.rpartition(":")
        opened = socket.socket()
        if buffer:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        opened.setblocking(False)
        await asyncio.get_running_loop().sock_connect(opened, (host, int(port)))
        caller = cls(opened)
        if request:
            await caller.say(f"{request} HTTP/1.1\r\nHost: relay\r\n\r\n")
        return caller

    async def say(self, text: str) -> None:
        await asyncio.get_running_loop().sock_sendall(self.socket, text.encode())

    async def piece(self) -> bytes:
        try:
            return await asyncio.get_running_loop().sock_recv(self.socket, 1 << 16)
        except ConnectionError:
            return b""

    async def all(self) -> bytes:
        data = b""
        while piece := await self.piece():
            data += piece
        return data

    async def status(self) -> int:
        return int((await self.all()).split(b" ", 2)[1])


class Watcher:
    def __init__(self, caller: Caller) -> None:
        self.caller, self.held, self.begun = caller, b"", False

    async def until(self, end: bytes) -> bytes:
        while end not in self.held:
            piece = await self.caller.piece()
            if not piece:
                raise EOFError
            self.held += piece
        data, self.held = self.held.split(end, 1)
        return data

    async def line(self) -> bytes:
        """The next line; b"" for an empty one."""
        if not self.begun:
            assert b" 200 " in await self.until(b"\r\n\r\n")
            self.begun = True
        size = int(await self.until(b"\r\n"), 16)
        while len(self.held) < size + 2:
            self.held += await self.caller.piece()
        data, self.held = self.held[:size], self.held[size + 2 :]
        return data.strip()

    async def listing(self) -> EndpointList:
        while not (line := await self.line()):
            pass
        return read(line)


class Served:
    """A server of one cell, `a`, whose cache the test feeds."""

    started: ClassVar[list[ListingServer]] = []  # by the present test

    def __init__(self, held: ListingCache, connections: int = 100, whole_bytes: int = 64 << 20) -> None:
        self.cache, self.server = held, ListingServer(held, connections, whole_bytes)
        self.started.append(self.server)

    async def start(self) -> Served:
        with socket.create_server(("127.0.0.1", 0)) as found:
            self.address = f"127.0.0.1:{found.getsockname()[1]}"
        await self.server.listen({self.address: "a"})
        return self

    def take(self, listing: EndpointList) -> None:
        self.server.perform(self.cache.take(listing, self.server.now()))

    async def watch(self, since: int | None = None, buffer: int = 0) -> Watcher:
        after = "" if since is None else f"&since={since}"
        return Watcher(await Caller.open(self.address, f"GET {LIST}?follow=1{after}", buffer))

    async def watches(self, count: int) -> list[ListingWatch]:
        while len(self.server.watches.get("a", ())) != count:
            await asyncio.sleep(0)
        return list(self.server.watches.get("a", ()))

    def beat(self) -> None:
        for turn in range(TURNS):
            self.server.beat(turn)


def run(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a test, and leave nothing open."""

    async def whole_test() -> None:
        try:
            await asyncio.wait_for(work(), 15)
        finally:
            while Caller.opened:
                Caller.opened.pop().close()
            while Served.started:
                served = Served.started.pop()
                served.close()
                while served.connections:
                    await asyncio.sleep(0)
            await asyncio.sleep(0)

    asyncio.run(whole_test())


async def serving(*listed: Any, **how: Any) -> Served:
    served = await Served(cache("a"), **how).start()
    if listed:
        served.take(whole(5, *listed))
    return served


def large(generation: int) -> EndpointList:
    """Changes of some 30 KB."""
    return changes(generation, *(server(f"a-{n}{FILLER}", weight=float(generation)) for n in range(80)))


def merged(told: list[EndpointList]) -> dict[str, Instance]:
    """What who was told this holds."""
    held: dict[str, Instance] = {}
    for listing in told:
        held = {} if listing.complete else held
        held |= {one.name: one for one in listing.instances}
    return {name: one for name, one in held.items() if one.availability is not GONE}


async def idle(watch: ListingWatch) -> None:
    """Until all that was told is written."""
    while watch.writing or watch.pending or watch.whole_due:
        await asyncio.sleep(0)


async def blocked(watch: ListingWatch) -> None:
    """Until a write of the watch waits for the caller to read."""
    while not (watch.writing and watch.writer.transport.get_write_buffer_size()):
        await asyncio.sleep(0)


def test_a_list_and_a_watch_tell_the_part_and_what_changes() -> None:
    async def work() -> None:
        served = await serving(server("a-1"), server("b-1"))
        head, _, body = (await (await Caller.open(served.address, f"GET {LIST}")).all()).partition(b"\r\n\r\n")
        assert b"200 OK" in head
        assert read(body) == whole(5, server("a-1"))
        first, second = await served.watch(), await served.watch(since=5)
        assert await first.listing() == whole(5, server("a-1"))
        assert await second.listing() == changes(5)
        served.take(changes(6, server("a-1", DRAINING)))
        assert await first.listing() == await second.listing() == changes(6, server("a-1", DRAINING))

    run(work)


@pytest.mark.parametrize(
    ("request_line", "status"),
    [
        ("GET /other", 404),
        (f"POST {LIST}", 405),
        (f"GET {LIST}?follow=2", 400),
        (f"GET {LIST}?follow=1&since=-4", 400),
        (f"GET {LIST}?since=1e3&follow=1", 400),
        ("what is this", 400),
        (f"GET {LIST}?" + "x" * 3 * listing_requests.HEAD_MOST, 431),
    ],
)
def test_bad_requests_are_refused(request_line: str, status: int) -> None:
    async def work() -> None:
        served = await serving(server("a-1"))
        assert await (await Caller.open(served.address, request_line)).status() == status

    run(work)


def test_before_the_first_list_and_without_the_registry_calls_are_refused() -> None:
    async def work() -> None:
        served = await serving()
        for request in (f"GET {LIST}", f"GET {LIST}?follow=1"):
            assert await (await Caller.open(served.address, request)).status() == 503
        served.take(whole(5, server("a-1")))
        served.cache.contact.heard_at = served.server.now() - timing.WATCH_SILENCE_TIMEOUT_MS
        for request in (f"GET {LIST}", f"GET {LIST}?follow=1&since=5"):
            assert await (await Caller.open(served.address, request)).status() == 503

    run(work)


def test_a_connection_that_never_asks_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listing_requests, "ASK_MOST", 50.0)

    async def work() -> None:
        served = await serving(server("a-1"))
        silent, slow = await Caller.open(served.address), await Caller.open(served.address)
        await slow.say(f"GET {LIST} HT")
        assert await silent.all() == await slow.all() == b""
        while served.server.connections:
            await asyncio.sleep(0)

    run(work)


def test_connections_are_bounded() -> None:
    async def work() -> None:
        served = await serving(server("a-1"), connections=2)
        held = [await served.watch(), await served.watch()]
        await served.watches(2)
        assert await (await Caller.open(served.address, f"GET {LIST}")).status() == 503
        held.pop().caller.socket.close()
        await served.watches(1)
        while served.server.connections > 1:
            await asyncio.sleep(0)
        assert await (await Caller.open(served.address, f"GET {LIST}")).status() == 200

    run(work)


# Between the first answer and what follows it


def test_a_drain_while_the_first_changes_are_being_written_is_told_after_them() -> None:
    async def work() -> None:
        served = await serving(server("a-1"))
        for generation in range(6, 30):
            served.take(large(generation))
        served.take(changes(30, *(server(f"a-{n}{FILLER * 40}") for n in range(400))))  # beyond all buffers
        watcher = await served.watch(since=5, buffer=4096)
        (watch,) = await served.watches(1)
        await blocked(watch)
        served.take(changes(31, server("a-1", DRAINING)))
        first = await watcher.listing()
        assert not first.complete
        assert first.generation == 30
        assert "a-1" not in states(first)
        assert await watcher.listing() == changes(31, server("a-1", DRAINING))

    run(work)


def test_a_drain_before_the_whole_part_is_written_is_in_it() -> None:
    async def work() -> None:
        served = await serving(server("a-1"), server("a-2"), whole_bytes=1)
        watcher = await served.watch()
        assert (await watcher.listing()).complete
        other = served.server.budget.hold(1)  # the whole part that is owed has to wait
        await other.__aenter__()
        (watch,) = await served.watches(1)
        watch.owe_whole()
        while watch.mail.is_set():  # until it waits for its turn
            await asyncio.sleep(0)
        served.take(changes(6, server("a-1", DRAINING)))
        await other.__aexit__(None, None, None)
        assert await watcher.listing() == whole(6, server("a-2"), server("a-1", DRAINING))
        served.take(changes(7, server("a-1", GONE)))
        assert await watcher.listing() == changes(7, server("a-1", GONE))

    run(work)


# Beats and vouching


def test_empty_lines_stop_and_watches_end_when_the_registry_is_lost() -> None:
    async def work() -> None:
        served = await serving(server("a-1"))
        watcher = await served.watch()
        await watcher.listing()
        (watch,) = await served.watches(1)
        await idle(watch)
        served.beat()
        assert await watcher.line() == b""
        await idle(watch)
        served.cache.contact.heard_at = served.server.now() - timing.WATCH_SILENCE_TIMEOUT_MS
        served.beat()
        assert not watch.pending  # nothing was said
        served.server.perform(served.cache.tick(served.server.now()))
        with pytest.raises(EOFError):
            await watcher.line()
        await served.watches(0)

    run(work)


def test_time_is_kept_without_help(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timing, "HEARTBEAT_INTERVAL_MS", 80.0)

    async def work() -> None:
        served = await serving(server("a-1"))
        watcher = await served.watch()
        await watcher.listing()
        keeping = asyncio.create_task(served.server.keep_time())
        assert await watcher.line() == await watcher.line() == b""
        served.cache.contact.heard_at = served.server.now() - timing.WATCH_SILENCE_TIMEOUT_MS
        with pytest.raises(EOFError):
            while True:
                await watcher.line()
        keeping.cancel()

    run(work)


def test_a_new_numbering_is_told_to_all_watchers_as_the_whole_part() -> None:
    async def work() -> None:
        served = await serving(server("a-1"), whole_bytes=1)
        watchers = [await served.watch(since=5) for _ in range(5)]
        for watcher in watchers:
            await watcher.listing()
        served.take(whole(2, server("a-2"), generations_restarted=True))
        for watcher in watchers:
            assert await watcher.listing() == whole(2, server("a-2"))

    run(work)


# Slow readers, and many at once


def test_what_a_slow_reader_leaves_unread_is_bounded_and_it_gets_the_whole_part() -> None:
    async def work() -> None:
        served = await serving(server("a-1"))
        watcher = await served.watch(since=5, buffer=4096)
        await watcher.listing()
        (watch,) = await served.watches(1)
        generation = 5
        while not watch.whole_due:
            generation += 1
            served.take(large(generation))
            assert watch.pending_bytes <= UNREAD_MOST
            assert generation < 10_000
            await asyncio.sleep(0)
        last = generation + 50
        for later in range(generation + 1, last):
            served.take(large(later))
            await asyncio.sleep(0)
            assert watch.pending_bytes <= UNREAD_MOST
            assert watch.writer.transport.get_write_buffer_size() <= 2 * UNREAD_MOST
        served.take(changes(last, server("a-1", DRAINING)))
        told = [await watcher.listing()]
        while told[-1].generation < last:
            told.append(await watcher.listing())
            assert told[-1].generation > told[-2].generation
        assert any(found.complete for found in told)
        assert len(told) < last - 5
        found = part(served.cache)
        assert states(found)["a-1"] is DRAINING
        assert len(found.instances) == 81
        assert all(one.weight == last - 1 for one in found.instances if one.name != "a-1")
        held = merged(told)
        assert held == {one.name: one for one in found.instances}

    run(work)


def test_who_does_not_read_at_all_is_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(timing, "WATCH_SILENCE_TIMEOUT_MS", 100.0)

    async def work() -> None:
        served = await Served(ListingCache(lambda *_: "a", ["a"], 60_000.0, 2000.0)).start()
        served.take(whole(5, server("a-1")))
        watcher = await served.watch(since=5, buffer=4096)
        await watcher.listing()
        (watch,) = await served.watches(1)
        generation = 5
        while not watch.writer.transport.get_write_buffer_size():
            generation += 1
            served.take(large(generation))
            await asyncio.sleep(0)
        await served.watches(0)
        assert watch.ended.startswith("nothing read")

    run(work)


def test_whole_answers_under_way_are_bounded() -> None:
    async def work() -> None:
        served = await serving(*(server(f"a-{n}{FILLER * 40}") for n in range(400)), whole_bytes=7_000_000)
        slow = [await served.watch(buffer=4096), await served.watch(buffer=4096)]
        for watch in await served.watches(2):
            await blocked(watch)
        served.cache.heard(served.server.now())
        for request in (f"GET {LIST}", f"GET {LIST}?follow=1", f"GET {LIST}?follow=1&since=4"):
            assert await (await Caller.open(served.address, request)).status() == 503
        resumed = await served.watch(since=5)  # what changed is no whole answer
        assert await resumed.listing() == changes(5)
        assert (await slow[0].listing()).complete
        while not served.server.budget.room(len(served.cache.whole("a") or b"")):
            await asyncio.sleep(0)
        served.cache.heard(served.server.now())  # reading may have taken long
        assert await (await Caller.open(served.address, f"GET {LIST}")).status() == 200

    run(work)


def test_bytes_are_held_in_the_order_of_asking_and_a_turn_given_up_is_passed_on() -> None:
    async def work() -> None:
        budget, order = ByteBudget(10), []

        async def hold(name: str, size: int, done: asyncio.Event) -> None:
            async with budget.hold(size):
                order.append(name)
                assert budget.held <= 10
                await done.wait()

        done = asyncio.Event()
        async with budget.hold(8):
            waiting = [asyncio.create_task(hold(name, size, done)) for name, size in (("a", 9), ("b", 4), ("c", 5))]
            while len(budget.waiting) < 3:
                await asyncio.sleep(0)
            assert not budget.room(1)
            assert order == []
            waiting[0].cancel()
            await asyncio.wait(waiting[:1])
            assert budget.held == 8
        while order != ["b", "c"]:
            await asyncio.sleep(0)
        late = asyncio.create_task(hold("d", 3, done))
        while not budget.waiting:
            await asyncio.sleep(0)
        done.set()
        await asyncio.wait([late, *waiting])
        assert order == ["b", "c", "d"]
        assert budget.held == 0
        assert budget.room(1000)

    run(work)


def test_a_turn_that_is_given_up_as_it_comes_is_given_back() -> None:
    async def work() -> None:
        budget = ByteBudget(1)

        async def hold() -> None:
            async with budget.hold(1):
                pass

        async with budget.hold(1):
            waiting = asyncio.create_task(hold())
            while not budget.waiting:
                await asyncio.sleep(0)
        waiting.cancel()  # its turn has come, but it has not run since
        await asyncio.wait([waiting])
        assert waiting.cancelled()
        assert budget.held == 0

    run(work)


# Listeners


def test_listeners_follow_the_plan_or_stay_as_they_were() -> None:
    async def work() -> None:
        served = await serving(server("a-1"))
        other = await serving(server("a-1"))
        with pytest.raises(OSError):
            await served.server.listen({other.address: "a"})  # taken
        assert await (await Caller.open(served.address, f"GET {LIST}")).status() == 200
        await served.server.listen({})
        with contextlib.suppress(ConnectionRefusedError):
            assert await (await Caller.open(served.address, f"GET {LIST}")).all() == b""
            raise AssertionError("it still listens")

    run(work)


def test_a_watcher_that_leaves_is_forgotten() -> None:
    async def work() -> None:
        served = await serving(server("a-1"))
        watcher = await served.watch()
        assert states(await watcher.listing()) == {"a-1": READY}
        await served.watches(1)
        watcher.caller.socket.close()
        await served.watches(0)
        assert served.server.watches == {}

    run(work)
