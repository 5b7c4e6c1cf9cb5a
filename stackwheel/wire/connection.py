"""The actor of one accepted connection: reads messages, writes its mailbox, and closes on errors of its own."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from stackwheel import interface as face
from stackwheel.settings import ConfiguredNames
from stackwheel.state.messages import PlannerMessage, StreamEnded, StreamMessage
from stackwheel.state.server_ids import server_id
from stackwheel.state.streams import ProxyStream
from stackwheel.wire import timing
from stackwheel.wire.connection_limits import BufferBudget, RateLimiter
from stackwheel.wire.line_codec import (
    MAX_MESSAGE_BYTES,
    MAX_UNIDENTIFIED_BYTES,
    NACK,
    PONG,
    SHOWN_CHARACTERS,
    LineSplitter,
    check_partial_line,
    decode,
)
from stackwheel.wire.messages import (
    AckMessage,
    CollectorMessage,
    DemandMessage,
    JoinMessage,
    LoadMessage,
    MalformedMessageError,
    Message,
    PingMessage,
    ProtocolViolationError,
    columns_in_order,
)


class ConnectionContext(NamedTuple):
    """What all connections of one planner share.

    Attributes:
        names: zones, classes and load columns of the settings.
        proxy_count: proxies are numbered below it.
        post: puts an item into the planner actor's mailbox; never blocks.
        on_identified: called with True once a connection is a stream or a collector, and with False once its proxy has
            another stream.
        limiter: the limiter of a proxy, whatever connection it has.
        buffer_budget: the common limit on buffered bytes.
        is_listed: whether a server is in the endpoint list.
    """

    names: ConfiguredNames
    proxy_count: int
    post: Callable[[PlannerMessage], None]
    on_identified: Callable[[Connection, bool], None]
    limiter: Callable[[int], RateLimiter]
    buffer_budget: BufferBudget
    is_listed: Callable[[face.ServerId], bool]


class Connection:
    """One connection: a proxy's stream, a collector, or unidentified. All times are s of the event loop's clock.

    Attributes:
        proxy: the proxy whose stream this is or was, if any.
        zone: the zone whose collector this is, if any.
        unidentified_since: when it was accepted, or when its proxy got another stream.
        last_received_at: when data last came.
        messages_received: lines so far, skipped ones among them.
        messages_rejected: of these, those that were skipped because they can't be used.
        unsent_bytes: in the mailbox.
        closing: whether this side has closed it.
        is_superseded: whether its proxy has another stream.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, context: ConnectionContext) -> None:
        """Start unidentified."""
        self.reader = reader
        self.writer = writer
        self.context = context
        self.proxy: int | None = None
        self.zone: int | None = None
        self.unidentified_since = asyncio.get_running_loop().time()
        self.last_received_at = self.unidentified_since
        self.splitter = LineSplitter()
        self.messages_received = 0
        self.messages_rejected = 0
        self.unsent_bytes = 0
        self.closing = False
        self.is_superseded = False
        self.mailbox: asyncio.Queue[bytes] = asyncio.Queue()
        host, port = (writer.get_extra_info("peername") or ("?", 0))[:2]
        self.address = f"{host}:{port}"

    def __str__(self) -> str:
        """Role and address, as they stand in the log."""
        if self.zone is not None:
            role = "collector"
        elif self.proxy is not None:
            role = f"proxy-{self.proxy}"
        else:
            role = "unidentified"
        return f"{role}@{self.address}"

    @property
    def unidentified(self) -> bool:
        """Whether it has never been a stream or a collector."""
        return self.proxy is None and self.zone is None

    async def run(self) -> None:
        """Serve the connection until either side ends it; an error of its own is logged and ends only this one."""
        writing = asyncio.create_task(self.write())
        try:
            await self.read()
        except OSError as error:
            logger.info("connection lost: connection={} reason={}", self, error)
        except Exception as error:
            logger.exception("connection failed unexpectedly: connection={} reason={!r}", self, error)
        finally:
            writing.cancel()
            self.writer.transport.abort()
            self.closing = True
            self.context.buffer_budget.account(self, 0)
            if self.proxy is not None:
                self.context.post(StreamEnded(self.proxy, self))

    async def read(self) -> None:
        """Handle lines until the connection ends or has to be closed."""
        while data := await self.reader.read(timing.READ_BYTES):
            self.last_received_at = asyncio.get_running_loop().time()
            try:
                self.handle_data(data)
            except ProtocolViolationError as error:
                self.close(str(error))
                return
            self.account_buffers()
            if self.closing:
                return
        pending = len(self.splitter.pending)
        if pending and not self.closing:
            logger.warning(
                "connection ended inside a line: connection={} count={} bytes={}", self, self.messages_received, pending
            )

    def handle_data(self, data: bytes) -> None:
        """Handle all complete lines; ProtocolViolationError if one of them, or the line begun, is no message."""
        for line in self.splitter.feed(data):
            self.messages_received += 1
            try:
                self.handle_line(line)
            except ProtocolViolationError as error:
                raise ProtocolViolationError(f"in message {self.messages_received}", str(error)) from error
        place = f"after message {self.messages_received}"
        if self.splitter.is_oversized:
            raise ProtocolViolationError(place, f"a line over {self.splitter.max_line_bytes} bytes")
        if self.splitter.pending:
            try:
                check_partial_line(self.splitter.pending)
            except ProtocolViolationError as error:
                raise ProtocolViolationError(place, str(error)) from error

    def handle_line(self, line: bytes) -> None:
        """Process one line; a malformed message is skipped, but no excuse for an unidentified connection.

        Raises:
            ProtocolViolationError: the connection has to be closed.
        """
        try:
            self.dispatch(decode(line, self.context.names))
        except MalformedMessageError as error:
            if self.unidentified:
                raise ProtocolViolationError(error.location, error.problem) from error
            self.skip_message(error)
        if self.unidentified and self.splitter.consumed_bytes > MAX_UNIDENTIFIED_BYTES:
            raise ProtocolViolationError("", f"over {MAX_UNIDENTIFIED_BYTES} bytes without identifying itself")

    def skip_message(self, error: MalformedMessageError) -> None:
        """Count and log a message that can't be used; from a proxy it is a sign of life all the same."""
        self.messages_rejected += 1
        logger.warning(
            "message skipped: connection={} count={} reason=message {}: {}",
            self,
            self.messages_rejected,
            self.messages_received,
            error,
        )
        if self.proxy is not None:
            self.context.post(StreamMessage(self.proxy, None, self))

    def dispatch(self, message: Message) -> None:
        """Answer a message or post it to the planner actor, by the role of this connection.

        Raises:
            MalformedMessageError: a connection of this role may not send it.
        """
        if isinstance(message, PingMessage):
            self.send(PONG)
        elif self.zone is not None:
            self.dispatch_from_collector(message)
        elif self.proxy is not None:
            self.dispatch_from_proxy(message)
        else:
            self.dispatch_unidentified(message)

    def dispatch_unidentified(self, message: Message) -> None:
        """The first message identifies the connection as a collector or as the stream of a proxy."""
        match message:
            case CollectorMessage(zone):
                self.zone = zone
                self.mark_identified()
            case JoinMessage():
                self.join(message)
            case _:
                raise not_expected(message)

    def dispatch_from_collector(self, message: Message) -> None:
        """Reports of any zone and any proxy."""
        match message:
            case LoadMessage():
                self.post_load_report(message)
            case DemandMessage() if message.proxy < self.context.proxy_count:
                self.context.post(demand_report(message))
            case DemandMessage() | AckMessage():
                raise not_served(message)
            case CollectorMessage() if message.zone == self.zone:
                pass  # it is this collector already
            case _:
                raise not_expected(message)

    def dispatch_from_proxy(self, message: Message) -> None:
        """Reports and acknowledgements of the connection's own proxy; it may also join again."""
        match message:
            case DemandMessage() if message.proxy == self.proxy:
                self.context.post(StreamMessage(message.proxy, demand_report(message), self))
            case AckMessage(proxy, nonce, elapsed) if proxy == self.proxy:
                self.context.post(StreamMessage(proxy, face.Acknowledged(proxy, nonce, elapsed), self))
            case DemandMessage() | AckMessage():
                raise not_served(message)
            case JoinMessage() if message.proxy == self.proxy:
                self.join(message)
            case _:
                raise not_expected(message)

    def join(self, message: JoinMessage) -> None:
        """Become the stream of a proxy; MalformedMessageError if there is no such proxy."""
        proxy_count = self.context.proxy_count
        if message.proxy >= proxy_count:
            raise MalformedMessageError(f"{message.KIND} id", f"no proxy below {proxy_count}: {message.proxy}")
        self.proxy = message.proxy
        self.mark_identified()
        stream = ProxyStream(message.proxy, message.zone, message.expected_rate, message.newly_started, self)
        self.context.post(stream)

    def post_load_report(self, message: LoadMessage) -> None:
        """Post a load report; MalformedMessageError if its server is not in the endpoint list."""
        server = server_id(message.server_name)
        if not self.context.is_listed(server):
            shown = message.server_name[:SHOWN_CHARACTERS]
            raise MalformedMessageError(f"{message.KIND} target", f"not in the endpoint list: {shown!r}")
        report = face.LoadReport(
            message.zone,
            server,
            message.attempts,
            message.failures,
            message.mean_latency,
            message.window,
            columns_in_order(message.load, self.context.names.columns),
        )
        self.context.post(report)

    def mark_identified(self) -> None:
        """Allow messages of full size, and report that the connection has a role."""
        self.splitter.max_line_bytes = MAX_MESSAGE_BYTES
        self.context.on_identified(self, True)

    def on_superseded(self) -> None:
        """Its proxy has another stream now: this connection has to identify itself again.

        Its queued updates are dropped, as the proxy gets its full state on the new stream and each message counts
        against the proxy's limit.
        """
        if self.closing:  # the planner actor has not processed the end yet
            return
        self.is_superseded = True
        self.splitter.max_line_bytes = MAX_UNIDENTIFIED_BYTES
        self.unidentified_since = asyncio.get_running_loop().time()
        self.context.on_identified(self, False)

    def on_attached(self) -> None:
        """The planner actor takes this connection for the stream of its proxy."""
        if not self.closing and self.is_superseded:
            self.is_superseded = False
            self.mark_identified()

    def account_buffers(self) -> None:
        """Report what this connection buffers to the common budget."""
        if not self.closing:
            self.context.buffer_budget.account(self, len(self.splitter.pending) + self.unsent_bytes)

    def close(self, reason: str) -> None:
        """Abort the connection and drop what is unsent; an unidentified one is sent NACK first."""
        if self.closing:
            return
        logger.warning("connection closed: connection={} reason={}", self, reason)
        if self.unidentified:
            self.writer.write(NACK)
        self.closing = True
        self.writer.transport.abort()

    def send(self, data: bytes) -> None:
        """Queue data without waiting; a connection with more than MAX_UNSENT_BYTES bytes queued is closed."""
        self.unsent_bytes += len(data)
        if self.unsent_bytes > timing.MAX_UNSENT_BYTES:
            self.close(f"{self.unsent_bytes} bytes unread by the other side")
            return
        self.mailbox.put_nowait(data)
        self.account_buffers()

    async def write(self) -> None:
        """Write the mailbox until the connection ends.

        An update is dropped if the proxy gets another stream while the message cap delays it.
        """
        try:
            while True:
                data = await self.mailbox.get()
                limiter = None if data is PONG or self.proxy is None else self.context.limiter(self.proxy)
                if limiter is not None:
                    await self.wait_for_message_cap(limiter)
                if self.closing:
                    return
                if limiter is None or not self.is_superseded:
                    await self.write_message(data, limiter)
                self.unsent_bytes -= len(data)
                self.account_buffers()
        except OSError:
            return  # the reader gets it too, and logs it
        except Exception as error:  # else the stream would look alive, and nothing would reach it any more
            logger.exception("connection failed unexpectedly: connection={} reason={!r}", self, error)
            self.close("writing failed")

    async def wait_for_message_cap(self, limiter: RateLimiter) -> None:
        """Wait until the proxy may be sent another message, or has another stream."""
        now = asyncio.get_running_loop().time
        while not self.is_superseded and (delay := limiter.delay(now())) > 0:
            await asyncio.sleep(delay)

    async def write_message(self, data: bytes, limiter: RateLimiter | None) -> None:
        """Write one message and count it."""
        if limiter is not None:
            limiter.record_write(asyncio.get_running_loop().time())
        self.writer.write(data)
        await self.writer.drain()


def demand_report(message: DemandMessage) -> face.DemandReport:
    """A demand report as the policy knows it."""
    return face.DemandReport(message.proxy, message.request_class, message.requests, message.unanswered, message.window)


def not_expected(message: Message) -> MalformedMessageError:
    """The error for a message that a connection of this role never sends."""
    return MalformedMessageError(message.KIND, "not expected on this connection")


def not_served(message: DemandMessage | AckMessage) -> MalformedMessageError:
    """The error for a message of a proxy that this connection does not speak for."""
    return MalformedMessageError(f"{message.KIND} id", f"not the proxy of this connection: {message.proxy}")
