"""The program as a process: what it serves, what bad input gets, how it starts and stops."""

import asyncio
import contextlib
import os
import signal
import socket
from pathlib import Path

import pytest
from fake_services import Discovery, Tables, config, free_port
from planner_process import MOST, full, run, running, start

from stackwheel.policy import gossip


def test_a_proxy_gets_its_tables_and_their_changes(tmp_path: Path) -> None:
    async def work() -> None:
        async with running(tmp_path) as planner:
            collector = await planner.collector()
            proxy = await planner.join(0)
            await proxy.until(full({"s-0", "s-1", "s-2", "s-3"}))
            assert proxy.tables.levels == {"read": (1.0, 1), "write": (1.0, 1)}

            async def reports() -> None:  # one server turns slow: its weight falls
                while True:
                    proxy.report()
                    collector.say(
                        *(
                            f"LOAD site=east target=s-{n} count=20 fail=0 mean={900.0 if n == 2 else 60.0} "
                            "over=1000.0 util=inflight:2"
                            for n in range(4)
                        )
                    )
                    await asyncio.sleep(0.2)

            reporting = asyncio.create_task(reports())
            await proxy.until(lambda tables: tables.lines["read"]["s-2"] < 0.7 * tables.lines["read"]["s-0"])
            reporting.cancel()
            await planner.discovery.update("s-1", lifecycle="terminating")
            await proxy.until(full({"s-0", "s-2", "s-3"}))
            await planner.discovery.update("s-3", lifecycle="terminated")
            await proxy.until(full({"s-0", "s-2"}))
            code, log = await planner.stop()
            assert code == 0 and "closed" not in log and "Traceback" not in log

    run(work())


def test_a_new_stream_of_a_proxy_replaces_the_old(tmp_path: Path) -> None:
    async def work() -> None:
        async with running(tmp_path) as planner:
            first = await planner.join(0)
            await first.until(full(set(planner.discovery.instances)))
            second = await planner.join(0, fresh=0)
            await second.until(full(set(planner.discovery.instances)))
            first.connection.close()
            second.report()
            await planner.discovery.update("s-1", lifecycle="terminating")
            await second.until(full({"s-0", "s-2", "s-3"}))

    run(work())


@pytest.mark.parametrize(
    "hostile",
    [
        b"HELLO\r\n",
        b"PING \xff\r\n",
        b"SOURCE site=nowhere\r\n",
        b"SUBSCRIBE id=8 site=east rps=1 new=1\r\n",
        b"SUBSCRIBE id=1 site=east rps=nan new=1\r\n",
        b"LOAD site=east target=s-0 count=1 fail=0 mean=1 over=1\r\n",
        b"x" * 5000,
        b"RATE " + b"x" * 5000,
        b"SOURCE site=east\r\nRATE id=0 lane=readRATE id=0\r\n",
        b"SOURCE site=east\r\nRATE " + b"x" * (1 << 20),
    ],
    ids=lambda data: data[:40].decode(errors="replace").strip().replace("\r\n", " "),
)
def test_bad_input_closes_that_connection_alone(tmp_path: Path, hostile: bytes) -> None:
    async def work() -> None:
        async with running(tmp_path) as planner:
            proxy = await planner.join(0)
            bad = await planner.connect()
            bad.writer.write(hostile)
            assert await bad.closed()
            await proxy.until(full(set(planner.discovery.instances)))
            _, log = await planner.stop()
            warnings = [line for line in log.splitlines() if "WARNING" in line and "closed" in line]
            assert len(warnings) == 1 and "127.0.0.1:" in warnings[0] and " message " in warnings[0]

    run(work())


def test_a_half_line_at_the_end_is_logged(tmp_path: Path) -> None:
    async def work() -> None:
        async with running(tmp_path) as planner:
            bad = await planner.connect()
            bad.writer.write(b"SUBSCRIBE id=1 si")
            bad.writer.write_eof()
            assert await bad.closed()
            _, log = await planner.stop()
            assert "connection ended inside a line: connection=unidentified@127.0.0.1:" in log
            assert " count=0 bytes=17" in log

    run(work())


def test_a_word_for_another_proxy_is_left_out(tmp_path: Path) -> None:
    async def work() -> None:
        async with running(tmp_path) as planner:
            proxy = await planner.join(0)
            await proxy.until(full(set(planner.discovery.instances)))
            proxy.connection.say("RATE id=3 lane=read count=9 fail=0 over=1000.0", "ACK id=3 seq=1 ms=1", "PING")
            while (line := await proxy.connection.line()) != "PONG":
                proxy.tables.take(line)
            _, log = await planner.stop()
            assert log.count("not the proxy of this connection: 3") == 2
            assert log.count("message skipped: connection=proxy-0@127.0.0.1:") == 2 and " count=2 reason=" in log

    run(work())


