"""HTTP/1.1 calls: asyncio carries the bytes, h11 parses them, and an error states how far the call came."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable
from enum import StrEnum
from typing import TypeVar

import h11

from stackwheel.errors import StackwheelError
from stackwheel.wire import timing

T = TypeVar("T")

OK_STATUS = 200


class Stage(StrEnum):
    """How far a call had come when it failed."""

    CONNECT = "connect"  # no connection
    HEAD = "head"  # request sent, no response yet
    STATUS = "status"  # responded, with a status other than 200
    BODY = "body"  # responded, but the body is not complete
    CONTENT = "content"  # complete, but the body can't be used


class CallError(StackwheelError):
    """A call brought no usable response.

    Attributes:
        stage: how far the call had come.
        reason: what went wrong there.
        address: "host:port" that was called.
        timed_out: whether a timeout expired, as opposed to a connection that ended or a response that was wrong.
        status: the response's status where `stage` is STATUS, else 0.
    """

    def __init__(self, stage: Stage, reason: str, address: str, timed_out: bool = False, status: int = 0) -> None:
        super().__init__(f"{address}: {stage}: {reason}")
        self.stage = stage
        self.reason = reason
        self.address = address
        self.timed_out = timed_out
        self.status = status


async def within(timeout_ms: float, work: Awaitable[T]) -> T | None:
    """Wait for work at most so long, and cancel it then.

    What is ready when the timeout expires still counts, as this process itself may have been stalled.

    Returns:
        The result, or None when the timeout has expired.
    """
    task = asyncio.ensure_future(work)
    try:
        done, _ = await asyncio.wait({task}, timeout=timeout_ms / 1000.0)
        if not done:
            done, _ = await asyncio.wait({task}, timeout=timing.STALL_GRACE_MS / 1000.0)
        return task.result() if done else None
    finally:
        if not task.done():
            task.cancel()


def split_address(address: str) -> tuple[str, int]:
    """Host and port of "host:port"; ValueError where the port is no number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Call:
    """One GET on a connection of its own.

    Attributes:
        address: "host:port" that is called.
        target: path and query.
        protocol: h11's state of the connection.
        connecting: the task that connects, from `open` on; its result owns the socket until `close`.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.protocol = h11.Connection(h11.CLIENT)
        self.connecting: asyncio.Task[tuple[asyncio.StreamReader, asyncio.StreamWriter]] | None = None
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, connect_timeout_ms: float, response_timeout_ms: float) -> None:
        """Connect, send the request and read the head of the response.

        Raises:
            CallError: no connection or no response in time, or a response with a status other than 200.
        """
        await self._connect(connect_timeout_ms)
        event = await self._request(response_timeout_ms)
        if event is None:
            raise self._error(Stage.HEAD, "no answer in time", timed_out=True)
        if not isinstance(event, h11.Response):
            raise self._error(Stage.HEAD, "connection ended")
        status = event.status_code
        if status != OK_STATUS:
            raise CallError(Stage.STATUS, f"status {status}", self.address, status=status)

    async def read_chunk(self, timeout_ms: float) -> bytes | None:
        """The next piece of the body, however it is cut; None at its end.

        Raises:
            CallError: the connection was reset, nothing came in time, or the bytes are no HTTP.
        """
        try:
            event = await within(timeout_ms, self._next_event())
        except (OSError, h11.ProtocolError) as error:
            raise self._error(Stage.BODY, str(error) or type(error).__name__) from error
        if event is None:
            raise self._error(Stage.BODY, "silence", timed_out=True)
        return bytes(event.data) if isinstance(event, h11.Data) else None

    async def read_body(self, timeout_ms: float, max_bytes: int = timing.MAX_BODY_BYTES) -> bytes:
        """The complete body, all of it within the timeout.

        Raises:
            CallError: as for `read_chunk`, or the body is larger than `max_bytes`.
        """
        loop = asyncio.get_running_loop()
        deadline_ms = loop.time() * 1000.0 + timeout_ms
        body = bytearray()
        while True:
            chunk = await self.read_chunk(max(0.0, deadline_ms - loop.time() * 1000.0))
            if chunk is None:
                return bytes(body)
            body += chunk
            if len(body) > max_bytes:
                raise self._error(Stage.BODY, f"over {max_bytes} bytes")

    def close(self) -> None:
        """Abort the connection, also of a call that was cancelled just as its connection was established."""
        writer = self._established_writer()
        if writer is not None:
            writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the call holds no descriptor.

        `close` only begins that: the transport closes its socket in a later turn of the event loop, and so does a
        connecting task that was cancelled.
        """
        if self.connecting is None:
            return
        await asyncio.wait({self.connecting})
        writer = self._established_writer()
        if writer is not None:
            await socket_closed(writer)

    async def _connect(self, timeout_ms: float) -> None:
        try:
            self.connecting = asyncio.ensure_future(asyncio.open_connection(*split_address(self.address)))
            streams = await within(timeout_ms, self.connecting)
        except (OSError, ValueError, OverflowError) as error:  # the latter two: an address or port that is none
            raise self._error(Stage.CONNECT, str(error)) from error
        if streams is None:
            raise self._error(Stage.CONNECT, "no connection in time", timed_out=True)
        self.reader, self.writer = streams

    async def _request(self, timeout_ms: float) -> h11.Event | None:
        """Send the request; the first event of the response, or None when the timeout has expired."""
        assert self.writer is not None
        try:
            request = h11.Request(
                method="GET", target=self.target, headers=[("Host", self.address), ("Accept", "application/json")]
            )
            self.writer.write(self.protocol.send(request) + self.protocol.send(h11.EndOfMessage()))
            return await within(timeout_ms, self._next_event())
        except (OSError, h11.ProtocolError) as error:
            raise self._error(Stage.HEAD, str(error) or type(error).__name__) from error

    async def _next_event(self) -> h11.Event:
        assert self.reader is not None
        while True:
            event = self.protocol.next_event()
            if not isinstance(event, h11.Event):
                self.protocol.receive_data(await self.reader.read(timing.READ_BYTES))
            elif not isinstance(event, h11.InformationalResponse):
                return event

    def _established_writer(self) -> asyncio.StreamWriter | None:
        """The writer of a connection that was established, whether or not `open` took it."""
        task = self.connecting
        if task is None or not task.done() or task.cancelled() or task.exception() is not None:
            return None
        _, writer = task.result()
        return writer

    def _error(self, stage: Stage, reason: str, timed_out: bool = False) -> CallError:
        return CallError(stage, reason, self.address, timed_out)


async def socket_closed(writer: asyncio.StreamWriter) -> None:
    """Wait until a transport that is being closed has closed its socket."""
    with contextlib.suppress(Exception):  # what ended the connection; the reader got it too
        await writer.wait_closed()


async def get(
    address: str,
    target: str,
    connect_timeout_ms: float,
    response_timeout_ms: float,
    max_bytes: int = timing.MAX_BODY_BYTES,
) -> bytes:
    """The body of one GET, at most `max_bytes` of it; CallError where there is none."""
    return await exchange(Call(address, target), connect_timeout_ms, response_timeout_ms, max_bytes)


async def exchange(
    call: Call, connect_timeout_ms: float, response_timeout_ms: float, max_bytes: int = timing.MAX_BODY_BYTES
) -> bytes:
    """The body of a call's response; the call is closed then, also where CallError is raised."""
    try:
        await call.open(connect_timeout_ms, response_timeout_ms)
        return await call.read_body(response_timeout_ms, max_bytes)
    finally:
        call.close()
