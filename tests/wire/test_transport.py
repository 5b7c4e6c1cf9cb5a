"""The listener in a process of the test's own: joins that come together, collectors, probes."""

import asyncio
import contextlib
import socket
from typing import Any

import pytest
from fake_services import toy
from transport_harness import TransportHarness, received, run, until

from stackwheel import interface as face
from stackwheel.state.planner_actor import HealthCheckCompleted, HealthCheckTarget, StreamEnded, StreamMessage
from stackwheel.state.server_ids import server_id
from stackwheel.state.streams import ProxyStream
from stackwheel.state.table_updates import ProxyUpdate


def test_proxies_that_come_together_join_together() -> None:
    """One by one, thirty joins came in six batches, and the first tables were made for the first five proxies."""

    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        proxies = [setup.connect(f"SUBSCRIBE id={n} site=east rps=1 new=1\r\n".encode()) for n in range(8)]
        await until(lambda: bool(setup.posted))
        await asyncio.sleep(0)
        assert [type(item) for item in setup.posted] == [ProxyStream] * 8
        for proxy in proxies:
            proxy.close()

    run(work())


def test_a_crowd_of_connections_is_set_up_in_bounded_numbers(monkeypatch: Any) -> None:
    async def work() -> None:
        monkeypatch.setattr("stackwheel.wire.timing.MAX_CONCURRENT_ACCEPTS", 3)
        setup = TransportHarness()
        await setup.open()
        crowd = [setup.connect(b"") for _ in range(40)]
        most = 0
        while len(setup.links.connection_table.unidentified) < 40:
            most = max(most, setup.links.connection_table.arriving)
            await asyncio.sleep(0)
        assert 1 <= most <= 3
        for connection in crowd:
            connection.close()

    run(work())


def test_a_second_collector_of_a_zone_is_heard_beside_the_first() -> None:
    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        report = b"LOAD site=east target=s-0 count=2 fail=0 mean=5 over=1000.0\r\n"
        first, second = setup.connect(b"SOURCE site=east\r\n" + report), setup.connect(b"SOURCE site=east\r\n" + report)
        await until(lambda: len(setup.posted) == 2)
        first.sendall(report)
        await until(lambda: len(setup.posted) == 3)
        assert set(setup.posted) == {face.LoadReport(0, server_id("s-0"), 2, 0, 5.0, 1000.0)}
        assert not setup.links.connection_table.unidentified and len(setup.links.connection_table.collectors[0]) == 2
        third = setup.connect(b"SOURCE site=east\r\n" + report)
        await until(lambda: len(setup.posted) == 4)
        second.setblocking(False)
        assert await asyncio.get_running_loop().sock_recv(second, 10) == b""  # the longest silent
        first.close()
        third.close()
        await until(
            lambda: not setup.links.connection_table.collectors[0] and not setup.links.connection_table.connections
        )

    run(work())


async def drip(connection: socket.socket, data: bytes) -> None:
    with contextlib.suppress(OSError):
        while True:
            connection.sendall(data)
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("data", [b"", b"SUBSC", b"PING\r\n", b"x"])
def test_one_deadline_from_accepting_however_much_is_said(monkeypatch: Any, data: bytes) -> None:
    """A sign of life gets its answer and no more time; a drip gets none either."""

    async def work() -> None:
        monkeypatch.setattr("stackwheel.wire.timing.IDENTIFY_TIMEOUT_MS", 150.0)
        monkeypatch.setattr("stackwheel.wire.timing.UNIDENTIFIED_SWEEP_INTERVAL_MS", 10.0)
        setup = TransportHarness()
        await setup.open()
        joined = setup.connect(b"SUBSCRIBE id=1 site=east rps=1 new=1\r\n")
        stranger = setup.connect(data)
        dripping = asyncio.create_task(drip(stranger, data))
        heard = await received(stranger)
        dripping.cancel()
        assert heard.endswith(b"NACK\r\n")
        assert heard.startswith(b"PONG\r\n") == (data == b"PING\r\n")
        await until(lambda: len(setup.links.connection_table.connections) == 1)
        assert len(setup.posted) == 1 and not setup.links.connection_table.unidentified
        joined.close()

    run(work())


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        b"CONFIG routes=read full=1\r\n",
        b"\x16\x03\x01\r\n",
        b"SUBSCRIBE id=8 site=east rps=1 new=1\r\n",
        b"SUBSCRIBE id=1 site=north rps=1 new=1\r\n",
        b"SOURCE site=north\r\n",
        b"RATE id=1 lane=read count=1 fail=0 over=1000.0\r\n",
        b"x" * 5000,
        b"LOAD site=east target=s-0 count=2 fail=0 mean=5 over=1000.0\r\n",
        b"ACK id=1 seq=1 ms=1\r\n",
        b"PING\r\n" * 1000,
    ],
)
def test_who_cannot_be_taken_hears_so_at_once(data: bytes) -> None:
    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        heard = await received(setup.connect(data))
        assert heard.endswith(b"NACK\r\n") or len(data) > 4096  # what is unread at a close may undo the word
        assert not setup.posted

    run(work())


