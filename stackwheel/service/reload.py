"""A new configuration while the planner serves: read whole, checked, and what changed is applied."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import fields, replace

from loguru import logger

from stackwheel.service.config import Config, ConfigError, load_config
from stackwheel.wire.links import Addresses

AT_START = ("listen", "peer_listen")  # of the addresses: what stands open


class Reload:
    """Asked any number of times, it reads the file once more after the last."""

    def __init__(self, config: Config, apply: Callable[[Addresses], None],
                 load: Callable[[], Config | ConfigError] = load_config) -> None:
        self.config, self.apply, self.load = config, apply, load
        self.asked = asyncio.Event()

    def ask(self) -> None:
        self.asked.set()

    async def run(self) -> None:
        while True:
            await self.asked.wait()
            self.asked.clear()
            self.reload()

    def reload(self) -> None:
        found = self.load()
        if isinstance(found, ConfigError):
            logger.error("configuration not reloaded, the old one holds: {}", found.reason)
            return
        if held := needs_restart(self.config, found):
            logger.warning("changed, but in force only after a restart: {}", ", ".join(held))
        old = self.config.addresses
        new = replace(found.addresses, **{key: getattr(old, key) for key in AT_START})
        self.config = replace(self.config, addresses=new)  # with what is in force
        self.apply(new)
        changed = differing([field.name for field in fields(Addresses)], old, new)
        logger.info("configuration reloaded; changed: {}", ", ".join(changed) or "nothing")


def differing(keys: Iterable[str], old: object, new: object) -> list[str]:
    return [key for key in keys if getattr(old, key) != getattr(new, key)]


def needs_restart(old: Config, new: Config) -> list[str]:
    """The keys that are read at the start alone. `known` is one too, but old by now in either file."""
    found = differing(("name", "seed"), old, new) + differing(AT_START, old.addresses, new.addresses)
    if (old.settings, old.names) != (new.settings, new.names):
        found.append("settings")
    return found
