"""An accepted connection: decodes and dispatches the messages received on it, and writes the messages queued for it."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple

from loguru import logger

from stackwheel import interface
from stackwheel.settings import ConfiguredNames
from stackwheel.state.messages import PlannerMessage, StreamEnded, StreamMessage
from stackwheel.state.server_ids import server_id
from stackwheel.state.streams import ProxyStream
from stackwheel.wire import timing
from stackwheel.wire.connection_limits import BufferBudget, RateLimiter
from stackwheel.wire.line_codec import (
    MAX_MESSAGE_BYTES,
    MAX_QUOTED_CHARACTERS,
    MAX_UNIDENTIFIED_BYTES,
    NACK,
    PONG,
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
    order_columns,
)
from stackwheel.wire.read_turns import MAX_LINES_PER_TURN, ReadTurns


class ConnectionContext(NamedTuple):
    """Resources shared by all connections of a planner.

    Attributes:
        names: configured names of the zones, request classes and load columns.
        proxy_count: number of proxies; proxies are numbered from 0.
        post: puts a message into the planner actor's mailbox; never blocks.
        on_identified: called with a connection and True when the connection has identified itself as a stream or a
            collector, and with False when the proxy of the connection has opened another stream.
        limiter: returns the rate limiter of a proxy, which is shared by its successive connections.
        buffer_budget: limit on the bytes that all connections buffer.
        is_listed: returns whether any endpoint list so far contained a server.
        turns: turns in which connections process received data.
    """

    names: ConfiguredNames
    proxy_count: int
    post: Callable[[PlannerMessage], None]
    on_identified: Callable[[Connection, bool], None]
    limiter: Callable[[int], RateLimiter]
    buffer_budget: BufferBudget
    is_listed: Callable[[interface.ServerId], bool]
    turns: ReadTurns


class Connection:
    """A connection: the stream of a proxy, a collector, or not identified yet.

    Attributes:
        proxy: number of the proxy whose stream the connection is or was; None for other connections.
        zone: index of the zone whose collector the connection is; None for other connections.
        unidentified_since: when the connection was accepted or its proxy opened another stream, in seconds on the
            event loop's clock.
        last_received_at: when data was last received, in seconds on the event loop's clock.
        messages_received: number of lines received, including skipped ones.
        messages_skipped: number of lines skipped because they were malformed.
        unsent_bytes: total size of the messages in this connection's outgoing mailbox.
        is_closing: whether this side has closed the connection.
        is_superseded: whether the proxy of this connection has opened another stream.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, context: ConnectionContext) -> None:
        """Create an unidentified connection from the streams of an accepted socket."""
        self.reader = reader
        self.writer = writer
        self.context = context
        self.proxy: int | None = None
        self.zone: int | None = None
        self.unidentified_since = asyncio.get_running_loop().time()
        self.last_received_at = self.unidentified_since
        self.splitter = LineSplitter()
        self.messages_received = 0
        self.messages_skipped = 0
        self.unsent_bytes = 0
        self.is_closing = False
        self.is_superseded = False
        self.mailbox: asyncio.Queue[bytes] = asyncio.Queue()
        writer.transport.set_write_buffer_limits(high=0)  # a message counts as unsent until the kernel has accepted it
        host, port = (writer.get_extra_info("peername") or ("?", 0))[:2]
        self.address = f"{host}:{port}"

    def __str__(self) -> str:
        """Return the role and the address of the peer, as shown in the log."""
        if self.zone is not None:
            role = "collector"
        elif self.proxy is not None:
            role = f"proxy-{self.proxy}"
        else:
            role = "unidentified"
        return f"{role}@{self.address}"

    @property
    def is_unidentified(self) -> bool:
        """Whether the connection has never been a stream or a collector."""
        return self.proxy is None and self.zone is None

    async def run(self) -> None:
        """Serve the connection until either side closes it; unexpected errors are logged and close the connection."""
        write_task = asyncio.create_task(self.write())
        try:
            await self.read()
        except OSError as error:
            logger.info("connection lost: connection={} reason={}", self, error)
        except Exception as error:
            logger.exception("connection failed unexpectedly: connection={} reason={!r}", self, error)
        finally:
            write_task.cancel()
            self.writer.transport.abort()
            self.is_closing = True
            self.context.buffer_budget.account(self, 0)
            if self.proxy is not None:
                self.context.post(StreamEnded(self.proxy, self))

    async def read(self) -> None:
        """Read and handle lines until the connection ends or has to be closed.

        An incomplete line at the end is logged with its size and the number of complete lines before it.
        """
        while data := await self.reader.read(timing.ACCEPTED_READ_BYTES):
            self.last_received_at = asyncio.get_running_loop().time()
            try:
                await self.handle_data(data)
            except ProtocolViolationError as error:
                self.close(str(error))
                return
            self.account_buffers()
            if self.is_closing:
                return
            await asyncio.sleep(0)  # the next read may return at once, and would prolong the turn
            self.check_not_reset()
        partial_line_bytes = len(self.splitter.pending)
        if partial_line_bytes and not self.is_closing:
            logger.warning(
                "connection ended inside a line: connection={} count={} bytes={}",
                self,
                self.messages_received,
                partial_line_bytes,
            )

    async def handle_data(self, data: bytes) -> None:
        """Add received data to the incomplete line, and handle the lines that are complete then, in several turns.

        Raises:
            ConnectionResetError: the client has reset the connection; the lines that are left are dropped.
            ProtocolViolationError: a line is not a message of the protocol, or the incomplete line is not the beginning
                of one.
        """
        await self.context.turns.wait_for_first()
        for index, line in enumerate(self.splitter.feed(data), 1):
            self.messages_received += 1
            try:
                self.handle_line(line)
            except ProtocolViolationError as error:
                raise ProtocolViolationError(f"in message {self.messages_received}", str(error)) from error
            if index % MAX_LINES_PER_TURN == 0:
                await self.context.turns.wait()
                self.check_not_reset()
            if self.is_closing:
                return
        self.check_incomplete_line(max(0, len(self.splitter.pending) - len(data)))

    def check_not_reset(self) -> None:
        """Raise ConnectionResetError if the client has reset the connection.

        The event loop does not notice a reset as long as there is received data that it has not read.
        """
        sock = self.writer.get_extra_info("socket")
        is_reset = sock is not None and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
        if is_reset or (self.writer.transport.is_closing() and not self.is_closing):
            raise ConnectionResetError("reset by the client, with messages left to handle")

    def check_incomplete_line(self, checked_bytes: int) -> None:
        """Check the incomplete line after its beginning, of `checked_bytes`, which was checked when it was received.

        Raises:
            ProtocolViolationError: it is not the beginning of a message.
        """
        location = f"after message {self.messages_received}"
        if self.splitter.is_oversized:
            raise ProtocolViolationError(location, f"line longer than {self.splitter.max_line_bytes} bytes")
        if self.splitter.pending:
            try:
                check_partial_line(self.splitter.pending, checked_bytes)
            except ProtocolViolationError as error:
                raise ProtocolViolationError(location, str(error)) from error

    def handle_line(self, line: bytes) -> None:
        """Decode and dispatch one line; a malformed message from an identified connection is skipped.

        Raises:
            ProtocolViolationError: the line is not a message, or an unidentified connection has sent a malformed
                message or more than MAX_UNIDENTIFIED_BYTES.
        """
        try:
            self.dispatch(decode(line, self.context.names))
        except MalformedMessageError as error:
            if self.is_unidentified:
                raise ProtocolViolationError(error.location, error.problem) from error
            self.skip_message(error)
        if self.is_unidentified and self.splitter.consumed_bytes > MAX_UNIDENTIFIED_BYTES:
            raise ProtocolViolationError("", f"not identified within the first {MAX_UNIDENTIFIED_BYTES} bytes")

    def skip_message(self, error: MalformedMessageError) -> None:
        """Log a malformed message with the number of messages skipped so far on this connection.

        A malformed message from a proxy still shows the planner that the proxy is alive.
        """
        self.messages_skipped += 1
        logger.warning(
            "message skipped: connection={} count={} reason=message {}: {}",
            self,
            self.messages_skipped,
            self.messages_received,
            error,
        )
        if self.proxy is not None:
            self.context.post(StreamMessage(self.proxy, None, self))

    def dispatch(self, message: Message) -> None:
        """Answer a message or post it to the planner actor, according to the role of this connection.

        Raises:
            MalformedMessageError: the message is not allowed on a connection of this role, or refers to an unknown
                proxy or server.
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
        """Handle the message that identifies the connection as a collector or as the stream of a proxy."""
        match message:
            case CollectorMessage(zone):
                self.zone = zone
                self.mark_identified()
            case JoinMessage():
                self.join(message)
            case _:
                raise unexpected_message_error(message)

    def dispatch_from_collector(self, message: Message) -> None:
        """Handle a message from a collector, which may report on any zone and any proxy."""
        match message:
            case LoadMessage():
                self.post_load_report(message)
            case DemandMessage() if message.proxy < self.context.proxy_count:
                self.context.post(demand_report(message))
            case DemandMessage() | AckMessage():
                raise wrong_proxy_error(message)
            case CollectorMessage() if message.zone == self.zone:
                pass  # repeated identification
            case _:
                raise unexpected_message_error(message)

    def dispatch_from_proxy(self, message: Message) -> None:
        """Handle a message from a joined proxy, which may send its own reports and acknowledgements, and join again."""
        match message:
            case DemandMessage() if message.proxy == self.proxy:
                self.context.post(StreamMessage(message.proxy, demand_report(message), self))
            case AckMessage(proxy, nonce, elapsed) if proxy == self.proxy:
                self.context.post(StreamMessage(proxy, interface.Acknowledged(proxy, nonce, elapsed), self))
            case DemandMessage() | AckMessage():
                raise wrong_proxy_error(message)
            case JoinMessage() if message.proxy == self.proxy:
                self.join(message)
            case _:
                raise unexpected_message_error(message)

    def join(self, message: JoinMessage) -> None:
        """Make the connection the stream of a proxy; raises MalformedMessageError if its number is out of range."""
        proxy_count = self.context.proxy_count
        if message.proxy >= proxy_count:
            raise MalformedMessageError(f"{message.KIND} id", f"not below {proxy_count}: {message.proxy}")
        self.proxy = message.proxy
        self.mark_identified()
        stream = ProxyStream(message.proxy, message.zone, message.expected_rate, message.newly_started, self)
        self.context.post(stream)

    def post_load_report(self, message: LoadMessage) -> None:
        """Post a load report; raises MalformedMessageError if no endpoint list so far contained its server."""
        server = server_id(message.server_name)
        if not self.context.is_listed(server):
            quoted_name = message.server_name[:MAX_QUOTED_CHARACTERS]
            raise MalformedMessageError(f"{message.KIND} target", f"not in the endpoint list: {quoted_name!r}")
        report = interface.LoadReport(
            message.zone,
            server,
            message.attempts,
            message.failures,
            message.mean_latency,
            message.window,
            order_columns(message.load, self.context.names.columns),
        )
        self.context.post(report)

    def mark_identified(self) -> None:
        """Raise the maximum line length to that of identified connections, and call `on_identified`."""
        self.splitter.max_line_bytes = MAX_MESSAGE_BYTES
        self.context.on_identified(self, True)

    def on_superseded(self) -> None:
        """Require a new identification, because the proxy has opened another stream.

        Queued updates are dropped: the proxy receives its full state on the new stream, and each message written
        counts against its message cap.
        """
        if self.is_closing:  # the planner actor has not processed StreamEnded yet
            return
        self.is_superseded = True
        self.splitter.max_line_bytes = MAX_UNIDENTIFIED_BYTES
        self.unidentified_since = asyncio.get_running_loop().time()
        self.context.on_identified(self, False)

    def on_attached(self) -> None:
        """Restore the identification, because the planner actor uses this connection as the proxy's stream again."""
        if not self.is_closing and self.is_superseded:
            self.is_superseded = False
            self.mark_identified()

    def account_buffers(self) -> None:
        """Report the number of bytes that this connection buffers to the budget that all connections share."""
        if not self.is_closing:
            queued_bytes = self.unsent_bytes + self.mailbox.qsize() * timing.MESSAGE_OVERHEAD_BYTES
            self.context.buffer_budget.account(self, len(self.splitter.pending) + queued_bytes)

    def close(self, reason: str) -> None:
        """Abort the connection and drop unsent messages; sends NACK first if the connection is unidentified."""
        if self.is_closing:
            return
        logger.warning("connection closed: connection={} reason={}", self, reason)
        if self.is_unidentified:
            self.writer.write(NACK)
        self.is_closing = True
        self.writer.transport.abort()

    def send(self, data: bytes) -> None:
        """Queue data without waiting; closes the connection if more than MAX_UNSENT_BYTES are queued."""
        self.unsent_bytes += len(data)
        if self.unsent_bytes > timing.MAX_UNSENT_BYTES:
            self.close(f"{self.unsent_bytes} bytes unread by the client, over the maximum of {timing.MAX_UNSENT_BYTES}")
            return
        self.mailbox.put_nowait(data)
        self.account_buffers()

    async def write(self) -> None:
        """Write queued messages until the connection ends.

        An update is dropped if the proxy opens another stream while the message cap delays the update.
        """
        try:
            while True:
                data = await self.mailbox.get()
                limiter = None if data is PONG or self.proxy is None else self.context.limiter(self.proxy)
                if limiter is not None:
                    await self.wait_for_message_cap(limiter)
                if self.is_closing:
                    return
                if limiter is None or not self.is_superseded:
                    await self.write_message(data, limiter)
                self.unsent_bytes -= len(data)
                self.account_buffers()
        except OSError:
            return  # the reader receives the same error and logs it
        except Exception as error:  # the connection would otherwise stay open without being written to
            logger.exception("connection failed unexpectedly: connection={} reason={!r}", self, error)
            self.close("write failed")

    async def wait_for_message_cap(self, limiter: RateLimiter) -> None:
        """Wait until the message cap allows another message, or the proxy has opened another stream."""
        now = asyncio.get_running_loop().time
        while not self.is_superseded and (delay := limiter.delay(now())) > 0:
            await asyncio.sleep(delay)

    async def write_message(self, data: bytes, limiter: RateLimiter | None) -> None:
        """Write one message, and count it against the message cap if there is a limiter."""
        if limiter is not None:
            limiter.record_write(asyncio.get_running_loop().time())
        self.writer.write(data)
        await self.writer.drain()


def demand_report(message: DemandMessage) -> interface.DemandReport:
    """Convert a received demand report to the policy's event."""
    return interface.DemandReport(
        message.proxy, message.request_class, message.requests, message.unanswered, message.window
    )


def unexpected_message_error(message: Message) -> MalformedMessageError:
    """Create the error for a message that is not allowed on a connection of this role."""
    return MalformedMessageError(message.KIND, "not expected on this connection")


def wrong_proxy_error(message: DemandMessage | AckMessage) -> MalformedMessageError:
    """Create the error for a message that refers to a proxy other than the proxy of the connection."""
    return MalformedMessageError(f"{message.KIND} id", f"not the proxy of this connection: {message.proxy}")
