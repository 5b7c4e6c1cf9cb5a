"""The actor that asks the discovery service for the endpoint list and its changes, and posts what comes of it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from enum import Enum, auto
from random import Random
from typing import NamedTuple

from loguru import logger

from stackwheel.endpoints import EndpointList
from stackwheel.state.messages import EndpointListFailed
from stackwheel.wire import timing
from stackwheel.wire.backoff import Backoff
from stackwheel.wire.discovery_calls import (
    WatchEvent,
    fetch_endpoint_list,
    handover_events,
    watch_call,
    watch_events,
)
from stackwheel.wire.discovery_protocol import replica_addresses
from stackwheel.wire.http import Call, CallError, Stage
from stackwheel.wire.watch_renewal import RenewalTimer


class Command(Enum):
    """What the client can be asked to do; see `DiscoveryClient.send`."""

    WATCH = auto()  # start a watch, in place of any that is open
    STOP = auto()  # end the watches
    FETCH = auto()  # fetch the complete list once
    RENEW = auto()  # open a second watch, which takes over once it has delivered a list
    HAND_OVER = auto()  # the same at a new address, after that has changed or the last attempt has failed


class ChangeAddress(NamedTuple):
    """The command to look for discovery at another address from now on: "host:port" or several with commas."""

    address: str


class WatchEnd(NamedTuple):
    """How one watch at one replica ended.

    Attributes:
        error: what ended it.
        received_list: whether it has delivered an endpoint list.
    """

    error: CallError
    received_list: bool


class DiscoveryOptions(NamedTuple):
    """How a client gets the endpoint list.

    Attributes:
        always_watch: watch without being asked, and repeat a watch that failed, instead of posting the failure.
        poll_deadline_ms: within which the list has to be asked for again; bounds the delays.
        renewal_interval_ms: without a change after which a watch is renewed.
        on_heartbeat: called for each heartbeat of a watch that has delivered its list.
    """

    always_watch: bool = False
    poll_deadline_ms: float = math.inf
    renewal_interval_ms: float = math.inf
    on_heartbeat: Callable[[], None] = lambda: None


DEFAULT_OPTIONS = DiscoveryOptions()
"""Only what commands ask for, once each."""


class DiscoveryClient:
    """An actor whose mailbox holds commands; each call that it makes for one ends in one posted item.

    After a change of address the old one is watched until the new one has answered. That answer counts as the
    complete list, as what the old address delivered, and in which generations, says nothing of the new one. A watch
    that delivers no change for long is renewed in the same way: its updates may have stopped though its heartbeat
    goes on.

    An address may name several replicas of one service. A call that fails there goes to the next of them.

    Attributes:
        address: where discovery is.
        options: how the list is watched.
        source: the address whose list is in force; another one than `address` during a hand-over.
        generation: of the list in force.
        replica_index: counts on to the replica that the next watch calls.
        backoff: delays between attempts that fail.
        watch_task: the watch whose list is in force, or that was asked for first.
        successor_task: a watch that has delivered no list yet, and then replaces `watch_task`.
        fetch_tasks: the fetches in flight.
    """

    def __init__(
        self,
        address: str,
        generation: int,
        post: Callable[[EndpointList | EndpointListFailed], None],
        random: Random | None = None,
        options: DiscoveryOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Make a client that is not started yet.

        Args:
            address: "host:port" of the service, or several of replicas with commas between.
            generation: of the list that is known already; 0 for none.
            post: gets each endpoint list, and each failure to get one.
            random: for the jitter of delays.
            options: how the list is watched.
        """
        self.address = address
        self.generation = generation
        self.options = options
        self.post = post
        self.random = random or Random(0)
        max_delay_ms = timing.MAX_RETRY_DELAY_SHARE * options.poll_deadline_ms
        self.backoff = Backoff(timing.CONNECT_TIMEOUT_MS, max_delay_ms, self.random)
        self.source = address
        self.replica_index = 0
        self.mailbox: asyncio.Queue[Command | ChangeAddress] = asyncio.Queue()
        self.watch_task: asyncio.Task[None] | None = None
        self.successor_task: asyncio.Task[None] | None = None
        self.fetch_tasks: set[asyncio.Task[None]] = set()

    def send(self, command: Command | ChangeAddress) -> None:
        """Put a command into the mailbox."""
        self.mailbox.put_nowait(command)

    async def run(self) -> None:
        """Carry out commands until cancelled."""
        if self.options.always_watch:
            self.send(Command.WATCH)
        while True:
            self._carry_out(await self.mailbox.get())

    def _carry_out(self, command: Command | ChangeAddress) -> None:
        match command:
            case ChangeAddress(address):
                self.change_address(address)
            case Command.HAND_OVER if self.watch_task is not None and self.source != self.address:
                self.successor_task = self.successor_task or self._start_watch()
            case Command.RENEW if self.watch_task is not None and self.successor_task is None:
                self.successor_task = self._start_watch()
            case Command.FETCH:
                self._start_fetch()
            case Command.WATCH if self.successor_task is None:
                self.cancel_watches()
                self.watch_task = self._start_watch()
            case Command.STOP:
                self.cancel_watches()

    def _start_watch(self) -> asyncio.Task[None]:
        return asyncio.create_task(self.watch(self.address))

    def _start_fetch(self) -> None:
        task = asyncio.create_task(self.fetch())
        self.fetch_tasks.add(task)
        task.add_done_callback(self.fetch_tasks.discard)

    def change_address(self, address: str) -> None:
        """Look for the list elsewhere; without a watch there is nothing to hand over."""
        if address == self.address:
            return
        logger.info("discovery address changed: source={} address={}", self.source, address)
        self.address = address
        self.replica_index = 0
        if self.successor_task is not None:
            self.successor_task.cancel()
            self.successor_task = None
        if self.watch_task is not None:
            self.send(Command.HAND_OVER)

    def cancel_watches(self) -> None:
        """End the watch and its successor."""
        for task in (self.watch_task, self.successor_task):
            if task is not None:
                task.cancel()
        self.watch_task = None
        self.successor_task = None

    # --- Fetching the complete list ---

    def fetch_address(self) -> str:
        """Whose complete list counts: never that of an address whose watch has not taken over yet."""
        return self.source if self.watch_task is not None else self.address

    async def fetch(self) -> None:
        """Fetch the complete list, again where discovery moves meanwhile, so that an answer always comes."""
        while not await self._fetch_from(self.fetch_address()):
            pass

    async def _fetch_from(self, address: str) -> bool:
        """Fetch once, and post what came of it; False where that no longer counts, as discovery has moved."""
        try:
            endpoints = await self._fetch_newest(address)
        except Exception as error:
            call_error = as_call_error(error, address)
            if address != self.fetch_address():
                return False
            self.report_failure(call_error, address)
            return True
        if address != self.fetch_address():
            return False
        if self.watch_task is not None and endpoints.generation < self.generation:  # the watch has overtaken it
            endpoints = replace(endpoints, complete=False)
        self.accept(endpoints, address)
        return True

    async def _fetch_newest(self, address: str) -> EndpointList:
        """The complete list of the first replica that is not behind what is known; else the newest of them all."""
        replicas = replica_addresses(address)
        newest: EndpointList | None = None
        last_error = CallError(Stage.CONNECT, "no replica", address)
        for index in range(self.replica_index, self.replica_index + len(replicas)):
            try:
                endpoints = await fetch_endpoint_list(replicas[index % len(replicas)])
            except CallError as error:
                last_error = error
                continue
            if address == self.source and endpoints.generation >= self.generation:
                return endpoints
            if newest is None or endpoints.generation > newest.generation:
                newest = endpoints
        if newest is None:
            raise last_error
        return newest

    # --- Watching ---

    async def watch(self, address: str) -> None:
        """Watch until it fails; every end is a failure, as a watch lasts as long as its connection.

        Where there are replicas, a watch that has lasted for a heartbeat is followed by one at the next replica at
        once, and each is called once before the watch counts as failed.
        """
        replicas = replica_addresses(address)
        loop = asyncio.get_running_loop()
        attempts_left = len(replicas)
        while True:
            index = self.replica_index
            started_at = loop.time()
            end = await self.watch_replica(address, replicas[index % len(replicas)])
            if asyncio.current_task() not in (self.watch_task, self.successor_task):
                return  # another one has replaced it
            self.replica_index = index + 1
            has_lasted = end.received_list and loop.time() >= started_at + timing.HEARTBEAT_INTERVAL_MS / 1000.0
            attempts_left = len(replicas) - 1 if has_lasted else attempts_left - 1
            if attempts_left <= 0:
                break
            logger.warning(
                "discovery call failed, next replica follows: source={} address={} stage={} reason={}",
                address,
                end.error.address,
                end.error.stage,
                end.error.reason,
            )
        self._watch_failed(end.error, address)

    async def watch_replica(self, address: str, replica: str) -> WatchEnd:
        """One watch at one replica, until its end."""
        received_list = False
        call = watch_call(replica, self.generation if address == self.source else None)
        renewal = RenewalTimer(self.options.renewal_interval_ms, self.random)
        loop = asyncio.get_running_loop()
        try:
            await call.open(timing.CONNECT_TIMEOUT_MS, timing.RESPONSE_TIMEOUT_MS)
            events = self._events(call, address)
            while True:
                event = await anext(events)
                if isinstance(event, EndpointList):
                    self.accept(event, address)
                    received_list = True
                    renewal.restart(loop.time())
                    continue
                if received_list:
                    self.options.on_heartbeat()
                if renewal.is_due(loop.time()):
                    renewal.back_off(loop.time())
                    self.send(Command.RENEW)
        except Exception as error:
            return WatchEnd(as_call_error(error, address), received_list)
        finally:
            call.close()

    def _events(self, call: Call, address: str) -> AsyncIterator[WatchEvent]:
        if address == self.source:
            return watch_events(call)
        return handover_events(call, lambda: address == self.source, lambda: self.generation)

    def _watch_failed(self, error: CallError, address: str) -> None:
        """Report the end of a watch, unless another watch goes on."""
        if self.successor_task is asyncio.current_task():
            self.successor_task = None
        elif self.watch_task is asyncio.current_task():
            self.watch_task = None
        else:
            return  # another one has replaced it
        if self.watch_task is None and self.successor_task is None:
            self.report_failure(error, address)
            return
        logger.info(
            "discovery watch ended, another one goes on: source={} stage={} reason={}",
            address,
            error.stage,
            error.reason,
        )
        if self.successor_task is None and self.source != self.address:
            self._send_after_backoff(Command.HAND_OVER)

    # --- What comes of a call ---

    def accept(self, endpoints: EndpointList, address: str) -> None:
        """Post an endpoint list; that of a successor's watch makes its address the source."""
        self.backoff.reset()
        if address != self.source:
            logger.info("discovery source replaced: source={} address={}", self.source, address)
            self.source = address
            endpoints = replace(endpoints, generations_restarted=True)
        if self.successor_task is asyncio.current_task():
            if self.watch_task is not None:
                self.watch_task.cancel()
            self.watch_task = self.successor_task
            self.successor_task = None
        self.generation = endpoints.generation if endpoints.complete else max(self.generation, endpoints.generation)
        logger.info(
            "endpoint list received: source={} generation={} kind={} count={}",
            address,
            endpoints.generation,
            "full" if endpoints.complete else "delta",
            len(endpoints.instances),
        )
        self.post(endpoints)

    def report_failure(self, error: CallError, address: str) -> None:
        """Post that the list could not be had; whoever asked for it decides when to ask again."""
        logger.warning("discovery call failed: source={} stage={} reason={}", address, error.stage, error.reason)
        if self.options.always_watch:
            self._send_after_backoff(Command.WATCH)
        else:
            self.post(EndpointListFailed())

    def _send_after_backoff(self, command: Command) -> None:
        delay_ms = self.backoff.next_delay_ms()
        asyncio.get_running_loop().call_later(delay_ms / 1000.0, self.mailbox.put_nowait, command)


def as_call_error(error: Exception, address: str) -> CallError:
    """The error itself where it is a CallError; anything else is a defect, and logged with its traceback."""
    if isinstance(error, CallError):
        return error
    logger.exception("discovery call failed by a defect: source={} reason={!r}", address, error)
    return CallError(Stage.BODY, repr(error), address)
