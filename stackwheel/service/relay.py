"""The relay process: watches the discovery service, serves endpoint lists of cells, and reloads the plan on SIGHUP."""

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
from stackwheel.wire.connection_slots import REJECTION_SLOTS
from stackwheel.wire.discovery_client import DiscoveryClient
from stackwheel.wire.discovery_commands import DiscoveryOptions
from stackwheel.wire.endpoint_list_server import EndpointListServer, open_listener

MAX_DESCRIPTORS = 20_000  # file descriptors to use if the limit of the system is higher
EXIT_CANNOT_START = 2


def unblock_reload_signal() -> None:
    """Unblock SIGHUP, which `main` blocks until the handler is installed."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


@dataclass(frozen=True, slots=True)
class RelayEnvironment:
    """The parts of the operating system that a relay uses; a trial replaces them.

    Attributes:
        open_listener: opens a listening socket at an address "host:port".
        load_assignment: reads which cells the cell plan in a file assigns to the named relay.
        unblock_reload_signal: called after the handler of SIGHUP has been installed.
    """

    open_listener: Callable[[str], socket.socket] = open_listener
    load_assignment: Callable[[str, Path], RelayAssignment] = load_assignment
    unblock_reload_signal: Callable[[], None] = unblock_reload_signal


SYSTEM_ENVIRONMENT: Final = RelayEnvironment()


class RelayService:
    """The components of a relay; they are started by `run`.

    Attributes:
        config: the relay's record in the operators' file.
        assignment: the cells that the relay serves.
        environment: the parts of the operating system that the relay uses.
        cache: the endpoint list of the discovery service, with a view for each cell.
        server: serves the endpoint lists of the cells to planners.
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
                # the maximum retry delay is a share of the maximum age of a list
                poll_deadline_ms=MAX_LIST_AGE_MS,
                renewal_interval_ms=timing.watch_renewal_interval(len(assignment.plan.relays)),
                on_heartbeat=self.mark_upstream_alive,
            ),
        )
        self.reload_requested = asyncio.Event()

    def apply_endpoint_list(self, item: EndpointList | EndpointListFailed) -> None:
        """Apply an endpoint list or delta from the discovery service; a failed call is ignored."""
        if isinstance(item, EndpointList):
            self.server.perform(self.cache.apply(item, self.server.now()))

    def mark_upstream_alive(self) -> None:
        """Record a heartbeat from the discovery service."""
        self.cache.mark_upstream_alive(self.server.now())

    async def run(self) -> None:
        """Serve until cancelled; logs the number of served cells when the relay is ready.

        Raises:
            OSError: a listening socket cannot be opened.
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
        """Reload the cell plan after each SIGHUP, until cancelled."""
        while True:
            await self.reload_requested.wait()
            self.reload_requested.clear()
            await self.reload()

    async def reload(self) -> None:
        """Read and apply the cell plan, and log the number of served cells; an invalid plan is not applied."""
        try:
            assignment = self.environment.load_assignment(self.config.name, self.config.plan)
            await self.server.listen(assignment.cell_by_address)
        except (RelayConfigError, OSError) as error:
            logger.error("cell plan not reloaded, keeping the current plan: reason={}", error)
            return
        self.assignment = assignment
        self.server.perform(self.cache.apply_plan(assignment.locate, assignment.cells, self.server.now()))
        logger.info("cell plan reloaded: count={}", len(assignment.cell_by_address))


def connection_limit(listeners: int) -> int:
    """Return how many connections may be open at once, without the descriptors of listeners and of other uses."""
    descriptors = min(resource.getrlimit(resource.RLIMIT_NOFILE)[0], MAX_DESCRIPTORS)
    return max(1, descriptors - listeners - timing.RESERVED_DESCRIPTORS - REJECTION_SLOTS)


async def serve(config: RelayConfig, assignment: RelayAssignment) -> None:
    """Run a relay in this process until cancelled."""
    service = RelayService(config, assignment, connection_limit(len(assignment.cell_by_address)))
    await service.run()


def exit_immediately(_signal: int, _frame: object) -> None:
    """End the process with exit code 0; there is no state to save, and planners resume at the cell's other relay."""
    os._exit(0)


def main(operators: Path) -> int:
    """Run the relay that an operators' file configures; returns exit code 2 if it cannot start.

    SIGTERM and SIGINT end the process with exit code 0.
    """
    signal.signal(signal.SIGTERM, exit_immediately)
    signal.signal(signal.SIGINT, exit_immediately)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # pending until the reload handler is installed
    try:
        config = load_relay_config(operators)
        assignment = load_assignment(config.name, config.plan)
        start_logging(config.name, os.environ.get("STACKWHEEL_LOG", "INFO"))
        asyncio.run(serve(config, assignment))
    except (RelayConfigError, OSError) as error:
        print(f"stackwheel: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    return 0
