"""Reload of the configuration on SIGHUP: changes, keys that require a restart, invalid files and process stops."""

import asyncio
import json
import signal
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from fake_services import FaultyDiscovery, config, free_port
from planner_process import (
    MAX_WAIT_S,
    PlannerProcess,
    deployed_command,
    run_async,
    running_planner,
    send_signal,
    serves_exactly,
    started_planner,
    wait_for_signal_state,
)

from stackwheel.endpoints import EndpointList
from stackwheel.service.config import read_config
from stackwheel.service.reload import Reload
from stackwheel.state.messages import EndpointListFailed
from stackwheel.wire.discovery_client import DiscoveryClient
from stackwheel.wire.discovery_commands import ChangeAddress, Command
from stackwheel.wire.transport import Addresses


async def start_discovery(*servers: str, generation: int = 1) -> FaultyDiscovery:
    discovery = FaultyDiscovery()
    await discovery.start()
    discovery.generation = generation
    for number, name in enumerate(servers):
        discovery.add(name, f"127.0.0.1:{9100 + number}", "east")
    return discovery


def reload(planner: PlannerProcess, folder: Path, text: str | None = None, **changed: Any) -> None:
    planner.config.update(changed)
    (folder / "config.json").write_text(json.dumps(planner.config) if text is None else text)
    send_signal(planner.process, signal.SIGHUP)


async def wait_for_log(planner: PlannerProcess, text: str) -> None:
    """Read the log up to a line that contains a text; `stop` does not return the lines read here."""
    assert planner.process.stderr is not None
    while text not in (line := (await asyncio.wait_for(planner.process.stderr.readline(), MAX_WAIT_S)).decode()):
        assert line, f"the log ended before {text!r}"


def test_proxies_stay_connected_when_the_discovery_address_changes(tmp_path: Path) -> None:
    """The first response replaces the whole list at any generation, and the old address is no longer watched."""

    async def work() -> None:
        second = await start_discovery("s-0", "s-1", "s-9", generation=7)
        async with running_planner(tmp_path) as planner:
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly({"s-0", "s-1", "s-2", "s-3"}))
            proxy.tables.servers.add("s-9")
            reload(planner, tmp_path, discovery=second.address)
            await proxy.wait_until(serves_exactly({"s-0", "s-1", "s-9"}))
            await planner.discovery.stop()
            await second.update("s-1", lifecycle="terminated")
            await proxy.wait_until(serves_exactly({"s-0", "s-9"}))
            code, log = await planner.stop()
            assert code == 0
            assert "failed" not in log
            assert "closed" not in log
            assert "Traceback" not in log
            assert "configuration reloaded: kind=discovery" in log
            assert second.calls == ["served"]

    run_async(work())


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ("{", "not valid JSON"),
        ("[]", "not a JSON object"),
        ("{}", "settings: missing"),
        (
            '{"settings": {"instances": 2, "me": 2}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1"}',
            "settings.me: index 2 is out of range for 2 instances",
        ),
        (
            '{"settings": {"instances": 2}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", '
            '"peers": ["127.0.0.1:1"]}',
            "1 addresses for 2 instances, expected one for each",
        ),
        ('{"settings": {"me": 0}, "listen": "127.0.0.1:1", "discovery": "nowhere"}', "discovery: not host:port"),
    ],
)
def test_an_invalid_file_is_logged_once_and_changes_nothing(tmp_path: Path, text: str, problem: str) -> None:
    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly({"s-0", "s-1", "s-2", "s-3"}))
            reload(planner, tmp_path, text)
            await wait_for_log(planner, "configuration not reloaded")
            await planner.discovery.update("s-3", lifecycle="terminated")
            await proxy.wait_until(serves_exactly({"s-0", "s-1", "s-2"}))
            reload(planner, tmp_path, text)
            await asyncio.sleep(0.2)
            code, log = await planner.stop()
            assert code == 0
            assert log.count(problem) == 1
            assert "Traceback" not in log

    run_async(work())


def test_changed_keys_that_require_a_restart_are_logged_and_the_others_applied(tmp_path: Path) -> None:
    async def work() -> None:
        second = await start_discovery("s-0", "s-9")
        async with running_planner(tmp_path) as planner:
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly({"s-0", "s-1", "s-2", "s-3"}))
            proxy.tables.servers.add("s-9")
            listen, settings = planner.config["listen"], {**planner.config["settings"], "tick": 3.0}
            reload(
                planner,
                tmp_path,
                discovery=second.address,
                settings=settings,
                listen=f"127.0.0.1:{free_port()}",
                limits={"memory_mb": 64, "sockets": 512},
            )
            await proxy.wait_until(serves_exactly({"s-0", "s-9"}))
            planner.config["listen"] = listen
            await planner.wait_ready()
            _, log = await planner.stop()
            assert "configuration change needs a restart: kind=listen,settings" in log
            assert "configuration reloaded: kind=discovery,sockets" in log

    run_async(work())


