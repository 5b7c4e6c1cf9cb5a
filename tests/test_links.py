"""The listener in a process of the test's own: joins that come together, collectors, probes."""

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from standins import config, toy

from stackwheel import interface as face
from stackwheel.service.config import read_config
from stackwheel.state.clock import Clock
from stackwheel.state.ids import Ids, digest
from stackwheel.state.module import Item
from stackwheel.state.roster import Instance, Listing, Roster
from stackwheel.state.streams import Stream
from stackwheel.wire.links import Links


class Setup:
    def __init__(self, address: str = "127.0.0.1:1") -> None:
        found = read_config(config("127.0.0.1:1"))
        roster = Roster(found.names.zones, found.names.kinds, Ids())
        roster.apply(Listing(1, True, (
            Instance("s-0", address, "east", "small", 0, face.Availability.READY, 1.0, 0.0),)))
        self.links = Links(found.addresses, found.settings, found.names, roster, Clock())
        self.posted: list[Item] = []
        self.listen = found.addresses.listen.rpartition(":")

    async def open(self) -> None:
        await self.links.open(self.posted.append)

    def connect(self, data: bytes) -> socket.socket:
        """Without giving the listener a turn: it waits in the backlog."""
        connection = socket.create_connection((self.listen[0], int(self.listen[2])))
        connection.sendall(data)
        return connection


async def until(done: Callable[[], bool]) -> None:
    while not done():
        await asyncio.sleep(0)


def run(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 60))


def test_proxies_that_come_together_join_together() -> None:
    """One by one, thirty joins came in six batches, and the first tables were made for the first five proxies."""
    async def work() -> None:
        setup = Setup()
        await setup.open()
        proxies = [setup.connect(f"SUBSCRIBE id={n} site=east rps=1 new=1\r\n".encode()) for n in range(8)]
        await until(lambda: bool(setup.posted))
        await asyncio.sleep(0)
        assert [type(item) for item in setup.posted] == [Stream] * 8
        for proxy in proxies:
            proxy.close()

    run(work())


def test_a_crowd_of_connections_is_set_up_in_bounded_numbers(monkeypatch: Any) -> None:
    async def work() -> None:
        monkeypatch.setattr("stackwheel.wire.timing.ACCEPT_BURST", 3)
        setup = Setup()
        await setup.open()
        crowd = [setup.connect(b"") for _ in range(40)]
        most = 0
        while len(setup.links.strangers) < min(40, setup.links.strangers_most):
            most = max(most, setup.links.arriving)
            await asyncio.sleep(0)
        assert 1 <= most <= 3
        for connection in crowd:
            connection.close()

    run(work())


def test_a_second_collector_of_a_zone_is_heard_beside_the_first() -> None:
    async def work() -> None:
        setup = Setup()
        await setup.open()
        report = b"LOAD site=east target=s-0 count=2 fail=0 mean=5 over=1000.0\r\n"
        first, second = setup.connect(b"SOURCE site=east\r\n" + report), setup.connect(b"SOURCE site=east\r\n" + report)
        await until(lambda: len(setup.posted) == 2)
        first.sendall(report)
        await until(lambda: len(setup.posted) == 3)
        assert set(setup.posted) == {face.ServerReport(0, digest("s-0"), 2, 0, 5.0, 1000.0)}
        assert len(setup.links.strangers) == 1 and len(setup.links.collectors) == 1
        first.close()
        second.close()
        await until(lambda: not setup.links.strangers and not setup.links.collectors)

    run(work())


def test_probes_come_back_as_events() -> None:
    async def work() -> None:
        server = await asyncio.start_server(toy.serve_probe, "127.0.0.1", 0)
        setup = Setup("{}:{}".format(*server.sockets[0].getsockname()[:2]))
        await setup.open()
        setup.links.probe(digest("s-0"))
        setup.links.probe(digest("never listed"))
        await until(lambda: len(setup.posted) == 2)
        unknown, known = setup.posted
        assert isinstance(known, face.ProbeResult) and (known.outcome, known.load) == (1, (0.0,))
        assert unknown == face.ProbeResult(digest("never listed"), 4, 0.0)

    run(work())
