"""A discovery service with configurable faults, free ports, and the example configuration."""

from __future__ import annotations

import asyncio
import importlib.util
import json
import socket
import sys
from pathlib import Path
from types import ModuleType
from typing import Any

ROOT = Path(__file__).parents[1]


def load_example(name: str) -> ModuleType:
    spec = importlib.util.spec_from_file_location(name, ROOT / "examples" / f"{name}.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module


toy_server = load_example("toy_server")


class FaultyDiscovery(toy_server.DiscoveryService):  # type: ignore[name-defined, misc]
    """The discovery service of the example, which answers its first calls with faults.

    Attributes:
        faults: faults of the next calls in their order; later calls are answered normally.
        calls: for each call so far its fault, or "served" for a normal response.
        open_writers: writers of all connections so far.
        address: "host:port" of the service; empty before `start`.
    """

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[str] = []
        self.calls: list[str] = []
        self.open_writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """Close the listener and abort all connections."""
        self.server.close()
        for writer in self.open_writers:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_writers.add(writer)
        if not self.faults:
            self.calls.append("served")
            return await super().serve(reader, writer)
        fault = self.faults.pop(0)
        self.calls.append(fault)
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        if fault == "503":
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif fault == "malformed JSON":
            writer.write(head + b'7\r\n{"a":1\n\r\n')
        elif fault == "not HTTP":
            writer.write(b"what?\r\n\r\n")
        elif fault == "truncated body":
            writer.write(head + b'ff\r\n{"gene')
        elif fault in ("no response", "silent watch"):
            body = self.document(None)
            if fault == "silent watch":
                writer.write(head + f"{len(body):x}\r\n".encode() + body + b"\r\n")
            await asyncio.Event().wait()
        elif fault == "split body":
            body = self.document(None)
            for offset in range(0, len(body), 7):
                part = body[offset : offset + 7]
                writer.write((head if offset == 0 else b"") + f"{len(part):x}\r\n".encode() + part + b"\r\n")
                await writer.drain()
                await asyncio.sleep(0)
            await asyncio.Event().wait()
        if fault == "reset":
            writer.transport.abort()
        writer.close()
        return None


def free_port(host: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


def config(discovery: str, **changed: Any) -> dict[str, Any]:
    """Return the example configuration with free ports, and with the fields in `changed` replaced."""
    document: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
    peer = f"127.0.0.1:{free_port(kind=socket.SOCK_DGRAM)}"
    document.update(
        listen=f"127.0.0.1:{free_port()}", discovery=discovery, peer_listen=peer, peers=[peer], peers_all=peer
    )
    document.update(changed)
    return document
