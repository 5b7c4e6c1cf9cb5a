"""The discovery client through all orders of reloads, ends of watches, answers and retries, without sockets.

Whatever the order, a call has to be open or due at the current address. Otherwise the planner would never learn of
changes to the endpoint list again, and nothing would report it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from random import Random
from typing import NamedTuple

import pytest
from loguru import logger

from stackwheel.endpoints import EndpointList
from stackwheel.state.messages import EndpointListFailed
from stackwheel.wire.discovery_client import DiscoveryClient
from stackwheel.wire.discovery_commands import ChangeAddress, Command, DiscoveryOptions, WatchEnd
from stackwheel.wire.http import CallError, Stage

FIRST_ADDRESS = "discovery-0:1"
MAX_EVENTS = 5
SETTLING_ITERATIONS = 8
"""Iterations of the event loop in which all tasks that can go on have done so."""


class ScriptedWatch(NamedTuple):
    """An open watch, whose result the test sets: a list, or None for the end of the watch."""

    address: str
    result: asyncio.Queue[EndpointList | None]


class ScriptedClient(DiscoveryClient):
    """A client whose watches and delays are controlled by the test.

    Attributes:
        open_watches: the watches that are open, by the task that runs them.
        delayed: commands that are due after a delay.
        failures: number of posted failures for which the policy has not yet asked for a new watch.
    """

    def __init__(self, always_watch: bool) -> None:
        super().__init__(FIRST_ADDRESS, 0, self.count_failure, Random(1), DiscoveryOptions(always_watch=always_watch))
        self.open_watches: dict[asyncio.Task[None] | None, ScriptedWatch] = {}
        self.delayed: list[Command] = []
        self.failures = 0

    def count_failure(self, item: EndpointList | EndpointListFailed) -> None:
        if isinstance(item, EndpointListFailed):
            self.failures += 1

    async def watch_replica(self, address: str, replica: str) -> WatchEnd:
        task = asyncio.current_task()
        watch = ScriptedWatch(address, asyncio.Queue())
        self.open_watches[task] = watch
        try:
            while (endpoints := await watch.result.get()) is not None:
                self.accept(endpoints, address)
        finally:
            del self.open_watches[task]
        return WatchEnd(CallError(Stage.BODY, "ended by the test", replica), False)

    def _send_after_backoff(self, command: Command) -> None:
        self.delayed.append(command)

    def addresses_open_or_due(self) -> set[str]:
        """Return the addresses at which a watch is open, or will be opened without a further reload."""
        open_addresses = {watch.address for watch in self.open_watches.values()}
        return open_addresses | ({self.address} if self.failures or self.delayed else set())


def answer(client: ScriptedClient, task: asyncio.Task[None] | None) -> bool:
    """Let a watch deliver a complete list; returns False if the watch is not open."""
    if task not in client.open_watches:
        return False
    client.open_watches[task].result.put_nowait(EndpointList(client.generation + 1, True, ()))
    return True


def end(client: ScriptedClient, task: asyncio.Task[None] | None) -> bool:
    """End a watch; returns False if the watch is not open."""
    if task not in client.open_watches:
        return False
    client.open_watches[task].result.put_nowait(None)
    return True


def reload(client: ScriptedClient) -> bool:
    """Change to an address that was not used before."""
    number = int(client.address.split("-")[1].split(":")[0])
    client.send(ChangeAddress(f"discovery-{number + 1}:1"))
    return True


def reload_to_source(client: ScriptedClient) -> bool:
    """Change back to the address that delivered the current list."""
    client.send(ChangeAddress(client.source))
    return client.source != client.address


def fetch_fails(client: ScriptedClient) -> bool:
    """A fetch of the complete list fails beside the watches."""
    client.report_failure(CallError(Stage.CONNECT, "failed by the test", client.source), client.source)
    return True


def renew(client: ScriptedClient) -> bool:
    client.send(Command.RENEW)
    return True


def retry(client: ScriptedClient) -> bool:
    """Ask for a new watch, as the policy does some time after a failure."""
    if not client.failures:
        return False
    client.failures = 0
    client.send(Command.WATCH)
    return True


def delay_expires(client: ScriptedClient) -> bool:
    if not client.delayed:
        return False
    client.send(client.delayed.pop(0))
    return True


EVENTS: dict[str, Callable[[ScriptedClient], bool]] = {
    "reload": reload,
    "reload to the source": reload_to_source,
    "renewal is due": renew,
    "first watch answers": lambda client: answer(client, client.watch_task),
    "second watch answers": lambda client: answer(client, client.successor_task),
    "first watch ends": lambda client: end(client, client.watch_task),
    "second watch ends": lambda client: end(client, client.successor_task),
    "fetch fails": fetch_fails,
    "policy retries": retry,
    "delay expires": delay_expires,
}


@pytest.fixture(autouse=True)
def _without_log() -> Iterator[None]:
    logger.disable("stackwheel")
    yield
    logger.enable("stackwheel")


async def settle() -> None:
    for _ in range(SETTLING_ITERATIONS):
        await asyncio.sleep(0)


async def play(always_watch: bool, order: tuple[str, ...]) -> tuple[bool, ScriptedClient]:
    """Play events after the start of a watch; returns whether all of them were possible, and the client."""
    client = ScriptedClient(always_watch)
    running = asyncio.create_task(client.run())
    if not always_watch:
        client.send(Command.WATCH)
    await settle()
    is_possible = True
    for name in order:
        is_possible = is_possible and EVENTS[name](client)
        await settle()
    running.cancel()
    return is_possible, client


async def broken_orders(always_watch: bool) -> list[str]:
    """Return the orders after which no call is open or due at the current address; each is a shortest one."""
    broken = []
    orders: list[tuple[str, ...]] = [()]
    for _ in range(MAX_EVENTS):
        longer = []
        for order in _continued(orders):
            is_possible, client = await play(always_watch, order)
            if is_possible and client.address not in client.addresses_open_or_due():
                broken.append(" > ".join(order))
            elif is_possible:
                longer.append(order)
            client.cancel_watches()
            await settle()
        orders = longer
    return broken


def _continued(orders: list[tuple[str, ...]]) -> Iterator[tuple[str, ...]]:
    return ((*order, name) for order in orders for name in EVENTS)


@pytest.mark.parametrize("always_watch", [False, True])
def test_a_call_is_open_or_due_at_the_current_address_in_all_orders(always_watch: bool) -> None:
    """Guards against a planner that never hears of drains again after two reloads in a row."""
    assert asyncio.run(broken_orders(always_watch)) == []
