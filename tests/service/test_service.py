"""The planner process: service to proxies, invalid input, faults of the discovery service, start and stop."""

import asyncio
import contextlib
import os
import signal
import socket
from pathlib import Path

import pytest
from fake_services import FaultyDiscovery, config, free_port
from planner_process import MAX_WAIT_S, run_async, running_planner, serves_exactly, start_planner
from proxy_model import ProxyTables

from stackwheel.forwarder.updates import InvalidUpdateError
from stackwheel.policy import gossip


def test_a_proxy_receives_its_tables_and_their_changes(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            collector = await planner.connect_collector()
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly({"s-0", "s-1", "s-2", "s-3"}))
            assert proxy.tables.levels == {"read": (1.0, 1), "write": (1.0, 1)}

            async def reports() -> None:  # one server is slow, so its weight decreases
                while True:
                    proxy.report_demand()
                    collector.send_lines(
                        *(
                            f"LOAD site=east target=s-{n} count=20 fail=0 mean={900.0 if n == 2 else 60.0} "
                            "over=1000.0 util=inflight:2"
                            for n in range(4)
                        )
                    )
                    await asyncio.sleep(0.2)

            reporting = asyncio.create_task(reports())
            await proxy.wait_until(lambda tables: tables.lines["read"]["s-2"] < 0.7 * tables.lines["read"]["s-0"])
            reporting.cancel()
            await planner.discovery.update("s-1", lifecycle="terminating")
            await proxy.wait_until(serves_exactly({"s-0", "s-2", "s-3"}))
            await planner.discovery.update("s-3", lifecycle="terminated")
            await proxy.wait_until(serves_exactly({"s-0", "s-2"}))
            code, log = await planner.stop()
            assert code == 0
            assert "closed" not in log
            assert "Traceback" not in log

    run_async(work())


