"""The virtual loop: virtual time, the order of callbacks, and machines that stall or are killed."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from stackwheel.trials.loop import Machine, VirtualLoop


def make_loop() -> VirtualLoop:
    return VirtualLoop()  # type: ignore[abstract]


def run(main: Coroutine[Any, Any, Any], until: float = 1e6) -> tuple[VirtualLoop, asyncio.Task[Any]]:
    loop = make_loop()
    task = loop.start_process(Machine("m"), main)
    loop.run_until(until)
    return loop, task


def test_sleeping_tasks_resume_in_order_of_virtual_time_without_waiting() -> None:
    woken: list[tuple[str, float]] = []

    async def sleeper(name: str, delay: float) -> None:
        await asyncio.sleep(delay)
        woken.append((name, asyncio.get_running_loop().time()))

    async def main() -> str:
        await asyncio.gather(sleeper("b", 3600.0), sleeper("a", 1.0), sleeper("c", 3600.0))
        return "done"

    _, task = run(main())
    assert task.result() == "done"
    assert woken == [("a", 1.0), ("b", 3600.0), ("c", 3600.0)]


def test_asyncio_queues_timeouts_and_wait_use_virtual_time() -> None:
    async def main() -> list[object]:
        queue: asyncio.Queue[int] = asyncio.Queue()
        asyncio.get_running_loop().call_later(2.0, queue.put_nowait, 7)
        observed: list[object] = [await queue.get()]
        try:
            await asyncio.wait_for(asyncio.sleep(10.0), 1.0)
        except TimeoutError:
            observed.append("timeout")
        done, pending = await asyncio.wait({asyncio.ensure_future(asyncio.sleep(5.0))}, timeout=1.0)
        for task in pending:
            task.cancel()
        observed += [len(done), len(pending), asyncio.get_running_loop().time()]
        return observed

    _, task = run(main())
    assert task.result() == [7, "timeout", 0, 1, 4.0]


def test_stalled_machine_runs_parked_callbacks_in_order_when_it_resumes() -> None:
    loop = make_loop()
    machine = Machine("m")
    events: list[Any] = []
    loop.schedule_at(1.0, None, loop.set_stalled, machine, True)
    for at in (2.0, 3.0, 4.0):
        loop.schedule_at(at, machine, lambda at=at: events.append((at, loop.now)))
    loop.schedule_at(3.5, None, loop.set_stalled, machine, False)
    loop.run_until(10.0)
    assert events == [(2.0, 3.5), (3.0, 3.5), (4.0, 4.0)]


def test_callbacks_inherit_their_machine_and_stop_when_it_is_killed() -> None:
    loop = make_loop()
    machine = Machine("m")
    other = Machine("o")
    events: list[Any] = []

    def reschedule() -> None:
        events.append(loop.machine)
        loop.call_later(1.0, reschedule)

    loop.schedule_at(0.5, machine, reschedule)
    loop.schedule_at(0.6, other, lambda: events.append(loop.machine))
    loop.schedule_at(2.0, None, loop.kill, machine)
    loop.run_until(10.0)
    assert events == [machine, other, machine]


def test_uncaught_error_is_recorded_and_later_callbacks_run() -> None:
    loop = make_loop()
    events: list[Any] = []

    def fail() -> None:
        raise KeyError("missing")

    loop.schedule_at(1.0, Machine("m"), fail)
    loop.schedule_at(2.0, None, events.append, 1)
    loop.run_until(3.0)
    assert events == [1]
    assert loop.uncaught_errors == ["m: KeyError('missing')"]


def test_signal_is_delivered_only_to_a_handler_of_its_number() -> None:
    loop = make_loop()
    machine = Machine("m")
    events: list[Any] = []
    loop.schedule_at(0.0, machine, lambda: loop.add_signal_handler(1, events.append, "hup"))
    loop.schedule_at(1.0, None, lambda: loop.deliver_signal(machine, 1))
    loop.schedule_at(2.0, None, lambda: loop.deliver_signal(machine, 15))
    loop.run_until(3.0)
    assert events == ["hup"]
