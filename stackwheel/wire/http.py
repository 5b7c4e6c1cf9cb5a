"""HTTP/1.1 GET requests over asyncio streams, parsed by h11; errors state the stage at which a call failed."""

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
    """The stage at which a call failed."""

    CONNECT = "connect"
    """The connection was not established."""

    HEAD = "head"
    """The head of the response was not received."""

    STATUS = "status"
    """The response had a status other than 200."""

    BODY = "body"
    """The body of the response was not received completely."""

    CONTENT = "content"
    """The body was received completely, but its content is invalid."""


class CallError(StackwheelError):
    """A call failed or returned an invalid response.

    Attributes:
        stage: stage at which the call failed.
        reason: description of the failure.
        address: "host:port" that was called.
        timed_out: whether a timeout expired; False if the connection ended or the response was invalid.
        status: status of the response if `stage` is STATUS, otherwise 0.
    """

    def __init__(self, stage: Stage, reason: str, address: str, timed_out: bool = False, status: int = 0) -> None:
        super().__init__(f"{address}: {stage}: {reason}")
        self.stage = stage
        self.reason = reason
        self.address = address
        self.timed_out = timed_out
        self.status = status


async def wait_for_result(timeout_ms: float, awaitable: Awaitable[T]) -> T | None:
    """Wait for an awaitable, and cancel it after a timeout.

    A result that is available shortly after the timeout is still returned, because this process itself may have been
    suspended.

    Args:
        timeout_ms: the timeout, which is extended by STALL_GRACE_MS.
        awaitable: a coroutine, task or future.

    Returns:
        The result, or None if the timeout has expired.
    """
    task = asyncio.ensure_future(awaitable)
    try:
        done, _ = await asyncio.wait({task}, timeout=timeout_ms / 1000.0)
        if not done:
            done, _ = await asyncio.wait({task}, timeout=timing.STALL_GRACE_MS / 1000.0)
        return task.result() if done else None
    finally:
        if not task.done():
            task.cancel()


def split_address(address: str) -> tuple[str, int]:
    """Split "host:port" into host and port; raises ValueError if the port is not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Call:
    """A GET request on a new connection.

    Attributes:
        address: "host:port" to connect to.
        target: path and query of the request.
        protocol: h11's state of the connection.
        connect_task: task that opens the connection and whose result owns the socket; None before `open`.
        reader: stream of received data; None before the connection is established.
        writer: stream of sent data; None before the connection is established.
    """

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self.target = target
        self.protocol = h11.Connection(h11.CLIENT)
        self.connect_task: asyncio.Task[tuple[asyncio.StreamReader, asyncio.StreamWriter]] | None = None
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, connect_timeout_ms: float, response_timeout_ms: float) -> None:
        """Connect, send the request and read the head of the response.

        Raises:
            CallError: the connection or the response failed or timed out, or the status is not 200.
        """
        await self._connect(connect_timeout_ms)
        event = await self._request(response_timeout_ms)
        if event is None:
            raise self._error(Stage.HEAD, f"no response within {response_timeout_ms:g} ms", timed_out=True)
        if not isinstance(event, h11.Response):
            raise self._error(Stage.HEAD, "connection closed before the response")
        status = event.status_code
        if status != OK_STATUS:
            raise CallError(Stage.STATUS, f"status {status} instead of {OK_STATUS}", self.address, status=status)

    async def read_chunk(self, timeout_ms: float) -> bytes | None:
        """Return the next part of the body, which may be of any size; None at the end of the body.

        Raises:
            CallError: the connection failed, no data arrived within the timeout, or the data is not valid HTTP.
        """
        try:
            event = await wait_for_result(timeout_ms, self._next_event())
        except (OSError, h11.ProtocolError) as error:
            raise self._error(Stage.BODY, str(error) or type(error).__name__) from error
        if event is None:
            raise self._error(Stage.BODY, "timed out waiting for data", timed_out=True)
        return bytes(event.data) if isinstance(event, h11.Data) else None

    async def read_body(self, timeout_ms: float, max_bytes: int = timing.MAX_BODY_BYTES) -> bytes:
        """Return the complete body, which has to be received within the timeout.

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
                raise self._error(Stage.BODY, f"body larger than {max_bytes} bytes")

    def close(self) -> None:
        """Abort the connection, even if the call was cancelled just when the connection was established."""
        writer = self._established_writer()
        if writer is not None:
            writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the call has released its descriptor.

        After `close`, and after a cancellation during the connection setup, the socket is only closed in a later
        iteration of the event loop.
        """
        if self.connect_task is None:
            return
        await asyncio.wait({self.connect_task})
        writer = self._established_writer()
        if writer is not None:
            await socket_closed(writer)

    async def _connect(self, timeout_ms: float) -> None:
        try:
            self.connect_task = asyncio.ensure_future(asyncio.open_connection(*split_address(self.address)))
            streams = await wait_for_result(timeout_ms, self.connect_task)
        except (OSError, ValueError, OverflowError) as error:  # invalid addresses raise ValueError or OverflowError
            raise self._error(Stage.CONNECT, str(error)) from error
        if streams is None:
            raise self._error(Stage.CONNECT, f"not connected within {timeout_ms:g} ms", timed_out=True)
        self.reader, self.writer = streams

    async def _request(self, timeout_ms: float) -> h11.Event | None:
        """Send the request, and return the first event of the response; None if the timeout has expired."""
        assert self.writer is not None
        try:
            request = h11.Request(
                method="GET", target=self.target, headers=[("Host", self.address), ("Accept", "application/json")]
            )
            self.writer.write(self.protocol.send(request) + self.protocol.send(h11.EndOfMessage()))
            return await wait_for_result(timeout_ms, self._next_event())
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
        """Return the writer of an established connection, even if `open` was cancelled before it stored the writer."""
        task = self.connect_task
        if task is None or not task.done() or task.cancelled() or task.exception() is not None:
            return None
        _, writer = task.result()
        return writer

    def _error(self, stage: Stage, reason: str, timed_out: bool = False) -> CallError:
        return CallError(stage, reason, self.address, timed_out)


async def socket_closed(writer: asyncio.StreamWriter) -> None:
    """Wait until a transport that is closing has closed its socket."""
    with contextlib.suppress(Exception):  # the reader receives the error that ended the connection, too
        await writer.wait_closed()


async def get(
    address: str,
    target: str,
    connect_timeout_ms: float,
    response_timeout_ms: float,
    max_bytes: int = timing.MAX_BODY_BYTES,
) -> bytes:
    """Send a GET request, and return the body of the response; see `exchange`."""
    return await exchange(Call(address, target), connect_timeout_ms, response_timeout_ms, max_bytes)


async def exchange(
    call: Call, connect_timeout_ms: float, response_timeout_ms: float, max_bytes: int = timing.MAX_BODY_BYTES
) -> bytes:
    """Send the request of a call, return the body of the response, and close the call.

    Raises:
        CallError: the call failed or timed out, the status is not 200, or the body is larger than `max_bytes`.
    """
    try:
        await call.open(connect_timeout_ms, response_timeout_ms)
        return await call.read_body(response_timeout_ms, max_bytes)
    finally:
        call.close()
