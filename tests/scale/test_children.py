"""The control connections of a run's processes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import pytest

from stackwheel.scale.children import Child, Children, Role
from stackwheel.scale.control import (
    Answer,
    ControlError,
    CountPlannersWithList,
    FullList,
    GetTraffic,
    Lines,
    Load,
    PlannersWithList,
    Ready,
    Traffic,
)


class Written:
    """A stream's writer that keeps what is written."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def write(self, data: bytes) -> None:
        self.lines.append(data)

    async def drain(self) -> None:
        pass


def child_of(reader: asyncio.StreamReader, writer: Written) -> Child:
    none: Any = None
    lines: Lines[Answer] = Lines(reader, writer, Answer)  # type: ignore[arg-type]
    return Child(Role.REGISTRY, "registry", none, lines)


def said(message: object) -> bytes:
    return msgspec.json.encode(message) + b"\n"


def test_an_answer_nobody_waits_for_any_more_is_not_the_next_ones() -> None:
    async def work() -> None:
        reader, writer = asyncio.StreamReader(), Written()
        child = child_of(reader, writer)
        first = asyncio.create_task(child.request(GetTraffic(), Traffic))
        while not writer.lines:
            await asyncio.sleep(0)
        first.cancel()
        second = asyncio.create_task(child.request(CountPlannersWithList(), PlannersWithList))
        await asyncio.sleep(0)
        reader.feed_data(said(Traffic(1)) + said(PlannersWithList(7)))
        assert await second == PlannersWithList(7)
        assert first.cancelled()

    asyncio.run(asyncio.wait_for(work(), 10))


def test_another_answer_or_an_end_is_told_with_the_processs_name() -> None:
    async def work() -> None:
        reader = asyncio.StreamReader()
        child = child_of(reader, Written())
        reader.feed_data(said(PlannersWithList(1)))
        with pytest.raises(ControlError, match="registry said PlannersWithList, not Traffic"):
            await child.request(GetTraffic(), Traffic)
        reader.feed_data(b"{]\n")
        with pytest.raises(ControlError, match="control message"):
            await child.request(GetTraffic(), Traffic)
        reader.feed_eof()
        with pytest.raises(ControlError, match="registry said NoneType"):
            await child.request(GetTraffic(), Traffic)

    asyncio.run(asyncio.wait_for(work(), 10))


def test_more_processes_than_allowed_are_refused_and_all_end(tmp_path: Path) -> None:
    async def work() -> None:
        children = Children(tmp_path, 1)
        registry = await children.start_module(Role.REGISTRY, "registry", "stackwheel.scale.registry")
        try:
            assert (await registry.request(Load("127.0.0.1", []), Ready)).address
            with pytest.raises(ControlError, match="over 1 processes"):
                await children.start_module(Role.REGISTRY, "another", "stackwheel.scale.registry")
        finally:
            await children.end_all()
        assert registry.process.returncode == 0
        assert not children.running
        assert not children.ended()
        with pytest.raises(ControlError):
            await registry.request(GetTraffic(), FullList)

    asyncio.run(asyncio.wait_for(work(), 30))
