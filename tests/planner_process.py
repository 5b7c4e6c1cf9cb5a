"""A planner as its users start it: a process, spoken to over loopback. Every wait is bounded."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import tomllib
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any

from fake_services import ROOT, Discovery, config
from proxy_model import ProxyTables

MOST = 30.0  # seconds that any one thing may take


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 120))


def full(servers: set[str]) -> Any:
    """Holds those servers, and no others, for all classes."""
    return lambda tables: all(set(tables.available_lines(name)) == servers for name in tables.classes)


class Connection:
    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    def say(self, *lines: str) -> None:
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    async def line(self) -> str:
        """The next line; nothing at the end of the connection."""
        try:
            data = await asyncio.wait_for(self.reader.readline(), MOST)
        except ConnectionError:
            return ""
        return data.decode().removesuffix("\r\n")

    async def closed(self) -> bool:
        while await self.line():
            pass
        return True

    def close(self) -> None:
        self.writer.transport.abort()


class Proxy:
    """Joins, applies what it is ordered, answers marks, and reports demand when told to."""

    def __init__(self, number: int, connection: Connection, tables: ProxyTables) -> None:
        self.number, self.connection, self.tables = number, connection, tables

    async def until(self, done: Callable[[ProxyTables], bool]) -> None:
        while not done(self.tables):
            line = await self.connection.line()
            assert line, "the stream has ended"
            for mark in self.tables.take(line):
                self.connection.say(f"ACK id={self.number} seq={mark} ms=2.5")

    def report(self, requests: int = 10) -> None:
        self.connection.say(
            *(f"RATE id={self.number} lane={name} count={requests} fail=0 over=1000.0" for name in self.tables.classes)
        )


class PlannerProcess:
    def __init__(self, process: asyncio.subprocess.Process, found: dict[str, Any], discovery: Discovery) -> None:
        self.process, self.config, self.discovery = process, found, discovery

    async def connect(self) -> Connection:
        host, _, port = self.config["listen"].rpartition(":")
        for _ in range(600):
            with contextlib.suppress(ConnectionRefusedError):
                return Connection(*await asyncio.open_connection(host, int(port)))
            assert self.process.returncode is None, "the planner has ended"
            await asyncio.sleep(0.05)
        raise AssertionError("nobody listens")

    async def ready(self) -> None:
        connection = await self.connect()
        connection.say("PING")
        assert await connection.line() == "PONG"
        connection.close()

    async def join(self, number: int, zone: str = "east", fresh: int = 1) -> Proxy:
        connection = await self.connect()
        connection.say(f"SUBSCRIBE id={number} site={zone} rps=20.0 new={fresh}")
        classes = tuple(wanted["name"] for wanted in self.config["settings"]["services"])
        return Proxy(number, connection, ProxyTables(classes, set(self.discovery.instances)))

    async def collector(self, zone: str = "east") -> Connection:
        connection = await self.connect()
        connection.say(f"SOURCE site={zone}")
        return connection

    async def stop(self, number: int = signal.SIGTERM) -> tuple[int, str]:
        """The exit code and the log."""
        if self.process.returncode is None:
            send(self.process, number)
        _, log = await asyncio.wait_for(self.process.communicate(), MOST)
        assert self.process.returncode is not None
        return self.process.returncode, log.decode()


async def start(
    found: dict[str, Any],
    folder: Path,
    command: tuple[str, ...] = (sys.executable, "-m", "stackwheel"),
    **environment: str,
) -> asyncio.subprocess.Process:
    path = folder / "config.json"
    path.write_text(json.dumps(found))
    return await asyncio.create_subprocess_exec(
        *command,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "ROUTER_CONFIG": str(path), **environment},
    )


@contextlib.asynccontextmanager
async def started(
    found: dict[str, Any], folder: Path, discovery: Discovery, command: tuple[str, ...]
) -> AsyncIterator[PlannerProcess]:
    """A process from its first moment on; ended whatever happens."""
    process = await start(found, folder, command)
    try:
        yield PlannerProcess(process, found, discovery)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


def send(process: asyncio.subprocess.Process, number: int) -> None:
    """The process's own method asks first whether it has ended, and takes its exit code from asyncio: 255 is seen."""
    with contextlib.suppress(ProcessLookupError):
        os.kill(process.pid, number)


def run_line() -> tuple[str, ...]:
    """The deploy file's `run` as the platform starts it, with this interpreter."""
    told = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert ".venv/bin/python" in told
    return "/bin/sh", "-c", told.replace(".venv/bin/python", sys.executable)


async def signals(process: asyncio.subprocess.Process, kind: str, number: int) -> None:
    """Until the process blocks (SigBlk), ignores (SigIgn) or catches (SigCgt) a signal."""
    status = Path(f"/proc/{process.pid}/status")
    while not any(
        line.startswith(kind) and int(line.split()[1], 16) & 1 << (number - 1)
        for line in status.read_text().splitlines()
    ):
        assert process.returncode is None, f"{kind} of signal {number} was never seen"
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def running(
    folder: Path, servers: int = 4, troubles: tuple[str, ...] = (), **changed: Any
) -> AsyncIterator[PlannerProcess]:
    """A planner beside discovery with some servers; ready, and ended whatever happens."""
    discovery = Discovery()
    await discovery.start()
    discovery.troubles = list(troubles)
    for number in range(servers):
        discovery.add(f"s-{number}", f"127.0.0.1:{9000 + number}", ("east", "west")[number % 2])
    found = config(discovery.address, **changed)
    planner = PlannerProcess(await start(found, folder), found, discovery)
    try:
        await planner.ready()
        yield planner
    finally:
        if planner.process.returncode is None:
            planner.process.kill()
            await planner.process.wait()
