"""The list's actor: asks discovery for the list and its changes, and tells the module what came of it."""

from __future__ import annotations

import asyncio
import json
import math
import re
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace
from random import Random

from loguru import logger

from stackwheel.endpoints import EndpointList, Instance, merge
from stackwheel.interface import Availability
from stackwheel.state.planner_actor import EndpointListFailed
from stackwheel.wire import timing
from stackwheel.wire.backoff import Backoff
from stackwheel.wire.http import Call, CallFailed, Stage, get

PATH = "/registry/instances"
UNWRITABLE = re.compile(r"[\s,\x00-\x1f\x7f]")  # in a line of an order it would end the name
LIFECYCLES = {
    "in_service": Availability.READY,
    "terminating": Availability.DRAINING,
    "terminated": Availability.REMOVED,
}


def parse_listing(data: bytes) -> EndpointList | CallFailed:
    try:
        return read_listing(json.loads(data), lambda what: logger.warning("{}; left out", what))
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
        return CallFailed(Stage.CONTENT, f"{type(error).__name__}: {error}"[:200])


def read_listing(found: object, report: Callable[[str], None]) -> EndpointList:
    """The typed list of a JSON object; ValueError and its like where it is none.

    An entry that can't be read is reported and left out, its neighbours count: no list fails for one of them.
    """
    if not isinstance(found, dict) or not isinstance(found["instances"], list):
        raise ValueError("no list of instances")
    generation, whole = found["generation"], found["reset"]
    if type(generation) is not int or generation < 0 or not isinstance(whole, bool):
        raise ValueError("generation or reset is wrong")
    read: list[Instance] = []
    unreadable: set[str] = set()
    for place, item in enumerate(found["instances"]):
        try:
            read.append(read_instance(item))
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            name = item.get("instanceId") if isinstance(item, dict) else None
            unreadable.add(name if isinstance(name, str) else "")
            report(f"list {generation}: entry {place} ({str(name)[:40]!r}): {type(error).__name__}: {error}"[:200])
    return EndpointList(generation, whole, tuple(read), frozenset(unreadable))


def read_instance(item: dict[str, object]) -> Instance:
    name, address, zone = item["instanceId"], item["hostPort"], item["zone"]
    if not (isinstance(name, str) and isinstance(address, str) and isinstance(zone, str)):
        raise ValueError("no name, address or zone")
    if not name or UNWRITABLE.search(name):
        raise ValueError("a name that no order can carry")
    return Instance(
        name,
        address,
        zone,
        str(item.get("machineType", "")),
        int(figure(item, "cell", 0.0)),
        LIFECYCLES[str(item["lifecycle"])],
        figure(item, "weight", 1.0),
        figure(item, "startedAtMs", 0.0),
    )


def figure(item: dict[str, object], name: str, default: float) -> float:
    value = item.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"{name} is {str(value)[:40]!r}")
    return float(value)


async def whole_list(address: str) -> EndpointList | CallFailed:
    body = await get(address, PATH, timing.CONNECT_TIMEOUT_MS, timing.RESPONSE_TIMEOUT_MS)
    return body if isinstance(body, CallFailed) else parse_listing(body)


def replicas(address: str) -> list[str]:
    """The addresses of a service that is named "host:port,host:port": its replicas, which tell the same list in the
    same generations."""
    return address.split(",")


@dataclass(frozen=True, slots=True)
class Move:
    """Discovery is at another address from now on."""

    address: str


