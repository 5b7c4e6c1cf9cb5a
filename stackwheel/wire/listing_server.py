"""The relay's server: lists and watches in the published format, one listener for each served cell."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterable, Mapping
from functools import partial

import h11
from loguru import logger

from stackwheel.relay.cache import ListingCache
from stackwheel.relay.messages import Action, EndWatches, Resumed, TellChanges, TellWhole, Unavailable
from stackwheel.wire import timing
from stackwheel.wire.byte_budget import ByteBudget
from stackwheel.wire.http import split_address, within
from stackwheel.wire.listing_requests import HEAD_MOST, BadRequest, ListRequest, read_request
from stackwheel.wire.listing_watch import ListingWatch, chunk

WHOLE_BYTES_MOST = 64 << 20  # of whole answers under way, each of which may wait unread: 512 of 512 servers
SEND_BUFFER = 64 << 10  # bytes in the kernel, of a connection: what a slow reader leaves unread there
TURNS = 8  # a beat's empty lines go out in so many turns, so that they don't all come at once
LISTEN_WAITING = 1024  # connections that wait to be accepted, of a cell: all of its planners and their retries
PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
}


def stand_open(address: str) -> socket.socket:
    """A listener of the system; OSError if the address can't be had."""
    opened = socket.create_server(split_address(address), backlog=LISTEN_WAITING)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)  # connections inherit it
    return opened


