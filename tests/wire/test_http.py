"""HTTP calls: the stage of errors, timeouts, size limits, and the release of descriptors."""

import asyncio
import time

import pytest
from canned_server import (
    OK_HEAD,
    UNAVAILABLE_RESPONSE,
    ConnectionEnd,
    ConnectionHandler,
    canned_response,
    run_with_server,
)
from fake_services import free_port
from scripted_discovery import ScriptedDiscovery, run_async

from stackwheel.wire.http import Call, CallError, Stage, get, wait_for_result

LONG_MS = 10_000.0
SHORT_MS = 20.0


def call(serve: ConnectionHandler, response_timeout_ms: float = LONG_MS) -> bytes:
    return run_with_server(serve, lambda address: get(address, "/x", LONG_MS, response_timeout_ms))


def call_error(serve: ConnectionHandler, response_timeout_ms: float = LONG_MS) -> CallError:
    with pytest.raises(CallError) as caught:
        call(serve, response_timeout_ms)
    return caught.value


async def error_at(address: str) -> CallError:
    with pytest.raises(CallError) as caught:
        await get(address, "/x", 5000.0, 5000.0)
    return caught.value


def test_body_is_returned() -> None:
    assert call(canned_response(OK_HEAD + b"body")) == b"body"
    assert call(canned_response(b"HTTP/1.1 200 OK\r\n\r\nto the end")) == b"to the end"


@pytest.mark.parametrize(
    ("serve", "stage"),
    [
        (canned_response(b""), Stage.HEAD),
        (canned_response(b"", ConnectionEnd.RESET), Stage.HEAD),
        (canned_response(b"what\r\n\r\n"), Stage.HEAD),
        (canned_response(UNAVAILABLE_RESPONSE), Stage.STATUS),
        (canned_response(OK_HEAD + b"bo"), Stage.BODY),
    ],
)
def test_error_has_the_stage_of_the_failure(serve: ConnectionHandler, stage: Stage) -> None:
    error = call_error(serve)
    assert error.stage is stage
    assert not error.timed_out


def test_missing_data_times_out() -> None:
    before_head = call_error(canned_response(b"", ConnectionEnd.KEEP_OPEN), SHORT_MS)
    in_body = call_error(canned_response(OK_HEAD + b"bo", ConnectionEnd.KEEP_OPEN), SHORT_MS)
    assert (before_head.stage, before_head.timed_out) == (Stage.HEAD, True)
    assert (in_body.stage, in_body.timed_out) == (Stage.BODY, True)


def test_unreachable_server_fails_to_connect() -> None:
    assert asyncio.run(error_at(f"127.0.0.1:{free_port()}")).stage is Stage.CONNECT
    assert asyncio.run(error_at("nowhere")).stage is Stage.CONNECT


@pytest.mark.parametrize("address", ["127.0.0.1:99999999", "127.0.0.1:", "nowhere", ":-1"])
def test_invalid_address_fails_to_connect(address: str) -> None:
    """A port over 65535 must not raise OverflowError instead of CallError."""
    assert asyncio.run(error_at(address)).stage is Stage.CONNECT


def test_error_names_address_stage_and_reason() -> None:
    error = asyncio.run(error_at("nowhere"))
    assert error.address == "nowhere"
    assert str(error).startswith("nowhere: connect: ")


def test_response_over_the_size_limit_is_aborted() -> None:
    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        task = asyncio.create_task(get(discovery.address, "/stats", 5000.0, 5000.0, 1000))
        scripted_call = await discovery.calls.get()
        scripted_call.respond(b"x" * 5000)
        with pytest.raises(CallError) as caught:
            await task
        assert caught.value.reason == "body larger than 1000 bytes"
        await scripted_call.ended.wait()

    run_async(scenario)


def test_result_available_when_timeout_expires_is_returned() -> None:
    """After this process was suspended, a result may become available at the same time as the timeout expires."""

    async def scenario() -> str | None:
        loop = asyncio.get_running_loop()
        ready = loop.create_future()
        loop.call_later(0.01, ready.set_result, "answer")
        waiting = asyncio.ensure_future(wait_for_result(5.0, ready))
        await asyncio.sleep(0)
        time.sleep(0.05)
        return await waiting

    assert asyncio.run(scenario()) == "answer"


@pytest.mark.parametrize("cancelled_when", ["connecting", "connected", "answered"])
def test_cancelled_call_releases_its_descriptor(cancelled_when: str) -> None:
    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        call = Call(discovery.address, "/x")

        async def open_and_hold() -> None:
            try:
                await call.open(LONG_MS, LONG_MS)
                await asyncio.Event().wait()
            finally:
                call.close()

        task = asyncio.create_task(open_and_hold())
        while call.connect_task is None:
            await asyncio.sleep(0)
        if cancelled_when == "connected":  # after the connection is established, before `open` stores its streams
            call.connect_task.add_done_callback(lambda _: task.cancel())
        elif cancelled_when == "answered":
            (await discovery.calls.get()).respond(b"x")
            while call.protocol.their_state.__name__ != "DONE" and call.writer is None:
                await asyncio.sleep(0)
        if cancelled_when != "connected":
            task.cancel()
        await asyncio.wait({task, call.connect_task})
        assert call.writer is None or cancelled_when == "answered"
        await asyncio.sleep(0)
        if not call.connect_task.cancelled():
            _, writer = call.connect_task.result()
            assert writer.transport.is_closing()

    run_async(scenario)
