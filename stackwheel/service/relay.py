"""One relay process: follows the registry, serves the cells that the plan gives it, reads the plan again on SIGHUP."""

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

from loguru import logger

from stackwheel.cells.assignment import CellIndex, relays_for_cell
from stackwheel.cells.plan import CellPlanError, Plan
from stackwheel.cells.plan_file import load_plan
from stackwheel.config_language.load import OperatorsError, load
from stackwheel.endpoints import MAX_LIST_AGE, EndpointList
from stackwheel.relay.cache import ListingCache
from stackwheel.service.config import replicated
from stackwheel.service.logging_setup import start_logging
from stackwheel.state.planner_actor import EndpointListFailed
from stackwheel.wire import timing
from stackwheel.wire.discovery_client import DiscoveryClient
from stackwheel.wire.listing_server import ListingServer, stand_open

CONNECTIONS_MOST = 20_000  # descriptors that one process may hold, whatever the system would allow


class RelayError(ValueError):
    """A relay can't start; one line that names the place."""


@dataclass(frozen=True, slots=True)
class RelayConfig:
    """What the operators' file says of a relay."""

    name: str
    upstream: str
    plan: Path


def load_relay_config(path: Path) -> RelayConfig:
    """RelayError where the file can't be used or turns no relay on."""
    try:
        found = load(path).records.relay
    except OperatorsError as error:
        raise RelayError(str(error)) from None
    if not found.on:
        raise RelayError(f"{path}: relay.on is false")
    try:
        upstream = replicated({"relay.upstream": found.upstream}, "relay.upstream")
    except ValueError as error:
        raise RelayError(f"{path}: {error}") from None
    return RelayConfig(found.name, upstream, path.parent / found.plan)


@dataclass(frozen=True, slots=True)
class Serving:
    """What a plan gives one relay to do."""

    plan: Plan
    locate: Callable[[str, str], str | None]
    addresses: dict[str, str]  # where it listens: the cell that is served there

    @property
    def cells(self) -> list[str]:
        return list(self.addresses.values())


def load_serving(name: str, path: Path) -> Serving:
    """RelayError where the plan can't be used or does not name the relay."""
    try:
        plan = load_plan(path)
    except CellPlanError as error:
        raise RelayError(str(error)) from None
    return serving_of(name, plan, str(path))


def serving_of(name: str, plan: Plan, source: str) -> Serving:
    """RelayError where the plan, which stands in `source`, does not name the relay."""
    relay = next((relay for relay in plan.relays if relay.name == name), None)
    if relay is None:
        raise RelayError(f"{source}: relays: none is named {name!r}, as relay.name says")
    index = CellIndex(plan)

    def locate(instance: str, zone: str) -> str | None:
        cell = index.cell_of(instance, zone)
        return None if cell is None else cell.name

    served = [cell for cell in plan.cells if relay in relays_for_cell(cell.name, plan.relays)]
    return Serving(plan, locate, {f"{relay.host}:{cell.port}": cell.name for cell in served})


def unblock_reload() -> None:
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


@dataclass(frozen=True, slots=True)
class RelayEnvironment:
    """Listeners, plan and signals as the system gives them; a trial hands in its own."""

    listen_at: Callable[[str], socket.socket] = stand_open
    load: Callable[[str, Path], Serving] = load_serving
    signals_on: Callable[[], None] = unblock_reload  # once signals find somebody who hears them


PROCESS = RelayEnvironment()


class RelayService:
    """One relay's parts, put together and not yet started."""

    def __init__(
        self,
        config: RelayConfig,
        serving: Serving,
        connections: int,
        around: RelayEnvironment = PROCESS,
    ) -> None:
        self.config, self.serving, self.around = config, serving, around
        self.cache = ListingCache(
            serving.locate, serving.cells, timing.WATCH_SILENCE_TIMEOUT_MS, timing.HEARTBEAT_INTERVAL_MS
        )
        self.server = ListingServer(self.cache, connections, listen_at=around.listen_at)
        self.upstream = DiscoveryClient(
            config.upstream,
            0,
            True,
            self.take,
            Random(config.name),
            MAX_LIST_AGE,  # asked again at the latest after a part of the time that any list may be old
            timing.watch_renewal_interval(len(serving.plan.relays)),
            self.heard,
        )
        self.reload_asked = asyncio.Event()

    def take(self, item: EndpointList | EndpointListFailed) -> None:
        if isinstance(item, EndpointList):
            self.server.perform(self.cache.take(item, self.server.now()))

    def heard(self) -> None:
        self.cache.heard(self.server.now())

    async def run(self) -> None:
        """Serve until cancelled; OSError if an address can't be had."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload_asked.set)
        self.around.signals_on()
        await self.server.listen(self.serving.addresses)
        logger.info("ready: {} cells, upstream {}", len(self.serving.addresses), self.config.upstream)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.upstream.run())
            tasks.create_task(self.server.keep_time())
            tasks.create_task(self.follow_plan())

    async def follow_plan(self) -> None:
        while True:
            await self.reload_asked.wait()
            self.reload_asked.clear()
            await self.reload()

    async def reload(self) -> None:
        """Serve by the plan as it is now; one that can't be used is a line in the log, and the old one holds."""
        try:
            serving = self.around.load(self.config.name, self.config.plan)
            await self.server.listen(serving.addresses)
        except (RelayError, OSError) as error:
            logger.error("plan not reloaded, the old one holds: {}", error)
            return
        self.serving = serving
        self.server.perform(self.cache.replan(serving.locate, serving.cells, self.server.now()))
        logger.info("plan reloaded: {} cells", len(serving.addresses))


def connections_most(listeners: int) -> int:
    """Connections that may be open at once, with what the process holds beside them."""
    descriptors = min(resource.getrlimit(resource.RLIMIT_NOFILE)[0], CONNECTIONS_MOST)
    return max(1, descriptors - listeners - timing.RESERVED_DESCRIPTORS)


async def serve(config: RelayConfig, serving: Serving) -> None:
    service = RelayService(config, serving, connections_most(len(serving.addresses)))
    await service.run()


def stop(_signal: int, _frame: object) -> None:
    """There is nothing to save: callers go on at the twin, and a new start asks the registry."""
    os._exit(0)


def main(operators: Path) -> int:
    """Run until SIGTERM; 2 where it can't start."""
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})  # it waits until there is something to reload
    try:
        config = load_relay_config(operators)
        serving = load_serving(config.name, config.plan)
        start_logging(config.name, os.environ.get("STACKWHEEL_LOG", "INFO"))
        asyncio.run(serve(config, serving))
    except (RelayError, OSError) as error:
        print(f"stackwheel: {error}", file=sys.stderr)
        return 2
    return 0