def test_a_spoilt_report_is_left_out_whole_and_its_neighbours_count() -> None:
    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        proxy = setup.connect(
            b"SUBSCRIBE id=1 site=east rps=1 new=1\r\nRATE id=1 lane=read count=-3 fail=0 over=1000\r\n"
            b"RATE id=2 lane=read count=3 fail=0 over=1000\r\nACK id=1 seq=nan ms=3\r\n"
            b"SUBSCRIBE id=1 site=north rps=1 new=1\r\nSOURCE site=east\r\n"
            b"RATE id=1 lane=read count=3 fail=0 over=1000\r\n"
        )
        await until(lambda: len(setup.posted) == 7)
        assert isinstance(setup.posted[0], ProxyStream)
        assert [item.event for item in setup.posted[1:] if isinstance(item, StreamMessage)] == [
            None,
            None,
            None,
            None,
            None,
            face.DemandReport(1, 0, 3, 0, 1000.0),
        ]
        collector = setup.connect(
            b"SOURCE site=west\r\nLOAD site=east target=s-9 count=2 fail=0 mean=5 over=1000\r\n"
            b"LOAD site=east target=s-0 count=2 fail=3 mean=5 over=1000\r\n"
            b"RATE id=99 lane=read count=3 fail=0 over=1000\r\n"
            b"LOAD site=east target=s-0 count=2 fail=0 mean=5 over=1000\r\n"
        )
        await until(lambda: len(setup.posted) == 8)
        assert setup.posted[7] == face.LoadReport(0, server_id("s-0"), 2, 0, 5.0, 1000.0)
        assert len(setup.links.connection_table.connections) == 2
        proxy.close()
        collector.close()

    run(work())


@pytest.mark.parametrize(
    "data",
    [
        b"RATE id=1 lane=readRATE id=1 lane=read count=3 fail=0 over=1000\r\n",
        b"\xff\xfe\r\n",
        b"\x00\x01",
        b"what is this",
    ],
)
def test_a_stream_that_goes_on_with_no_messages_ends_and_counts_as_left(data: bytes) -> None:
    """At once, though no end of a line may ever come."""

    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        proxy = setup.connect(b"SUBSCRIBE id=1 site=east rps=1 new=1\r\n" + data)
        assert await received(proxy) == b""
        assert [type(item) for item in setup.posted] == [ProxyStream, StreamEnded]

    run(work())


def test_a_new_stream_of_a_proxy_begins_no_new_count_of_messages() -> None:
    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        cap = setup.links.settings.message_cap
        for life in range(2):
            proxy = setup.connect(b"SUBSCRIBE id=1 site=east rps=1 new=1\r\n")
            await until(lambda: any(isinstance(item, ProxyStream) for item in setup.posted))
            (line,) = [item.connection for item in setup.posted if isinstance(item, ProxyStream)]
            setup.links.deliver([(line, ProxyUpdate(1, nonce=mark)) for mark in range(cap - 2)])  # type: ignore[list-item]
            proxy.setblocking(False)
            heard = b""
            while heard.count(b"\r\n") < (cap - 2, 2)[life]:
                heard += await asyncio.get_running_loop().sock_recv(proxy, 65536)
            await asyncio.sleep(0.05)
            with contextlib.suppress(BlockingIOError):
                heard += proxy.recv(65536)
            assert heard.count(b"\r\n") == (cap - 2, 2)[life]
            proxy.close()
            await until(lambda: not setup.links.connection_table.connections)
            setup.posted.clear()

    run(work())


