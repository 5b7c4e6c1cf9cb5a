"""Protocol of scripted peers: lines that end with CR LF."""

from __future__ import annotations

from typing import Any

from stackwheel.trials.transport import Transport

LINE_END = b"\r\n"


class LineProtocol:
    """Base class of scripted peers; it splits received bytes into lines."""

    def __init__(self) -> None:
        self.transport: Transport | None = None
        self.partial_line = b""

    def connection_made(self, transport: Any) -> None:
        """Handle the opening of the connection."""
        self.transport = transport
        self.opened()

    def data_received(self, data: bytes) -> None:
        """Split received bytes into lines and handle each complete line."""
        *lines, self.partial_line = (self.partial_line + data).split(LINE_END)
        for line in lines:
            self.line_received(line.decode())

    def eof_received(self) -> bool | None:
        """Close the connection when the peer sends no more data."""
        return None

    def connection_lost(self, _exc: Exception | None) -> None:
        """Handle the end of the connection."""
        self.closed()

    def pause_writing(self) -> None:
        """Do nothing; scripted peers ignore flow control."""

    def resume_writing(self) -> None:
        """Do nothing; scripted peers ignore flow control."""

    def send(self, *lines: str) -> None:
        """Send lines if the connection is open; drop them otherwise."""
        if self.transport is not None and not self.transport.closing:
            self.transport.write("".join(f"{line}\r\n" for line in lines).encode())

    def opened(self) -> None:
        """Handle the opening of the connection; to be overridden by subclasses."""

    def line_received(self, line: str) -> None:
        """Handle a received line; to be overridden by subclasses."""

    def closed(self) -> None:
        """Handle the end of the connection; to be overridden by subclasses."""
