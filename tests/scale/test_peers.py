"""Tests of the number, size and delivery of datagrams between hollow planners; see docs/fleet.md."""

from __future__ import annotations

import asyncio

import pytest

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.interface import Availability
from stackwheel.policy import peer_planners
from stackwheel.policy.gossip import encode
from stackwheel.scale.control import HollowPlanner
from stackwheel.scale.hollow_endpoints import HollowEndpointCache, SharedEntries
from stackwheel.scale.peers import MAX_DATAGRAMS_PER_INTERVAL, PeerTraffic, bytes_per_interval, datagrams_per_interval
from stackwheel.state.server_ids import server_id


@pytest.mark.parametrize(
    ("planners", "servers", "datagrams"),
    [(1, 500, 0), (7, 23, 6), (7, 31, 6), (7, 32, 12), (2, 31 * 128, 128), (2, 31 * 128 + 1, 0), (16, 512, 0)],
)
def test_the_number_of_datagrams_equals_that_of_real_planners(planners: int, servers: int, datagrams: int) -> None:
    assert datagrams_per_interval(planners, servers) == datagrams


@pytest.mark.parametrize(("planners", "servers"), [(7, 23), (2, 31), (2, 32), (16, 70), (1, 9), (16, 512)])
def test_the_bytes_equal_those_of_the_encoded_datagrams(planners: int, servers: int) -> None:
    payloads = encode(5, {server_id(str(number)): 1.0 for number in range(servers)})
    sent = datagrams_per_interval(planners, servers) > 0
    assert bytes_per_interval(planners, servers) == (planners - 1) * sum(map(len, payloads)) * sent


def test_the_limit_of_datagrams_equals_that_of_the_policy() -> None:
    assert MAX_DATAGRAMS_PER_INTERVAL == peer_planners.MAX_DATAGRAMS_PER_INTERVAL


def test_hollow_planners_send_datagrams_to_their_peers_and_read_them() -> None:
    async def work() -> None:
        traffic = PeerTraffic()
        cache = HollowEndpointCache(SharedEntries(("zone",), ("m1",)))
        ready = tuple(Instance(f"s-{n}", "", "zone", "m1", 0, Availability.READY, 1.0, 0.0) for n in range(40))
        cache.apply_list(EndpointList(1, True, ready), 0.0)
        ports = []
        loop = asyncio.get_running_loop()
        for _ in range(2):
            transport, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, local_addr=("127.0.0.1", 0))
            ports.append("{}:{}".format(*transport.get_extra_info("sockname")[:2]))
            transport.close()
        await asyncio.sleep(0)
        planners = [HollowPlanner(n, "c", "", 0, ports[n], (ports[1 - n],)) for n in (0, 1)]
        await traffic.start(planners, lambda _: cache)
        async with asyncio.timeout(10):
            while traffic.datagrams_in < 4:
                await asyncio.sleep(0.01)
        traffic.close()
        assert traffic.datagrams_out >= 4
        assert traffic.bytes_in > 0
        assert traffic.datagrams_computed == traffic.datagrams_out

    asyncio.run(work())
