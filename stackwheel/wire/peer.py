"""A connection's actor: reads lines, writes what its mailbox holds, and stops at its own faults."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from loguru import logger

from stackwheel import interface as face
from stackwheel.settings import Names
from stackwheel.state.ids import digest
from stackwheel.state.module import Ended, Item, Said
from stackwheel.state.streams import Stream
from stackwheel.wire import timing
from stackwheel.wire.lines import FIRST_BYTES, MOST_BYTES, PONG, Splitter, decode
from stackwheel.wire.values import (
    Ack,
    Join,
    Load,
    Message,
    Ping,
    Rate,
    Source,
    Unreadable,
    columns_in_order,
)


class Pace:
    """Never more messages than the cap within the span, as written: the one over it waits its turn."""

    def __init__(self, cap: int, span: float) -> None:
        self.span = span / 1000.0
        self.written: deque[float] | None = deque(maxlen=cap) if cap else None

    def wait(self, now: float) -> float:
        """Seconds until another message may be written."""
        if self.written is None or len(self.written) < (self.written.maxlen or 0):
            return 0.0
        return max(0.0, self.written[0] + self.span - now)

    def wrote(self, now: float) -> None:
        if self.written is not None:
            self.written.append(now)


class Peer:
    """A proxy's stream, a collector, or somebody who has not said yet."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, names: Names, proxies: int,
                 post: Callable[[Item], None], known: Callable[[Peer, bool], None], pace: Pace) -> None:
        self.reader, self.writer, self.names, self.proxies = reader, writer, names, proxies
        self.post, self.pace = post, pace
        self.known = known  # told when the peer says what it is, and when it is nobody again
        self.proxy: int | None = None
        self.zone: int | None = None  # of a collector
        self.heard_at = asyncio.get_running_loop().time()
        self.splitter = Splitter()
        self.heard = 0  # messages
        self.unsent = 0  # bytes in the mailbox
        self.mailbox: asyncio.Queue[bytes] = asyncio.Queue()
        host, port = (writer.get_extra_info("peername") or ("?", 0))[:2]
        self.address = f"{host}:{port}"

    def __str__(self) -> str:
        who = "stranger" if self.proxy is None else f"proxy {self.proxy}"
        return f"{who if self.zone is None else 'collector'} at {self.address}"

    async def run(self) -> None:
        writing = asyncio.create_task(self.write())
        try:
            await self.read()
        except OSError as error:
            logger.info("{}: {}", self, error)
        except Exception as error:
            logger.exception("{}: fault {!r}", self, error)
        finally:
            writing.cancel()
            self.writer.transport.abort()
            if self.proxy is not None:
                self.post(Ended(self.proxy, self))

    async def read(self) -> None:
        while data := await self.reader.read(timing.READ_BYTES):
            self.heard_at = asyncio.get_running_loop().time()
            for line in self.splitter.feed(data):
                self.heard += 1
                message = decode(line, self.names)
                refused = message if isinstance(message, Unreadable) else self.take(message)
                if refused is not None:
                    logger.warning("{}: closed at message {}: {}", self, self.heard, refused.reason)
                    return
            if self.splitter.overrun:
                limit = self.splitter.limit
                logger.warning("{}: closed after message {}: a line over {} bytes", self, self.heard, limit)
                return
        if held := len(self.splitter.held):
            logger.warning("{}: ended inside a line, {} bytes after message {}", self, held, self.heard)

    def take(self, message: Message) -> Unreadable | None:
        """Pass a message on; the reason if it has no place here."""
        match message:
            case Ping():
                self.send(PONG)
            case Source() if self.proxy is None:
                self.zone = message.zone
                self.introduced()
            case Load(zone, target, count, failed, mean, over, load) if self.zone is not None:
                values = columns_in_order(load, self.names.columns)
                self.post(face.ServerReport(zone, digest(target), count, failed, mean, over, values))
            case Rate(proxy, place, count, failed, over) if self.zone is not None:
                self.post(face.DemandReport(proxy, place, count, failed, over))
            case Rate(proxy, place, count, failed, over) if self.proxy == proxy:
                self.post(Said(face.DemandReport(proxy, place, count, failed, over), self))
            case Ack(proxy, mark, elapsed) if self.proxy == proxy:
                self.post(Said(face.Acknowledged(proxy, mark, elapsed), self))
            case Rate() | Ack() if self.proxy is not None:
                other = message.proxy
                logger.warning("{}: message {} speaks for proxy {}; left out", self, self.heard, other)
            case Join(proxy, zone, rate, fresh) if self.zone is None and self.proxy in (None, proxy):
                if proxy >= self.proxies:
                    return Unreadable(f"proxy {proxy} of {self.proxies}")
                self.proxy = proxy
                self.introduced()
                self.post(Stream(proxy, zone, rate, fresh, self))
            case _:
                return Unreadable(f"{type(message).__name__} is out of place here")
        return None

    def introduced(self) -> None:
        self.splitter.limit = MOST_BYTES
        self.known(self, True)

    def superseded(self) -> None:
        """Another connection speaks for its proxy or zone now: this one is nobody's, and may end."""
        self.splitter.limit = FIRST_BYTES
        self.known(self, False)

    def send(self, data: bytes) -> None:
        """Never waits; who leaves too much unread is cut off, so that what waits is bounded."""
        self.unsent += len(data)
        if self.unsent > timing.UNSENT_MOST:
            logger.warning("{}: closed: leaves {} bytes unread", self, self.unsent)
            self.writer.transport.abort()
            return
        self.mailbox.put_nowait(data)

    async def write(self) -> None:
        try:
            while True:
                data = await self.mailbox.get()
                if data is not PONG:
                    now = asyncio.get_running_loop().time
                    while (wait := self.pace.wait(now())) > 0:
                        await asyncio.sleep(wait)
                    self.pace.wrote(now())
                self.writer.write(data)
                await self.writer.drain()
                self.unsent -= len(data)
        except OSError:
            return  # the reader sees the end too, and tells
