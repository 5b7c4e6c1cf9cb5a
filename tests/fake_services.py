"""A discovery service that fails as a test wants it to, free ports and the example's configuration."""

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


toy = load_example("toy_server")


class FaultyDiscovery(toy.DiscoveryService):  # type: ignore[name-defined, misc]
    """The toy's discovery, with what can go wrong, in the order given, before it does as it should."""

    def __init__(self) -> None:
        super().__init__()
        self.faults: list[str] = []
        self.calls: list[str] = []
        self.open: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def stop(self) -> None:
        """No new connection, and an end to those still open."""
        self.server.close()
        for writer in self.open:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        if not self.faults:
            self.calls.append("served")
            return await super().serve(reader, writer)
        trouble = self.faults.pop(0)
        self.calls.append(trouble)
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        if trouble == "503":
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif trouble == "malformed JSON":
            writer.write(head + b'7\r\n{"a":1\n\r\n')
        elif trouble == "not HTTP":
            writer.write(b"what?\r\n\r\n")
        elif trouble == "truncated body":
            writer.write(head + b'ff\r\n{"gene')
        elif trouble in ("no response", "silent watch"):
            body = self.document(None)
            if trouble == "silent watch":
                writer.write(head + f"{len(body):x}\r\n".encode() + body + b"\r\n")
            await asyncio.Event().wait()
        elif trouble == "split body":
            body = self.document(None)
            for at in range(0, len(body), 7):
                piece = body[at : at + 7]
                writer.write((head if at == 0 else b"") + f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
                await writer.drain()
                await asyncio.sleep(0)
            await asyncio.Event().wait()
        if trouble == "reset":
            writer.transport.abort()
        writer.close()
        return None


def free_port(host: str = "127.0.0.1", kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as found:
        found.bind((host, 0))
        return int(found.getsockname()[1])


def config(discovery: str, **changed: Any) -> dict[str, Any]:
    """The example's configuration on free ports."""
    found: dict[str, Any] = json.loads((ROOT / "examples" / "config.json").read_text())
    peer = f"127.0.0.1:{free_port(kind=socket.SOCK_DGRAM)}"
    found.update(listen=f"127.0.0.1:{free_port()}", discovery=discovery, peer_listen=peer, peers=[peer], peers_all=peer)
    found.update(changed)
    return found
