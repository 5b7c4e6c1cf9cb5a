"""HTTP calls and probes: a failure tells how far the call had come."""

import asyncio
import math
from collections.abc import Awaitable, Callable

import pytest
from fake_services import config, free_port, toy

from stackwheel.endpoints import EndpointList
from stackwheel.interface import HealthCheckResult, Server
from stackwheel.service.config import read_config
from stackwheel.settings import Names
from stackwheel.state.clock import Clock
from stackwheel.wire.discovery_client import parse_listing
from stackwheel.wire.health_checks import probe, probe_call
from stackwheel.wire.http import CallFailed, Stage, get, within

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
SERVER = Server(b"\0" * 6)


def says(data: bytes, end: bool = True, reset: bool = False) -> Serve:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        if reset:
            writer.transport.abort()
        elif end:
            writer.close()
        else:
            await asyncio.Event().wait()

    return serve


async def with_server(serve: Serve, work: Callable[[str], Awaitable[object]]) -> object:
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return await work("{}:{}".format(*server.sockets[0].getsockname()[:2]))


def call(serve: Serve, answer: float = 10_000.0) -> object:
    return asyncio.run(with_server(serve, lambda address: get(address, "/x", 10_000.0, answer)))


OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"


def test_a_body() -> None:
    assert call(says(OK + b"body")) == b"body"
    assert call(says(b"HTTP/1.1 200 OK\r\n\r\nto the end")) == b"to the end"


@pytest.mark.parametrize(
    ("serve", "stage"),
    [
        (says(b""), Stage.HEAD),
        (says(b"", reset=True), Stage.HEAD),
        (says(b"what\r\n\r\n"), Stage.HEAD),
        (says(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), Stage.STATUS),
        (says(OK + b"bo"), Stage.BODY),
    ],
)
def test_how_far_it_came(serve: Serve, stage: Stage) -> None:
    failed = call(serve)
    assert isinstance(failed, CallFailed) and failed.stage is stage and not failed.timed_out


def test_silence() -> None:
    before, after = call(says(b"", end=False), 20.0), call(says(OK + b"bo", end=False), 20.0)
    assert isinstance(before, CallFailed) and (before.stage, before.timed_out) == (Stage.HEAD, True)
    assert isinstance(after, CallFailed) and (after.stage, after.timed_out) == (Stage.BODY, True)


def test_nobody_there() -> None:
    failed = asyncio.run(get(f"127.0.0.1:{free_port()}", "/x", 5000.0, 5000.0))  # type: ignore[arg-type]
    assert isinstance(failed, CallFailed) and failed.stage is Stage.DIAL
    failed = asyncio.run(get("nowhere", "/x", 5000.0, 5000.0))  # type: ignore[arg-type]
    assert isinstance(failed, CallFailed) and failed.stage is Stage.DIAL


def test_what_lies_ready_when_the_time_is_up_still_counts() -> None:
    """After this process stood still, the answer and the end of its time come together."""
    import time

    async def work() -> str | None:
        loop = asyncio.get_running_loop()
        ready = loop.create_future()
        loop.call_later(0.01, ready.set_result, "answer")
        waiting = asyncio.ensure_future(within(5.0, ready))
        await asyncio.sleep(0)
        time.sleep(0.05)
        return await waiting

    assert asyncio.run(work()) == "answer"


def ask(serve: Serve, names: Names) -> HealthCheckResult:
    found = asyncio.run(with_server(serve, lambda address: probe(SERVER, probe_call(address, names), names, Clock())))
    assert isinstance(found, HealthCheckResult)
    return found


def test_probes() -> None:
    reports = Names(columns=("backlog", "outstanding"), health_check_returns_load=True)
    assert ask(toy.serve_probe, Names()).outcome == 1 and ask(toy.serve_probe, Names()).load == ()
    load = ask(toy.serve_probe, reports).load
    assert math.isnan(load[0]) and load[1] == 0.0
    assert ask(says(OK + b"what"), reports).outcome == 0
    assert ask(says(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), Names()).outcome == 2
    assert ask(says(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), Names()).outcome == 0
    assert ask(says(b"", reset=True), Names()).outcome == 5
    nobody = probe_call(f"127.0.0.1:{free_port()}", Names())
    gone = asyncio.run(probe(SERVER, nobody, Names(), Clock()))
    assert gone.outcome == 4


GOOD = (
    b'{"generation":43,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"h:1","zone":"a","machineType":"m2",'
    b'"cell":3,"lifecycle":"terminating","weight":1.5,"startedAtMs":12.5,"later":[]}]}'
)


def test_a_listing() -> None:
    found = parse_listing(GOOD)
    assert isinstance(found, EndpointList) and (found.generation, found.complete) == (43, False)
    (one,) = found.instances
    assert (one.name, one.address, one.zone, one.kind, one.cell, one.availability, one.weight, one.started_at) == (
        "s-1",
        "h:1",
        "a",
        "m2",
        3,
        2,
        1.5,
        12.5,
    )


@pytest.mark.parametrize(
    ("part", "instead"),
    [
        (b"43", b"-1"),
        (b"43", b'"x"'),
        (b"43", b"true"),
        (b"false", b"0"),
        (b"}]}", b""),
        (GOOD, b"[]"),
        (GOOD, b""),
        (GOOD, b"\xff"),
        (GOOD, b"[" * 100_000),
    ],
)
def test_a_bad_listing_is_a_failed_call(part: bytes, instead: bytes) -> None:
    failed = parse_listing(GOOD.replace(part, instead))
    assert isinstance(failed, CallFailed) and failed.stage is Stage.CONTENT


@pytest.mark.parametrize(
    ("part", "instead", "named"),
    [
        (b'"s-1"', b'""', ""),
        (b'"s-1"', b"7", ""),
        (b'"s-1"', b'"s 1"', "s 1"),
        (b'"s-1"', b'"s,1"', "s,1"),
        (b"terminating", b"resting", "s-1"),
        (b"1.5", b"NaN", "s-1"),
        (b"1.5", b"-1", "s-1"),
        (b"12.5", b"Infinity", "s-1"),
        (b'"cell":3', b'"cell":[]', "s-1"),
        (b'"zone"', b'"z"', "s-1"),
        (b'"h:1"', b"null", "s-1"),
        (b'{"instanceId"', b'7,{"instanceId"', ""),
    ],
)
def test_a_bad_entry_is_left_out_and_named(part: bytes, instead: bytes, named: str) -> None:
    """Once the whole list failed for it; now its neighbours count, and who reads the list knows what it lacks."""
    neighbour = b'{"instanceId":"s-0","hostPort":"h:1","zone":"a","lifecycle":"in_service"}'
    found = parse_listing(GOOD.replace(part, instead).replace(b"]}]}", b"]}," + neighbour + b"]}"))
    assert isinstance(found, EndpointList) and found.unreadable == {named}
    assert "s-0" in {one.name for one in found.instances}
    assert ("s-1" in {one.name for one in found.instances}) == (part == b'{"instanceId"')


def test_a_known_list_with_a_bad_entry_is_no_configuration() -> None:
    told = config("127.0.0.1:1", known={"generation": 1, "reset": True, "instances": [{"instanceId": "s-0"}]})
    with pytest.raises(ValueError, match="known: list 1: entry 0"):
        read_config(told)