def test_a_new_stream_of_a_proxy_replaces_the_old_one(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            first = await planner.join_proxy(0)
            await first.wait_until(serves_exactly(set(planner.discovery.instances)))
            second = await planner.join_proxy(0, newly_started=0)
            await second.wait_until(serves_exactly(set(planner.discovery.instances)))
            first.connection.close()
            second.report_demand()
            await planner.discovery.update("s-1", lifecycle="terminating")
            await second.wait_until(serves_exactly({"s-0", "s-2", "s-3"}))

    run_async(work())


@pytest.mark.parametrize(
    "invalid_input",
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
def test_invalid_input_closes_only_the_connection_it_arrived_on(tmp_path: Path, invalid_input: bytes) -> None:
    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            proxy = await planner.join_proxy(0)
            bad = await planner.connect()
            bad.writer.write(invalid_input)
            assert await bad.wait_closed()
            await proxy.wait_until(serves_exactly(set(planner.discovery.instances)))
            _, log = await planner.stop()
            warnings = [line for line in log.splitlines() if "WARNING" in line and "closed" in line]
            assert len(warnings) == 1
            assert "127.0.0.1:" in warnings[0]
            assert " message " in warnings[0]

    run_async(work())


def test_a_partial_line_at_the_end_of_a_connection_is_logged(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            bad = await planner.connect()
            bad.writer.write(b"SUBSCRIBE id=1 si")
            bad.writer.write_eof()
            assert await bad.wait_closed()
            _, log = await planner.stop()
            assert "connection ended inside a line: connection=unidentified@127.0.0.1:" in log
            assert " count=0 bytes=17" in log

    run_async(work())


def test_a_message_for_another_proxy_is_skipped(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly(set(planner.discovery.instances)))
            proxy.connection.send_lines("RATE id=3 lane=read count=9 fail=0 over=1000.0", "ACK id=3 seq=1 ms=1", "PING")
            while (line := await proxy.connection.read_line()) != "PONG":
                proxy.tables.apply_line(line)
            _, log = await planner.stop()
            assert log.count("not the proxy of this connection: 3") == 2
            assert log.count("message skipped: connection=proxy-0@127.0.0.1:") == 2
            assert " count=2 reason=" in log

    run_async(work())


def test_a_message_may_arrive_in_several_segments(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            connection = await planner.connect()
            for byte in b"PING\r\nPING\r\n":
                connection.writer.write(bytes([byte]))
                await connection.writer.drain()
                await asyncio.sleep(0)
            assert [await connection.read_line(), await connection.read_line()] == ["PONG", "PONG"]

    run_async(work())


def test_unidentified_connections_leave_capacity_for_proxies(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_planner(tmp_path, limits={"sockets": 128}) as planner:
            assert planner.process.pid
            clients = [await planner.connect() for _ in range(200)]
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly(set(planner.discovery.instances)))
            descriptors = len(os.listdir(f"/proc/{planner.process.pid}/fd"))
            assert descriptors <= 128
            assert await clients[0].wait_closed()
            for client in clients:
                client.close()

    run_async(work())


def test_a_client_that_does_not_read_is_closed_without_delaying_others(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            stalled_reader = (await planner.join_proxy(1)).connection
            stalled_reader.writer.write(b"PING\r\n" * 2_000_000)  # the responses are never read
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly(set(planner.discovery.instances)))
            with contextlib.suppress(ConnectionError):
                await asyncio.wait_for(stalled_reader.writer.drain(), MAX_WAIT_S)
            _, log = await planner.stop()
            assert "bytes unread" in log

    run_async(work())


@pytest.mark.parametrize("fault", ["503", "reset", "malformed JSON", "not HTTP", "truncated body", "split body"])
def test_a_failed_discovery_call_is_retried(tmp_path: Path, fault: str) -> None:
    async def work() -> None:
        async with running_planner(tmp_path, faults=(fault,)) as planner:
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly(set(planner.discovery.instances)))
            assert planner.discovery.calls == ([fault] if fault == "split body" else [fault, "served"])
            _, log = await planner.stop()
            assert log.count("WARNING") == (fault != "split body")

    run_async(work())


@pytest.mark.parametrize("fault", ["no response", "silent watch"])
def test_a_silent_discovery_service_is_detected(tmp_path: Path, fault: str) -> None:
    async def work() -> None:
        async with running_planner(tmp_path, faults=(fault,)) as planner:

            async def retried() -> None:
                while planner.discovery.calls != [fault, "served"]:
                    await asyncio.sleep(0.05)

            await asyncio.wait_for(retried(), MAX_WAIT_S)
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly(set(planner.discovery.instances)))

    run_async(work())


def test_planners_exchange_gossip(tmp_path: Path) -> None:
    async def work() -> None:
        other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        other.bind(("127.0.0.1", 0))
        other.setblocking(False)
        peer_address = f"127.0.0.1:{other.getsockname()[1]}"
        own_address = f"127.0.0.1:{free_port(kind=socket.SOCK_DGRAM)}"
        settings = {**config("127.0.0.1:1")["settings"], "instances": 2}
        async with running_planner(
            tmp_path,
            peer_listen=own_address,
            peers=[own_address, peer_address],
            peers_all=peer_address,
            settings=settings,
        ) as planner:
            host, _, port = own_address.rpartition(":")
            loop = asyncio.get_running_loop()
            await loop.sock_sendto(other, b"x" * 300, (host, int(port)))  # exceeds the maximum size of a datagram
            client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            client.sendto(b"hello", (host, int(port)))
            client.close()
            await loop.sock_sendto(other, b"\0" * 8, (host, int(port)))
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly(set(planner.discovery.instances)))
            collector = await planner.connect_collector()
            proxy.report_demand()
            collector.send_lines("LOAD site=east target=s-0 count=20 fail=0 mean=50 over=1000.0")
            payload = await asyncio.wait_for(loop.sock_recv(other, 1000), MAX_WAIT_S)
            assert 0 < len(payload) <= 256
            assert gossip.decode(payload).rates
            _, log = await planner.stop()
            dropped = [line for line in log.splitlines() if "dropped" in line]
            assert len(dropped) == 2
            assert "bytes=300" in dropped[0]
        other.close()

    run_async(work())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_stop_signal_ends_the_process_immediately(tmp_path: Path, number: int) -> None:
    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly(set(planner.discovery.instances)))
            code, _ = await planner.stop(number)
            assert code == 0
            assert await proxy.connection.wait_closed()

    run_async(work())


def test_a_killed_planner_restarts_at_the_same_address(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly(set(planner.discovery.instances)))
            code, _ = await planner.stop(signal.SIGKILL)
            assert code == -signal.SIGKILL
            planner.process = await start_planner(planner.config, tmp_path)
            await planner.wait_ready()
            rejoined = await planner.join_proxy(0, newly_started=0)
            rejoined.tables = proxy.tables
            update_count = len(proxy.tables.costs)
            await rejoined.wait_until(lambda tables: len(tables.costs) > update_count)
            assert serves_exactly(set(planner.discovery.instances))(rejoined.tables)

    run_async(work())


def test_a_suspended_planner_keeps_its_connections_after_it_resumes(tmp_path: Path) -> None:
    """Data that arrived during the suspension is read before the watch or a stream can time out."""

    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly(set(planner.discovery.instances)))
            planner.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(4.0)  # longer than the silence timeout of a watch
            planner.process.send_signal(signal.SIGCONT)
            await planner.discovery.update("s-1", lifecycle="terminating")
            await proxy.wait_until(serves_exactly({"s-0", "s-2", "s-3"}))
            _, log = await planner.stop()
            assert "failed" not in log
            assert "timed out" not in log
            assert planner.discovery.calls == ["served"]

    run_async(work())


