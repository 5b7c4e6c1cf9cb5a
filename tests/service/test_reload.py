"""A new configuration under load: SIGHUP, what it changes, what it leaves, and what a bad file does."""

import asyncio
import json
import signal
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from fake_services import Discovery, config, free_port
from planner_process import MOST, PlannerProcess, full, run, run_line, running, send, signals, started

from stackwheel.endpoints import EndpointList
from stackwheel.service.config import read_config
from stackwheel.service.reload import Reload
from stackwheel.state.planner_actor import EndpointListFailed
from stackwheel.wire.discovery_client import ChangeAddress, Command, DiscoveryClient
from stackwheel.wire.transport import Addresses


async def another(*servers: str, generation: int = 1) -> Discovery:
    found = Discovery()
    await found.start()
    found.generation = generation
    for number, name in enumerate(servers):
        found.add(name, f"127.0.0.1:{9100 + number}", "east")
    return found


def reload(planner: PlannerProcess, folder: Path, text: str | None = None, **changed: Any) -> None:
    planner.config.update(changed)
    (folder / "config.json").write_text(json.dumps(planner.config) if text is None else text)
    send(planner.process, signal.SIGHUP)


async def logged(planner: PlannerProcess, words: str) -> None:
    """Read the log up to a line; what is read here is gone from what `stop` returns."""
    assert planner.process.stderr is not None
    while words not in (line := (await asyncio.wait_for(planner.process.stderr.readline(), MOST)).decode()):
        assert line, f"the log ended before {words!r}"


def test_discovery_moves_while_proxies_stay(tmp_path: Path) -> None:
    """Its first answer is the whole list, whatever its numbers; then the old address is let go."""

    async def work() -> None:
        second = await another("s-0", "s-1", "s-9", generation=7)
        async with running(tmp_path) as planner:
            proxy = await planner.join(0)
            await proxy.until(full({"s-0", "s-1", "s-2", "s-3"}))
            proxy.tables.servers.add("s-9")
            reload(planner, tmp_path, discovery=second.address)
            await proxy.until(full({"s-0", "s-1", "s-9"}))
            await planner.discovery.shut()
            await second.update("s-1", lifecycle="terminated")
            await proxy.until(full({"s-0", "s-9"}))
            code, log = await planner.stop()
            assert code == 0 and "failed" not in log and "closed" not in log and "Traceback" not in log
            assert "configuration reloaded; changed: discovery" in log
            assert second.calls == ["served"]

    run(work())


@pytest.mark.parametrize(
    ("text", "says"),
    [
        ("{", "no JSON"),
        ("[]", "not a JSON object"),
        ("{}", "'settings' is missing"),
        (
            '{"settings": {"instances": 2, "me": 2}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1"}',
            "settings.me is 2, of 2 instances",
        ),
        (
            '{"settings": {"instances": 2}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", '
            '"peers": ["127.0.0.1:1"]}',
            "1 peers for 2 instances",
        ),
        ('{"settings": {"me": 0}, "listen": "127.0.0.1:1", "discovery": "nowhere"}', "discovery is no address"),
    ],
)
def test_a_bad_file_is_one_line_and_the_old_one_holds(tmp_path: Path, text: str, says: str) -> None:
    async def work() -> None:
        async with running(tmp_path) as planner:
            proxy = await planner.join(0)
            await proxy.until(full({"s-0", "s-1", "s-2", "s-3"}))
            reload(planner, tmp_path, text)
            await logged(planner, "configuration not reloaded")
            await planner.discovery.update("s-3", lifecycle="terminated")
            await proxy.until(full({"s-0", "s-1", "s-2"}))
            reload(planner, tmp_path, text)
            await asyncio.sleep(0.2)
            code, log = await planner.stop()
            assert code == 0 and log.count(says) == 1 and "Traceback" not in log

    run(work())


def test_what_needs_a_restart_is_named_and_the_rest_applied(tmp_path: Path) -> None:
    async def work() -> None:
        second = await another("s-0", "s-9")
        async with running(tmp_path) as planner:
            proxy = await planner.join(0)
            await proxy.until(full({"s-0", "s-1", "s-2", "s-3"}))
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
            await proxy.until(full({"s-0", "s-9"}))
            planner.config["listen"] = listen
            await planner.ready()
            _, log = await planner.stop()
            assert "in force only after a restart: listen, settings" in log
            assert "changed: discovery, sockets" in log

    run(work())


