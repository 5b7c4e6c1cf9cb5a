"""A reader that runs by itself: it follows folders, and gives what holds to a file and a command."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from loguru import logger

from stackwheel.files.accept import Content, target
from stackwheel.files.codec import KeyRing
from stackwheel.files.disk import SystemDisk, swap
from stackwheel.files.precedence import Choice, SourcePrecedence, Terms
from stackwheel.files.reader import News, Place, Reader, Taken, described
from stackwheel.files.watch import wakes

COMMAND_MOST = 10.0  # s that a command may take


def unix_ms() -> float:
    return time.time() * 1000.0


@dataclass(frozen=True, slots=True)
class Sinks:
    """Where what holds goes."""

    out: str = ""  # a file, swapped whole
    command: str = ""  # run by the shell at each change, with the same on its standard input


def document(choice: Choice) -> dict[str, Any]:
    """What holds, as `out` and the command get it."""
    content: Content = choice.content
    return {
        "source": choice.source.value,
        "planner": choice.planner,
        "tables": content.tables,
        "levels": {r: None if level is None else msgspec.to_builtins(level) for r, level in content.levels.items()},
        "withdrawn": list(content.withdrawn),
    }


class Server:
    def __init__(
        self,
        place: Place,
        keys: Callable[[], KeyRing],
        terms: Terms,
        sinks: Sinks,
        tell: Callable[[dict[str, object]], None],
        poll: float = 1.0,
    ) -> None:
        self.reader = Reader(place, SystemDisk(), unix_ms, keys)
        self.prevailing, self.sinks, self.tell, self.poll = SourcePrecedence(terms), sinks, tell, poll
        self.shown: dict[str, Any] | None = None

    async def run(self, once: bool = False) -> bool:
        """Follow until cancelled, or look once; whether nothing was refused."""
        await self.reader.start()
        sound = True
        async for _ in wakes(self.reader.place.folders, self.poll):
            for news in await self.reader.look():
                sound &= isinstance(news, Taken)
                await self.take(news)
            await self.show()
            if once:
                return sound
        return sound

    async def take(self, news: News) -> None:
        self.tell(described(news))
        if isinstance(news, Taken):
            self.prevailing.file(target(news.held.orders), news.held, unix_ms())
            if self.reader.place.answers:
                failed = await self.reader.answer(0.0, 0.0, (), (), False)
                if failed is not None:
                    logger.warning("files: answer not written, at {}: {}", failed.step, failed.reason)

    async def show(self) -> None:
        """Give what holds to the sinks where it has changed."""
        found = document(self.prevailing.choose(unix_ms()))
        if found == self.shown:
            return
        self.shown = found
        data = json.dumps(found, sort_keys=True).encode() + b"\n"
        if self.sinks.out:
            folder, _, name = self.sinks.out.rpartition("/")
            failed = await asyncio.to_thread(swap, SystemDisk(), folder or ".", name, data)
            if failed is not None:
                logger.warning("files: {} not written, at {}: {}", self.sinks.out, failed.step, failed.reason)
        if self.sinks.command:
            await self.call(data)

    async def call(self, data: bytes) -> None:
        process = await asyncio.create_subprocess_shell(self.sinks.command, stdin=asyncio.subprocess.PIPE)
        try:
            await asyncio.wait_for(process.communicate(data), COMMAND_MOST)
        except TimeoutError:
            process.kill()
            await process.wait()
        if process.returncode:
            logger.warning("files: the command ended with {}", process.returncode)
