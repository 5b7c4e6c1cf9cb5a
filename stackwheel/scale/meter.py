"""Forwarder that counts the bytes between a real process and the discovery service."""

from __future__ import annotations

import asyncio
import contextlib

from stackwheel.wire.http import split_address

MAX_READ_BYTES = 64 << 10


class Meter:
    """Forwards connections from its own address to an upstream address and counts their bytes.

    Attributes:
        upstream: the address, HOST:PORT, that connections are forwarded to.
        address: the own address, HOST:PORT; empty until started.
        bytes_in: bytes that the client process has received.
        bytes_out: bytes that the client process has sent.
    """

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.address = ""
        self.bytes_in = 0
        self.bytes_out = 0
        self.server: asyncio.Server | None = None

    async def start(self, host: str) -> str:
        """Start to listen and return the address that the client process connects to."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self.address

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection upstream; both connections end when either side closes."""
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(*split_address(self.upstream))
        except OSError:
            writer.transport.abort()
            return
        copies = [
            asyncio.create_task(self.copy(reader, upstream_writer, False)),
            asyncio.create_task(self.copy(upstream_reader, writer, True)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            writer.close()
            upstream_writer.close()

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool) -> None:
        """Copy and count the bytes of one direction until the end of the stream."""
        with contextlib.suppress(OSError):
            while data := await reader.read(MAX_READ_BYTES):
                if is_response:
                    self.bytes_in += len(data)
                else:
                    self.bytes_out += len(data)
                writer.write(data)
                await writer.drain()

    def close(self) -> None:
        """Stop accepting connections."""
        if self.server is not None:
            self.server.close()
