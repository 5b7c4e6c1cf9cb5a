"""Puts the parts together and runs until it is told to stop."""

from __future__ import annotations

import asyncio
import gc
import signal
from dataclasses import replace

from loguru import logger

from stackwheel.interface import Settings
from stackwheel.service.config import Config
from stackwheel.service.reload import Reload
from stackwheel.state.clock import Clock
from stackwheel.state.ids import Ids
from stackwheel.state.module import Module
from stackwheel.state.roster import Roster
from stackwheel.wire.links import Links
from stackwheel.wire.timing import JITTER, stream_silence


def silence(settings: Settings) -> float:
    return stream_silence(settings.cycle, 1000.0 * settings.backlog / settings.channel_rate, settings.transit)


def on_sockets(settings: Settings) -> Settings:
    """Slots come some ms early or late: what leaves the span after so many cycles shall have left it.

    The connection keeps the limit itself, over the whole span and as messages are written.
    """
    return replace(settings, message_window=max(0.0, settings.message_window - JITTER))


async def serve(config: Config) -> None:
    """Answer and decide until cancelled; OSError if an address can't be had."""
    if config.absent:
        logger.warning("settings not given, so at their defaults: {}", ", ".join(config.absent))
    clock = Clock()
    roster = Roster(config.names.zones, config.names.kinds, Ids())
    roster.apply(config.known)
    links = Links(config.addresses, config.settings, config.names, roster, clock)
    module = Module(on_sockets(config.settings), config.names.tick, config.seed, clock, roster, links,
                    silence(config.settings))
    module.decide([roster.cached()])  # known first; whoever connects finds a planner that is ready
    gc.collect()
    gc.freeze()  # what stands by now stays: no collection walks it again
    await links.open(module.post)
    logger.info("ready on {}, {} servers known of list {}", config.addresses.listen, len(roster.entries),
                roster.generation)
    reload = Reload(config, links.readdress)
    links.keep(reload.run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload.ask)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # one that came during the start counts now
    await module.run()
