"""Reload while the planner serves: the configuration is read and checked as a whole, and what changed is applied."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import fields, replace
from typing import Final

from loguru import logger

from stackwheel.service.config import Config, ConfigError, load_config
from stackwheel.wire.transport import Addresses

RETRIES: Final = 4  # for a file that can't be used: it may be half written, and its writer sends no second signal
RETRY_INTERVAL_S: Final = 0.5
FIXED_ADDRESSES = ("listen", "peer_listen")  # their sockets stay open until a restart


class Reload:
    """Follows requests to reload; several before it gets to the first one are one request.

    Attributes:
        config: as it is in force.
        last_problem: why the file could not be used, as logged for the present request; None if it was not logged.
    """

    def __init__(
        self, config: Config, apply: Callable[[Addresses], None], load: Callable[[], Config] = load_config
    ) -> None:
        """Start with the configuration in force; `apply` gets the new addresses, `load` reads the file."""
        self.config = config
        self.apply = apply
        self.load = load
        self.requested = asyncio.Event()
        self.last_problem: str | None = None

    def request(self) -> None:
        """Ask for a reload; this is the handler of SIGHUP."""
        self.requested.set()

    async def run(self) -> None:
        """Follow requests until cancelled."""
        while True:
            await self.requested.wait()
            self.requested.clear()
            try:
                await self.follow_request()
            except Exception as error:  # the next signal has to be followed all the same
                logger.opt(exception=True).error("configuration not reloaded: reason={!r}", error)

    async def follow_request(self) -> None:
        """Reload; while the file can't be used, retry for a while or until the next request."""
        self.last_problem = None
        if self.reload():
            return
        for _ in range(RETRIES):
            try:
                async with asyncio.timeout(RETRY_INTERVAL_S):
                    await self.requested.wait()
            except TimeoutError:
                if self.reload():
                    return
            else:
                return

    def reload(self) -> bool:
        """Read the file and apply it; False, with a log line for each new reason, where it can't be used."""
        try:
            config = self.load()
        except ConfigError as error:
            problem = str(error)
            if problem != self.last_problem:
                logger.error("configuration not reloaded: reason={}", problem)
            self.last_problem = problem
            return False
        self.apply_config(config)
        return True

    def apply_config(self, config: Config) -> None:
        """Apply what can be changed without a restart, and log the keys of all that differs."""
        if fixed := needs_restart(self.config, config):
            logger.warning("configuration change needs a restart: kind={}", ",".join(fixed))
        old = self.config.addresses
        new = replace(config.addresses, **{key: getattr(old, key) for key in FIXED_ADDRESSES})
        self.config = replace(self.config, addresses=new)
        self.apply(new)
        changed = differing_fields([field.name for field in fields(Addresses)], old, new)
        logger.info("configuration reloaded: kind={}", ",".join(changed) or "unchanged")


def differing_fields(names: Iterable[str], old: object, new: object) -> list[str]:
    """The names of fields whose values differ."""
    return [name for name in names if getattr(old, name) != getattr(new, name)]


def needs_restart(old: Config, new: Config) -> list[str]:
    """The keys that differ and take effect at a start only.

    `known` is left out: it is the list that a planner starts with, replaced by discovery's since, so that a restart
    for its sake would change nothing.
    """
    keys = differing_fields(("name", "seed"), old, new)
    keys += differing_fields(FIXED_ADDRESSES, old.addresses, new.addresses)
    if (old.settings, old.names) != (new.settings, new.names):
        keys.append("settings")
    return keys
