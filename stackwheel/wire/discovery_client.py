"""The actor that fetches and watches the endpoint list of the discovery service, and posts lists and failures.

Watches, heartbeats, generations and replicas are described in `discovery_calls.py`.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import replace
from random import Random

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
from stackwheel.wire.discovery_commands import (
    DEFAULT_OPTIONS,
    ChangeAddress,
    Command,
    DiscoveryOptions,
    WatchEnd,
)
from stackwheel.wire.discovery_protocol import replica_addresses
from stackwheel.wire.http import Call, CallError, Stage
from stackwheel.wire.watch_renewal import RenewalTimer


class DiscoveryClient:
    """An actor that executes the commands in its mailbox.

    It posts each endpoint list that a fetch or a watch has delivered, and each failure unless `always_watch` is set.

    When the address changes, the client watches the old address until the new one has delivered a complete list
    (handover), because the generations of the two addresses are unrelated. A watch that has not delivered a change for
    the renewal interval is replaced in the same way (renewal), because a faulty watch may send heartbeats without any
    updates.

    If the discovery service has several replicas, a failed call is repeated at the next replica.

    Attributes:
        address: address of the discovery service, or comma-separated addresses of its replicas.
        options: options of the client.
        source: address that delivered the current list; differs from `address` during a handover.
        generation: generation of the current list.
        replica_index: index of the replica that the next watch calls, modulo the number of replicas.
        backoff: delays between failed attempts.
        renewal: timer of the next renewal; it is running while there is a watch.
        watch_task: the watch that delivered the current list, or the first watch; None while there is no watch.
        watched_address: address of `watch_task`; differs from `source` until a first watch has delivered a list.
        successor_task: a second watch that replaces `watch_task` when it has delivered a list; None if there is none.
        fetch_tasks: fetches in flight.
    """

    def __init__(
        self,
        address: str,
        generation: int,
        post: Callable[[EndpointList | EndpointListFailed], None],
        random: Random | None = None,
        options: DiscoveryOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Create a client; it executes commands while `run` is running.

        Args:
            address: "host:port" of the discovery service, or the comma-separated addresses of its replicas.
            generation: generation of the cached list to start from; 0 if there is none.
            post: called with each endpoint list, and with each failure to obtain one.
            random: source of the jitter of delays.
            options: options of the client.
        """
        self.address = address
        self.generation = generation
        self.options = options
        self.post = post
        self.random = random or Random(0)
        max_delay_ms = timing.MAX_RETRY_DELAY_SHARE * options.poll_deadline_ms
        self.backoff = Backoff(timing.CONNECT_TIMEOUT_MS, max_delay_ms, self.random)
        self.renewal = RenewalTimer(options.renewal_interval_ms, self.random, self._on_renewal_due)
        self.source = address
        self.replica_index = 0
        self.mailbox: asyncio.Queue[Command | ChangeAddress] = asyncio.Queue()
        self.watch_task: asyncio.Task[None] | None = None
        self.watched_address = address
        self.successor_task: asyncio.Task[None] | None = None
        self.fetch_tasks: set[asyncio.Task[None]] = set()

    def send(self, command: Command | ChangeAddress) -> None:
        """Put a command into the mailbox."""
        self.mailbox.put_nowait(command)

    async def run(self) -> None:
        """Execute commands until cancelled."""
        if self.options.always_watch:
            self.send(Command.WATCH)
        while True:
            self._execute(await self.mailbox.get())

    def _execute(self, command: Command | ChangeAddress) -> None:
        match command:
            case ChangeAddress(address):
                self.change_address(address)
            case Command.HAND_OVER if self.watch_task is not None and self.watched_address != self.address:
                self.successor_task = self.successor_task or self._start_watch()
            case Command.RENEW if self.watch_task is not None:
                self._renew_watch()
            case Command.FETCH:
                self._start_fetch()
            case Command.WATCH if self.successor_task is None:
                self._restart_watch()
            case Command.STOP:
                self.cancel_watches()

    def _start_watch(self) -> asyncio.Task[None]:
        return asyncio.create_task(self.watch(self.address))

    def _restart_watch(self) -> None:
        self.cancel_watches()
        self.watched_address = self.address
        self.watch_task = self._start_watch()
        self.renewal.restart_after_call()

    def _on_renewal_due(self) -> None:
        logger.debug("discovery watch renewed: source={} reason=no change was received", self.source)
        self.send(Command.RENEW)

    def _renew_watch(self) -> None:
        """Start a second watch; a handover that is not complete continues, because it replaces the first watch, too."""
        if self.successor_task is None or self.watched_address == self.address:
            self._cancel_successor()
            self.successor_task = self._start_watch()
        self.renewal.restart_after_call()

    def _start_fetch(self) -> None:
        task = asyncio.create_task(self.fetch())
        self.fetch_tasks.add(task)
        task.add_done_callback(self.fetch_tasks.discard)

    def change_address(self, address: str) -> None:
        """Use another discovery service, and start a handover to it if the source is watched.

        If the watch of the source has ended, the open watch has not delivered a list yet, for example because an
        earlier handover is not complete. It is replaced at once, because its failure would not be reported.
        """
        if address == self.address:
            return
        logger.info("discovery address changed: source={} address={}", self.source, address)
        self.address = address
        self.replica_index = 0
        if self.watch_task is not None and self.watched_address == self.source:
            self._cancel_successor()
            self.send(Command.HAND_OVER)
        elif self.watch_task is not None or self.successor_task is not None:
            logger.info(
                "discovery watch replaced: source={} address={} reason=the source is not watched", self.source, address
            )
            self._restart_watch()

    def cancel_watches(self) -> None:
        """Cancel the watch and its successor."""
        self.renewal.stop()
        if self.watch_task is not None:
            self.watch_task.cancel()
        self.watch_task = None
        self._cancel_successor()

    def _cancel_successor(self) -> None:
        if self.successor_task is not None:
            self.successor_task.cancel()
        self.successor_task = None

    # --- Fetching the complete list ---

    def fetch_address(self) -> str:
        """Return the address to fetch the list from: that of the open watch until a handover is complete."""
        return self.source if self.watch_task is not None else self.address

    async def fetch(self) -> None:
        """Fetch the complete list; starts over if the address to fetch from changes in the meantime."""
        while not await self._fetch_from(self.fetch_address()):
            pass

    async def _fetch_from(self, address: str) -> bool:
        """Fetch the list once, and post the list or the failure.

        Returns:
            False if the result was discarded because the address to fetch from has changed.
        """
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
        if self.watch_task is not None and endpoints.generation < self.generation:
            # The watch has delivered a later generation, so servers that are missing here have not been removed.
            endpoints = replace(endpoints, complete=False)
        self.accept(endpoints, address)
        return True

    async def _fetch_newest(self, address: str) -> EndpointList:
        """Fetch the list from the replicas in turn, until one is at least as new as the current list.

        Returns:
            That list, or the newest list of all replicas if all are older.

        Raises:
            CallError: no replica returned a list.
        """
        replicas = replica_addresses(address)
        newest: EndpointList | None = None
        last_error = CallError(Stage.CONNECT, "no replica configured", address)
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
        """Watch the replicas of an address in turn until the watch has failed.

        When a call ends, the next replica is called without delay. A call is stable if it delivered a list and lasted
        for at least one heartbeat interval. The watch has failed when each replica has been called once without a
        stable call, or when all other replicas have been called once after the last stable call.
        """
        replicas = replica_addresses(address)
        loop = asyncio.get_running_loop()
        attempts_left = len(replicas)
        while True:
            index = self.replica_index
            started_at = loop.time()
            watch_end = await self.watch_replica(address, replicas[index % len(replicas)])
            if asyncio.current_task() not in (self.watch_task, self.successor_task):
                return  # another watch has replaced this one
            self.replica_index = index + 1
            was_stable = watch_end.received_list and loop.time() >= started_at + timing.HEARTBEAT_INTERVAL_MS / 1000.0
            attempts_left = len(replicas) - 1 if was_stable else attempts_left - 1
            if attempts_left <= 0:
                break
            logger.warning(
                "discovery call failed, trying the next replica: source={} address={} stage={} reason={}",
                address,
                watch_end.error.address,
                watch_end.error.stage,
                watch_end.error.reason,
            )
        self._on_watch_failed(watch_end.error, address)

    async def watch_replica(self, address: str, replica: str) -> WatchEnd:
        """Watch one replica until the watch ends, and return why it ended."""
        received_list = False
        call = watch_call(replica, self.generation if address == self.source else None)
        try:
            await call.open(timing.CONNECT_TIMEOUT_MS, timing.RESPONSE_TIMEOUT_MS)
            events = self._events(call, address)
            while True:
                event = await anext(events)
                if isinstance(event, EndpointList):
                    self.accept(event, address)
                    self.renewal.restart()
                    received_list = True
                elif received_list:
                    self.options.on_heartbeat()
        except Exception as error:
            return WatchEnd(as_call_error(error, address), received_list)
        finally:
            call.close()

    def _events(self, call: Call, address: str) -> AsyncIterator[WatchEvent]:
        if address == self.source:
            return watch_events(call)
        return handover_events(call, lambda: address == self.source, lambda: self.generation)

    def _on_watch_failed(self, error: CallError, address: str) -> None:
        """Report the failure of a watch, or only log it if another watch is open."""
        if self.successor_task is asyncio.current_task():
            self.successor_task = None
        elif self.watch_task is asyncio.current_task():
            self.watch_task = None
        else:
            return  # another watch has replaced this one
        if self.watch_task is None and self.successor_task is None:
            self.renewal.stop()
            self.report_failure(error, address)
            return
        logger.info(
            "discovery watch ended, another watch is open: source={} stage={} reason={}",
            address,
            error.stage,
            error.reason,
        )
        if self.successor_task is None:
            is_renewal = self.watched_address == self.address
            self._send_after_backoff(Command.RENEW if is_renewal else Command.HAND_OVER)

    # --- Results of calls ---

    def accept(self, endpoints: EndpointList, address: str) -> None:
        """Log an endpoint list with the number of its entries, and post it.

        If the list is from the second watch, the handover or renewal is complete.
        """
        self.backoff.reset()
        if address != self.source:
            logger.info("discovery source replaced: source={} address={}", self.source, address)
            self.source = address
            endpoints = replace(endpoints, generations_restarted=True)
        elif self.successor_task is asyncio.current_task() and endpoints.instances:
            logger.info(
                "discovery watch was behind: source={} generation={} count={} reason=its renewal delivered changes",
                address,
                endpoints.generation,
                len(endpoints.instances),
            )
        if self.successor_task is asyncio.current_task():
            self._promote_successor(address)
        self.generation = endpoints.generation if endpoints.complete else max(self.generation, endpoints.generation)
        log_received(endpoints, address)
        self.post(endpoints)

    def _promote_successor(self, address: str) -> None:
        """Replace the watch by its successor, which has delivered a list from an address."""
        if self.watch_task is not None:
            self.watch_task.cancel()
        self.watch_task = self.successor_task
        self.watched_address = address
        self.successor_task = None

    def report_failure(self, error: CallError, address: str) -> None:
        """Log a failed call, and post the failure; a client that always watches schedules a new watch instead."""
        logger.warning("discovery call failed: source={} stage={} reason={}", address, error.stage, error.reason)
        if self.options.always_watch:
            self._send_after_backoff(Command.WATCH)
        else:
            self.post(EndpointListFailed())

    def _send_after_backoff(self, command: Command) -> None:
        delay_ms = self.backoff.next_delay_ms()
        asyncio.get_running_loop().call_later(delay_ms / 1000.0, self.mailbox.put_nowait, command)


def log_received(endpoints: EndpointList, address: str) -> None:
    """Log an endpoint list with the number of its entries; a delta without entries is usual for a renewal."""
    if not endpoints.complete and not endpoints.instances:
        logger.debug("endpoint list confirmed: source={} generation={}", address, endpoints.generation)
        return
    logger.info(
        "endpoint list received: source={} generation={} kind={} count={}",
        address,
        endpoints.generation,
        "full" if endpoints.complete else "delta",
        len(endpoints.instances),
    )


def as_call_error(error: Exception, address: str) -> CallError:
    """Convert an error to a CallError; unexpected errors are logged with their traceback."""
    if isinstance(error, CallError):
        return error
    logger.exception("discovery call failed unexpectedly: source={} reason={!r}", address, error)
    return CallError(Stage.BODY, repr(error), address)
