"""Relay processes between a discovery service and a planner, started with the command line of operators."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from fake_services import ROOT, FaultyDiscovery, config, free_port
from planner_process import MAX_WAIT_S, PlannerProcess, run_async, send_signal, serves_exactly, started_planner
from scripted_discovery import ScriptedDiscovery

from stackwheel.cells.plan import Cell, Limits, Plan, Relay
from stackwheel.cells.plan_file import encode_plan
from stackwheel.service.relay import RelayService
from stackwheel.service.relay_config import RelayConfig, load_assignment
from stackwheel.wire import timing
from stackwheel.wire.discovery_protocol import INSTANCES_PATH
from stackwheel.wire.http import Call, CallError, get

MAX_WAIT_MS = MAX_WAIT_S * 1000.0
MAX_OPEN_WATCHES = 2  # a watch, and its renewal if that is due just then
HOSTS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")


def plan(*services: str, relays: int = 2, port: int = 0) -> Plan:
    """Build a plan with one cell for each service, at free ports unless a port is passed."""
    cells = [Cell(name, name, (), 0, 1, port or free_port()) for name in services]
    return Plan(1, Limits(), {}, tuple(Relay(f"relay-{n}", HOSTS[n]) for n in range(relays)), tuple(cells))


class RelayProcess:
    def __init__(self, folder: Path, number: int, upstream: str) -> None:
        self.folder = folder
        self.number = number
        self.path = folder / f"relay-{number}.cue"
        self.path.write_text(f'relay: {{on: true, name: "relay-{number}", upstream: "{upstream}"}}\n')

    async def start(self) -> RelayProcess:
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "stackwheel", "relay", "--operators", str(self.path)),
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        return self

    def address(self, port: int) -> str:
        return f"{HOSTS[self.number]}:{port}"

    async def wait_for_status(self, port: int, status: int) -> None:
        """Wait until a request for the endpoint list is answered with this HTTP status."""
        async with asyncio.timeout(MAX_WAIT_S):
            while True:
                try:
                    await get(self.address(port), INSTANCES_PATH, 1000.0, 1000.0)
                    actual = 200
                except CallError as error:
                    actual = error.status
                if actual == status:
                    return
                assert self.process.returncode is None, await self.log()
                await asyncio.sleep(0.02)

    async def wait_for_log(self, text: str) -> None:
        assert self.process.stderr is not None
        while text not in (line := (await asyncio.wait_for(self.process.stderr.readline(), MAX_WAIT_S)).decode()):
            assert line, f"the log ended before {text!r}"

    async def log(self) -> str:
        assert self.process.stderr is not None
        return (await asyncio.wait_for(self.process.stderr.read(), MAX_WAIT_S)).decode()

    async def stop(self, number: int = signal.SIGTERM) -> int:
        send_signal(self.process, number)
        return await asyncio.wait_for(self.process.wait(), MAX_WAIT_S)


@contextlib.asynccontextmanager
async def relays(folder: Path, discovery: FaultyDiscovery, cell_plan: Plan) -> AsyncIterator[list[RelayProcess]]:
    (folder / "cells.json").write_bytes(encode_plan(cell_plan))
    processes = [RelayProcess(folder, number, discovery.address) for number in range(len(cell_plan.relays))]
    try:
        for relay in processes:
            await relay.start()
        yield processes
    finally:
        for relay in processes:
            if relay.process.returncode is None:
                relay.process.kill()
                await relay.process.wait()


async def start_discovery(servers: int) -> FaultyDiscovery:
    discovery = FaultyDiscovery()
    await discovery.start()
    for number in range(servers):
        discovery.add(f"s-{number}", f"127.0.0.1:{9000 + number}", "east")
    discovery.add("t-0", "127.0.0.1:9100", "east")
    return discovery


async def read_to_end(watch: Call) -> None:
    """Read a watch until it ends or fails."""
    with contextlib.suppress(CallError):
        while await watch.read_chunk(2 * timing.WATCH_SILENCE_TIMEOUT_MS) is not None:
            pass


def test_a_planner_fails_over_to_the_other_replica_and_back(tmp_path: Path) -> None:
    async def scenario() -> None:
        discovery = await start_discovery(4)
        cell_plan = plan("s")
        port = cell_plan.cells[0].port
        async with relays(tmp_path, discovery, cell_plan) as (first, second):
            for relay in (first, second):
                await relay.wait_for_status(port, 200)
            settings = config(f"{first.address(port)},{second.address(port)}")
            command = (sys.executable, "-m", "stackwheel")
            async with started_planner(settings, tmp_path, discovery, command) as planner:
                await check_failover_in_both_directions(planner, discovery, first, second, port)

    run_async(scenario())


async def check_failover_in_both_directions(
    planner: PlannerProcess, discovery: FaultyDiscovery, first: RelayProcess, second: RelayProcess, port: int
) -> None:
    proxy = await planner.join_proxy(0)
    await proxy.wait_until(serves_exactly({"s-0", "s-1", "s-2", "s-3"}))  # the servers of its own cell only
    await asyncio.sleep(timing.HEARTBEAT_INTERVAL_MS / 1000.0)  # after this time a watch is resumed without delay
    await first.stop(signal.SIGKILL)
    await discovery.update("s-0", lifecycle="terminating")
    await proxy.wait_until(serves_exactly({"s-1", "s-2", "s-3"}))
    await first.start()
    await first.wait_for_status(port, 200)
    await asyncio.sleep(timing.HEARTBEAT_INTERVAL_MS / 1000.0)
    await discovery.update("s-0", lifecycle="terminated")
    await second.stop(signal.SIGKILL)
    await discovery.update("s-1", lifecycle="terminated")
    await proxy.wait_until(serves_exactly({"s-2", "s-3"}))
    code, log = await planner.stop()
    failures = [line for line in log.splitlines() if "discovery call failed" in line]
    assert code == 0, log
    failed_replicas = [
        relay for line in failures for relay in (first, second) if f" address={relay.address(port)} " in line
    ]
    assert len(failed_replicas) == len(failures), log
    calls_by_replica = [(relay, len(list(calls))) for relay, calls in itertools.groupby(failed_replicas)]
    assert [relay for relay, _ in calls_by_replica] == [first, second], log
    assert all(calls <= MAX_OPEN_WATCHES for _, calls in calls_by_replica), log
    assert all("trying the next replica" in line for line in failures), log


def test_a_relay_is_available_only_while_its_upstream_is_alive(tmp_path: Path) -> None:
    async def scenario() -> None:
        discovery = await start_discovery(2)
        cell_plan = plan("s")
        port = cell_plan.cells[0].port
        host, _, upstream_port = discovery.address.rpartition(":")
        async with relays(tmp_path, discovery, cell_plan) as (first, _):
            await first.wait_for_status(port, 200)
            watch = Call(first.address(port), f"{INSTANCES_PATH}?follow=1")
            await watch.open(MAX_WAIT_MS, MAX_WAIT_MS)
            await discovery.stop()
            await read_to_end(watch)
            watch.close()
            await first.wait_for_status(port, 503)
            await discovery.server.wait_closed()
            discovery.server = await asyncio.start_server(discovery.serve, host, int(upstream_port))
            await discovery.update("s-0", lifecycle="terminated")
            await first.wait_for_status(port, 200)
            body = await get(first.address(port), INSTANCES_PATH, MAX_WAIT_MS, MAX_WAIT_MS)
            assert isinstance(body, bytes)
            assert b"s-1" in body
            assert b"s-0" not in body
            assert await first.stop() == 0
            assert "Traceback" not in await first.log()

    run_async(scenario())


def test_a_plan_is_reloaded_and_an_invalid_one_changes_nothing(tmp_path: Path) -> None:
    async def scenario() -> None:
        discovery = await start_discovery(2)
        cell_plan = plan("s")
        port = cell_plan.cells[0].port
        async with relays(tmp_path, discovery, cell_plan) as (first, second):
            await first.wait_for_status(port, 200)
            await second.wait_for_status(port, 200)  # the second relay has to run before it can be stopped
            watch = Call(first.address(port), f"{INSTANCES_PATH}?follow=1")
            await watch.open(MAX_WAIT_MS, MAX_WAIT_MS)
            first_answer = await watch.read_chunk(MAX_WAIT_MS)
            assert isinstance(first_answer, bytes)
            assert b"s-1" in first_answer
            (tmp_path / "cells.json").write_bytes(encode_plan(cell_plan)[:200])
            send_signal(first.process, signal.SIGHUP)
            await first.wait_for_log("cell plan not reloaded, keeping the current plan")
            await first.wait_for_status(port, 200)
            other = free_port()
            moved_cells = (Cell("t", "t", (), 0, 1, port), Cell("s", "s", (), 0, 1, other))
            (tmp_path / "cells.json").write_bytes(encode_plan(Plan(1, Limits(), {}, cell_plan.relays, moved_cells)))
            send_signal(first.process, signal.SIGHUP)
            await first.wait_for_log("cell plan reloaded: count=2")
            for served, name in ((port, b"t-0"), (other, b"s-0")):
                body = await get(first.address(served), INSTANCES_PATH, MAX_WAIT_MS, MAX_WAIT_MS)
                assert isinstance(body, bytes)
                assert name in body
                assert body.count(b"instanceId") == (2 if served == other else 1)
            other_cells = (Cell("u", "u", (), 0, 1, port),)
            (tmp_path / "cells.json").write_bytes(encode_plan(Plan(1, Limits(), {}, cell_plan.relays, other_cells)))
            send_signal(first.process, signal.SIGHUP)
            await read_to_end(watch)
            watch.close()
            assert await first.stop() == 0
            assert await second.stop() == 0

    run_async(scenario())


def test_a_heartbeat_of_the_upstream_counts_as_a_sign_of_life(tmp_path: Path) -> None:
    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        (tmp_path / "cells.json").write_bytes(encode_plan(plan("s")))
        assignment = load_assignment("relay-0", tmp_path / "cells.json")
        service = RelayService(RelayConfig("relay-0", discovery.address, tmp_path / "cells.json"), assignment, 100)
        upstream_task = asyncio.create_task(service.upstream.run())
        watch = await discovery.calls.get()
        watch.send_list(5, True, "s-1")
        while service.cache.generation is None:
            await asyncio.sleep(0)
        listed_at = service.cache.upstream.last_seen_at
        watch.send_heartbeat()
        while service.cache.upstream.last_seen_at == listed_at:
            await asyncio.sleep(0)
        upstream_task.cancel()

    run_async(asyncio.wait_for(scenario(), 15))


@pytest.mark.parametrize(
    ("record", "expected"),
    [
        ("relay: on: false", "relay.on is false, so no relay is enabled"),
        ('relay: {on: true, name: "other", upstream: "127.0.0.1:1"}', "no relay is named 'other'"),
        ('relay: {on: true, name: "relay-0", upstream: "nowhere"}', "relay.upstream: not host:port"),
        ('relay: {on: true, name: "relay-0", upstream: "127.0.0.1:1", plan: "none.json"}', "none.json"),
        ('relay: {on: true, name: "relay-0", upstream: "127.0.0.1:1", plan: "cut.json"}', "cut.json"),
        ("relay: {on: 7}", "bad.cue"),
        ('relay: {on: true, name: "relay-1", upstream: "127.0.0.1:1"}', "address"),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line_with_its_location(
    tmp_path: Path, record: str, expected: str
) -> None:
    cell_plan = plan("s")
    (tmp_path / "cells.json").write_bytes(
        encode_plan(Plan(1, Limits(), {}, (Relay("relay-0", HOSTS[0]), Relay("relay-1", "192.0.2.1")), cell_plan.cells))
    )
    (tmp_path / "cut.json").write_bytes(encode_plan(cell_plan)[:200])
    (tmp_path / "bad.cue").write_text(record + "\n")
    command = [sys.executable, "-m", "stackwheel", "relay", "--operators", str(tmp_path / "bad.cue")]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=MAX_WAIT_S, check=False)
    assert completed.returncode == 2, completed.stderr
    assert expected in completed.stderr, completed.stderr
    assert len(completed.stderr.splitlines()) == 1, completed.stderr


CROWD = 300
LARGE_BODY = b"POST /registry/instances HTTP/1.1\r\nHost: relay\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 300_000
MAX_PEAK_MB = 64.0


async def send_and_stop(address: str, port: int) -> asyncio.StreamWriter:
    """Send most of a large request, until the relay reads no more of it or has closed the connection."""
    _, writer = await asyncio.open_connection(address, port)
    writer.write(LARGE_BODY)
    with contextlib.suppress(ConnectionError, TimeoutError):
        await asyncio.wait_for(writer.drain(), timing.RESPONSE_TIMEOUT_MS / 1000.0)
    return writer


def test_large_requests_that_stop_half_way_need_little_memory(tmp_path: Path) -> None:
    """Guards against a relay that is killed for memory by many clients that send parts of large requests."""

    async def scenario() -> None:
        discovery = await start_discovery(4)
        cell_plan = plan("s")
        port = cell_plan.cells[0].port
        async with relays(tmp_path, discovery, cell_plan) as (relay, _):
            await relay.wait_for_status(port, 200)
            writers = await asyncio.gather(*(send_and_stop(HOSTS[0], port) for _ in range(CROWD)))
            await relay.wait_for_status(port, 200)
            status = Path(f"/proc/{relay.process.pid}/status").read_text()
            peak_kib = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
            assert peak_kib / 1024 < MAX_PEAK_MB
            for writer in writers:
                writer.transport.abort()

    run_async(scenario())


def test_a_planner_process_imports_no_module_or_library_that_only_relays_use() -> None:
    program = "import sys, stackwheel.__main__, stackwheel.service.app, stackwheel.service.config; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    ).stdout.split()
    forbidden = (
        "stackwheel.relay",
        "stackwheel.cells",
        "stackwheel.wire.endpoint_",
        "msgspec",
        "xxhash",
        "lark",
        "click",
    )
    assert "stackwheel.wire.discovery_client" in loaded
    assert [name for name in loaded if name.startswith(forbidden)] == []