class ListingServer:
    """Serves what the cache holds. `now` is the cache's clock, in ms; `connections` the most at once, `whole_bytes`
    the most of whole answers under way."""

    def __init__(
        self,
        cache: ListingCache,
        connections: int,
        whole_bytes: int = WHOLE_BYTES_MOST,
        listen_at: Callable[[str], socket.socket] = stand_open,
    ) -> None:
        self.cache, self.listen_at = cache, listen_at
        self.budget = ByteBudget(whole_bytes)
        self.connections_most = connections
        self.connections = 0
        self.listeners: dict[str, tuple[str, asyncio.Server]] = {}  # by address: the cell, its listener
        self.watches: dict[str, dict[ListingWatch, int]] = {}  # by cell, each with its turn
        self.opened = 0

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time() * 1000.0

    # Listeners

    async def listen(self, cells: Mapping[str, str]) -> None:
        """Listen at these addresses, each for its cell, and at no others; OSError, and all as it was, if one can't
        be had. A connection that is open stays so."""
        added: dict[str, tuple[str, asyncio.Server]] = {}
        try:
            for address, cell in cells.items():
                if address not in self.listeners:
                    added[address] = cell, await self._listen_at(address)
        except OSError:
            for _, listener in added.values():
                listener.close()
            raise
        for address in [address for address in self.listeners if address not in cells]:
            self.listeners.pop(address)[1].close()
        for address, (_, listener) in self.listeners.items():
            self.listeners[address] = cells[address], listener
        self.listeners |= added

    async def _listen_at(self, address: str) -> asyncio.Server:
        serve = partial(self._serve, address)
        opened = self.listen_at(address)
        return await asyncio.start_server(serve, sock=opened, backlog=LISTEN_WAITING, limit=HEAD_MOST)

    def close(self) -> None:
        for _, listener in self.listeners.values():
            listener.close()
        self.listeners.clear()

    # What the cache says

    def perform(self, actions: Iterable[Action]) -> None:
        """Do it in one step: no call comes in between."""
        for action in actions:
            match action:
                case TellChanges(cell, line):
                    framed = chunk(line)
                    for watch in self.watches.get(cell, ()):
                        watch.tell(framed)
                case TellWhole(cell):
                    for watch in self.watches.get(cell, ()):
                        watch.owe_whole()
                case EndWatches(cells, reason):
                    for cell in cells:
                        for watch in self.watches.get(cell, ()):
                            watch.end(reason)

    async def keep_time(self) -> None:
        """Beats, and what time alone brings about."""
        step = timing.HEARTBEAT_INTERVAL_MS / TURNS
        turn = 0
        while True:
            due = self.now() + step
            await asyncio.sleep(step / 1000.0)
            if self.now() > due + timing.STALL_GRACE_MS:  # this process stood still: what lies ready counts
                await asyncio.sleep(timing.STALL_GRACE_MS / 1000.0)
            self.perform(self.cache.tick(self.now()))
            turn = (turn + 1) % TURNS
            self.beat(turn)

    def beat(self, turn: int) -> None:
        """Empty lines for the watches of a turn, while the list may be vouched for."""
        if not self.cache.vouches(self.now()):
            return
        for watches in self.watches.values():
            for watch, its in watches.items():
                if its == turn:
                    watch.beat()

    # Connections

    async def _serve(self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            writer.transport.set_write_buffer_limits(high=0)  # drained is what the kernel has taken
            if self.connections > self.connections_most:
                await self._refuse(writer, BadRequest(503, "too many connections"))
                return
            request = await read_request(reader)
            if isinstance(request, BadRequest):
                await self._refuse(writer, request)
            else:
                await self._answer(address, request, reader, writer)
        except OSError as error:
            logger.debug("connection broke: {}", error)
        except Exception as error:
            logger.exception("connection at {}: fault {!r}", address, error)
        finally:
            self.connections -= 1
            writer.transport.abort()

    async def _answer(
        self, address: str, request: ListRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if address not in self.listeners:
            await self._refuse(writer, BadRequest(503, "the cell is served elsewhere"))
            return
        cell, _ = self.listeners[address]
        answer = self.cache.ask(cell, request.since if request.follow else None, self.now())
        if isinstance(answer, Unavailable):
            await self._refuse(writer, BadRequest(503, answer.reason))
        elif not isinstance(answer, Resumed) and not self.budget.room(len(self.cache.whole(cell) or b"")):
            await self._refuse(writer, BadRequest(503, "too many whole answers under way"))
        elif request.follow:
            await self._watch(cell, answer.line if isinstance(answer, Resumed) else None, reader, writer)
        else:
            await self._list(cell, writer)

    async def _refuse(self, writer: asyncio.StreamWriter, refused: BadRequest) -> None:
        if refused.status:
            body = refused.reason[:200].encode() + b"\n"
            headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body))), ("Connection", "close")]
            if refused.status == 405:
                headers.append(("Allow", "GET"))
            await self._finish(writer, _head(refused.status, headers) + body)

    async def _list(self, cell: str, writer: asyncio.StreamWriter) -> None:
        line = self.cache.whole(cell) or b""
        async with self.budget.hold(len(line)):
            headers = [("Content-Length", str(len(line))), ("Connection", "close")]
            await self._finish(writer, _head(200, [("Content-Type", "application/json"), *headers]) + line)

    @staticmethod
    async def _finish(writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write the last of a connection; who does not read it loses it."""
        writer.write(data)
        await within(timing.LINE_TIMEOUT_MS, writer.drain())
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
            writer.close()
            await within(timing.RESPONSE_TIMEOUT_MS, writer.wait_closed())

    async def _watch(
        self, cell: str, resumed: bytes | None, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Its first answer and its place among the watches are one step: what changes next is told after it."""
        watch = ListingWatch(writer, partial(self.cache.whole, cell), self.budget)
        self.opened += 1
        self.watches.setdefault(cell, {})[watch] = self.opened % TURNS
        if resumed is None:
            watch.owe_whole()
        else:
            watch.tell(chunk(resumed))
        headers = [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
        writer.write(_head(200, headers))
        leaving = asyncio.create_task(_until_end(reader, watch))
        try:
            await watch.run()
        finally:
            leaving.cancel()
            del self.watches[cell][watch]
            if not self.watches[cell]:
                del self.watches[cell]


async def _until_end(reader: asyncio.StreamReader, watch: ListingWatch) -> None:
    """Read and drop what a watcher says; it ends with its connection."""
    with contextlib.suppress(OSError):
        while await reader.read(HEAD_MOST):
            pass
    watch.end("the watcher has left")


def _head(status: int, headers: list[tuple[str, str]]) -> bytes:
    http = h11.Connection(h11.SERVER)
    http.receive_data(b"GET / HTTP/1.1\r\nHost: relay\r\n\r\n")
    http.next_event()
    return http.send(h11.Response(status_code=status, headers=headers, reason=PHRASES.get(status, b""))) or b""