def test_two_in_a_row_and_a_stop_during_one(tmp_path: Path) -> None:
    async def work() -> None:
        second, third = await another("s-0", "s-8"), await another("s-0", "s-9")
        second.troubles = ["silence"]  # the call is still open when the next file comes
        async with running(tmp_path) as planner:
            proxy = await planner.join(0)
            await proxy.until(full({"s-0", "s-1", "s-2", "s-3"}))
            proxy.tables.servers |= {"s-8", "s-9"}
            reload(planner, tmp_path, discovery=second.address)
            while not second.calls:
                await asyncio.sleep(0.01)
            reload(planner, tmp_path, discovery=third.address)
            await proxy.until(full({"s-0", "s-9"}))
            reload(planner, tmp_path, discovery=second.address)
            send(planner.process, signal.SIGTERM)
            code, log = await planner.stop()
            assert code == 0 and "Traceback" not in log and "failed" not in log

    run(work())


def test_a_new_address_that_fails_leaves_the_old_in_force(tmp_path: Path) -> None:
    async def work() -> None:
        second = await another("s-0", "s-9")
        second.troubles = ["503"]
        async with running(tmp_path) as planner:
            proxy = await planner.join(0)
            await proxy.until(full({"s-0", "s-1", "s-2", "s-3"}))
            proxy.tables.servers.add("s-9")
            reload(planner, tmp_path, discovery=second.address)
            while not second.calls:
                await asyncio.sleep(0.01)
            await planner.discovery.update("s-3", lifecycle="terminated")  # told by the old address
            await proxy.until(full({"s-0", "s-1", "s-2"}))
            await proxy.until(full({"s-0", "s-9"}))
            assert second.calls == ["503", "served"]

    run(work())


def test_a_hangup_during_the_start_is_no_end(tmp_path: Path) -> None:
    """From the first line on it waits, and counts once there is something to reload."""

    async def work() -> None:
        discovery = Discovery()
        await discovery.start()
        command = sys.executable, "-m", "stackwheel"
        async with started(config(discovery.address), tmp_path, discovery, command) as planner:
            await signals(planner.process, "SigBlk", signal.SIGHUP)
            send(planner.process, signal.SIGHUP)
            await planner.ready()
            code, log = await planner.stop()
            assert code == 0 and "configuration reloaded; changed: nothing" in log

    run(work())


def test_hangups_from_the_first_moment_on_are_no_end(tmp_path: Path) -> None:
    """Before its first line the interpreter knows no handler: a SIGHUP then ended the process."""

    async def work() -> None:
        discovery = Discovery()
        await discovery.start()
        async with started(config(discovery.address), tmp_path, discovery, run_line()) as planner:
            await asyncio.wait_for(signals(planner.process, "SigIgn", signal.SIGHUP), MOST)
            ready = asyncio.create_task(planner.ready())
            while not ready.done():
                send(planner.process, signal.SIGHUP)
                await asyncio.sleep(0.001)
            await ready
            code, log = await planner.stop()
            assert code == 0 and "Traceback" not in log and "configuration reloaded; changed: nothing" in log

    run(work())


