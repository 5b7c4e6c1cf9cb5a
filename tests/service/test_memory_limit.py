"""Planner processes under a memory limit, with as many hostile clients as their descriptors allow."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from pathlib import Path

import pytest
from fake_services import config
from planner_process import (
    MAX_WAIT_S,
    ClientConnection,
    PlannerProcess,
    run_async,
    running_planner,
    serves_exactly,
)

SOCKETS = 512
CLIENTS = 470
PIECE_BYTES = 20_000
LARGE_BYTES = 1_000_000
UPDATES_PER_CLIENT = 400


def join_line(number: int) -> bytes:
    return b"SUBSCRIBE id=%d site=east rps=2 new=1\r\n" % number


def incomplete_line(_number: int) -> bytes:
    return b"RATE " + b"x" * LARGE_BYTES


def short_fields(number: int) -> bytes:
    return b"RATE id=%d lane=read count=1 fail=0 over=1000 " % number + b" ".join(
        b"%x=" % index for index in range(LARGE_BYTES // 7)
    )


def joins(number: int) -> bytes:
    """Ask for many complete tables, none of which the client reads."""
    return join_line(number) * UPDATES_PER_CLIENT


def pings(_number: int) -> bytes:
    """Ask for many answers, none of which the client reads."""
    return b"PING\r\n" * (LARGE_BYTES // 6)


async def send_in_pieces(connection: ClientConnection, data: bytes) -> None:
    """Send data until the planner has read it or has closed the connection."""
    with contextlib.suppress(ConnectionError, TimeoutError):
        for start in range(0, len(data), PIECE_BYTES):
            connection.writer.write(data[start : start + PIECE_BYTES])
            await asyncio.wait_for(connection.writer.drain(), MAX_WAIT_S)


def stop_reading(connection: ClientConnection) -> None:
    connection.writer.transport.pause_reading()  # type: ignore[attr-defined]  # of a socket's transport


async def crowd(planner: PlannerProcess, data: Callable[[int], bytes]) -> list[ClientConnection]:
    """Let clients join with different numbers, and then send data in pieces, all at the same time."""
    clients = [await planner.connect() for _ in range(CLIENTS)]
    for number, client in enumerate(clients):
        client.writer.write(join_line(number))
        stop_reading(client)
    await asyncio.gather(*(send_in_pieces(client, data(number)) for number, client in enumerate(clients)))
    return clients


def peak_memory_mb(planner: PlannerProcess) -> float:
    status = Path(f"/proc/{planner.process.pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM")) / 1024


@pytest.mark.parametrize("memory_mb", [64, 128])
@pytest.mark.parametrize("data", [incomplete_line, short_fields, joins, pings])
def test_memory_limit_holds_with_all_descriptors_in_use(
    tmp_path: Path, data: Callable[[int], bytes], memory_mb: int
) -> None:
    """Guards against a planner that is killed for memory by clients that send slowly, stop half way or never read."""

    async def work() -> None:
        limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": SOCKETS}
        settings = config("127.0.0.1:1")["settings"]
        settings["family_info"]["agents"] = CLIENTS + 1
        async with running_planner(tmp_path, limits=limits, settings=settings) as planner:
            clients = await crowd(planner, data)
            proxy = await planner.join_proxy(CLIENTS)
            await proxy.wait_until(serves_exactly(set(planner.discovery.instances)))
            assert peak_memory_mb(planner) < memory_mb
            for client in clients:
                client.close()

    run_async(work())
