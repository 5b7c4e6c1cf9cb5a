"""Puts the parts together and runs until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from loguru import logger

from stackwheel.interface import Settings
from stackwheel.service.config import Config, ConfigError, load_config
from stackwheel.service.ports import PlannerContext, ProxyTransport
from stackwheel.service.reload import Reload
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.planner_actor import PlannerActor
from stackwheel.state.server_ids import ServerIds
from stackwheel.state.streams import StreamConnection
from stackwheel.state.table_updates import ProxyUpdate
from stackwheel.wire.timing import BATCH_JITTER_MS, stream_silence_timeout
from stackwheel.wire.transport import SocketTransport, open_listener

OPERATORS = "STACKWHEEL_OPERATORS"  # names the operators' own file


def silence(settings: Settings) -> float:
    return stream_silence_timeout(
        settings.report_interval, 1000.0 * settings.queue_limit / settings.channel_rate, settings.transit_time
    )


def with_slot_jitter(settings: Settings) -> Settings:
    """Slots come some ms early or late: what leaves the span after so many cycles shall have left it.

    The connection keeps the limit itself, over the whole span and as messages are written.
    """
    return replace(settings, message_window=max(0.0, settings.message_window - BATCH_JITTER_MS))


def no_transports(context: PlannerContext) -> list[ProxyTransport]:
    return []


@dataclass(frozen=True, slots=True)
class ProcessEnvironment:
    """What the process stands in: clocks, listener, configuration and signals, as the system gives them.

    A trial hands in its own, so that what runs there is this very service.
    """

    wall_clock: Callable[[], float] = time.time  # s
    steady_clock: Callable[[], float] = time.monotonic  # s
    listen_at: Callable[[str], socket.socket] = open_listener
    load_config: Callable[[], Config | ConfigError] = load_config
    transports: Callable[[PlannerContext], list[ProxyTransport]] = no_transports
    freeze_startup_objects: Callable[[], None] = lambda: None  # once all that stays has been made
    unblock_signals: Callable[[], None] = lambda: None  # once signals find somebody who hears them


def settle_memory() -> None:
    """What stands by now stays: no collection walks it again."""
    gc.collect()
    gc.freeze()


def unblock_reload() -> None:
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def configured_transports(context: PlannerContext) -> list[ProxyTransport]:
    """What the operators' file turns on; without the variable nothing of it is even imported."""
    path = os.environ.get(OPERATORS)
    if not path:
        return []
    from stackwheel.service.file_transport import build

    return build(context, path)


PROCESS = ProcessEnvironment(
    transports=configured_transports, freeze_startup_objects=settle_memory, unblock_signals=unblock_reload
)


class CompositePorts:
    """The planner's ports where further transports stand beside the sockets.

    Updates go to all of them; endpoint lists, health checks and gossip are the sockets' alone.
    """

    def __init__(self, sockets: SocketTransport, transports: Sequence[ProxyTransport]) -> None:
        self.sockets = sockets
        self.transports = transports
        self.watch_endpoints = sockets.watch_endpoints
        self.fetch_endpoints = sockets.fetch_endpoints
        self.start_health_check = sockets.start_health_check
        self.send_gossip = sockets.send_gossip

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        self.sockets.deliver(messages)
        for transport in self.transports:
            transport.deliver(messages)


class Service:
    """One planner's parts, put together and not yet started."""

    def __init__(self, config: Config, around: ProcessEnvironment = PROCESS) -> None:
        self.config, self.environment = config, around
        self.clock = Clock(around.wall_clock, around.steady_clock)
        self.endpoints = EndpointCache(
            config.names.zones, config.names.kinds, ServerIds(), config.settings.removal_is_advisory
        )
        self.endpoints.apply(config.cached_endpoints)
        self.transport = SocketTransport(
            config.addresses, config.settings, config.names, self.endpoints, self.clock, around.listen_at, config.seed
        )
        self.transports = around.transports(
            PlannerContext(config, self.clock, self.endpoints, lambda item: self.planner.post(item))
        )
        outside = CompositePorts(self.transport, self.transports) if self.transports else self.transport
        self.planner = PlannerActor(
            with_slot_jitter(config.settings),
            config.names.batch_delay,
            config.seed,
            self.clock,
            self.endpoints,
            outside,
            silence(config.settings),
        )
        self.reload = Reload(config, self.transport.readdress, around.load_config)

    async def run(self) -> None:
        """Answer and decide until cancelled; OSError if an address can't be had."""
        if self.config.defaulted_settings:
            logger.warning("settings not given, so at their defaults: {}", ", ".join(self.config.defaulted_settings))
        self.planner.decide([self.endpoints.cached_update()])  # known first; who connects finds a planner that is ready
        self.environment.freeze_startup_objects()
        await self.transport.open(self.planner.post)
        logger.info(
            "ready on {}, {} servers known of list {}",
            self.config.addresses.listen,
            len(self.endpoints.entries),
            self.endpoints.generation,
        )
        self.transport.supervisor.start(self.reload.run())
        for extra in self.transports:
            self.transport.supervisor.start(extra.run())
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload.request)
        self.environment.unblock_signals()  # one that came during the start counts now
        await self.planner.run()


async def serve(config: Config) -> None:
    await Service(config).run()