def test_a_file_that_was_half_written_is_read_again(tmp_path: Path) -> None:
    """The signal came before its writer had ended: no second one comes."""

    async def work() -> None:
        second = await another("s-0", "s-9")
        async with running(tmp_path) as planner:
            proxy = await planner.join(0)
            await proxy.until(full({"s-0", "s-1", "s-2", "s-3"}))
            proxy.tables.servers.add("s-9")
            planner.config["discovery"] = second.address
            text = json.dumps(planner.config)
            reload(planner, tmp_path, text[: len(text) // 2])
            await logged(planner, "configuration not reloaded")
            (tmp_path / "config.json").write_text(text)
            await proxy.until(full({"s-0", "s-9"}))
            code, log = await planner.stop()
            assert code == 0 and "Traceback" not in log

    run(work())


@pytest.mark.parametrize("moment", ["first line", "ready", "crowd", "reload", "twice", "discovery silent"])
def test_a_stop_at_any_moment_is_an_end_with_0(tmp_path: Path, moment: str) -> None:
    async def work() -> None:
        discovery = Discovery()
        await discovery.start()
        discovery.troubles = ["silence"] * 3 if moment == "discovery silent" else []
        async with started(config(discovery.address), tmp_path, discovery, run_line()) as planner:
            await signals(planner.process, "SigCgt", signal.SIGTERM)
            if moment != "first line":
                await planner.ready()
            if moment == "crowd":
                crowd = [await planner.connect() for _ in range(60)]
                for number, connection in enumerate(crowd):
                    connection.say(f"SUBSCRIBE id={number % 8} site=east rps=5 new=0")
            if moment == "reload":
                send(planner.process, signal.SIGHUP)
            send(planner.process, signal.SIGTERM)
            if moment == "twice":
                send(planner.process, signal.SIGTERM)
            code, log = await planner.stop()
            assert code == 0 and "Traceback" not in log

    run(work())


def test_a_fault_while_a_file_is_applied_leaves_the_next_signal_heard() -> None:
    """The reload's task died with it, and SIGHUP did nothing any more."""

    async def work() -> None:
        found = read_config(config("127.0.0.1:1"))
        applied: list[str] = []

        def apply(addresses: Addresses) -> None:
            applied.append(addresses.discovery)
            if len(applied) == 1:
                raise RuntimeError("a defect")

        moved = replace(found, addresses=replace(found.addresses, discovery="127.0.0.1:2"))
        actor = Reload(found, apply, lambda: moved)
        task = asyncio.create_task(actor.run())
        for count in (1, 2):
            actor.request()
            while len(applied) < count:
                await asyncio.sleep(0)
        assert not task.done()
        task.cancel()

    run(work())


class Watch:
    """The list's actor in a process of the test's own."""

    def __init__(self, address: str, generation: int = 0) -> None:
        self.posted: list[EndpointList | EndpointListFailed] = []
        self.client = DiscoveryClient(address, generation, False, self.posted.append)
        self.task = asyncio.create_task(self.client.run())

    async def until(self, count: int) -> None:
        while len(self.posted) < count:
            await asyncio.sleep(0.005)

    def found(self, place: int) -> tuple[int, bool, set[str]]:
        listing = self.posted[place]
        assert isinstance(listing, EndpointList)
        return listing.generation, listing.complete, {i.name for i in listing.instances}


def test_a_list_behind_what_was_told_waits_for_its_changes() -> None:
    async def work() -> None:
        first, second = await another("a", "b", generation=8), await another("a", "b", generation=7)
        watch = Watch(first.address)
        watch.client.send(Command.WATCH)
        await watch.until(1)
        await first.update("b", lifecycle="terminated")
        await watch.until(2)
        watch.client.send(ChangeAddress(second.address))
        while not second.calls:
            await asyncio.sleep(0.005)
        await second.update("a")
        await second.update("b", lifecycle="terminated")
        await watch.until(3)
        assert [watch.found(place)[:2] for place in range(3)] == [(8, True), (9, False), (9, True)]
        assert {
            i.name
            for i in watch.posted[2].instances  # type: ignore[union-attr]
            if i.availability.name != "REMOVED"
        } == {"a"}
        watch.task.cancel()

    run(work())


def test_changes_as_a_first_answer_are_not_taken_for_the_list() -> None:
    """A discovery that tells only what changed is asked for the whole as well."""

    async def work() -> None:
        first, second = await another("a"), await another("a", "b", generation=3)
        whole = second.document
        second.document = lambda since: whole(since if len(second.calls) > 1 else 0)  # type: ignore[method-assign]
        watch = Watch(first.address)
        watch.client.send(Command.WATCH)
        await watch.until(1)
        watch.client.send(ChangeAddress(second.address))
        await watch.until(2)
        assert watch.found(1) == (3, True, {"a", "b"})
        assert second.calls == ["served", "served"]
        watch.task.cancel()

    run(work())


def test_a_move_without_a_watch_counts_for_the_next_call() -> None:
    async def work() -> None:
        first, second = await another("a"), await another("b")
        watch = Watch(first.address)
        watch.client.send(ChangeAddress(second.address))
        watch.client.send(Command.WATCH)
        await watch.until(1)
        assert watch.found(0) == (1, True, {"b"}) and not first.calls
        await second.shut()
        await watch.until(2)
        assert isinstance(watch.posted[1], EndpointListFailed)
        watch.task.cancel()

    run(work())