class DiscoveryClient:
    """Its mailbox holds what the policy asks for, and moves; each call ends in one item for the module.

    After a move the old address is watched until the new one has answered. That answer is taken for the
    whole list, as what the old one told, and in which numbers, says nothing of the new one. A watch that
    tells no change for long is renewed in the same way, as its updates may have stopped while it beats.

    An address may name several replicas of one service. A call that fails there goes to the next of them.
    """

    def __init__(
        self,
        address: str,
        generation: int,
        follow_always: bool,
        post: Callable[[EndpointList | EndpointListFailed], None],
        random: Random | None = None,
        ask_within: float = math.inf,
        renewal: float = math.inf,
        heard: Callable[[], None] = lambda: None,
    ) -> None:
        self.address, self.generation, self.post = address, generation, post
        self.follow_always = follow_always  # where changes come unasked, so does the watch
        self.random = random or Random(0)
        self.backoff = Backoff(timing.CONNECT_TIMEOUT_MS, timing.MAX_RETRY_DELAY_RATIO * ask_within, self.random)
        self.renewal = renewal  # ms without a change after which a watch is renewed
        self.heard = heard  # told of each empty line of a watch whose list is in force
        self.source = address  # whose list is in force
        self.turn = 0  # counts on to the replica that the next watch asks
        self.mailbox: asyncio.Queue[str | Move] = asyncio.Queue()
        self.watching: asyncio.Task[None] | None = None
        self.successor: asyncio.Task[None] | None = None  # a watch at a new address that has not answered yet
        self.fetching: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        if self.follow_always:
            self.mailbox.put_nowait("watch")
        while True:
            match await self.mailbox.get():
                case Move(address):
                    self.move(address)
                case "again" if self.watching is not None and self.source != self.address:
                    self.successor = self.successor or asyncio.create_task(self.watch(self.address))
                case "renew" if self.watching is not None and self.successor is None:
                    self.successor = asyncio.create_task(self.watch(self.address))
                case "fetch":
                    task = asyncio.create_task(self.fetch())
                    self.fetching.add(task)
                    task.add_done_callback(self.fetching.discard)
                case "watch" if self.successor is None:
                    self.let_go()
                    self.watching = asyncio.create_task(self.watch(self.address))
                case "stop":
                    self.let_go()

    def move(self, address: str) -> None:
        """Look for the list elsewhere; without a watch there is nothing to hand over."""
        if address == self.address:
            return
        logger.info("discovery moves from {} to {}", self.address, address)
        self.address, self.turn = address, 0
        if self.successor is not None:
            self.successor.cancel()
            self.successor = None
        if self.watching is not None:
            self.mailbox.put_nowait("again")

    def let_go(self) -> None:
        for task in (self.watching, self.successor):
            if task is not None:
                task.cancel()
        self.watching = self.successor = None

    def asked(self) -> str:
        """Whose whole list counts: never that of an address whose watch is still to take over."""
        return self.source if self.watching is not None else self.address

    async def fetch(self) -> None:
        """The whole list. Where discovery moves meanwhile it is asked for again, so that an answer always comes."""
        found: EndpointList | CallFailed | None = None
        while found is None:
            address = self.asked()
            try:
                found = await self.fetch_newest(address)
            except Exception as error:
                logger.exception("call of {} failed: {!r}", address, error)
                found = CallFailed(Stage.BODY, repr(error))
            if address != self.asked():
                found = None
        if isinstance(found, CallFailed):
            self.failed(found, address)
            return
        if self.watching is not None and found.generation < self.generation:  # the watch has overtaken it
            found = replace(found, complete=False)
        self.settle(found, address)

    async def fetch_newest(self, address: str) -> EndpointList | CallFailed:
        """The whole list of the first replica that is not behind what is known; else the newest of them all."""
        names, newest = replicas(address), None
        failed: CallFailed | None = None
        for at in range(self.turn, self.turn + len(names)):
            found = await whole_list(names[at % len(names)])
            if isinstance(found, CallFailed):
                failed = found
                continue
            if address == self.source and found.generation >= self.generation:
                return found
            if newest is None or found.generation > newest.generation:
                newest = found
        return newest or failed or CallFailed(Stage.DIAL, "no replica")

    async def watch(self, address: str) -> None:
        """Follow until it fails. Every end is a failure: a watch lasts until its connection ends.

        Where there are replicas, one that has held for a beat is followed by the others at once, and all are asked
        once before it has failed.
        """
        names, loop = replicas(address), asyncio.get_running_loop()
        left = len(names)
        while True:
            at, began = self.turn, loop.time()
            told, failed = await self.follow(address, names[at % len(names)])
            if asyncio.current_task() not in (self.watching, self.successor):
                return  # it was let go
            self.turn = at + 1
            held = told and loop.time() >= began + timing.HEARTBEAT_INTERVAL_MS / 1000.0
            left = len(names) - 1 if held else left - 1
            if left <= 0:
                break
            logger.warning("replica of {} failed at {}: {}; the next one", address, failed.stage.name, failed.reason)
        self.watch_ended(failed, address)

    async def follow(self, address: str, replica: str) -> tuple[bool, CallFailed]:
        """One watch at one replica until its end; whether it has told a list."""
        told = False
        since = f"&since={self.generation}" if address == self.source else ""
        call = Call(replica, f"{PATH}?follow=1{since}")
        try:
            failed = await call.open(timing.CONNECT_TIMEOUT_MS, timing.RESPONSE_TIMEOUT_MS)
            lists = self.lines(call) if address == self.source else self.whole(call, address)
            loop = asyncio.get_running_loop()
            renew_at, wait = math.inf, self.renewal
            while failed is None:
                found = await anext(lists)
                if isinstance(found, CallFailed):
                    failed = found
                elif found is not None:
                    self.settle(found, address)
                    told = True
                    wait = self.renewal
                    renew_at = loop.time() + wait / 1000.0 * (0.5 + self.random.random())
                else:
                    if told:
                        self.heard()
                    if loop.time() >= renew_at:
                        wait *= 2  # this one goes on where the next fails, and is renewed ever more seldom
                        renew_at = loop.time() + wait / 1000.0 * (0.5 + self.random.random())
                        self.mailbox.put_nowait("renew")
        except Exception as error:
            logger.exception("watch on {} failed: {!r}", address, error)
            failed = CallFailed(Stage.BODY, repr(error))
        finally:
            call.close()
        return told, failed

    def watch_ended(self, failed: CallFailed, address: str) -> None:
        """A watch that another takes the place of is no loss; else the module hears of it."""
        if self.successor is asyncio.current_task():
            self.successor = None
        elif self.watching is asyncio.current_task():
            self.watching = None
        else:
            return  # it was let go
        if self.watching is None and self.successor is None:
            self.failed(failed, address)
            return
        logger.info("discovery {} ended at {}: {}; another watch goes on", address, failed.stage.name, failed.reason)
        if self.successor is None and self.source != self.address:
            asyncio.get_running_loop().call_later(self.backoff.next() / 1000.0, self.mailbox.put_nowait, "again")

    async def whole(self, call: Call, address: str) -> AsyncIterator[EndpointList | CallFailed | None]:
        """The lists of a watch at a new address, the first of them whole.

        The old address may have told more by then: a list behind that waits for what changed since, but no
        longer than a beat, as its numbers may also be others.
        """
        held: EndpointList | None = None
        async for found in self.lines(call):
            if isinstance(found, CallFailed) or self.source == address:
                yield found
            elif found is not None and not found.complete and held is None:
                fetched = await whole_list(call.address)
                if isinstance(fetched, CallFailed):
                    yield fetched
                    return
                held = fetched
            elif found is not None:
                held = found if held is None or found.complete else merge(held, found)
            if held is not None and (found is None or held.generation >= self.generation):
                yield held
                held = None

    async def lines(self, call: Call) -> AsyncIterator[EndpointList | CallFailed | None]:
        """The lists of a watch, one JSON object a line, None for an empty line; a last failure ends it."""
        loop = asyncio.get_running_loop()
        held, limit, line_due = bytearray(), timing.RESPONSE_TIMEOUT_MS, loop.time() * 1000.0 + timing.LINE_TIMEOUT_MS
        while True:
            piece = await call.chunk(min(limit, max(0.0, line_due - loop.time() * 1000.0)))
            if piece is None or isinstance(piece, CallFailed):
                yield piece if piece is not None else CallFailed(Stage.BODY, "watch ended")
                return
            searched = len(held)
            held += piece
            limit = timing.WATCH_SILENCE_TIMEOUT_MS
            while (end := held.find(b"\n", searched)) >= 0:
                line = bytes(held[:end]).strip()
                del held[: end + 1]
                searched, line_due = 0, loop.time() * 1000.0 + timing.LINE_TIMEOUT_MS
                found = parse_listing(line) if line else None
                yield found
                if isinstance(found, CallFailed):
                    return
            if held and loop.time() * 1000.0 > line_due:
                yield CallFailed(Stage.BODY, "a line without end", timed_out=True)
                return
            if len(held) > timing.MAX_BODY_BYTES:
                yield CallFailed(Stage.BODY, f"line over {timing.MAX_BODY_BYTES} bytes")
                return

    def settle(self, found: EndpointList, address: str) -> None:
        self.backoff.reset()
        if address != self.source:
            logger.info("discovery {} takes the place of {}", address, self.source)
            self.source, found = address, replace(found, generations_restarted=True)
        if self.successor is asyncio.current_task():
            if self.watching is not None:
                self.watching.cancel()
            self.watching, self.successor = self.successor, None
        self.generation = found.generation if found.complete else max(self.generation, found.generation)
        logger.info(
            "list {}: {} {} instances", found.generation, "all" if found.complete else "changed", len(found.instances)
        )
        self.post(found)

    def failed(self, failed: CallFailed, address: str) -> None:
        """One event that the list could not be had; the policy says when to ask again."""
        logger.warning("discovery {} failed at {}: {}", address, failed.stage.name, failed.reason)
        if self.follow_always:
            asyncio.get_running_loop().call_later(self.backoff.next() / 1000.0, self.mailbox.put_nowait, "watch")
        else:
            self.post(EndpointListFailed())
