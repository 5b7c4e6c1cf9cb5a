"""The actor of one accepted connection: reads messages, writes its mailbox, and closes on its own errors."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from loguru import logger

from stackwheel import interface as face
from stackwheel.settings import Names
from stackwheel.state.messages import PlannerMessage, StreamEnded, StreamMessage
from stackwheel.state.server_ids import server_id
from stackwheel.state.streams import ProxyStream
from stackwheel.wire import timing
from stackwheel.wire.line_codec import FIRST_BYTES, MOST_BYTES, NACK, PONG, Splitter, begun, decode
from stackwheel.wire.messages import (
    Ack,
    Join,
    Load,
    MalformedMessage,
    Message,
    Ping,
    ProtocolViolation,
    Rate,
    Source,
    columns_in_order,
)


class RateLimiter:
    """A sliding-window limit on written messages: at most `cap` within any `span` ms, none if `cap` is 0."""

    def __init__(self, cap: int, span: float) -> None:
        self.span = span / 1000.0
        self.written: deque[float] | None = deque(maxlen=cap) if cap else None

    def wait(self, now: float) -> float:
        """Seconds until another message may be written."""
        if self.written is None or len(self.written) < (self.written.maxlen or 0):
            return 0.0
        return max(0.0, self.written[0] + self.span - now)

    def wrote(self, now: float) -> None:
        """Count a message written at `now`, in s."""
        if self.written is not None:
            self.written.append(now)


class BufferBudget:
    """A common bound, in bytes, on the partial lines and mailboxes of all peers; over it the largest is closed."""

    def __init__(self, most: int) -> None:
        self.most, self.total = most, 0
        self.held: dict[Connection, int] = {}

    def account(self, peer: Connection, count: int) -> None:
        """Set the bytes that a peer holds; closes peers until the total is within the bound."""
        self.total += count - self.held.pop(peer, 0)
        if count:
            self.held[peer] = count
        while self.total > self.most:
            worst = max(self.held, key=lambda other: self.held[other])
            self.total -= self.held.pop(worst)
            worst.end(f"as most of {self.most} bytes that may wait are its own")


class Connection:
    """One connection: a proxy's stream, a collector, or a peer that has not identified itself yet."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        names: Names,
        proxies: int,
        post: Callable[[PlannerMessage], None],
        on_identified: Callable[[Connection, bool], None],
        limiter: Callable[[int], RateLimiter],
        waiting: BufferBudget,
        is_listed: Callable[[face.Server], bool],
    ) -> None:
        self.reader, self.writer, self.names, self.proxies = reader, writer, names, proxies
        self.post, self.limiter, self.waiting = post, limiter, waiting
        self.is_listed = is_listed  # whether a server is in the list
        self.on_identified = on_identified  # called with False once it speaks for no proxy any more
        self.proxy: int | None = None
        self.zone: int | None = None  # of a collector
        self.unidentified_since = asyncio.get_running_loop().time()  # s of the loop's clock, as all times here
        self.last_received_at = self.unidentified_since
        self.splitter = Splitter()
        self.messages_received = 0
        self.messages_rejected = 0  # of them, as they could not be used
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
        """Serve the connection until either side ends it; an error of its own is logged and ends only this peer."""
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
                self.post(StreamEnded(self.proxy, self))

    async def read(self) -> None:
        while data := await self.reader.read(timing.READ_BYTES):
            self.last_received_at = asyncio.get_running_loop().time()
            for line in self.splitter.feed(data):
                self.messages_received += 1
                if (refused := self.handle(decode(line, self.names))) is not None:
                    self.end(f"at message {self.messages_received}: {refused.reason}")
                    return
            if self.splitter.overrun:
                self.end(f"after message {self.messages_received}: a line over {self.splitter.limit} bytes")
            elif self.splitter.held and (refused := begun(self.splitter.held)) is not None:
                self.end(f"after message {self.messages_received}: {refused.reason}")
            self.account()
            if self.ended:
                return
        if (held := len(self.splitter.held)) and not self.ended:
            logger.warning("{}: ended inside a line, {} bytes after message {}", self, held, self.messages_received)

    def handle(self, message: Message | MalformedMessage | ProtocolViolation) -> ProtocolViolation | None:
        """Process one message; the reason if the connection has to be closed for it."""
        if isinstance(message, ProtocolViolation):
            return message
        said = message if isinstance(message, MalformedMessage) else self.dispatch(message)
        if self.unidentified:
            if said is None and self.splitter.taken > FIRST_BYTES:
                return ProtocolViolation(f"over {FIRST_BYTES} bytes and no word of what it is")
            return None if said is None else ProtocolViolation(said.reason)
        if said is not None:
            self.messages_rejected += 1
            logger.warning(
                "{}: message {} left out, its {}. so far: {}",
                self,
                self.messages_received,
                self.messages_rejected,
                said.reason,
            )
            if self.proxy is not None:
                self.post(StreamMessage(self.proxy, None, self))
        return None

    @property
    def unidentified(self) -> bool:
        return self.proxy is None and self.zone is None

    def account(self) -> None:
        if not self.ended:
            self.waiting.account(self, len(self.splitter.held) + self.unsent)

    def end(self, why: str) -> None:
        """Abort the connection and drop what is unsent; an unidentified peer is sent NACK first."""
        if self.ended:
            return
        logger.warning("{}: closed {}", self, why)
        if self.unidentified:
            self.writer.write(NACK)
        self.ended = True
        self.writer.transport.abort()

    def dispatch(self, message: Message) -> MalformedMessage | None:
        """Post a message to the module; the reason if this peer may not send it."""
        match message:
            case Ping():
                self.send(PONG)
            case Source() if self.proxy is None and self.zone in (None, message.zone):
                if self.zone is None:
                    self.zone = message.zone
                    self.mark_identified()
            case Load(zone, target, count, failed, mean, over, load) if self.zone is not None:
                server = server_id(target)
                if not self.is_listed(server):
                    return MalformedMessage(f"LOAD: unknown target={target[:40]!r}")
                values = columns_in_order(load, self.names.columns)
                self.post(face.LoadReport(zone, server, count, failed, mean, over, values))
            case Rate(proxy, place, count, failed, over) if self.zone is not None and proxy < self.proxies:
                self.post(face.DemandReport(proxy, place, count, failed, over))
            case Rate(proxy, place, count, failed, over) if self.proxy == proxy:
                self.post(StreamMessage(proxy, face.DemandReport(proxy, place, count, failed, over), self))
            case Ack(proxy, mark, elapsed) if self.proxy == proxy:
                self.post(StreamMessage(proxy, face.Acknowledged(proxy, mark, elapsed), self))
            case Rate() | Ack() if not self.unidentified:
                return MalformedMessage(f"{type(message).__name__} speaks for proxy {message.proxy}")
            case Join(proxy, zone, rate, fresh) if self.zone is None and self.proxy in (None, proxy):
                if proxy >= self.proxies:
                    return MalformedMessage(f"proxy {proxy} of {self.proxies}")
                self.proxy = proxy
                self.mark_identified()
                self.post(ProxyStream(proxy, zone, rate, fresh, self))
            case _:
                return MalformedMessage(f"{type(message).__name__} is out of place here")
        return None

    def mark_identified(self) -> None:
        self.splitter.limit = MOST_BYTES
        self.on_identified(self, True)

    def superseded(self) -> None:
        """Another connection carries its proxy now: this one is unidentified again. Its queued orders are dropped, as
        the proxy gets a full state on the new connection and each message counts against its limit."""
        if self.ended:  # the module has not processed the end yet
            return
        self.retired = True
        self.splitter.limit = FIRST_BYTES
        self.unidentified_since = asyncio.get_running_loop().time()
        self.on_identified(self, False)

    def activated(self) -> None:
        """The module takes this connection for the one that carries its proxy."""
        if not self.ended and self.retired:
            self.retired = False
            self.mark_identified()

    def send(self, data: bytes) -> None:
        """Queue data without waiting; a peer with more than UNSENT_MOST bytes queued is closed."""
        self.unsent += len(data)
        if self.unsent > timing.UNSENT_MOST:
            self.end(f"as it leaves {self.unsent} bytes unread")
            return
        self.mailbox.put_nowait(data)
        self.account()

    async def write(self) -> None:
        """Write the mailbox. An order is dropped if the connection loses its proxy while the limit delays it."""
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
