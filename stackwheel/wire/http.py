"""HTTP/1.1 calls: asyncio carries the bytes, h11 parses them, a failure tells how far it came."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable
from dataclasses import dataclass
from enum import IntEnum
from typing import TypeVar

import h11

from stackwheel.wire import timing

T = TypeVar("T")


class Stage(IntEnum):
    """How far a call had come when it failed."""

    DIAL = 0
    HEAD = 1  # sent, but no answer yet
    STATUS = 2  # answered, with a status that is no success
    BODY = 3
    CONTENT = 4  # read, but it says nothing


@dataclass(frozen=True, slots=True)
class CallFailed:
    stage: Stage
    reason: str
    timed_out: bool = False
    status: int = 0


async def within(limit: float, work: Awaitable[T]) -> T | None:
    """The result, or None when the time is up. What lies ready then still counts."""
    task = asyncio.ensure_future(work)
    try:
        done, _ = await asyncio.wait({task}, timeout=limit / 1000.0)
        if not done:
            done, _ = await asyncio.wait({task}, timeout=timing.STALL_GRACE_MS / 1000.0)
        return task.result() if done else None
    finally:
        if not task.done():
            task.cancel()


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class Call:
    """One GET on a connection of its own."""

    def __init__(self, address: str, target: str) -> None:
        self.address, self.target = address, target
        self.http = h11.Connection(h11.CLIENT)
        self.dialling: asyncio.Task[tuple[asyncio.StreamReader, asyncio.StreamWriter]] | None = None
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, dial: float, answer: float) -> CallFailed | None:
        """Send the request and read the head of the answer; None if it is 200."""
        try:
            self.dialling = asyncio.ensure_future(asyncio.open_connection(*split_address(self.address)))
            opened = await within(dial, self.dialling)
            if opened is None:
                return CallFailed(Stage.DIAL, "no connection in time", timed_out=True)
            self.reader, self.writer = opened
        except (OSError, ValueError, OverflowError) as error:  # the last: a port that is none
            return CallFailed(Stage.DIAL, str(error))
        try:
            head = h11.Request(
                method="GET", target=self.target, headers=[("Host", self.address), ("Accept", "application/json")]
            )
            self.writer.write(self.http.send(head) + self.http.send(h11.EndOfMessage()))
            event = await within(answer, self.event())
        except (OSError, h11.ProtocolError) as error:
            return CallFailed(Stage.HEAD, str(error) or type(error).__name__)
        if event is None:
            return CallFailed(Stage.HEAD, "no answer in time", timed_out=True)
        if not isinstance(event, h11.Response):
            return CallFailed(Stage.HEAD, "connection ended")
        if event.status_code != 200:
            return CallFailed(Stage.STATUS, f"status {event.status_code}", status=event.status_code)
        return None

    async def chunk(self, limit: float) -> bytes | CallFailed | None:
        """The next piece of the body, however it is cut; None at its end."""
        try:
            event = await within(limit, self.event())
        except (OSError, h11.ProtocolError) as error:
            return CallFailed(Stage.BODY, str(error) or type(error).__name__)
        if event is None:
            return CallFailed(Stage.BODY, "silence", timed_out=True)
        return bytes(event.data) if isinstance(event, h11.Data) else None

    async def body(self, limit: float, most: int = timing.MAX_BODY_BYTES) -> bytes | CallFailed:
        """The whole body, all of it within the limit."""
        loop = asyncio.get_running_loop()
        until, gathered = loop.time() * 1000.0 + limit, bytearray()
        while True:
            piece = await self.chunk(max(0.0, until - loop.time() * 1000.0))
            if isinstance(piece, CallFailed):
                return piece
            if piece is None:
                return bytes(gathered)
            gathered += piece
            if len(gathered) > most:
                return CallFailed(Stage.BODY, f"over {most} bytes")

    async def event(self) -> h11.Event:
        assert self.reader is not None
        while True:
            event = self.http.next_event()
            if not isinstance(event, h11.Event):
                self.http.receive_data(await self.reader.read(timing.READ_BYTES))
            elif not isinstance(event, h11.InformationalResponse):
                return event

    def close(self) -> None:
        """Also of a call that was given up in the turn in which its connection came: nobody else would."""
        if (
            self.dialling is not None
            and self.dialling.done()
            and not self.dialling.cancelled()
            and self.dialling.exception() is None
        ):
            _, writer = self.dialling.result()
            writer.transport.abort()

    async def closed(self) -> None:
        """Until the call holds no descriptor: `close` only begins that, the transport closes its socket in a later
        turn of the loop, and so does a dial that was cancelled."""
        if self.dialling is None:
            return
        await asyncio.wait({self.dialling})
        if not self.dialling.cancelled() and self.dialling.exception() is None:
            _, writer = self.dialling.result()
            await socket_closed(writer)


async def socket_closed(writer: asyncio.StreamWriter) -> None:
    """Until a transport that is being closed has closed its socket."""
    with contextlib.suppress(Exception):  # what ended the connection; the reader got it too
        await writer.wait_closed()


async def get(
    address: str, target: str, dial: float, answer: float, most: int = timing.MAX_BODY_BYTES
) -> bytes | CallFailed:
    """The body of one call's answer, at most `most` bytes of it; the limits are in ms, as for `Call`."""
    return await exchange(Call(address, target), dial, answer, most)


async def exchange(call: Call, dial: float, answer: float, most: int = timing.MAX_BODY_BYTES) -> bytes | CallFailed:
    """The body of a call's answer; the call is closed by then."""
    try:
        failed = await call.open(dial, answer)
        return failed if failed is not None else await call.body(answer, most)
    finally:
        call.close()
