"""Tests of a run's child processes and their control connections."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import pytest

from stackwheel.scale.children import Child, Children, Role
from stackwheel.scale.control import (
    Answer,
    ControlConnection,
    ControlError,
    CountPlannersWithList,
    FullList,
    GetTraffic,
    Load,
    PlannersWithList,
    Ready,
    Traffic,
)


class RecordingWriter:
    """Stream writer that records the written lines."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.lines.append(data)

    async def drain(self) -> None:
        pass


def child_of(reader: asyncio.StreamReader, writer: RecordingWriter) -> Child:
    no_process: Any = None
    connection: ControlConnection[Answer] = ControlConnection(reader, writer, Answer)  # type: ignore[arg-type]
    return Child(Role.REGISTRY, "registry", no_process, connection)


def encoded(message: object) -> bytes:
    return msgspec.json.encode(message) + b"\n"


def test_the_answer_to_a_cancelled_request_is_not_returned_for_the_next_request() -> None:
    async def work() -> None:
        reader = asyncio.StreamReader()
        writer = RecordingWriter()
        child = child_of(reader, writer)
        first = asyncio.create_task(child.request(GetTraffic(), Traffic))
        while not writer.lines:
            await asyncio.sleep(0)
        first.cancel()
        second = asyncio.create_task(child.request(CountPlannersWithList(), PlannersWithList))
        await asyncio.sleep(0)
        reader.feed_data(encoded(Traffic(1)) + encoded(PlannersWithList(7)))
        assert await second == PlannersWithList(7)
        assert first.cancelled()

    asyncio.run(asyncio.wait_for(work(), 10))


def test_an_unexpected_answer_or_end_raises_an_error_that_names_the_process() -> None:
    async def work() -> None:
        reader = asyncio.StreamReader()
        child = child_of(reader, RecordingWriter())
        reader.feed_data(encoded(PlannersWithList(1)))
        with pytest.raises(ControlError, match="registry answered PlannersWithList, expected Traffic"):
            await child.request(GetTraffic(), Traffic)
        reader.feed_data(b"{]\n")
        with pytest.raises(ControlError, match="invalid message on the control connection"):
            await child.request(GetTraffic(), Traffic)
        reader.feed_eof()
        with pytest.raises(ControlError, match="registry answered NoneType"):
            await child.request(GetTraffic(), Traffic)

    asyncio.run(asyncio.wait_for(work(), 10))


def test_a_process_above_the_maximum_is_rejected_and_all_processes_end(tmp_path: Path) -> None:
    async def work() -> None:
        children = Children(tmp_path, 1)
        registry = await children.start_module(Role.REGISTRY, "registry", "stackwheel.scale.registry")
        try:
            assert (await registry.request(Load("127.0.0.1", []), Ready)).address
            with pytest.raises(ControlError, match="the maximum of 1 processes is running"):
                await children.start_module(Role.REGISTRY, "another", "stackwheel.scale.registry")
        finally:
            await children.end_all()
        assert registry.process.returncode == 0
        assert not children.running
        assert not children.unexpectedly_ended()
        with pytest.raises(ControlError):
            await registry.request(GetTraffic(), FullList)

    asyncio.run(asyncio.wait_for(work(), 30))
