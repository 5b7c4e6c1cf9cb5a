"""Stand-ins written from the protocol's page: a proxy that applies orders, discovery with its failures, free ports."""

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
    assert spec is not None and spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules[name] = module
    spec.loader.exec_module(module)
    return module


toy = load_example("toy_server")


class Refused(AssertionError):
    """A real proxy would reset the stream."""


class Tables:
    """What a proxy holds: it applies whole messages, and refuses what it can't use."""

    def __init__(self, classes: tuple[str, ...], servers: set[str]) -> None:
        self.classes, self.servers = classes, servers
        self.lines: dict[str, dict[str, float]] = {name: {} for name in classes}
        self.levels: dict[str, tuple[float, int]] = {}
        self.ejected: set[str] = set()
        self.parts: list[dict[str, str]] = []
        self.costs: list[int] = []  # lines of each message
        self.marks: list[int] = []

    def take(self, line: str) -> list[int]:
        """A line of the stream; the marks that are due for an answer once a message is whole."""
        kind, *words = line.split(" ")
        fields = dict(word.split("=", 1) for word in words)
        known = {"routes", "full", "endpoints", "admit", "policy", "eject", "restore", "nonce_out", "continued"}
        if kind != "CONFIG" or not fields.keys() <= known or ("admit" in fields) != ("policy" in fields):
            raise Refused(line)
        self.parts.append(fields)
        if fields.get("continued") == "1":
            if len(self.parts) >= 64:
                raise Refused("over 64 parts")
            return []
        parts, self.parts = self.parts, []
        self.costs.append(sum(self.apply(part) for part in parts))
        marks = [int(part["nonce_out"]) for part in parts if "nonce_out" in part]
        self.marks += marks
        return marks

    def apply(self, part: dict[str, str]) -> int:
        classes = part["routes"].split("+") if "routes" in part else self.classes
        pairs = [pair.rsplit(":", 1) for pair in part.get("endpoints", "").split(",") if pair]
        lines = {name: self.weight(text) for name, text in pairs}
        health = [name for field in ("eject", "restore") for name in part.get(field, "").split(",") if name]
        if not set(classes) <= set(self.classes) or not {*lines, *health} <= self.servers:
            raise Refused(str(part))
        for name in classes:
            if part.get("full") == "1":
                self.lines[name] = {}
                self.levels.pop(name, None)
            self.lines[name].update(lines)
            self.lines[name] = {s: w for s, w in self.lines[name].items() if w > 0}
            if "admit" in part:
                self.levels[name] = self.weight(part["admit"]), int(part["policy"])
        self.ejected |= {name for name in part.get("eject", "").split(",") if name}
        self.ejected -= set(part.get("restore", "").split(","))
        full, level, mark = part.get("full") == "1", "admit" in part, "nonce_out" in part
        return len(lines) + len(health) + full + level + mark

    @staticmethod
    def weight(text: str) -> float:
        if not text.replace(".", "", 1).isdigit():
            raise Refused(f"weight {text}")
        return float(text)

    def open_lines(self, name: str) -> dict[str, float]:
        return {s: w for s, w in self.lines[name].items() if s not in self.ejected}


class Discovery(toy.DiscoveryService):  # type: ignore[name-defined, misc]
    """The toy's discovery, with what can go wrong, in the order given, before it does as it should."""

    def __init__(self) -> None:
        super().__init__()
        self.troubles: list[str] = []
        self.calls: list[str] = []
        self.open: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])

    async def shut(self) -> None:
        """No new connection, and an end to those still open."""
        self.server.close()
        for writer in self.open:
            writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        if not self.troubles:
            self.calls.append("served")
            return await super().serve(reader, writer)
        trouble = self.troubles.pop(0)
        self.calls.append(trouble)
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        if trouble == "503":
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif trouble == "nonsense":
            writer.write(head + b'7\r\n{"a":1\n\r\n')
        elif trouble == "no http":
            writer.write(b"what?\r\n\r\n")
        elif trouble == "cut":
            writer.write(head + b'ff\r\n{"gene')
        elif trouble in ("silence", "quiet watch"):
            body = self.document(None)
            if trouble == "quiet watch":
                writer.write(head + f"{len(body):x}\r\n".encode() + body + b"\r\n")
            await asyncio.Event().wait()
        elif trouble == "pieces":
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
