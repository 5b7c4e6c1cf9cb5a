"""Calls to the discovery service: invalid responses, and the lines, deadline and renewal of a watch."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import pytest
from canned_server import canned_response, run_with_server
from scripted_discovery import ScriptedDiscovery, run_async, start_watching

from stackwheel.wire import timing
from stackwheel.wire.discovery_calls import LineSplitter, fetch_endpoint_list, watch_call
from stackwheel.wire.discovery_protocol import INSTANCES_PATH
from stackwheel.wire.http import CallError, Stage
from stackwheel.wire.watch_renewal import RenewalTimer

INVALID_DOCUMENTS = [
    b'{"generation":-1,"reset":false,"instances":[]}',
    b'{"generation":"x","reset":false,"instances":[]}',
    b'{"generation":true,"reset":false,"instances":[]}',
    b'{"generation":43,"reset":0,"instances":[]}',
    b'{"generation":43,"reset":false,"instances":[',
    b"[]",
    b"\xff",
    b"[" * 100_000,
]


@pytest.mark.parametrize("body", [*INVALID_DOCUMENTS, b""])
def test_fetch_of_an_invalid_document_fails(body: bytes) -> None:
    response = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    with pytest.raises(CallError) as caught:
        run_with_server(canned_response(response), fetch_endpoint_list)
    assert caught.value.stage is Stage.CONTENT
    assert not caught.value.timed_out
    assert len(caught.value.reason) <= 200


@pytest.mark.parametrize("line", INVALID_DOCUMENTS)
def test_watch_with_an_invalid_line_fails(line: bytes) -> None:
    async def scenario() -> None:
        discovery = await ScriptedDiscovery().start()
        harness, watch = await start_watching(discovery, 8, "a")
        watch.send(line + b"\n")
        assert await harness.next_is_failure()
        await watch.ended.wait()
        assert harness.client.generation == 8

    run_async(scenario)


def complete_lines(splitter: LineSplitter, now_ms: float = 0.0) -> list[bytes]:
    lines = []
    while (line := splitter.next_line(now_ms)) is not None:
        lines.append(line)
    return lines


@pytest.mark.parametrize("chunk_size", [1, 2, 3, 7, 100])
def test_lines_do_not_depend_on_the_division_into_chunks(chunk_size: int) -> None:
    data = b"{1}\n\n \r\n{22}\n{333"
    splitter = LineSplitter(0.0)
    lines = []
    for start in range(0, len(data), chunk_size):
        splitter.append(data[start : start + chunk_size])
        lines += complete_lines(splitter)
    assert lines == [b"{1}", b"", b"", b"{22}"]
    assert splitter.partial == b"{333"


def test_line_deadline_restarts_with_each_complete_line() -> None:
    splitter = LineSplitter(100.0)
    assert splitter.deadline_ms == 100.0 + timing.LINE_TIMEOUT_MS
    splitter.append(b"{")
    assert splitter.next_line(200.0) is None
    assert splitter.deadline_ms == 100.0 + timing.LINE_TIMEOUT_MS
    splitter.append(b"}\n{")
    assert splitter.next_line(300.0) == b"{}"
    assert splitter.deadline_ms == 300.0 + timing.LINE_TIMEOUT_MS


def test_watch_request_contains_the_generation_to_resume_after() -> None:
    assert watch_call("h:1", None).target == f"{INSTANCES_PATH}?follow=1"
    assert watch_call("h:1", 0).target == f"{INSTANCES_PATH}?follow=1&since=0"


class ScheduledRenewals:
    """The delays, in s, after which a renewal timer was to become due, and the handles of these timers."""

    def __init__(self, interval_ms: float) -> None:
        self.loop = asyncio.new_event_loop()
        self.timer = RenewalTimer(interval_ms, Random(1), lambda: None)
        self.delays: list[float] = []
        self.handles: list[asyncio.TimerHandle] = []

    def call_later(self, delay: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Record a delay instead of waiting for it."""
        self.delays.append(delay)
        self.handles.append(self.loop.call_at(delay, callback))
        return self.handles[-1]

    def run(self, action: Callable[[RenewalTimer], None]) -> None:
        """Run an action of the timer within the event loop."""

        async def scenario() -> None:
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(self.loop, "call_later", self.call_later)
                action(self.timer)

        self.loop.run_until_complete(scenario())


def test_renewal_is_due_within_the_interval_whatever_the_jitter() -> None:
    """Guards against a renewal that jitter or an earlier failure delays beyond the time in which drains are told."""
    renewals = ScheduledRenewals(1000.0)
    for _ in range(100):
        renewals.run(RenewalTimer.restart)
    renewals.loop.close()
    assert all(0.5 <= delay <= 1.0 for delay in renewals.delays)
    assert max(renewals.delays) - min(renewals.delays) > 0.4


def test_renewal_timer_has_one_pending_timer_and_none_after_it_was_stopped() -> None:
    renewals = ScheduledRenewals(1000.0)
    renewals.run(RenewalTimer.restart)
    renewals.run(RenewalTimer.restart_after_call)
    assert [handle.cancelled() for handle in renewals.handles] == [True, False]
    renewals.run(RenewalTimer.stop)
    renewals.loop.close()
    assert [handle.cancelled() for handle in renewals.handles] == [True, True]
