"""The relay's HTTP server for endpoint lists and watches, with one listener for each cell that it serves.

A watch is a response without an end. It begins with a snapshot (the cell's complete list) or, if the client has a list
of an earlier generation, with a delta (the changes since that generation). A delta for each change and heartbeats
(empty lines) follow.
"""

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
from stackwheel.wire.connection_slots import ConnectionSlots, Slot
from stackwheel.wire.endpoint_requests import ListRequest, RequestRejectedError, read_request
from stackwheel.wire.endpoint_watch import EndpointWatch, encode_chunk
from stackwheel.wire.http import socket_closed, split_address, wait_for_result
from stackwheel.wire.task_supervisor import TaskSupervisor

MAX_SNAPSHOT_BYTES = 64 << 20  # total size of the snapshots being sent; 512 of them for cells with 512 servers
SEND_BUFFER_BYTES = 64 << 10  # size of the kernel's send buffer, where the unread data of a slow reader stays
HEARTBEAT_SLICES = 8  # groups of watches whose heartbeats are sent at different times, so that not all come at once
LISTEN_BACKLOG = 1024  # connections to one cell's listener that wait to be accepted, from all its planners
MAX_REASON_CHARACTERS = 200  # length of the body of a rejection
REJECTION_TIMEOUT_MS = 500.0  # to read the rest of a rejected request; unread data would reset the response
TOO_MANY_CONNECTIONS = "too many connections"  # body of a 503 response
TOO_MANY_SNAPSHOTS = "too many whole answers under way"  # body of a 503 response
REASON_PHRASES: Final = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
}
"""Reason phrases by status; responses with other statuses have an empty reason phrase."""


def open_listener(address: str) -> socket.socket:
    """Open a listening socket.

    Raises:
        OSError: the address cannot be bound.
    """
    listener = socket.create_server(split_address(address), backlog=LISTEN_BACKLOG)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)  # accepted connections inherit the size
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, timing.RECEIVE_BUFFER_BYTES)
    listener.setblocking(False)
    return listener


@dataclass(slots=True)
class CellListener:
    """An open listener.

    Attributes:
        cell: name of the cell that it serves.
        task: task that accepts connections; the listening socket is closed when it ends.
    """

    cell: str
    task: asyncio.Task[None]

    def close(self) -> None:
        """Accept no more connections."""
        self.task.cancel()