def test_a_message_comes_in_pieces(tmp_path: Path) -> None:
    async def work() -> None:
        async with running(tmp_path) as planner:
            connection = await planner.connect()
            for byte in b"PING\r\nPING\r\n":
                connection.writer.write(bytes([byte]))
                await connection.writer.drain()
                await asyncio.sleep(0)
            assert [await connection.line(), await connection.line()] == ["PONG", "PONG"]

    run(work())


def test_strangers_leave_room_for_proxies(tmp_path: Path) -> None:
    async def work() -> None:
        async with running(tmp_path, limits={"sockets": 128}) as planner:
            assert planner.process.pid
            strangers = [await planner.connect() for _ in range(200)]
            proxy = await planner.join(0)
            await proxy.until(full(set(planner.discovery.instances)))
            held = len(os.listdir(f"/proc/{planner.process.pid}/fd"))
            assert held <= 128
            assert await strangers[0].closed()
            for stranger in strangers:
                stranger.close()

    run(work())


def test_who_does_not_read_is_cut_off_and_delays_nobody(tmp_path: Path) -> None:
    async def work() -> None:
        async with running(tmp_path) as planner:
            deaf = (await planner.join(1)).connection
            deaf.writer.write(b"PING\r\n" * 2_000_000)  # and never reads the answers
            proxy = await planner.join(0)
            await proxy.until(full(set(planner.discovery.instances)))
            with contextlib.suppress(ConnectionError):
                await asyncio.wait_for(deaf.writer.drain(), MOST)
            _, log = await planner.stop()
            assert "bytes unread" in log

    run(work())


@pytest.mark.parametrize("trouble", ["503", "reset", "nonsense", "no http", "cut", "pieces"])
def test_discovery_fails_and_is_asked_again(tmp_path: Path, trouble: str) -> None:
    async def work() -> None:
        async with running(tmp_path, troubles=(trouble,)) as planner:
            proxy = await planner.join(0)
            await proxy.until(full(set(planner.discovery.instances)))
            assert planner.discovery.calls == ([trouble] if trouble == "pieces" else [trouble, "served"])
            _, log = await planner.stop()
            assert log.count("WARNING") == (trouble != "pieces")

    run(work())


@pytest.mark.parametrize("trouble", ["silence", "quiet watch"])
def test_silence_of_discovery_is_found(tmp_path: Path, trouble: str) -> None:
    async def work() -> None:
        async with running(tmp_path, troubles=(trouble,)) as planner:

            async def asked_again() -> None:
                while planner.discovery.calls != [trouble, "served"]:
                    await asyncio.sleep(0.05)

            await asyncio.wait_for(asked_again(), MOST)
            proxy = await planner.join(0)
            await proxy.until(full(set(planner.discovery.instances)))

    run(work())


def test_peers_hear_each_other(tmp_path: Path) -> None:
    async def work() -> None:
        other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        other.bind(("127.0.0.1", 0))
        other.setblocking(False)
        theirs = f"127.0.0.1:{other.getsockname()[1]}"
        own = f"127.0.0.1:{free_port(kind=socket.SOCK_DGRAM)}"
        settings = {**config("127.0.0.1:1")["settings"], "instances": 2}
        async with running(
            tmp_path, peer_listen=own, peers=[own, theirs], peers_all=theirs, settings=settings
        ) as planner:
            host, _, port = own.rpartition(":")
            loop = asyncio.get_running_loop()
            await loop.sock_sendto(other, b"x" * 300, (host, int(port)))  # too long
            stranger = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            stranger.sendto(b"hello", (host, int(port)))
            stranger.close()
            await loop.sock_sendto(other, b"\0" * 8, (host, int(port)))
            proxy = await planner.join(0)
            await proxy.until(full(set(planner.discovery.instances)))
            collector = await planner.collector()
            proxy.report()
            collector.say("LOAD site=east target=s-0 count=20 fail=0 mean=50 over=1000.0")
            told = await asyncio.wait_for(loop.sock_recv(other, 1000), MOST)
            assert 0 < len(told) <= 256 and gossip.decode(told).rates
            _, log = await planner.stop()
            dropped = [line for line in log.splitlines() if "dropped" in line]
            assert len(dropped) == 2 and "bytes=300" in dropped[0]
        other.close()

    run(work())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_planned_stop_ends_at_once(tmp_path: Path, number: int) -> None:
    async def work() -> None:
        async with running(tmp_path) as planner:
            proxy = await planner.join(0)
            await proxy.until(full(set(planner.discovery.instances)))
            code, _ = await planner.stop(number)
            assert code == 0 and await proxy.connection.closed()

    run(work())


def test_a_killed_planner_comes_back_at_the_same_address(tmp_path: Path) -> None:
    async def work() -> None:
        async with running(tmp_path) as planner:
            proxy = await planner.join(0)
            await proxy.until(full(set(planner.discovery.instances)))
            code, _ = await planner.stop(signal.SIGKILL)
            assert code == -signal.SIGKILL
            planner.process = await start(planner.config, tmp_path)
            await planner.ready()
            again = await planner.join(0, fresh=0)
            again.tables = proxy.tables
            before = len(proxy.tables.costs)
            await again.until(lambda tables: len(tables.costs) > before)
            assert full(set(planner.discovery.instances))(again.tables)

    run(work())


