"""The protocol of scripted peers: lines that end with CR LF."""

from __future__ import annotations

from typing import Any

from stackwheel.trials.transport import Transport

LINE_END = b"\r\n"


class LineProtocol:
    """Cuts what it receives into lines; subclasses take them."""

    def __init__(self) -> None:
        self.transport: Transport | None = None
        self.partial_line = b""

    def connection_made(self, transport: Any) -> None:
        """The connection is open."""
        self.transport = transport
        self.opened()

    def data_received(self, data: bytes) -> None:
        """Bytes have arrived."""
        *lines, self.partial_line = (self.partial_line + data).split(LINE_END)
        for line in lines:
            self.line_received(line.decode())

    def eof_received(self) -> bool | None:
        """The other end writes no more: the connection ends."""
        return None

    def connection_lost(self, _exc: Exception | None) -> None:
        """The connection has ended."""
        self.closed()

    def pause_writing(self) -> None:
        """Scripted peers write on whether the other end reads or not."""

    def resume_writing(self) -> None:
        """Scripted peers write on whether the other end reads or not."""

    def send(self, *lines: str) -> None:
        """Send lines if the connection is open."""
        if self.transport is not None and not self.transport.closing:
            self.transport.write("".join(f"{line}\r\n" for line in lines).encode())

    def opened(self) -> None:
        """The connection is open; for subclasses."""

    def line_received(self, line: str) -> None:
        """A line has arrived; for subclasses."""

    def closed(self) -> None:
        """The connection has ended; for subclasses."""