class EndpointListServer:
    """An HTTP server for the endpoint lists in a watch cache.

    Attributes:
        cache: cache of the endpoint lists; its times are in ms on the event loop's clock, see `now`.
        open_listener: opens a listening socket at an address.
        budget: limit on the total size of the snapshots that are being sent.
        slots: the open connections.
        tasks: tasks that serve the open connections.
        listeners: open listeners by address.
        watches: heartbeat slice of each open watch, by cell and watch.
        watches_opened: number of watches opened so far.
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
        self.slots = ConnectionSlots(max_connections)
        self.tasks = TaskSupervisor()
        self.listeners: dict[str, CellListener] = {}
        self.watches: dict[str, dict[EndpointWatch, int]] = {}
        self.watches_opened = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return self.slots.open

    @staticmethod
    def now() -> float:
        """Return the current time on the event loop's clock, in ms."""
        return asyncio.get_running_loop().time() * 1000.0

    # Listeners

    async def listen(self, cell_by_address: Mapping[str, str]) -> None:
        """Open and close listeners so that exactly these cells are served; open connections are not closed.

        Args:
            cell_by_address: names of the cells by listening address.

        Raises:
            OSError: an address cannot be bound; the listeners are unchanged.
        """
        added: dict[str, CellListener] = {}
        try:
            for address, cell in cell_by_address.items():
                if address not in self.listeners:
                    added[address] = self._start_listener(address, cell)
        except OSError:
            for listener in added.values():
                listener.close()
            raise
        removed = [self.listeners.pop(address) for address in list(self.listeners) if address not in cell_by_address]
        for address, listener in self.listeners.items():
            listener.cell = cell_by_address[address]
        self.listeners |= added
        for listener in removed:
            listener.close()
            await asyncio.wait({listener.task})

    def _start_listener(self, address: str, cell: str) -> CellListener:
        listener = self.open_listener(address)
        task = asyncio.create_task(self._accept(address, listener))
        task.add_done_callback(lambda _: listener.close())  # also if the task is cancelled before it runs
        return CellListener(cell, task)

    async def _accept(self, address: str, listener: socket.socket) -> None:
        """Accept connections, one in each iteration of the event loop, until cancelled.

        asyncio's own server is not used because it accepts without a limit on open connections.
        """
        try:
            while True:
                await self.slots.wait_for_slot()
                await self._accept_one(address, listener)
                await asyncio.sleep(0)
        finally:
            listener.close()

    async def _accept_one(self, address: str, listener: socket.socket) -> None:
        """Accept a connection and serve it in a task of its own; waits for a moment after a failure."""
        try:
            accepted, _ = await asyncio.get_running_loop().sock_accept(listener)
        except OSError as error:
            logger.warning("connection not accepted: reason={}", error)
            await asyncio.sleep(timing.ACCEPT_RETRY_MS / 1000.0)
            return
        if self.slots.has_room:  # the listener of another cell may have accepted the last connection meanwhile
            self.tasks.start(self._serve(address, accepted, self.slots.occupy()))
        else:
            accepted.close()

    def close(self) -> None:
        """Close all listeners; open connections are not closed."""
        for listener in self.listeners.values():
            listener.close()
        self.listeners.clear()

    # Actions of the watch cache

    def perform(self, actions: Iterable[Action]) -> None:
        """Perform the actions that the watch cache has returned; no request is answered between two of them."""
        for action in actions:
            match action:
                case SendDelta(cell, line):
                    encoded_chunk = encode_chunk(line)
                    for watch in self.watches.get(cell, ()):
                        watch.enqueue(encoded_chunk)
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
        """Send heartbeats, and notify the watch cache of the passage of time, until cancelled."""
        slice_interval_ms = timing.HEARTBEAT_INTERVAL_MS / HEARTBEAT_SLICES
        heartbeat_slice = 0
        while True:
            due_at = self.now() + slice_interval_ms
            await asyncio.sleep(slice_interval_ms / 1000.0)
            # If this process was suspended, first allow time to read the data that arrived in the meantime.
            if self.now() > due_at + timing.STALL_GRACE_MS:
                await asyncio.sleep(timing.STALL_GRACE_MS / 1000.0)
            self.perform(self.cache.tick(self.now()))
            heartbeat_slice = (heartbeat_slice + 1) % HEARTBEAT_SLICES
            self.send_heartbeats(heartbeat_slice)

    def send_heartbeats(self, heartbeat_slice: int) -> None:
        """Send a heartbeat to the watchers of a slice, if the cached lists are current."""
        if not self.cache.is_current(self.now()):
            return
        for watches in self.watches.values():
            for watch, slice_of_watch in watches.items():
                if slice_of_watch == heartbeat_slice:
                    watch.send_heartbeat()

    # Connections

    async def _serve(self, address: str, accepted: socket.socket, slot: Slot) -> None:
        """Set up and serve an accepted connection until its socket is closed."""
        try:
            reader, writer = await asyncio.open_connection(sock=accepted, limit=timing.ACCEPTED_READ_BYTES)
        except OSError as error:
            logger.debug("connection lost: address={} reason={}", address, error)
            accepted.close()
            self.slots.release(slot)
            return
        slot.writer = writer
        try:
            writer.transport.set_write_buffer_limits(high=0)  # drain() waits until the kernel has accepted all data
            await self._serve_request(address, reader, writer, slot)
        except OSError as error:
            logger.debug("connection lost: address={} reason={}", address, error)
        except Exception as error:
            logger.exception("connection failed unexpectedly: address={} reason={!r}", address, error)
        finally:
            writer.transport.abort()
        await socket_closed(writer)
        self.slots.release(slot)

    async def _serve_request(
        self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, slot: Slot
    ) -> None:
        try:
            request = await self._read_request(reader)
            if request is not None:
                self.slots.accept_request(slot)
                await self._answer(address, request, reader, writer)
        except RequestRejectedError as rejection:
            await self._reject(reader, writer, rejection)

    async def _read_request(self, reader: asyncio.StreamReader) -> ListRequest | None:
        if self.slots.is_overloaded:
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

    async def _reject(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rejection: RequestRejectedError
    ) -> None:
        body = rejection.reason[:MAX_REASON_CHARACTERS].encode() + b"\n"
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body))), ("Connection", "close")]
        if rejection.status == HTTPStatus.METHOD_NOT_ALLOWED:
            headers.append(("Allow", "GET"))
        writer.write(_response_head(rejection.status, headers) + body)
        writer.write_eof()
        await wait_for_result(REJECTION_TIMEOUT_MS, _discard(reader))

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
        """Write data and close the connection; a client that does not read in time loses the data."""
        writer.write(data)
        await wait_for_result(timing.LINE_TIMEOUT_MS, writer.drain())
        with contextlib.suppress(OSError, RuntimeError):
            writer.write_eof()
            writer.close()
            await wait_for_result(timing.RESPONSE_TIMEOUT_MS, writer.wait_closed())

    async def _watch(
        self, cell: str, delta: bytes | None, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a watch that begins with a delta or, if `delta` is None, with a snapshot.

        There is no await between queueing this first line and registering the watch, so that no change is lost and
        all later changes follow the first line.
        """
        watch = EndpointWatch(writer, partial(self.cache.snapshot, cell), self.budget)
        self.watches_opened += 1
        self.watches.setdefault(cell, {})[watch] = self.watches_opened % HEARTBEAT_SLICES
        if delta is None:
            watch.request_snapshot()
        else:
            watch.enqueue(encode_chunk(delta))
        headers = [("Content-Type", "application/json"), ("Transfer-Encoding", "chunked")]
        writer.write(_response_head(HTTPStatus.OK, headers))
        disconnect_task = asyncio.create_task(_end_on_disconnect(reader, watch))
        try:
            await watch.run()
        finally:
            disconnect_task.cancel()
            del self.watches[cell][watch]
            if not self.watches[cell]:
                del self.watches[cell]


async def _end_on_disconnect(reader: asyncio.StreamReader, watch: EndpointWatch) -> None:
    """Read and discard data from a watcher, and end the watch when the watcher disconnects."""
    await _discard(reader)
    watch.end("watcher disconnected")


async def _discard(reader: asyncio.StreamReader) -> None:
    """Read and discard data until the client disconnects."""
    with contextlib.suppress(OSError):
        while await reader.read(timing.ACCEPTED_READ_BYTES):
            await asyncio.sleep(0)  # a client that sends without a pause must not delay others


def _response_head(status: int, headers: list[tuple[str, str]]) -> bytes:
    http = h11.Connection(h11.SERVER)
    http.receive_data(b"GET / HTTP/1.1\r\nHost: relay\r\n\r\n")
    http.next_event()
    response = h11.Response(status_code=int(status), headers=headers, reason=REASON_PHRASES.get(int(status), b""))
    return http.send(response) or b""
