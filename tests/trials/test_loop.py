"""The virtual loop: time moves when nothing is left to do, steps keep their order, machines stand still or die."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from stackwheel.trials.loop import Machine, VirtualLoop


def run(work: Coroutine[Any, Any, Any], until: float = 1e6) -> tuple[VirtualLoop, asyncio.Task[Any]]:
    loop = VirtualLoop()  # type: ignore[abstract]
    task = loop.start(Machine("m"), work)
    loop.run_until(until)
    return loop, task


def test_hours_pass_at_once_and_in_order() -> None:
    told: list[tuple[str, float]] = []

    async def sleeper(name: str, delay: float) -> None:
        await asyncio.sleep(delay)
        told.append((name, asyncio.get_running_loop().time()))

    async def main() -> str:
        await asyncio.gather(sleeper("b", 3600.0), sleeper("a", 1.0), sleeper("c", 3600.0))
        return "done"

    _, task = run(main())
    assert task.result() == "done"
    assert told == [("a", 1.0), ("b", 3600.0), ("c", 3600.0)]


def test_what_asyncio_offers_works_on_it() -> None:
    async def main() -> list[object]:
        queue: asyncio.Queue[int] = asyncio.Queue()
        asyncio.get_running_loop().call_later(2.0, queue.put_nowait, 7)
        found: list[object] = [await queue.get()]
        try:
            await asyncio.wait_for(asyncio.sleep(10.0), 1.0)
        except TimeoutError:
            found.append("late")
        done, pending = await asyncio.wait({asyncio.ensure_future(asyncio.sleep(5.0))}, timeout=1.0)
        for task in pending:
            task.cancel()
        found += [len(done), len(pending), asyncio.get_running_loop().time()]
        return found

    _, task = run(main())
    assert task.result() == [7, "late", 0, 1, 4.0]


def test_a_machine_that_stands_still_takes_all_on_waking_in_order() -> None:
    loop, machine, told = VirtualLoop(), Machine("m"), []  # type: ignore[abstract]
    loop.at(1.0, None, loop.stand_still, machine, True)
    for at in (2.0, 3.0, 4.0):
        loop.at(at, machine, lambda at=at: told.append((at, loop.now)))
    loop.at(3.5, None, loop.stand_still, machine, False)
    loop.run_until(10.0)
    assert told == [(2.0, 3.5), (3.0, 3.5), (4.0, 4.0)]


def test_a_killed_machine_takes_no_further_step_and_hands_down_its_name() -> None:
    loop, machine, other, told = VirtualLoop(), Machine("m"), Machine("o"), []  # type: ignore[abstract]

    def child() -> None:
        told.append(loop.machine)
        loop.call_later(1.0, child)

    loop.at(0.5, machine, child)
    loop.at(0.6, other, lambda: told.append(loop.machine))
    loop.at(2.0, None, loop.kill, machine)
    loop.run_until(10.0)
    assert told == [machine, other, machine]


def test_what_nobody_catches_is_kept_and_the_rest_goes_on() -> None:
    loop, told = VirtualLoop(), []  # type: ignore[abstract]

    def fail() -> None:
        raise KeyError("gone")

    loop.at(1.0, Machine("m"), fail)
    loop.at(2.0, None, told.append, 1)
    loop.run_until(3.0)
    assert told == [1] and loop.faults == ["m: KeyError('gone')"]


def test_a_signal_reaches_who_listens_for_it() -> None:
    loop, machine, told = VirtualLoop(), Machine("m"), []  # type: ignore[abstract]
    loop.at(0.0, machine, lambda: loop.add_signal_handler(1, told.append, "hup"))
    loop.at(1.0, None, lambda: loop.signal(machine, 1))
    loop.at(2.0, None, lambda: loop.signal(machine, 15))
    loop.run_until(3.0)
    assert told == ["hup"]
