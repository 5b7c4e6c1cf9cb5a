"""Reloads the configuration of a running planner: the file is validated as a whole, then changes are applied."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import fields, replace
from typing import Final

from loguru import logger

from stackwheel.service.config import Config, ConfigError, load_config
from stackwheel.wire.transport import Addresses

MAX_RETRIES: Final = 4  # further reads of an invalid file, which may not have been completely written
RETRY_INTERVAL_S: Final = 0.5
FIXED_ADDRESSES = ("listen", "peer_listen")  # a change requires a restart, because their sockets stay open


class Reload:
    """Actor that reloads the configuration on request; requests that are pending at the same time are merged into one.

    Attributes:
        config: the configuration in force.
        apply: applies the addresses and limits of a configuration to the transport.
        load: reads the configuration; raises ConfigError if it is invalid.
        requested: set while a request is pending.
        last_logged_problem: the last error logged for the current request; None if there was none.
    """

    def __init__(
        self, config: Config, apply: Callable[[Addresses], None], load: Callable[[], Config] = load_config
    ) -> None:
        """Create the actor for a configuration that is in force."""
        self.config = config
        self.apply = apply
        self.load = load
        self.requested = asyncio.Event()
        self.last_logged_problem: str | None = None

    def request(self) -> None:
        """Request a reload; used as the handler of SIGHUP."""
        self.requested.set()

    async def run(self) -> None:
        """Handle requests until cancelled."""
        while True:
            await self.requested.wait()
            self.requested.clear()
            try:
                await self.handle_request()
            except Exception as error:  # a defect must not stop the handling of later requests
                logger.opt(exception=True).error("configuration not reloaded: reason={!r}", error)

    async def handle_request(self) -> None:
        """Reload; if the file is invalid, retry up to `MAX_RETRIES` times or until the next request."""
        self.last_logged_problem = None
        if self.reload():
            return
        for _ in range(MAX_RETRIES):
            try:
                async with asyncio.timeout(RETRY_INTERVAL_S):
                    await self.requested.wait()
            except TimeoutError:
                if self.reload():
                    return
            else:
                return

    def reload(self) -> bool:
        """Read and apply the file; returns False if it is invalid, and logs each new reason once per request."""
        try:
            config = self.load()
        except ConfigError as error:
            problem = str(error)
            if problem != self.last_logged_problem:
                logger.error("configuration not reloaded: reason={}", problem)
            self.last_logged_problem = problem
            return False
        self.apply_config(config)
        return True

    def apply_config(self, config: Config) -> None:
        """Apply the changes that do not require a restart, and log the keys that have changed."""
        if restart_keys := keys_requiring_restart(self.config, config):
            logger.warning("configuration change needs a restart: kind={}", ",".join(restart_keys))
        old = self.config.addresses
        new = replace(config.addresses, **{key: getattr(old, key) for key in FIXED_ADDRESSES})
        self.config = replace(self.config, addresses=new)
        self.apply(new)
        changed = differing_fields([field.name for field in fields(Addresses)], old, new)
        logger.info("configuration reloaded: kind={}", ",".join(changed) or "unchanged")


def differing_fields(names: Iterable[str], old: object, new: object) -> list[str]:
    """Return the names of the fields whose values differ."""
    return [name for name in names if getattr(old, name) != getattr(new, name)]


def keys_requiring_restart(old: Config, new: Config) -> list[str]:
    """Return the keys that have changed and take effect only after a restart.

    The key `known`, the cached endpoint list, is not compared: the list from the discovery service has replaced it, so
    a restart would have no effect.
    """
    keys = differing_fields(("name", "seed"), old, new)
    keys += differing_fields(FIXED_ADDRESSES, old.addresses, new.addresses)
    if (old.settings, old.names) != (new.settings, new.names):
        keys.append("settings")
    return keys
