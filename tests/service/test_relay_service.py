"""Relay processes between a registry and a planner, as operators start them."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
from fake_services import ROOT, Discovery, config, free_port
from planner_process import MOST, PlannerProcess, full, run, send, started
from scripted_discovery import ScriptedDiscovery

from stackwheel.cells.plan import Cell, Limits, Plan, Relay
from stackwheel.cells.plan_file import encode_plan
from stackwheel.service.relay import RelayConfig, RelayService, load_serving
from stackwheel.wire import timing
from stackwheel.wire.discovery_client import PATH
from stackwheel.wire.http import Call, CallFailed, get

MOST_MS = MOST * 1000.0
HOSTS = ("127.0.1.1", "127.0.1.2", "127.0.1.3")


def plan(*services: str, relays: int = 2, port: int = 0) -> Plan:
    """A cell a service, at ports that are free."""
    cells = [Cell(name, name, (), 0, 1, port or free_port()) for name in services]
    return Plan(1, Limits(), {}, tuple(Relay(f"relay-{n}", HOSTS[n]) for n in range(relays)), tuple(cells))


class RelayProcess:
    def __init__(self, folder: Path, number: int, upstream: str) -> None:
        self.folder, self.number = folder, number
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

    async def answers(self, port: int, status: int) -> None:
        """Until a call for the list gets this status."""
        async with asyncio.timeout(MOST):
            while True:
                found = await get(self.address(port), PATH, 1000.0, 1000.0)
                if (found.status if isinstance(found, CallFailed) else 200) == status:
                    return
                assert self.process.returncode is None, await self.log()
                await asyncio.sleep(0.02)

    async def logged(self, words: str) -> None:
        assert self.process.stderr is not None
        while words not in (line := (await asyncio.wait_for(self.process.stderr.readline(), MOST)).decode()):
            assert line, f"the log ended before {words!r}"

    async def log(self) -> str:
        assert self.process.stderr is not None
        return (await asyncio.wait_for(self.process.stderr.read(), MOST)).decode()

    async def stop(self, number: int = signal.SIGTERM) -> int:
        send(self.process, number)
        return await asyncio.wait_for(self.process.wait(), MOST)


@contextlib.asynccontextmanager
async def relays(folder: Path, registry: Discovery, found: Plan) -> AsyncIterator[list[RelayProcess]]:
    (folder / "cells.json").write_bytes(encode_plan(found))
    processes = [RelayProcess(folder, number, registry.address) for number in range(len(found.relays))]
    try:
        for one in processes:
            await one.start()
        yield processes
    finally:
        for one in processes:
            if one.process.returncode is None:
                one.process.kill()
                await one.process.wait()


async def registry_of(servers: int) -> Discovery:
    found = Discovery()
    await found.start()
    for number in range(servers):
        found.add(f"s-{number}", f"127.0.0.1:{9000 + number}", "east")
    found.add("t-0", "127.0.0.1:9100", "east")
    return found


def test_a_planner_goes_from_a_relay_that_dies_to_its_twin_and_back(tmp_path: Path) -> None:
    async def work() -> None:
        registry, found = await registry_of(4), plan("s")
        port = found.cells[0].port
        async with relays(tmp_path, registry, found) as (first, second):
            for one in (first, second):
                await one.answers(port, 200)
            settings = config(f"{first.address(port)},{second.address(port)}")
            command = (sys.executable, "-m", "stackwheel")
            async with started(settings, tmp_path, registry, command) as planner:
                await follow(planner, registry, first, second, port)

    run(work())


async def follow(
    planner: PlannerProcess, registry: Discovery, first: RelayProcess, second: RelayProcess, port: int
) -> None:
    proxy = await planner.join(0)
    await proxy.until(full({"s-0", "s-1", "s-2", "s-3"}))  # of its cell alone
    await asyncio.sleep(timing.HEARTBEAT_INTERVAL_MS / 1000.0)  # a watch that has held so long is gone on with at once
    await first.stop(signal.SIGKILL)
    await registry.update("s-0", lifecycle="terminating")
    await proxy.until(full({"s-1", "s-2", "s-3"}))
    await first.start()
    await first.answers(port, 200)
    await asyncio.sleep(timing.HEARTBEAT_INTERVAL_MS / 1000.0)
    await registry.update("s-0", lifecycle="terminated")
    await second.stop(signal.SIGKILL)
    await registry.update("s-1", lifecycle="terminated")
    await proxy.until(full({"s-2", "s-3"}))
    code, log = await planner.stop()
    failures = [line for line in log.splitlines() if " failed at " in line]
    assert code == 0 and len(failures) == 2 and all("the next one" in line for line in failures), log


def test_a_relay_vouches_only_while_it_hears_the_registry(tmp_path: Path) -> None:
    async def work() -> None:
        registry, found = await registry_of(2), plan("s")
        port = found.cells[0].port
        host, _, upstream_port = registry.address.rpartition(":")
        async with relays(tmp_path, registry, found) as (first, _):
            await first.answers(port, 200)
            watch = Call(first.address(port), f"{PATH}?follow=1")
            assert await watch.open(MOST_MS, MOST_MS) is None
            await registry.shut()
            while isinstance(await watch.chunk(2 * timing.WATCH_SILENCE_TIMEOUT_MS), bytes):
                pass
            watch.close()
            await first.answers(port, 503)
            await registry.server.wait_closed()
            registry.server = await asyncio.start_server(registry.serve, host, int(upstream_port))
            await registry.update("s-0", lifecycle="terminated")
            await first.answers(port, 200)
            body = await get(first.address(port), PATH, MOST_MS, MOST_MS)
            assert isinstance(body, bytes)
            assert b"s-1" in body
            assert b"s-0" not in body
            assert await first.stop() == 0
            assert "Traceback" not in await first.log()

    run(work())


def test_a_plan_is_read_again_and_a_bad_one_changes_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        registry, found = await registry_of(2), plan("s")
        port = found.cells[0].port
        async with relays(tmp_path, registry, found) as (first, second):
            await first.answers(port, 200)
            await second.answers(port, 200)  # up before it is told to end
            watch = Call(first.address(port), f"{PATH}?follow=1")
            assert await watch.open(MOST_MS, MOST_MS) is None
            assert b"s-1" in await watch.chunk(MOST_MS)
            (tmp_path / "cells.json").write_bytes(encode_plan(found)[:200])
            send(first.process, signal.SIGHUP)
            await first.logged("plan not reloaded, the old one holds")
            await first.answers(port, 200)
            other = free_port()
            moved = (Cell("t", "t", (), 0, 1, port), Cell("s", "s", (), 0, 1, other))
            (tmp_path / "cells.json").write_bytes(encode_plan(Plan(1, Limits(), {}, found.relays, moved)))
            send(first.process, signal.SIGHUP)
            await first.logged("plan reloaded: 2 cells")
            for served, name in ((port, b"t-0"), (other, b"s-0")):
                body = await get(first.address(served), PATH, MOST_MS, MOST_MS)
                assert isinstance(body, bytes)
                assert name in body
                assert body.count(b"instanceId") == (2 if served == other else 1)
            away = (Cell("u", "u", (), 0, 1, port),)
            (tmp_path / "cells.json").write_bytes(encode_plan(Plan(1, Limits(), {}, found.relays, away)))
            send(first.process, signal.SIGHUP)
            while isinstance(await watch.chunk(2 * timing.WATCH_SILENCE_TIMEOUT_MS), bytes):
                pass
            watch.close()
            assert await first.stop() == 0
            assert await second.stop() == 0

    run(work())


def test_an_empty_line_of_the_registry_vouches(tmp_path: Path) -> None:
    async def work() -> None:
        registry = await ScriptedDiscovery().start()
        (tmp_path / "cells.json").write_bytes(encode_plan(plan("s")))
        serving = load_serving("relay-0", tmp_path / "cells.json")
        service = RelayService(RelayConfig("relay-0", registry.address, tmp_path / "cells.json"), serving, 100)
        following = asyncio.create_task(service.upstream.run())
        watch = await registry.calls.get()
        watch.line(5, True, "s-1")
        while service.cache.generation is None:
            await asyncio.sleep(0)
        listed_at = service.cache.contact.heard_at
        watch.tell(b"\n")
        while service.cache.contact.heard_at == listed_at:
            await asyncio.sleep(0)
        following.cancel()

    run(asyncio.wait_for(work(), 15))


@pytest.mark.parametrize(
    ("record", "named"),
    [
        ("relay: on: false", "relay.on is false"),
        ('relay: {on: true, name: "other", upstream: "127.0.0.1:1"}', "none is named 'other'"),
        ('relay: {on: true, name: "relay-0", upstream: "nowhere"}', "relay.upstream is no address"),
        ('relay: {on: true, name: "relay-0", upstream: "127.0.0.1:1", plan: "none.json"}', "none.json"),
        ('relay: {on: true, name: "relay-0", upstream: "127.0.0.1:1", plan: "cut.json"}', "cut.json"),
        ("relay: {on: 7}", "bad.cue"),
        ('relay: {on: true, name: "relay-1", upstream: "127.0.0.1:1"}', "address"),
    ],
)
def test_bad_input_is_one_line_that_names_the_place(tmp_path: Path, record: str, named: str) -> None:
    found = plan("s")
    (tmp_path / "cells.json").write_bytes(
        encode_plan(Plan(1, Limits(), {}, (Relay("relay-0", HOSTS[0]), Relay("relay-1", "192.0.2.1")), found.cells))
    )
    (tmp_path / "cut.json").write_bytes(encode_plan(found)[:200])
    (tmp_path / "bad.cue").write_text(record + "\n")
    command = [sys.executable, "-m", "stackwheel", "relay", "--operators", str(tmp_path / "bad.cue")]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=MOST, check=False)
    assert ended.returncode == 2 and named in ended.stderr and len(ended.stderr.splitlines()) == 1, ended.stderr


def test_the_plain_planner_imports_nothing_of_it() -> None:
    """Nor the libraries that only a relay needs."""
    program = "import sys, stackwheel.__main__, stackwheel.service.app, stackwheel.service.config; print(*sys.modules)"
    loaded = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    ).stdout.split()
    unwanted = ("stackwheel.relay", "stackwheel.cells", "stackwheel.wire.listing", "msgspec", "xxhash", "lark", "click")
    assert "stackwheel.wire.discovery_client" in loaded
    assert [name for name in loaded if name.startswith(unwanted)] == []
