"""Counts what a real program says to discovery: a pass-through that copies bytes both ways and changes nothing."""

from __future__ import annotations

import asyncio
import contextlib

from stackwheel.wire.http import split_address

READ_BYTES = 64 << 10


class Meter:
    """One listening address that stands for another; bytes are counted as the program sees them."""

    def __init__(self, upstream: str) -> None:
        self.upstream = upstream
        self.address = ""
        self.bytes_in = self.bytes_out = 0
        self.server: asyncio.Server | None = None

    async def start(self, host: str) -> str:
        """Begin to pass on; the address to give to the program."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self.address

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection and its twin upstream: both end together."""
        try:
            up_reader, up_writer = await asyncio.open_connection(*split_address(self.upstream))
        except OSError:
            writer.transport.abort()
            return
        copies = [
            asyncio.create_task(self.copy(reader, up_writer, False)),
            asyncio.create_task(self.copy(up_reader, writer, True)),
        ]
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for copy in copies:
                copy.cancel()
            writer.close()
            up_writer.close()

    async def copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, inward: bool) -> None:
        """Pass bytes on in one direction until it ends, and count them."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if inward:
                    self.bytes_in += len(data)
                else:
                    self.bytes_out += len(data)
                writer.write(data)
                await writer.drain()

    def close(self) -> None:
        """Take no more connections."""
        if self.server is not None:
            self.server.close()
