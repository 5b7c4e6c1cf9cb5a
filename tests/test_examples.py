"""The examples as the README uses them, on free ports."""

import asyncio
import contextlib
import json
import signal
import sys
from pathlib import Path

from fake_services import ROOT, config
from planner_process import MAX_WAIT_S, start_planner


async def start_example(name: str, *arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, str(ROOT / "examples" / name), *arguments, cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )


async def read_line(process: asyncio.subprocess.Process) -> str:
    assert process.stdout is not None
    return (await asyncio.wait_for(process.stdout.readline(), MAX_WAIT_S)).decode().strip()


def test_the_examples_show_tables_and_a_drain(tmp_path: Path) -> None:
    async def work() -> None:
        started: list[asyncio.subprocess.Process] = []
        try:
            started.append(await start_example("toy_server.py", "--port", "0", "--drain", "3"))
            first_line = (await read_line(started[0])).split()
            assert first_line[:2] == ["discovery", "on"]
            document = config(first_line[2])
            started.append(await start_planner(document, tmp_path))
            host, _, port = document["listen"].rpartition(":")
            while True:
                with contextlib.suppress(ConnectionRefusedError):
                    _, writer = await asyncio.open_connection(host, int(port))
                    break
                await asyncio.sleep(0.05)
            writer.close()
            started.append(await start_example("toy_proxy.py", "--port", port, "--zone", "east"))
            updates = [await read_line(started[2]), await read_line(started[2])]
            assert [update.split()[1:3] for update in updates] == [
                ["routes=read", "full=1"],
                ["routes=write", "full=1"],
            ]
            assert "toy-0:" in updates[0]
            assert "toy-2:" in updates[1]
            while "toy-0:0" not in (update := await read_line(started[2])).replace(",", " ").replace("=", " ").split():
                assert update.startswith("CONFIG")
            started.append(await start_example("toy_server.py", "--port", "0", "--servers", "4"))
            document["discovery"] = (await read_line(started[3])).split()[2]
            (tmp_path / "config.json").write_text(json.dumps(document))
            started[1].send_signal(signal.SIGHUP)
            while "toy-3:" not in (update := await read_line(started[2])):
                assert update.startswith("CONFIG")
        finally:
            for process in started:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()

    asyncio.run(asyncio.wait_for(work(), 100))


def test_the_example_configuration_leaves_nothing_to_defaults() -> None:
    from stackwheel.service.config import read_config

    loaded = read_config(json.loads((ROOT / "examples" / "config.json").read_text()))
    assert loaded.defaulted_settings == ()
    assert loaded.settings.endpoint_list_on_request
    assert loaded.names.classes == ("read", "write")