def test_who_is_cut_off_is_not_waited_for() -> None:
    """It reads nothing, so that nothing can be said to it; it is closed all the same."""

    async def work() -> None:
        setup = TransportHarness()
        await setup.open()
        deaf = setup.connect(b"PING\r\n" * 600 + b"what?\r\n")
        await until(lambda: bool(setup.links.connection_table.connections))
        await until(lambda: not setup.links.connection_table.connections)
        deaf.close()

    run(work())


def test_proxies_that_come_with_a_crowd_all_join() -> None:
    """At a bare limit of descriptors: once, proxies were closed as strangers before their word was read."""

    async def work() -> None:
        setup = TransportHarness(proxies=40, sockets=32 + 60)
        await setup.open()
        crowd = [setup.connect(b"") for _ in range(100)]
        proxies = [setup.connect(f"SUBSCRIBE id={n} site=east rps=1 new=1\r\n".encode()) for n in range(40)]
        most = 0
        while len(setup.posted) < 40:
            most = max(most, len(setup.links.connection_table.connections))
            await asyncio.sleep(0)
        assert [type(item) for item in setup.posted] == [ProxyStream] * 40 and most <= 60
        late = setup.connect(b"PING\r\n")
        assert await asyncio.get_running_loop().run_in_executor(None, late.recv, 6) == b"PONG\r\n"
        for connection in [*crowd, *proxies, late]:
            connection.close()

    run(work())


def test_without_strangers_the_quiet_make_room(monkeypatch: Any) -> None:
    async def work() -> None:
        monkeypatch.setattr("stackwheel.wire.timing.IDLE_CONNECTION_MS", 50.0)
        setup = TransportHarness(sockets=32 + 2)
        await setup.open()
        proxies = [setup.connect(f"SUBSCRIBE id={n} site=east rps=1 new=1\r\n".encode()) for n in range(2)]
        await until(lambda: len(setup.posted) == 2)
        proxies.append(setup.connect(b"SUBSCRIBE id=2 site=east rps=1 new=1\r\n"))
        await until(lambda: any(isinstance(item, ProxyStream) and item.proxy == 2 for item in setup.posted))
        for proxy in proxies:
            proxy.close()

    run(work())


def test_what_waits_is_bounded_for_all_together() -> None:
    """Half lines of a whole fleet: the largest goes, the others stay."""

    async def work() -> None:
        setup = TransportHarness(memory_mb=4)
        await setup.open()
        proxies = [setup.connect(f"SUBSCRIBE id={n} site=east rps=1 new=1\r\n".encode()) for n in range(3)]
        await until(lambda: len(setup.posted) == 3)
        loop = asyncio.get_running_loop()
        for place, proxy in enumerate(proxies):
            proxy.setblocking(False)
            await loop.sock_sendall(proxy, b"RATE " + b"x" * (200_000, 300_000, 700_000)[place])
        assert await received(proxies[2]) == b""
        await until(lambda: len(setup.links.connection_table.connections) == 2)
        assert setup.links.buffer_budget.total_bytes <= 1 << 20
        await loop.sock_sendall(proxies[0], b"\r\n")
        for proxy in proxies:
            proxy.close()
        await until(lambda: not setup.links.connection_table.connections)
        assert setup.links.buffer_budget.total_bytes == 0 and not setup.links.buffer_budget.bytes_by_connection

    run(work())


def test_probes_come_back_as_events() -> None:
    async def work() -> None:
        server = await asyncio.start_server(toy.serve_health_check, "127.0.0.1", 0)
        setup = TransportHarness("{}:{}".format(*server.sockets[0].getsockname()[:2]))
        await setup.open()
        meant, nowhere = (
            HealthCheckTarget(0, 0.0, setup.links.endpoints.addresses[server_id("s-0")]),
            HealthCheckTarget(0, -1.0, ""),
        )
        setup.links.start_health_check(server_id("s-0"), meant)
        assert (
            setup.links.connection_table.health_checks_in_flight == 1
        )  # at once: more may be asked for in the same turn
        setup.links.start_health_check(server_id("never listed"), nowhere)
        await until(lambda: len(setup.posted) == 2)
        unknown, known = setup.posted
        assert isinstance(known, HealthCheckCompleted) and known.target == meant
        await until(lambda: setup.links.connection_table.health_checks_in_flight == 0)  # once its connection is closed
        assert (known.result.outcome, known.result.load) == (1, (0.0,))
        assert unknown == HealthCheckCompleted(nowhere, face.HealthCheckResult(server_id("never listed"), 4, 0.0))

    run(work())
