"""Counts the bytes between a real program and discovery: a proxy that copies them both ways, unchanged."""

from __future__ import annotations

import asyncio
import contextlib

from stackwheel.wire.http import split_address

READ_BYTES = 64 << 10


class Meter:
    """A listening address that forwards to another; bytes are counted as the program receives and sends them."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.address = ""
        self.bytes_in = 0  # to the program
        self.bytes_out = 0  # from the program
        self.server: asyncio.Server | None = None

    async def start(self, host: str) -> str:
        """Begin to listen; the address to give to the program."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self.address

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection upstream; both connections end together."""
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

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, to_program: bool) -> None:
        """Copy bytes in one direction until its end, and count them."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if to_program:
                    self.bytes_in += len(data)
                else:
                    self.bytes_out += len(data)
                writer.write(data)
                await writer.drain()

    def close(self) -> None:
        """Accept no more connections."""
        if self.server is not None:
            self.server.close()
