"""The examples, as the README has a newcomer try them, on free ports."""

import asyncio
import contextlib
import json
import signal
import sys
from pathlib import Path

from fake_services import ROOT, config
from planner_process import MOST, start


async def example(name: str, *words: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, str(ROOT / "examples" / name), *words, cwd=ROOT, stdout=asyncio.subprocess.PIPE
    )


async def line(process: asyncio.subprocess.Process) -> str:
    assert process.stdout is not None
    return (await asyncio.wait_for(process.stdout.readline(), MOST)).decode().strip()


def test_a_newcomer_sees_tables_and_a_drain(tmp_path: Path) -> None:
    async def work() -> None:
        started: list[asyncio.subprocess.Process] = []
        try:
            started.append(await example("toy_server.py", "--port", "0", "--drain", "3"))
            words = (await line(started[0])).split()
            assert words[:2] == ["discovery", "on"]
            found = config(words[2])
            started.append(await start(found, tmp_path))
            host, _, port = found["listen"].rpartition(":")
            while True:
                with contextlib.suppress(ConnectionRefusedError):
                    _, writer = await asyncio.open_connection(host, int(port))
                    break
                await asyncio.sleep(0.05)
            writer.close()
            started.append(await example("toy_proxy.py", "--port", port, "--zone", "east"))
            first = [await line(started[2]), await line(started[2])]
            assert [order.split()[1:3] for order in first] == [["routes=read", "full=1"], ["routes=write", "full=1"]]
            assert "toy-0:" in first[0] and "toy-2:" in first[1]
            while "toy-0:0" not in (order := await line(started[2])).replace(",", " ").replace("=", " ").split():
                assert order.startswith("CONFIG")
            started.append(await example("toy_server.py", "--port", "0", "--servers", "4"))
            found["discovery"] = (await line(started[3])).split()[2]
            (tmp_path / "config.json").write_text(json.dumps(found))
            started[1].send_signal(signal.SIGHUP)
            while "toy-3:" not in (order := await line(started[2])):
                assert order.startswith("CONFIG")
        finally:
            for process in started:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()

    asyncio.run(asyncio.wait_for(work(), 100))


def test_the_example_configuration_leaves_nothing_to_defaults() -> None:
    from stackwheel.service.config import read_config

    found = read_config(json.loads((ROOT / "examples" / "config.json").read_text()))
    assert (
        found.defaulted_settings == ()
        and found.settings.endpoint_list_on_request
        and found.names.classes == ("read", "write")
    )
