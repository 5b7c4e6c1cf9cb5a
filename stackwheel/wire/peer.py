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
from stackwheel.wire.lines import FIRST_BYTES, MOST_BYTES, NACK, PONG, Splitter, begun, decode
from stackwheel.wire.values import (
    Ack,
    Join,
    Load,
    Message,
    Ping,
    Rate,
    Source,
    Spoilt,
    Unreadable,
    columns_in_order,
)


class RateLimiter:
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


class Waiting:
    """Bytes that wait in the half lines and mailboxes of all peers: bounded together, the largest goes."""

    def __init__(self, most: int) -> None:
        self.most, self.total = most, 0
        self.held: dict[Peer, int] = {}

    def account(self, peer: Peer, count: int) -> None:
        self.total += count - self.held.pop(peer, 0)
        if count:
            self.held[peer] = count
        while self.total > self.most:
            worst = max(self.held, key=lambda other: self.held[other])
            self.total -= self.held.pop(worst)
            worst.end(f"as most of {self.most} bytes that may wait are its own")


class Peer:
    """A proxy's stream, a collector, or somebody who has not said yet."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        names: Names,
        proxies: int,
        post: Callable[[Item], None],
        known: Callable[[Peer, bool], None],
        limiter: Callable[[int], RateLimiter],
        waiting: Waiting,
        listed: Callable[[face.Server], bool],
    ) -> None:
        self.reader, self.writer, self.names, self.proxies = reader, writer, names, proxies
        self.post, self.limiter, self.waiting = post, limiter, waiting
        self.listed = listed  # whether a server is known
        self.known = known  # told when the peer says what it is, and when it is nobody again
        self.proxy: int | None = None
        self.zone: int | None = None  # of a collector
        self.since = self.heard_at = asyncio.get_running_loop().time()  # it has not said what it is; it last spoke
        self.splitter = Splitter()
        self.heard = 0  # messages
        self.left_out = 0  # of them, as they could not be used
        self.unsent = 0  # bytes in the mailbox
        self.ended = False  # by us
        self.retired = False  # another connection speaks for its proxy
        self.mailbox: asyncio.Queue[bytes] = asyncio.Queue()
        host, port = (writer.get_extra_info("peername") or ("?", 0))[:2]
        self.address = f"{host}:{port}"

    def __str__(self) -> str:
        who = "unidentified" if self.proxy is None else f"proxy {self.proxy}"
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
            self.ended = True
            self.waiting.account(self, 0)
            if self.proxy is not None:
                self.post(Ended(self.proxy, self))

    async def read(self) -> None:
        while data := await self.reader.read(timing.READ_BYTES):
            self.heard_at = asyncio.get_running_loop().time()
            for line in self.splitter.feed(data):
                self.heard += 1
                if (refused := self.hear(decode(line, self.names))) is not None:
                    self.end(f"at message {self.heard}: {refused.reason}")
                    return
            if self.splitter.overrun:
                self.end(f"after message {self.heard}: a line over {self.splitter.limit} bytes")
            elif self.splitter.held and (refused := begun(self.splitter.held)) is not None:
                self.end(f"after message {self.heard}: {refused.reason}")
            self.account()
            if self.ended:
                return
        if (held := len(self.splitter.held)) and not self.ended:
            logger.warning("{}: ended inside a line, {} bytes after message {}", self, held, self.heard)

    def hear(self, message: Message | Spoilt | Unreadable) -> Unreadable | None:
        """Take one message; the reason if the connection can't go on."""
        if isinstance(message, Unreadable):
            return message
        said = message if isinstance(message, Spoilt) else self.take(message)
        if self.unidentified:
            if said is None and self.splitter.taken > FIRST_BYTES:
                return Unreadable(f"over {FIRST_BYTES} bytes and no word of what it is")
            return None if said is None else Unreadable(said.reason)
        if said is not None:
            self.left_out += 1
            logger.warning("{}: message {} left out, its {}. so far: {}", self, self.heard, self.left_out, said.reason)
            if self.proxy is not None:
                self.post(Said(self.proxy, None, self))
        return None

    @property
    def unidentified(self) -> bool:
        return self.proxy is None and self.zone is None

    def account(self) -> None:
        if not self.ended:
            self.waiting.account(self, len(self.splitter.held) + self.unsent)

    def end(self, why: str) -> None:
        """Close, at once and whatever it still leaves unread; who is not joined hears so."""
        if self.ended:
            return
        logger.warning("{}: closed {}", self, why)
        if self.unidentified:
            self.writer.write(NACK)
        self.ended = True
        self.writer.transport.abort()

    def take(self, message: Message) -> Spoilt | None:
        """Pass a message on; the reason if it has no place here."""
        match message:
            case Ping():
                self.send(PONG)
            case Source() if self.proxy is None and self.zone in (None, message.zone):
                if self.zone is None:
                    self.zone = message.zone
                    self.introduced()
            case Load(zone, target, count, failed, mean, over, load) if self.zone is not None:
                server = digest(target)
                if not self.listed(server):
                    return Spoilt(f"LOAD: unknown target={target[:40]!r}")
                values = columns_in_order(load, self.names.columns)
                self.post(face.ServerReport(zone, server, count, failed, mean, over, values))
            case Rate(proxy, place, count, failed, over) if self.zone is not None and proxy < self.proxies:
                self.post(face.DemandReport(proxy, place, count, failed, over))
            case Rate(proxy, place, count, failed, over) if self.proxy == proxy:
                self.post(Said(proxy, face.DemandReport(proxy, place, count, failed, over), self))
            case Ack(proxy, mark, elapsed) if self.proxy == proxy:
                self.post(Said(proxy, face.Acknowledged(proxy, mark, elapsed), self))
            case Rate() | Ack() if not self.unidentified:
                return Spoilt(f"{type(message).__name__} speaks for proxy {message.proxy}")
            case Join(proxy, zone, rate, fresh) if self.zone is None and self.proxy in (None, proxy):
                if proxy >= self.proxies:
                    return Spoilt(f"proxy {proxy} of {self.proxies}")
                self.proxy = proxy
                self.introduced()
                self.post(Stream(proxy, zone, rate, fresh, self))
            case _:
                return Spoilt(f"{type(message).__name__} is out of place here")
        return None

    def introduced(self) -> None:
        self.splitter.limit = MOST_BYTES
        self.known(self, True)

    def superseded(self) -> None:
        """Another connection speaks for its proxy now: this one is nobody's, and may end. What waits for it is
        dropped, as the proxy gets all anew there, and its messages are counted."""
        if self.ended:  # it is gone already, only the module has not heard so
            return
        self.retired = True
        self.splitter.limit = FIRST_BYTES
        self.since = asyncio.get_running_loop().time()
        self.known(self, False)

    def carries(self) -> None:
        """It speaks for its proxy, as the module sees it."""
        if not self.ended and self.retired:
            self.retired = False
            self.introduced()

    def send(self, data: bytes) -> None:
        """Never waits; who leaves too much unread is cut off, so that what waits is bounded."""
        self.unsent += len(data)
        if self.unsent > timing.UNSENT_MOST:
            self.end(f"as it leaves {self.unsent} bytes unread")
            return
        self.mailbox.put_nowait(data)
        self.account()

    async def write(self) -> None:
        """An order goes out only while this connection carries its proxy: waiting for its turn it may lose it."""
        now = asyncio.get_running_loop().time
        try:
            while True:
                data = await self.mailbox.get()
                order = data is not PONG and self.proxy is not None
                limiter = self.limiter(self.proxy) if order and self.proxy is not None else None
                while limiter is not None and not self.retired and (wait := limiter.wait(now())) > 0:
                    await asyncio.sleep(wait)
                if self.ended:
                    return
                if not order or not self.retired:
                    if limiter is not None:
                        limiter.wrote(now())
                    self.writer.write(data)
                    await self.writer.drain()
                self.unsent -= len(data)
                self.account()
        except OSError:
            return  # the reader sees the end too, and tells
        except Exception as error:  # else the stream would look alive, and nothing would reach it any more
            logger.exception("{}: fault {!r}", self, error)
            self.end("as nothing can be written to it")
