"""The relay's server: lists and watches in the published format, one listener for each served cell."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial
from http import HTTPStatus
from typing import Final

import h11
from loguru import logger

from stackwheel.relay.messages import (
    Action,
    Delta,
    EndWatches,
    SendDelta,
    SendSnapshot,
    SnapshotRequired,
    UnavailableError,
)
from stackwheel.relay.watch_cache import CELL_SERVED_ELSEWHERE, WatchCache
from stackwheel.wire import timing
from stackwheel.wire.byte_budget import ByteBudget
from stackwheel.wire.endpoint_requests import MAX_REQUEST_HEAD_BYTES, ListRequest, RequestRejectedError, read_request
from stackwheel.wire.endpoint_watch import EndpointWatch, chunk
from stackwheel.wire.http import split_address, within

MAX_SNAPSHOT_BYTES = 64 << 20  # of snapshots being sent, each of which may wait unread: 512 of 512 servers
SEND_BUFFER_BYTES = 64 << 10  # in the kernel, of a connection: what a slow reader leaves unread there
HEARTBEAT_SLICES = 8  # heartbeats go out in so many slices of an interval, so that they don't all come at once
LISTEN_BACKLOG = 1024  # connections that wait to be accepted, of a cell: all of its planners and their retries
MAX_REASON_CHARACTERS = 200  # of the body of a rejection
TOO_MANY_CONNECTIONS = "too many connections"  # this and the next are bodies of 503 responses
TOO_MANY_SNAPSHOTS = "too many whole answers under way"
REASON_PHRASES: Final = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
}  # any other status goes without a phrase


def open_listener(address: str) -> socket.socket:
    """A listener of the system.

    Raises:
        OSError: the address can't be had.
    """
    listener = socket.create_server(split_address(address), backlog=LISTEN_BACKLOG)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)  # connections inherit it
    return listener


@dataclass(slots=True)
class CellListener:
    """An open listener, and the cell that is served at its address."""

    cell: str
    server: asyncio.Server


class EndpointListServer:
    """Serves the lists of a watch cache.

    Attributes:
        cache: the lists; its clock is `now`, in ms.
        open_listener: opens the listener at an address.
        budget: bounds the bytes of all snapshots that are being sent.
        max_connections: connections that may be open at once.
        connections: connections that are open.
        listeners: the open listeners by address.
        watches: the open watches by cell, each with its heartbeat slice.
        watches_opened: watches opened so far.
    """

    def __init__(
        self,
        cache: WatchCache,
        max_connections: int,
        max_snapshot_bytes: int = MAX_SNAPSHOT_BYTES,
        open_listener: Callable[[str], socket.socket] = open_listener,
    ) -> None:
        self.cache = cache
        self.open_listener = open_listener
        self.budget = ByteBudget(max_snapshot_bytes)
        self.max_connections = max_connections
        self.connections = 0
        self.listeners: dict[str, CellListener] = {}
        self.watches: dict[str, dict[EndpointWatch, int]] = {}
        self.watches_opened = 0

    @staticmethod
    def now() -> float:
        """The loop's time, in ms."""
        return asyncio.get_running_loop().time() * 1000.0

    # Listeners

    async def listen(self, cell_by_address: Mapping[str, str]) -> None:
        """Listen at these addresses, each for its cell, and at no others. Open connections stay open.

        Raises:
            OSError: an address can't be had; then the listeners are as they were.
        """
        added: dict[str, CellListener] = {}
        try:
            for address, cell in cell_by_address.items():
                if address not in self.listeners:
                    added[address] = CellListener(cell, await self._start_listener(address))
        except OSError:
            for listener in added.values():
                listener.server.close()
            raise
        for address in [address for address in self.listeners if address not in cell_by_address]:
            self.listeners.pop(address).server.close()
        for address, listener in self.listeners.items():
            listener.cell = cell_by_address[address]
        self.listeners |= added

    async def _start_listener(self, address: str) -> asyncio.Server:
        serve = partial(self._serve, address)
        listener = self.open_listener(address)
        return await asyncio.start_server(serve, sock=listener, backlog=LISTEN_BACKLOG, limit=MAX_REQUEST_HEAD_BYTES)

    def close(self) -> None:
        """Close all listeners; open connections stay open."""
        for listener in self.listeners.values():
            listener.server.close()
        self.listeners.clear()

    # Actions of the cache

    def perform(self, actions: Iterable[Action]) -> None:
        """Perform the actions in one step: no call is answered in between."""
        for action in actions:
            match action:
                case SendDelta(cell, line):
                    framed = chunk(line)
                    for watch in self.watches.get(cell, ()):
                        watch.enqueue(framed)
                case SendSnapshot(cell):
                    for watch in self.watches.get(cell, ()):
                        watch.request_snapshot()
                case EndWatches(cells, reason):
                    self._end_watches(cells, reason)

    def _end_watches(self, cells: Iterable[str], reason: str) -> None:
        for cell in cells:
            for watch in self.watches.get(cell, ()):
                watch.end(reason)

    async def run_timers(self) -> None:
        """Send heartbeats, and do what time alone brings about, until cancelled."""
        step = timing.HEARTBEAT_INTERVAL_MS / HEARTBEAT_SLICES
        heartbeat_slice = 0
        while True:
            due = self.now() + step
            await asyncio.sleep(step / 1000.0)
            if self.now() > due + timing.STALL_GRACE_MS:  # this process stood still: bytes that are ready to read count
                await asyncio.sleep(timing.STALL_GRACE_MS / 1000.0)
            self.perform(self.cache.tick(self.now()))
            heartbeat_slice = (heartbeat_slice + 1) % HEARTBEAT_SLICES
            self.send_heartbeats(heartbeat_slice)

    def send_heartbeats(self, heartbeat_slice: int) -> None:
        """Send a heartbeat on the watches of a slice, while the list is the present one."""
        if not self.cache.is_current(self.now()):
            return
        for watches in self.watches.values():
            for watch, slice_of_watch in watches.items():
                if slice_of_watch == heartbeat_slice:
                    watch.send_heartbeat()

    # Connections

    async def _serve(self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            writer.transport.set_write_buffer_limits(high=0)  # drained is what the kernel has taken
            await self._serve_request(address, reader, writer)
        except OSError as error:
            logger.debug("connection closed: address={} reason={}", address, error)
        except Exception as error:
            logger.exception("connection failed: address={} reason={!r}", address, error)
        finally:
            self.connections -= 1
            writer.transport.abort()

    async def _serve_request(self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            request = await self._read_request(reader)
            if request is not None:
                await self._answer(address, request, reader, writer)
        except RequestRejectedError as rejection:
            await self._reject(writer, rejection)

    async def _read_request(self, reader: asyncio.StreamReader) -> ListRequest | None:
        if self.connections > self.max_connections:
            raise RequestRejectedError(HTTPStatus.SERVICE_UNAVAILABLE, TOO_MANY_CONNECTIONS)
        return await read_request(reader)

    async def _answer(
        self, address: str, request: ListRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if address not in self.listeners:
            raise RequestRejectedError(HTTPStatus.SERVICE_UNAVAILABLE, CELL_SERVED_ELSEWHERE)
        cell = self.listeners[address].cell
        try:
            answer = self.cache.answer(cell, request.since if request.follow else None, self.now())
        except UnavailableError as error:
            raise RequestRejectedError(HTTPStatus.SERVICE_UNAVAILABLE, str(error)) from error
        if isinstance(answer, SnapshotRequired) and not self.budget.has_capacity(len(self.cache.snapshot(cell) or b"")):
            raise RequestRejectedError(HTTPStatus.SERVICE_UNAVAILABLE, TOO_MANY_SNAPSHOTS)
        if request.follow:
            await self._watch(cell, answer.line if isinstance(answer, Delta) else None, reader, writer)
        else:
            await self._send_list(cell, writer)

    async def _reject(self, writer: asyncio.StreamWriter, rejection: RequestRejectedError) -> None:
        body = rejection.reason[:MAX_REASON_CHARACTERS].encode() + b"\n"
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body))), ("Connection", "close")]
        if rejection.status == HTTPStatus.METHOD_NOT_ALLOWED:
            headers.append(("Allow", "GET"))
        await self._send_last(writer, _response_head(rejection.status, headers) + body)

    async def _send_list(self, cell: str, writer: asyncio.StreamWriter) -> None:
        line = self.cache.snapshot(cell) or b""
        async with self.budget.reserve(len(line)):
            headers = [
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(line))),
                ("Connection", "close"),
            ]
            await self._send_last(writer, _response_head(HTTPStatus.OK, headers) + line)

    @staticmethod
    async def _send_last(writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write the last bytes of a connection; a caller that does not read loses them."""
        writer.write(data)
        await within(timing.LINE_TIMEOUT_MS, writer.drain())
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
            writer.close()
            await within(timing.RESPONSE_TIMEOUT_MS, writer.wait_closed())

    async def _watch(
        self, cell: str, delta: bytes | None, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a watch that begins with a delta, or with a snapshot where there is none.

        Its first answer and its registration are one step: the next change is sent after the answer.
        """
        watch = EndpointWatch(writer, partial(self.cache.snapshot, cell), self.budget)
        self.watches_opened += 1
        self.watches.setdefault(cell, {})[watch] = self.watches_opened % HEARTBEAT_SLICES
        if delta is None:
            watch.request_snapshot()
        else:
            watch.enqueue(chunk(delta))
        headers = [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
        writer.write(_response_head(HTTPStatus.OK, headers))
        disconnection = asyncio.create_task(_end_on_disconnect(reader, watch))
        try:
            await watch.run()
        finally:
            disconnection.cancel()
            del self.watches[cell][watch]
            if not self.watches[cell]:
                del self.watches[cell]


async def _end_on_disconnect(reader: asyncio.StreamReader, watch: EndpointWatch) -> None:
    """Read and drop what a watcher sends, and end the watch with its connection."""
    with contextlib.suppress(OSError):
        while await reader.read(MAX_REQUEST_HEAD_BYTES):
            pass
    watch.end("watcher disconnected")


def _response_head(status: int, headers: list[tuple[str, str]]) -> bytes:
    http = h11.Connection(h11.SERVER)
    http.receive_data(b"GET / HTTP/1.1\r\nHost: relay\r\n\r\n")
    http.next_event()
    response = h11.Response(status_code=int(status), headers=headers, reason=REASON_PHRASES.get(int(status), b""))
    return http.send(response) or b""
