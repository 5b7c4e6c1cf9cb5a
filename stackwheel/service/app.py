"""Builds a planner from its configuration and runs it until it is cancelled."""

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
from stackwheel.service.config import Config, load_config
from stackwheel.service.ports import PlannerContext, ProxyTransport
from stackwheel.service.reload import Reload
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.planner_actor import PlannerActor, PolicyOptions
from stackwheel.state.server_ids import ServerIds
from stackwheel.state.streams import StreamConnection
from stackwheel.state.table_updates import ProxyUpdate
from stackwheel.wire.timing import BATCH_JITTER_MS, stream_silence_timeout
from stackwheel.wire.transport import SocketTransport, open_listener

OPERATORS_VARIABLE = "STACKWHEEL_OPERATORS"  # environment variable with the path of the operators' file
MS_PER_S = 1000.0


def stream_timeout(settings: Settings) -> float:
    """Return how long a stream may be silent before its proxy is considered to have left, in ms."""
    queue_drain_time = MS_PER_S * settings.queue_limit / settings.channel_rate
    return stream_silence_timeout(settings.report_interval, queue_drain_time, settings.transit_time)


def with_jitter_margin(settings: Settings) -> Settings:
    """Return the settings for the policy, with the window of the message cap shortened by the jitter of slots.

    A slot may start a few milliseconds early. The margin ensures that a message which leaves the window after a whole
    number of slots has left it by then. The connections enforce the cap over the full window, at the time of writing.
    """
    return replace(settings, message_window=max(0.0, settings.message_window - BATCH_JITTER_MS))


def no_transports(_context: PlannerContext) -> list[ProxyTransport]:
    """Default for a planner without extra transports: return an empty list."""
    return []


def do_nothing() -> None:
    """Do nothing; the default for steps that only a real process has to perform."""


@dataclass(frozen=True, slots=True)
class ProcessEnvironment:
    """The parts of the process and operating system that a planner uses; a simulation replaces them.

    Attributes:
        wall_clock: returns the Unix time in seconds.
        monotonic_clock: returns the monotonic time in seconds.
        open_listener: opens a listening socket at an address "host:port"; raises OSError if it cannot be opened.
        load_config: reads the configuration for a reload; raises ConfigError if it is invalid.
        transports: builds the transports that are used in addition to the sockets.
        freeze_startup_objects: called after all long-lived objects have been created.
        unblock_signals: called after the signal handlers have been installed.
    """

    wall_clock: Callable[[], float] = time.time
    monotonic_clock: Callable[[], float] = time.monotonic
    open_listener: Callable[[str], socket.socket] = open_listener
    load_config: Callable[[], Config] = load_config
    transports: Callable[[PlannerContext], list[ProxyTransport]] = no_transports
    freeze_startup_objects: Callable[[], None] = do_nothing
    unblock_signals: Callable[[], None] = do_nothing


def freeze_startup_objects() -> None:
    """Exclude all existing objects from garbage collection, because they live as long as the process."""
    gc.collect()
    gc.freeze()


def unblock_reload_signal() -> None:
    """Unblock SIGHUP; a signal that arrived during startup is delivered immediately."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def configured_transports(context: PlannerContext) -> list[ProxyTransport]:
    """Build the transports that the operators' file enables; without such a file, their modules are not imported."""
    path = os.environ.get(OPERATORS_VARIABLE)
    if not path:
        return []
    from stackwheel.service.file_transport import build

    return build(context, path)


PROCESS_ENVIRONMENT = ProcessEnvironment(
    transports=configured_transports,
    freeze_startup_objects=freeze_startup_objects,
    unblock_signals=unblock_reload_signal,
)


class CompositePorts:
    """The planner's ports for sockets combined with additional transports.

    Updates are delivered to all transports. Endpoint lists, health checks and gossip use only the sockets.
    """

    def __init__(self, sockets: SocketTransport, transports: Sequence[ProxyTransport]) -> None:
        """Combine the sockets with additional transports."""
        self.sockets = sockets
        self.transports = transports
        self.watch_endpoints = sockets.watch_endpoints
        self.fetch_endpoints = sockets.fetch_endpoints
        self.start_health_check = sockets.start_health_check
        self.send_gossip = sockets.send_gossip

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        """Pass all updates to each transport, which sends those for its own streams."""
        self.sockets.deliver(messages)
        for transport in self.transports:
            transport.deliver(messages)


class Service:
    """The components of a planner; they are started by `run`."""

    def __init__(self, config: Config, environment: ProcessEnvironment = PROCESS_ENVIRONMENT) -> None:
        """Create the components; raises TransportSetupError if an additional transport cannot be set up."""
        self.config = config
        self.environment = environment
        self.clock = Clock(environment.wall_clock, environment.monotonic_clock)
        self.endpoints = EndpointCache(
            config.names.zones, config.names.kinds, ServerIds(), config.settings.removal_is_advisory
        )
        self.endpoints.apply(config.cached_endpoints)
        self.transport = SocketTransport(
            config.addresses,
            config.settings,
            config.names,
            self.endpoints,
            self.clock,
            environment.open_listener,
            config.seed,
        )
        context = PlannerContext(config, self.clock, self.endpoints, lambda item: self.planner.post(item))
        self.transports = environment.transports(context)
        self.planner = PlannerActor(
            PolicyOptions(with_jitter_margin(config.settings), config.seed),
            config.names.batch_delay,
            self.clock,
            self.endpoints,
            CompositePorts(self.transport, self.transports) if self.transports else self.transport,
            stream_timeout(config.settings),
        )
        self.reload = Reload(config, self.transport.update_addresses, environment.load_config)

    async def run(self) -> None:
        """Serve until cancelled; logs the number of cached endpoint entries when the planner is ready.

        Raises:
            OSError: an address cannot be bound.
        """
        if defaulted := self.config.defaulted_settings:
            logger.warning("settings not set, using defaults: kind={} count={}", ",".join(defaulted), len(defaulted))
        # The policy starts before the listener opens, so that the first client finds a planner that is ready.
        self.planner.run_policy([self.endpoints.cached_update()])
        self.environment.freeze_startup_objects()
        await self.transport.open(self.planner.post)
        logger.info(
            "planner ready: address={} generation={} count={}",
            self.config.addresses.listen,
            self.endpoints.generation,
            len(self.endpoints.entries),
        )
        self.transport.supervisor.start(self.reload.run())
        for transport in self.transports:
            self.transport.supervisor.start(transport.run())
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload.request)
        self.environment.unblock_signals()
        await self.planner.run()


async def serve(config: Config) -> None:
    """Run a planner in this process until cancelled."""
    await Service(config).run()
