"""Composes one planner from its configuration and runs it until it is stopped."""

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

OPERATORS_VARIABLE = "STACKWHEEL_OPERATORS"  # environment variable that names the operators' own file
MS_PER_S = 1000.0


def stream_timeout(settings: Settings) -> float:
    """The time in ms for which a stream may be silent before its proxy counts as left."""
    full_queue = MS_PER_S * settings.queue_limit / settings.channel_rate
    return stream_silence_timeout(settings.report_interval, full_queue, settings.transit_time)


def with_slot_jitter(settings: Settings) -> Settings:
    """Settings for the policy, whose window for the message cap is shorter by the jitter of slots.

    Slots come some ms early or late, and a message that is to leave the window after so many slots has to have left it
    then. The connections keep the cap too, over the full window and as messages are written.
    """
    return replace(settings, message_window=max(0.0, settings.message_window - BATCH_JITTER_MS))


def no_transports(_context: PlannerContext) -> list[ProxyTransport]:
    """No transport beside the sockets."""
    return []


def do_nothing() -> None:
    """Stands in for a step that only a process needs."""


@dataclass(frozen=True, slots=True)
class ProcessEnvironment:
    """What a planner needs of the process around it. A simulation gives its own, so that it runs this very service.

    Attributes:
        wall_clock: Unix time in s.
        monotonic_clock: monotonic time in s.
        open_listener: opens a listening socket; OSError if it can't.
        load_config: reads the configuration again; ConfigError if it can't be used.
        transports: builds the transports beside the sockets.
        freeze_startup_objects: called once all objects that stay have been made.
        unblock_signals: called once a signal finds a handler.
    """

    wall_clock: Callable[[], float] = time.time
    monotonic_clock: Callable[[], float] = time.monotonic
    open_listener: Callable[[str], socket.socket] = open_listener
    load_config: Callable[[], Config] = load_config
    transports: Callable[[PlannerContext], list[ProxyTransport]] = no_transports
    freeze_startup_objects: Callable[[], None] = do_nothing
    unblock_signals: Callable[[], None] = do_nothing


def freeze_startup_objects() -> None:
    """Keep the garbage collector from walking what exists by now: it stays anyway."""
    gc.collect()
    gc.freeze()


def unblock_reload() -> None:
    """Deliver SIGHUP from now on, one that came during the start at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def configured_transports(context: PlannerContext) -> list[ProxyTransport]:
    """What the operators' file turns on; without the variable nothing of it is even imported."""
    path = os.environ.get(OPERATORS_VARIABLE)
    if not path:
        return []
    from stackwheel.service.file_transport import build

    return build(context, path)


PROCESS = ProcessEnvironment(
    transports=configured_transports,
    freeze_startup_objects=freeze_startup_objects,
    unblock_signals=unblock_reload,
)


class CompositePorts:
    """The planner's ports where there are further transports beside the sockets.

    Updates go to all of them; endpoint lists, health checks and gossip use the sockets alone.
    """

    def __init__(self, sockets: SocketTransport, transports: Sequence[ProxyTransport]) -> None:
        """Join the sockets and the other transports."""
        self.sockets = sockets
        self.transports = transports
        self.watch_endpoints = sockets.watch_endpoints
        self.fetch_endpoints = sockets.fetch_endpoints
        self.start_health_check = sockets.start_health_check
        self.send_gossip = sockets.send_gossip

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        """Give all updates to each transport; it sends those of its own streams."""
        self.sockets.deliver(messages)
        for transport in self.transports:
            transport.deliver(messages)


class Service:
    """The parts of one planner, composed and not yet started."""

    def __init__(self, config: Config, environment: ProcessEnvironment = PROCESS) -> None:
        """Compose the parts; TransportSetupError if a further transport can't be set up."""
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
            PolicyOptions(with_slot_jitter(config.settings), config.seed),
            config.names.batch_delay,
            self.clock,
            self.endpoints,
            CompositePorts(self.transport, self.transports) if self.transports else self.transport,
            stream_timeout(config.settings),
        )
        self.reload = Reload(config, self.transport.update_addresses, environment.load_config)

    async def run(self) -> None:
        """Serve until cancelled; OSError if an address can't be bound."""
        if absent := self.config.defaulted_settings:
            logger.warning("settings not given, defaults in force: kind={} count={}", ",".join(absent), len(absent))
        # Before anything is opened, so that a client that connects finds a planner that is ready.
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
    """Run one planner as this process."""
    await Service(config).run()
