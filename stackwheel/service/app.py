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
from stackwheel.service.ports import Extra, PlannerContext
from stackwheel.service.reload import Reload
from stackwheel.state.clock import Clock
from stackwheel.state.ids import Ids
from stackwheel.state.module import Module
from stackwheel.state.orders import Message
from stackwheel.state.roster import Roster
from stackwheel.state.streams import Line
from stackwheel.wire.links import Links, open_listener
from stackwheel.wire.timing import JITTER, stream_silence

OPERATORS = "STACKWHEEL_OPERATORS"  # names the operators' own file


def silence(settings: Settings) -> float:
    return stream_silence(
        settings.report_interval, 1000.0 * settings.queue_limit / settings.channel_rate, settings.transit_time
    )


def on_sockets(settings: Settings) -> Settings:
    """Slots come some ms early or late: what leaves the span after so many cycles shall have left it.

    The connection keeps the limit itself, over the whole span and as messages are written.
    """
    return replace(settings, message_window=max(0.0, settings.message_window - JITTER))


def no_extras(context: PlannerContext) -> list[Extra]:
    return []


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What the process stands in: clocks, listener, configuration and signals, as the system gives them.

    A trial hands in its own, so that what runs there is this very service.
    """

    wall: Callable[[], float] = time.time  # s
    steady: Callable[[], float] = time.monotonic  # s
    listen_at: Callable[[str], socket.socket] = open_listener
    load: Callable[[], Config | ConfigError] = load_config
    extras: Callable[[PlannerContext], list[Extra]] = no_extras
    settle: Callable[[], None] = lambda: None  # once all that stays has been made
    signals_on: Callable[[], None] = lambda: None  # once signals find somebody who hears them


def settle_memory() -> None:
    """What stands by now stays: no collection walks it again."""
    gc.collect()
    gc.freeze()


def unblock_reload() -> None:
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})


def operators_extras(context: PlannerContext) -> list[Extra]:
    """What the operators' file turns on; without the variable nothing of it is even imported."""
    path = os.environ.get(OPERATORS)
    if not path:
        return []
    from stackwheel.service.extras import build

    return build(context, path)


PROCESS = Surroundings(extras=operators_extras, settle=settle_memory, signals_on=unblock_reload)


class Outsides:
    """The sockets and what speaks beside them; lists, probes and peers are the sockets' alone."""

    def __init__(self, links: Links, extras: Sequence[Extra]) -> None:
        self.links, self.extras = links, extras
        self.watch_list, self.fetch_list = links.watch_list, links.fetch_list
        self.probe, self.tell_peers = links.probe, links.tell_peers

    def deliver(self, messages: Sequence[tuple[Line, Message]]) -> None:
        self.links.deliver(messages)
        for extra in self.extras:
            extra.deliver(messages)


class Service:
    """One planner's parts, put together and not yet started."""

    def __init__(self, config: Config, around: Surroundings = PROCESS) -> None:
        self.config, self.around = config, around
        self.clock = Clock(around.wall, around.steady)
        self.roster = Roster(config.names.zones, config.names.kinds, Ids(), config.settings.removal_is_advisory)
        self.roster.apply(config.known)
        self.links = Links(
            config.addresses, config.settings, config.names, self.roster, self.clock, around.listen_at, config.seed
        )
        self.extras = around.extras(
            PlannerContext(config, self.clock, self.roster, lambda item: self.module.post(item))
        )
        outside = Outsides(self.links, self.extras) if self.extras else self.links
        self.module = Module(
            on_sockets(config.settings),
            config.names.tick,
            config.seed,
            self.clock,
            self.roster,
            outside,
            silence(config.settings),
        )
        self.reload = Reload(config, self.links.readdress, around.load)

    async def run(self) -> None:
        """Answer and decide until cancelled; OSError if an address can't be had."""
        if self.config.absent:
            logger.warning("settings not given, so at their defaults: {}", ", ".join(self.config.absent))
        self.module.decide([self.roster.cached()])  # known first; who connects finds a planner that is ready
        self.around.settle()
        await self.links.open(self.module.post)
        logger.info(
            "ready on {}, {} servers known of list {}",
            self.config.addresses.listen,
            len(self.roster.entries),
            self.roster.generation,
        )
        self.links.start_task(self.reload.run())
        for extra in self.extras:
            self.links.start_task(extra.run())
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self.reload.ask)
        self.around.signals_on()  # one that came during the start counts now
        await self.module.run()


async def serve(config: Config) -> None:
    await Service(config).run()
