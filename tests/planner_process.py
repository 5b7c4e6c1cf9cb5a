"""Planner processes on the loopback interface, with clients that act as proxies and collectors.

Every wait has a timeout.
"""

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

from fake_services import ROOT, FaultyDiscovery, config
from proxy_model import ProxyTables

MAX_WAIT_S = 30.0  # for a single line, exit code or other event
TEST_TIMEOUT_S = 120
CONNECT_ATTEMPTS = 600
CONNECT_INTERVAL_S = 0.05
DEFAULT_COMMAND = (sys.executable, "-m", "stackwheel")


def run_async(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(test, TEST_TIMEOUT_S))


def serves_exactly(servers: set[str]) -> Callable[[ProxyTables], bool]:
    """Return a condition: the proxy's tables of all classes contain exactly these available servers."""
    return lambda tables: all(set(tables.available_lines(name)) == servers for name in tables.classes)


class ClientConnection:
    """The client side of a connection to the planner."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def send_lines(self, *lines: str) -> None:
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    async def read_line(self) -> str:
        """Return the next line; an empty string at the end of the connection."""
        try:
            data = await asyncio.wait_for(self.reader.readline(), MAX_WAIT_S)
        except ConnectionError:
            return ""
        return data.decode().removesuffix("\r\n")

    async def wait_closed(self) -> bool:
        while await self.read_line():
            pass
        return True

    def close(self) -> None:
        self.writer.transport.abort()


class ProxyClient:
    """A proxy that applies updates, acknowledges their nonces, and reports demand on request."""

    def __init__(self, number: int, connection: ClientConnection, tables: ProxyTables) -> None:
        self.number = number
        self.connection = connection
        self.tables = tables

    async def wait_until(self, condition: Callable[[ProxyTables], bool]) -> None:
        while not condition(self.tables):
            line = await self.connection.read_line()
            assert line, "the planner closed the stream"
            for nonce in self.tables.apply_line(line):
                self.connection.send_lines(f"ACK id={self.number} seq={nonce} ms=2.5")

    def report_demand(self, requests: int = 10) -> None:
        self.connection.send_lines(
            *(f"RATE id={self.number} lane={name} count={requests} fail=0 over=1000.0" for name in self.tables.classes)
        )


class PlannerProcess:
    """A planner process with its configuration and its discovery service."""

    def __init__(
        self, process: asyncio.subprocess.Process, document: dict[str, Any], discovery: FaultyDiscovery
    ) -> None:
        self.process = process
        self.config = document
        self.discovery = discovery

    async def connect(self) -> ClientConnection:
        host, _, port = self.config["listen"].rpartition(":")
        for _ in range(CONNECT_ATTEMPTS):
            with contextlib.suppress(ConnectionRefusedError):
                return ClientConnection(*await asyncio.open_connection(host, int(port)))
            assert self.process.returncode is None, "the planner process exited"
            await asyncio.sleep(CONNECT_INTERVAL_S)
        raise AssertionError("the planner accepts no connections")

    async def wait_ready(self) -> None:
        connection = await self.connect()
        connection.send_lines("PING")
        assert await connection.read_line() == "PONG"
        connection.close()

    async def join_proxy(self, number: int, zone: str = "east", newly_started: int = 1) -> ProxyClient:
        connection = await self.connect()
        connection.send_lines(f"SUBSCRIBE id={number} site={zone} rps=20.0 new={newly_started}")
        classes = tuple(request_class["name"] for request_class in self.config["settings"]["services"])
        return ProxyClient(number, connection, ProxyTables(classes, set(self.discovery.instances)))

    async def connect_collector(self, zone: str = "east") -> ClientConnection:
        connection = await self.connect()
        connection.send_lines(f"SOURCE site={zone}")
        return connection

    async def stop(self, signal_number: int = signal.SIGTERM) -> tuple[int, str]:
        """Stop the process with a signal and return its exit code and log."""
        if self.process.returncode is None:
            send_signal(self.process, signal_number)
        _, log = await asyncio.wait_for(self.process.communicate(), MAX_WAIT_S)
        assert self.process.returncode is not None
        return self.process.returncode, log.decode()


async def start_planner(
    document: dict[str, Any],
    folder: Path,
    command: tuple[str, ...] = DEFAULT_COMMAND,
    **environment: str,
) -> asyncio.subprocess.Process:
    path = folder / "config.json"
    path.write_text(json.dumps(document))
    return await asyncio.create_subprocess_exec(
        *command,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "ROUTER_CONFIG": str(path), **environment},
    )


@contextlib.asynccontextmanager
async def started_planner(
    document: dict[str, Any], folder: Path, discovery: FaultyDiscovery, command: tuple[str, ...]
) -> AsyncIterator[PlannerProcess]:
    """Start a planner without waiting until it is ready, and kill it at the end."""
    process = await start_planner(document, folder, command)
    try:
        yield PlannerProcess(process, document, discovery)
    finally:
        await kill(process)


@contextlib.asynccontextmanager
async def running_planner(
    folder: Path, servers: int = 4, faults: tuple[str, ...] = (), **changed: Any
) -> AsyncIterator[PlannerProcess]:
    """Start a planner with a discovery service that lists some servers, wait until it is ready, and kill it at the end."""
    discovery = FaultyDiscovery()
    await discovery.start()
    discovery.faults = list(faults)
    for number in range(servers):
        discovery.add(f"s-{number}", f"127.0.0.1:{9000 + number}", ("east", "west")[number % 2])
    document = config(discovery.address, **changed)
    planner = PlannerProcess(await start_planner(document, folder), document, discovery)
    try:
        await planner.wait_ready()
        yield planner
    finally:
        await kill(planner.process)


async def kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
        await process.wait()


def send_signal(process: asyncio.subprocess.Process, signal_number: int) -> None:
    """Send a signal without polling the process first.

    `Process.send_signal` polls the process; if that reaps it, asyncio reports the exit code 255.
    """
    with contextlib.suppress(ProcessLookupError):
        os.kill(process.pid, signal_number)


def deployed_command() -> tuple[str, ...]:
    """Return the command `run` of the deploy file, with the interpreter of the tests."""
    command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    assert ".venv/bin/python" in command
    return "/bin/sh", "-c", command.replace(".venv/bin/python", sys.executable)


async def wait_for_signal_state(process: asyncio.subprocess.Process, field: str, signal_number: int) -> None:
    """Wait until the process blocks (SigBlk), ignores (SigIgn) or catches (SigCgt) a signal."""
    status = Path(f"/proc/{process.pid}/status")
    bit = 1 << (signal_number - 1)
    while not any(
        line.startswith(field) and int(line.split()[1], 16) & bit for line in status.read_text().splitlines()
    ):
        assert process.returncode is None, f"the process exited before {field} contained signal {signal_number}"
        await asyncio.sleep(0)
