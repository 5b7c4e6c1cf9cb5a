"""The example programs, used as in the README but on free ports."""

import asyncio
import contextlib
import json
import signal
import sys
from pathlib import Path

from fake_services import ROOT, config
from planner_process import MAX_WAIT_S, start_planner

from stackwheel.service.config import read_config

TEST_TIMEOUT_S = 100
CONNECT_INTERVAL_S = 0.05


async def start_example(name: str, *arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, str(ROOT / "examples" / name), *arguments, cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )


async def read_line(process: asyncio.subprocess.Process) -> str:
    assert process.stdout is not None
    return (await asyncio.wait_for(process.stdout.readline(), MAX_WAIT_S)).decode().strip()


async def read_update(proxy: asyncio.subprocess.Process) -> str:
    """Read an update that the toy proxy prints."""
    update = await read_line(proxy)
    assert update.startswith("CONFIG")
    return update


async def wait_until_listening(host: str, port: int) -> None:
    while True:
        with contextlib.suppress(ConnectionRefusedError):
            _, writer = await asyncio.open_connection(host, port)
            writer.close()
            return
        await asyncio.sleep(CONNECT_INTERVAL_S)


def sets_weight_to_zero(update: str, server: str) -> bool:
    """Return whether an update sets the weight of a server to 0."""
    return f"{server}:0" in update.replace(",", " ").replace("=", " ").split()


def test_the_toy_proxy_prints_tables_a_drain_and_a_changed_discovery_address(tmp_path: Path) -> None:
    async def run_examples(processes: list[asyncio.subprocess.Process]) -> None:
        toy_server = await start_example("toy_server.py", "--port", "0", "--drain", "3")
        processes.append(toy_server)
        first_line = (await read_line(toy_server)).split()
        assert first_line[:2] == ["discovery", "on"]
        configuration = config(first_line[2])
        planner = await start_planner(configuration, tmp_path)
        processes.append(planner)
        host, _, port = configuration["listen"].rpartition(":")
        await wait_until_listening(host, int(port))
        proxy = await start_example("toy_proxy.py", "--port", port, "--zone", "east")
        processes.append(proxy)

        tables = [await read_line(proxy), await read_line(proxy)]
        assert [table.split()[1:3] for table in tables] == [["routes=read", "full=1"], ["routes=write", "full=1"]]
        assert "toy-0:" in tables[0]
        assert "toy-2:" in tables[1]
        while not sets_weight_to_zero(await read_update(proxy), "toy-0"):
            pass

        second_server = await start_example("toy_server.py", "--port", "0", "--servers", "4")
        processes.append(second_server)
        configuration["discovery"] = (await read_line(second_server)).split()[2]
        (tmp_path / "config.json").write_text(json.dumps(configuration))
        planner.send_signal(signal.SIGHUP)
        while "toy-3:" not in await read_update(proxy):
            pass

    async def run_and_clean_up() -> None:
        processes: list[asyncio.subprocess.Process] = []
        try:
            await run_examples(processes)
        finally:
            for process in processes:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()

    asyncio.run(asyncio.wait_for(run_and_clean_up(), TEST_TIMEOUT_S))


def test_the_example_configuration_sets_all_settings() -> None:
    configuration = read_config(json.loads((ROOT / "examples" / "config.json").read_text()))
    assert configuration.defaulted_settings == ()
    assert configuration.settings.endpoint_list_on_request
    assert configuration.names.classes == ("read", "write")