def test_partial_lines_and_unidentified_connections_stay_within_the_memory_limit(tmp_path: Path) -> None:
    """All proxies and collectors and 300 unidentified connections send partial lines of the maximum length."""

    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            all_servers = set(planner.discovery.instances)
            proxies = [await planner.join_proxy(number) for number in range(8)]
            for proxy in proxies:
                await proxy.wait_until(serves_exactly(all_servers))
            connections = [proxy.connection for proxy in proxies]
            connections += [await planner.connect_collector(zone) for zone in ("east", "west", "east", "west")]
            for connection in connections:
                connection.writer.write(b"RATE " + b"x" * 1_000_000)
                await asyncio.wait_for(connection.writer.drain(), MAX_WAIT_S)
            clients = [await planner.connect() for _ in range(300)]
            for client in clients:
                client.writer.write(b"RATE " + b"x" * 4000)
            await planner.discovery.update("s-1", lifecycle="terminating")
            await proxies[0].wait_until(serves_exactly(all_servers - {"s-1"}))
            status = Path(f"/proc/{planner.process.pid}/status").read_text()
            peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
            assert peak < 100 * 1024  # KiB; the configured limit is 192 MB
            for client in clients:
                client.close()

    run_async(work())


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        (None, "the environment variable ROUTER_CONFIG is not set or empty"),
        ("", "not valid JSON"),
        ("[]", "not a JSON object"),
        ("{}", "settings: missing"),
        (
            '{"settings": {"instances": "two"}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1"}',
            "settings: instances: not a number: 'two'",
        ),
        ('{"settings": {"me": 0}}', "listen: missing"),
        (
            '{"settings": {"me": 0}, "listen": "nowhere", "discovery": "127.0.0.1:1"}',
            "listen: not host:port: 'nowhere'",
        ),
        (
            '{"settings": {"me": 0}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "peers": ["x"]}',
            "peers: not host:port: 'x'",
        ),
        (
            '{"settings": {"me": 0}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "?"}',
            "seed: not a hexadecimal number: '?'",
        ),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line_with_exit_code_2(
    tmp_path: Path, text: str | None, problem: str
) -> None:
    import subprocess
    import sys

    from fake_services import ROOT

    path = tmp_path / "config.json"
    environment = {key: value for key, value in os.environ.items() if not key.startswith("ROUTER_")}
    if text is not None:
        path.write_text(text)
        environment["ROUTER_CONFIG"] = str(path)
    completed = subprocess.run(
        [sys.executable, "-m", "stackwheel"],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode == 2
    assert completed.stdout == ""
    assert completed.stderr.count("\n") == 1
    assert problem in completed.stderr
    assert "Traceback" not in completed.stderr


def test_an_address_in_use_is_reported_in_one_line_with_exit_code_2(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_planner(tmp_path) as planner:
            second = await start_planner({**planner.config, "peer_listen": ""}, tmp_path)
            _, log = await asyncio.wait_for(second.communicate(), MAX_WAIT_S)
            last = log.decode().splitlines()[-1]
            assert second.returncode == 2
            assert last.startswith("stackwheel: ")
            assert "in use" in last

    run_async(work())


def test_the_descriptor_limit_of_the_system_does_not_end_the_process(tmp_path: Path) -> None:
    """If the system allows fewer descriptors than configured, the planner continues to serve joined proxies."""

    async def work() -> None:
        import resource

        async with running_planner(tmp_path) as planner:
            proxy = await planner.join_proxy(0)
            await proxy.wait_until(serves_exactly(set(planner.discovery.instances)))
            resource.prlimit(planner.process.pid, resource.RLIMIT_NOFILE, (40, 40))
            clients = [await planner.connect() for _ in range(60)]
            await planner.discovery.update("s-1", lifecycle="terminating")
            await proxy.wait_until(serves_exactly({"s-0", "s-2", "s-3"}))
            assert planner.process.returncode is None
            for client in clients:
                client.close()

    run_async(work())


def test_the_proxy_model_rejects_invalid_updates() -> None:
    tables = ProxyTables(("read",), {"s-0"})
    for line in (
        "CONFIG routes=rest",
        "CONFIG endpoints=s-9:1",
        "CONFIG endpoints=s-0:1e-9",
        "HELLO",
        "CONFIG admit=1",
    ):
        with pytest.raises(InvalidUpdateError):
            tables.apply_line(line)
    assert FaultyDiscovery().generation == 1