def test_a_planner_that_stood_still_takes_up_where_it_was(tmp_path: Path) -> None:
    """What came meanwhile lies ready: neither the watch nor a stream has gone silent."""

    async def work() -> None:
        async with running(tmp_path) as planner:
            proxy = await planner.join(0)
            await proxy.until(full(set(planner.discovery.instances)))
            planner.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(4.0)  # longer than a watch may be quiet
            planner.process.send_signal(signal.SIGCONT)
            await planner.discovery.update("s-1", lifecycle="terminating")
            await proxy.until(full({"s-0", "s-2", "s-3"}))
            _, log = await planner.stop()
            assert "failed" not in log and "counts as left" not in log
            assert planner.discovery.calls == ["served"]

    run(work())


def test_half_lines_and_strangers_stay_within_the_memory(tmp_path: Path) -> None:
    """Every proxy and collector, and hundreds who say nothing, each with as much of a line as it may hold."""

    async def work() -> None:
        async with running(tmp_path) as planner:
            everyone = set(planner.discovery.instances)
            proxies = [await planner.join(number) for number in range(8)]
            for proxy in proxies:
                await proxy.until(full(everyone))
            speakers = [proxy.connection for proxy in proxies]
            speakers += [await planner.collector(zone) for zone in ("east", "west", "east", "west")]
            for speaker in speakers:
                speaker.writer.write(b"RATE " + b"x" * 1_000_000)
                await asyncio.wait_for(speaker.writer.drain(), MOST)
            strangers = [await planner.connect() for _ in range(300)]
            for stranger in strangers:
                stranger.writer.write(b"RATE " + b"x" * 4000)
            await planner.discovery.update("s-1", lifecycle="terminating")
            await proxies[0].until(full(everyone - {"s-1"}))
            status = Path(f"/proc/{planner.process.pid}/status").read_text()
            most = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
            assert most < 100 * 1024  # KiB; the limit in service is 192 MB
            for stranger in strangers:
                stranger.close()

    run(work())


@pytest.mark.parametrize(
    ("text", "says"),
    [
        (None, "ROUTER_CONFIG names no configuration"),
        ("", "no JSON"),
        ("[]", "not a JSON object"),
        ("{}", "'settings' is missing"),
        (
            '{"settings": {"instances": "two"}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1"}',
            "instances is no number",
        ),
        ('{"settings": {"me": 0}}', "'listen' is missing"),
        ('{"settings": {"me": 0}, "listen": "nowhere", "discovery": "127.0.0.1:1"}', "listen is no address"),
        ('{"settings": {"me": 0}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "peers": ["x"]}', "peers"),
        ('{"settings": {"me": 0}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "?"}', "seed"),
    ],
)
def test_a_bad_configuration_is_one_plain_line(tmp_path: Path, text: str | None, says: str) -> None:
    import subprocess
    import sys

    from fake_services import ROOT

    path = tmp_path / "config.json"
    environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
    if text is not None:
        path.write_text(text)
        environment["ROUTER_CONFIG"] = str(path)
    done = subprocess.run(
        [sys.executable, "-m", "stackwheel"],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert done.returncode == 2 and done.stdout == ""
    assert done.stderr.count("\n") == 1 and says in done.stderr and "Traceback" not in done.stderr


def test_an_address_in_use_is_one_plain_line(tmp_path: Path) -> None:
    async def work() -> None:
        async with running(tmp_path) as planner:
            second = await start({**planner.config, "peer_listen": ""}, tmp_path)
            _, log = await asyncio.wait_for(second.communicate(), MOST)
            last = log.decode().splitlines()[-1]
            assert second.returncode == 2 and last.startswith("stackwheel: ") and "in use" in last

    run(work())


def test_the_descriptor_limit_of_the_process_is_no_end(tmp_path: Path) -> None:
    """Where the process may hold fewer descriptors than it was told, it goes on serving who is joined."""

    async def work() -> None:
        import resource

        async with running(tmp_path) as planner:
            proxy = await planner.join(0)
            await proxy.until(full(set(planner.discovery.instances)))
            resource.prlimit(planner.process.pid, resource.RLIMIT_NOFILE, (40, 40))
            strangers = [await planner.connect() for _ in range(60)]
            await planner.discovery.update("s-1", lifecycle="terminating")
            await proxy.until(full({"s-0", "s-2", "s-3"}))
            assert planner.process.returncode is None
            for stranger in strangers:
                stranger.close()

    run(work())


def test_stand_ins_refuse_what_a_proxy_would() -> None:
    tables = Tables(("read",), {"s-0"})
    for line in (
        "CONFIG routes=rest",
        "CONFIG endpoints=s-9:1",
        "CONFIG endpoints=s-0:1e-9",
        "HELLO",
        "CONFIG admit=1",
    ):
        with pytest.raises(AssertionError):
            tables.take(line)
    assert Discovery().generation == 1
