"""The list's actor: asks discovery for the list and its changes, and tells the module what came of it."""

from __future__ import annotations

import asyncio
import json
import math
from collections.abc import AsyncIterator, Callable

from loguru import logger

from stackwheel.interface import Availability
from stackwheel.state.module import ListFailed
from stackwheel.state.roster import Instance, Listing
from stackwheel.wire import timing
from stackwheel.wire.http import Call, CallFailed, Stage, get

PATH = "/registry/instances"
LIFECYCLES = {"in_service": Availability.READY, "terminating": Availability.DRAINING,
              "terminated": Availability.GONE}


def parse_listing(data: bytes) -> Listing | CallFailed:
    try:
        return read_listing(json.loads(data))
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
        return CallFailed(Stage.CONTENT, f"{type(error).__name__}: {error}"[:200])


def read_listing(found: object) -> Listing:
    """The typed list of a JSON object; ValueError and its like where it is none."""
    if not isinstance(found, dict) or not isinstance(found["instances"], list):
        raise ValueError("no list of instances")
    generation, whole = found["generation"], found["reset"]
    if not isinstance(generation, int) or generation < 0 or not isinstance(whole, bool):
        raise ValueError("generation or reset is wrong")
    return Listing(generation, whole, tuple(read_instance(item) for item in found["instances"]))


def read_instance(item: dict[str, object]) -> Instance:
    name, address, zone = item["instanceId"], item["hostPort"], item["zone"]
    if not (isinstance(name, str) and name and isinstance(address, str) and isinstance(zone, str)):
        raise ValueError(f"instance {str(name)[:40]!r} has no name, address or zone")
    return Instance(name, address, zone, str(item.get("machineType", "")), int(figure(item, "cell", 0.0)),
                    LIFECYCLES[str(item["lifecycle"])], figure(item, "weight", 1.0),
                    figure(item, "startedAtMs", 0.0))


def figure(item: dict[str, object], name: str, default: float) -> float:
    value = item.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"{name} is {str(value)[:40]!r}")
    return float(value)


class Discovery:
    """Its mailbox holds what the policy asks for; each call ends in one item for the module."""

    def __init__(self, address: str, generation: int, follow_always: bool,
                 post: Callable[[Listing | ListFailed], None]) -> None:
        self.address, self.generation, self.post = address, generation, post
        self.follow_always = follow_always  # where changes come unasked, so does the watch
        self.mailbox: asyncio.Queue[str] = asyncio.Queue()
        self.watching: asyncio.Task[None] | None = None
        self.fetching: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        if self.follow_always:
            self.mailbox.put_nowait("watch")
        while True:
            asked = await self.mailbox.get()
            if asked == "fetch":
                task = asyncio.create_task(self.fetch())
                self.fetching.add(task)
                task.add_done_callback(self.fetching.discard)
                continue
            if self.watching is not None:
                self.watching.cancel()
                self.watching = None
            if asked == "watch":
                self.watching = asyncio.create_task(self.watch())

    async def fetch(self) -> None:
        body = await get(self.address, PATH, timing.DIAL, timing.ANSWER)
        self.settle(body if isinstance(body, CallFailed) else parse_listing(body))

    async def watch(self) -> None:
        """Follow until it fails. Every end is a failure: a watch lasts until its connection ends."""
        call = Call(self.address, f"{PATH}?follow=1&since={self.generation}")
        try:
            failed = await call.open(timing.DIAL, timing.ANSWER)
            if failed is not None:
                self.settle(failed)
                return
            async for found in self.lines(call):
                self.settle(found)
        except Exception as error:
            logger.exception("watch on {} failed: {!r}", self.address, error)
            self.settle(CallFailed(Stage.BODY, repr(error)))
        finally:
            call.close()

    async def lines(self, call: Call) -> AsyncIterator[Listing | CallFailed]:
        """The lists of a watch, one JSON object a line; a last failure ends it."""
        held, limit = bytearray(), timing.ANSWER
        while True:
            piece = await call.chunk(limit)
            if piece is None or isinstance(piece, CallFailed):
                yield piece if piece is not None else CallFailed(Stage.BODY, "watch ended")
                return
            held += piece
            limit = timing.SILENCE
            while (end := held.find(b"\n")) >= 0:
                line = bytes(held[:end]).strip()
                del held[:end + 1]
                if line:
                    found = parse_listing(line)
                    yield found
                    if isinstance(found, CallFailed):
                        return
            if len(held) > timing.BODY_MOST:
                yield CallFailed(Stage.BODY, f"line over {timing.BODY_MOST} bytes")
                return

    def settle(self, found: Listing | CallFailed) -> None:
        """One answer: the list, or one event that it could not be had."""
        if isinstance(found, Listing):
            self.generation = found.generation
            logger.info("list {}: {} {} instances", found.generation, "all" if found.whole else "changed",
                        len(found.instances))
            self.post(found)
            return
        logger.warning("discovery {} failed at {}: {}", self.address, found.stage.name, found.reason)
        if self.follow_always:
            asyncio.get_running_loop().call_later(timing.DIAL / 1000.0, self.mailbox.put_nowait, "watch")
        else:
            self.post(ListFailed())