def test_two_consecutive_reloads_and_a_stop_during_a_third(tmp_path: Path) -> None:
    async def work() -> None:
        second, third = await start_discovery("s-0", "s-8"), await start_discovery("s-0", "s-9")
        second.faults = ["no response"]  # the call is still open at the next reload
        async with running_planner(tmp_path) as planner:
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly({"s-0", "s-1", "s-2", "s-3"}))
            proxy.tables.servers |= {"s-8", "s-9"}
            reload(planner, tmp_path, discovery=second.address)
            while not second.calls:
                await asyncio.sleep(0.01)
            reload(planner, tmp_path, discovery=third.address)
            await proxy.wait_until(serves_exactly({"s-0", "s-9"}))
            reload(planner, tmp_path, discovery=second.address)
            send_signal(planner.process, signal.SIGTERM)
            code, log = await planner.stop()
            assert code == 0
            assert "Traceback" not in log
            assert "failed" not in log

    run_async(work())


def test_the_old_discovery_address_is_used_until_the_new_one_answers(tmp_path: Path) -> None:
    async def work() -> None:
        second = await start_discovery("s-0", "s-9")
        second.faults = ["503"]
        async with running_planner(tmp_path) as planner:
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly({"s-0", "s-1", "s-2", "s-3"}))
            proxy.tables.servers.add("s-9")
            reload(planner, tmp_path, discovery=second.address)
            while not second.calls:
                await asyncio.sleep(0.01)
            await planner.discovery.update("s-3", lifecycle="terminated")  # sent by the old address
            await proxy.wait_until(serves_exactly({"s-0", "s-1", "s-2"}))
            await proxy.wait_until(serves_exactly({"s-0", "s-9"}))
            assert second.calls == ["503", "served"]

    run_async(work())


def test_sighup_during_the_start_does_not_end_the_process(tmp_path: Path) -> None:
    """SIGHUP is blocked at the start of `main`, and handled once the planner is ready."""

    async def work() -> None:
        discovery = FaultyDiscovery()
        await discovery.start()
        command = sys.executable, "-m", "stackwheel"
        async with started_planner(config(discovery.address), tmp_path, discovery, command) as planner:
            await wait_for_signal_state(planner.process, "SigBlk", signal.SIGHUP)
            send_signal(planner.process, signal.SIGHUP)
            await planner.wait_ready()
            code, log = await planner.stop()
            assert code == 0
            assert "configuration reloaded: kind=unchanged" in log

    run_async(work())


def test_sighup_before_the_start_of_main_does_not_end_the_process(tmp_path: Path) -> None:
    """The deploy file's command ignores SIGHUP while the interpreter starts, before the program can block it."""

    async def work() -> None:
        discovery = FaultyDiscovery()
        await discovery.start()
        async with started_planner(config(discovery.address), tmp_path, discovery, deployed_command()) as planner:
            await asyncio.wait_for(wait_for_signal_state(planner.process, "SigIgn", signal.SIGHUP), MAX_WAIT_S)
            ready = asyncio.create_task(planner.wait_ready())
            while not ready.done():
                send_signal(planner.process, signal.SIGHUP)
                await asyncio.sleep(0.001)
            await ready
            code, log = await planner.stop()
            assert code == 0
            assert "Traceback" not in log
            assert "configuration reloaded: kind=unchanged" in log

    run_async(work())


