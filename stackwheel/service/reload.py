"""A new configuration while the planner serves: read whole, checked, and what changed is applied."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import fields, replace

from loguru import logger

from stackwheel.service.config import Config, ConfigError, load_config
from stackwheel.wire.transport import Addresses

LOOKS, LOOK_AGAIN = 4, 0.5  # a file that can't be used is looked at so often, so many s apart: it may be half written
AT_START = ("listen", "peer_listen")  # of the addresses: what stands open


class Reload:
    """Asked any number of times, it reads the file once more after the last."""

    def __init__(
        self, config: Config, apply: Callable[[Addresses], None], load: Callable[[], Config | ConfigError] = load_config
    ) -> None:
        self.config, self.apply, self.load = config, apply, load
        self.requested = asyncio.Event()

    def request(self) -> None:
        self.requested.set()

    async def run(self) -> None:
        while True:
            await self.requested.wait()
            self.requested.clear()
            try:
                await self.follow()
            except Exception as error:  # the next signal finds somebody who hears it
                logger.opt(exception=True).error("configuration not reloaded, the old one holds: fault {!r}", error)

    async def follow(self) -> None:
        """Read it, and where it can't be used look again for a while, as its writer may not have ended yet."""
        refused = self.reload()
        for _ in range(LOOKS):
            if refused is None:
                return
            try:
                async with asyncio.timeout(LOOK_AGAIN):
                    await self.requested.wait()
                return
            except TimeoutError:
                refused = self.reload(refused)

    def reload(self, refused: ConfigError | None = None) -> ConfigError | None:
        """Why the file can't be used, if so; logged, unless it was refused for the same."""
        found = self.load()
        if isinstance(found, ConfigError):
            if found != refused:
                logger.error("configuration not reloaded, the old one holds: {}", found.reason)
            return found
        if held := needs_restart(self.config, found):
            logger.warning("changed, but in force only after a restart: {}", ", ".join(held))
        old = self.config.addresses
        new = replace(found.addresses, **{key: getattr(old, key) for key in AT_START})
        self.config = replace(self.config, addresses=new)  # with what is in force
        self.apply(new)
        changed = differing([field.name for field in fields(Addresses)], old, new)
        logger.info("configuration reloaded; changed: {}", ", ".join(changed) or "nothing")
        return None


def differing(keys: Iterable[str], old: object, new: object) -> list[str]:
    return [key for key in keys if getattr(old, key) != getattr(new, key)]


def needs_restart(old: Config, new: Config) -> list[str]:
    """The keys that are read at the start alone. `known` is one too, but old by now in either file."""
    found = differing(("name", "seed"), old, new) + differing(AT_START, old.addresses, new.addresses)
    if (old.settings, old.names) != (new.settings, new.names):
        found.append("settings")
    return found
