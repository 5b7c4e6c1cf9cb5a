"""One relay process: follows the discovery service, serves its cells, reads the cell plan again on SIGHUP."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import socket
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Final

from loguru import logger

from stackwheel.endpoints import MAX_LIST_AGE_MS, EndpointList
from stackwheel.relay.watch_cache import WatchCache
from stackwheel.service.logging_setup import start_logging
from stackwheel.service.relay_config import (
    RelayAssignment,
    RelayConfig,
    RelayConfigError,
    load_assignment,
    load_relay_config,
)
from stackwheel.state.messages import EndpointListFailed
from stackwheel.wire import timing
from stackwheel.wire.discovery_client import DiscoveryClient, DiscoveryOptions
from stackwheel.wire.endpoint_list_server import EndpointListServer, open_listener

MAX_DESCRIPTORS = 20_000  # of one process, whatever the system would allow
EXIT_CANNOT_START = 2  # the exit code


def unblock_reload_signal() -> None:
    """Let SIGHUP through; `main` blocks it until there is a handler."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


@dataclass(frozen=True, slots=True)
class RelayEnvironment:
    """Listeners, plan and signals as the system gives them; a trial hands in its own."""

    open_listener: Callable[[str], socket.socket] = open_listener
    load_assignment: Callable[[str, Path], RelayAssignment] = load_assignment
    unblock_reload_signal: Callable[[], None] = unblock_reload_signal


SYSTEM_ENVIRONMENT: Final = RelayEnvironment()


class RelayService:
    """One relay's parts, put together and not yet started.

    Attributes:
        assignment: the cells that the relay serves.
        cache: the discovery service's list, and a view for each cell.
        server: answers planners.
        upstream: watches the discovery service.
        reload_requested: set by SIGHUP.
    """

    def __init__(
        self,
        config: RelayConfig,
        assignment: RelayAssignment,
        max_connections: int,
        environment: RelayEnvironment = SYSTEM_ENVIRONMENT,
    ) -> None:
        self.config = config
        self.assignment = assignment
        self.environment = environment
        self.cache = WatchCache(
            assignment.locate, assignment.cells, timing.WATCH_SILENCE_TIMEOUT_MS, timing.HEARTBEAT_INTERVAL_MS
        )
        self.server = EndpointListServer(self.cache, max_connections, open_listener=environment.open_listener)
        self.upstream = DiscoveryClient(
            config.upstream,
            0,
            self.apply_endpoint_list,
            Random(config.name),
            DiscoveryOptions(
                always_watch=True,
                # polled again at the latest after a part of the time that any list may be old
                poll_deadline_ms=MAX_LIST_AGE_MS,
                renewal_interval_ms=timing.watch_renewal_interval(len(assignment.plan.relays)),
                on_heartbeat=self.mark_upstream_alive,
            ),
        )
        self.reload_requested = asyncio.Event()

    def apply_endpoint_list(self, item: EndpointList | EndpointListFailed) -> None:
        """Pass a list of the discovery service on; a failed call changes nothing."""
        if isinstance(item, EndpointList):
            self.server.perform(self.cache.apply(item, self.server.now()))

    def mark_upstream_alive(self) -> None:
        """The discovery service has sent a heartbeat."""
        self.cache.mark_upstream_alive(self.server.now())

    async def run(self) -> None:
        """Serve until cancelled.

        Raises:
            OSError: an address can't be had.
        """
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload_requested.set)
        self.environment.unblock_reload_signal()
        await self.server.listen(self.assignment.cell_by_address)
        logger.info("relay ready: source={} count={}", self.config.upstream, len(self.assignment.cell_by_address))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.upstream.run())
            tasks.create_task(self.server.run_timers())
            tasks.create_task(self.reload_on_request())

    async def reload_on_request(self) -> None:
        """Reload the plan after each SIGHUP."""
        while True:
            await self.reload_requested.wait()
            self.reload_requested.clear()
            await self.reload()

    async def reload(self) -> None:
        """Serve by the plan as it is now; the one in force stays where the new one can't be used."""
        try:
            assignment = self.environment.load_assignment(self.config.name, self.config.plan)
            await self.server.listen(assignment.cell_by_address)
        except (RelayConfigError, OSError) as error:
            logger.error("cell plan not reloaded, the one in force stays: reason={}", error)
            return
        self.assignment = assignment
        self.server.perform(self.cache.apply_plan(assignment.locate, assignment.cells, self.server.now()))
        logger.info("cell plan reloaded: count={}", len(assignment.cell_by_address))


def connection_limit(listeners: int) -> int:
    """Connections that may be open at once, beside the other descriptors that the process holds."""
    descriptors = min(resource.getrlimit(resource.RLIMIT_NOFILE)[0], MAX_DESCRIPTORS)
    return max(1, descriptors - listeners - timing.RESERVED_DESCRIPTORS)


async def serve(config: RelayConfig, assignment: RelayAssignment) -> None:
    """Run a relay until cancelled."""
    service = RelayService(config, assignment, connection_limit(len(assignment.cell_by_address)))
    await service.run()


def exit_immediately(_signal: int, _frame: object) -> None:
    """End the process: nothing has to be saved, callers resume at the other replica and a new process starts empty."""
    os._exit(0)


def main(operators: Path) -> int:
    """Run a relay until SIGTERM; the exit code, 2 where it can't start."""
    signal.signal(signal.SIGTERM, exit_immediately)
    signal.signal(signal.SIGINT, exit_immediately)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # it waits until there is something to reload
    try:
        config = load_relay_config(operators)
        assignment = load_assignment(config.name, config.plan)
        start_logging(config.name, os.environ.get("STACKWHEEL_LOG", "INFO"))
        asyncio.run(serve(config, assignment))
    except (RelayConfigError, OSError) as error:
        print(f"stackwheel: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    return 0