def test_an_incompletely_written_file_is_read_again(tmp_path: Path) -> None:
    """The signal arrives before the file is complete, and no second signal follows."""

    async def work() -> None:
        second = await start_discovery("s-0", "s-9")
        async with running_planner(tmp_path) as planner:
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly({"s-0", "s-1", "s-2", "s-3"}))
            proxy.tables.servers.add("s-9")
            planner.config["discovery"] = second.address
            text = json.dumps(planner.config)
            reload(planner, tmp_path, text[: len(text) // 2])
            await wait_for_log(planner, "configuration not reloaded")
            (tmp_path / "config.json").write_text(text)
            await proxy.wait_until(serves_exactly({"s-0", "s-9"}))
            code, log = await planner.stop()
            assert code == 0
            assert "Traceback" not in log

    run_async(work())


@pytest.mark.parametrize("stop_phase", ["first line", "ready", "many joins", "reload", "twice", "discovery silent"])
def test_a_stop_signal_in_any_phase_ends_the_process_with_exit_code_0(tmp_path: Path, stop_phase: str) -> None:
    async def work() -> None:
        discovery = FaultyDiscovery()
        await discovery.start()
        discovery.faults = ["no response"] * 3 if stop_phase == "discovery silent" else []
        async with started_planner(config(discovery.address), tmp_path, discovery, deployed_command()) as planner:
            await wait_for_signal_state(planner.process, "SigCgt", signal.SIGTERM)
            if stop_phase != "first line":
                await planner.wait_ready()
            if stop_phase == "many joins":
                connections = [await planner.connect() for _ in range(60)]
                for number, connection in enumerate(connections):
                    connection.send_lines(f"SUBSCRIBE id={number % 8} site=east rps=5 new=0")
            if stop_phase == "reload":
                send_signal(planner.process, signal.SIGHUP)
            send_signal(planner.process, signal.SIGTERM)
            if stop_phase == "twice":
                send_signal(planner.process, signal.SIGTERM)
            code, log = await planner.stop()
            assert code == 0
            assert "Traceback" not in log

    run_async(work())


def test_an_unexpected_error_during_a_reload_does_not_prevent_the_next_reload() -> None:
    """An error that ends the reload task would leave later SIGHUP signals without effect."""

    async def work() -> None:
        in_force = read_config(config("127.0.0.1:1"))
        applied: list[str] = []

        def apply(addresses: Addresses) -> None:
            applied.append(addresses.discovery)
            if len(applied) == 1:
                raise RuntimeError("unexpected")

        changed_config = replace(in_force, addresses=replace(in_force.addresses, discovery="127.0.0.1:2"))
        reload_actor = Reload(in_force, apply, lambda: changed_config)
        task = asyncio.create_task(reload_actor.run())
        for count in (1, 2):
            reload_actor.request()
            while len(applied) < count:
                await asyncio.sleep(0)
        assert not task.done()
        task.cancel()

    run_async(work())


class ClientHarness:
    """A discovery client that runs in the process of the test and records what it posts."""

    def __init__(self, address: str, generation: int = 0) -> None:
        self.posted: list[EndpointList | EndpointListFailed] = []
        self.discovery_client = DiscoveryClient(address, generation, self.posted.append)
        self.task = asyncio.create_task(self.discovery_client.run())

    async def wait_for_posts(self, count: int) -> None:
        while len(self.posted) < count:
            await asyncio.sleep(0.005)

    def posted_list(self, index: int) -> tuple[int, bool, set[str]]:
        endpoint_list = self.posted[index]
        assert isinstance(endpoint_list, EndpointList)
        return endpoint_list.generation, endpoint_list.complete, {i.name for i in endpoint_list.instances}


def test_after_an_address_change_an_older_list_is_used_once_it_has_caught_up() -> None:
    async def work() -> None:
        first, second = await start_discovery("a", "b", generation=8), await start_discovery("a", "b", generation=7)
        client = ClientHarness(first.address)
        client.discovery_client.send(Command.WATCH)
        await client.wait_for_posts(1)
        await first.update("b", lifecycle="terminated")
        await client.wait_for_posts(2)
        client.discovery_client.send(ChangeAddress(second.address))
        while not second.calls:
            await asyncio.sleep(0.005)
        await second.update("a")
        await second.update("b", lifecycle="terminated")
        await client.wait_for_posts(3)
        assert [client.posted_list(index)[:2] for index in range(3)] == [(8, True), (9, False), (9, True)]
        assert {
            i.name
            for i in client.posted[2].instances  # type: ignore[union-attr]
            if i.availability.name != "REMOVED"
        } == {"a"}
        client.task.cancel()

    run_async(work())


def test_a_delta_as_first_response_is_not_treated_as_the_complete_list() -> None:
    """If the first response of a new address is a delta, the complete list is requested as well."""

    async def work() -> None:
        first, second = await start_discovery("a"), await start_discovery("a", "b", generation=3)
        document_since = second.document
        second.document = lambda since: document_since(since if len(second.calls) > 1 else 0)  # type: ignore[method-assign]
        client = ClientHarness(first.address)
        client.discovery_client.send(Command.WATCH)
        await client.wait_for_posts(1)
        client.discovery_client.send(ChangeAddress(second.address))
        await client.wait_for_posts(2)
        assert client.posted_list(1) == (3, True, {"a", "b"})
        assert second.calls == ["served", "served"]
        client.task.cancel()

    run_async(work())


def test_an_address_change_without_a_watch_applies_to_the_next_call() -> None:
    async def work() -> None:
        first, second = await start_discovery("a"), await start_discovery("b")
        client = ClientHarness(first.address)
        client.discovery_client.send(ChangeAddress(second.address))
        client.discovery_client.send(Command.WATCH)
        await client.wait_for_posts(1)
        assert client.posted_list(0) == (1, True, {"b"})
        assert not first.calls
        await second.stop()
        await client.wait_for_posts(2)
        assert isinstance(client.posted[1], EndpointListFailed)
        client.task.cancel()

    run_async(work())
