"""An asyncio event loop in virtual time: nothing sleeps, and each step is taken in a fixed order.

The shipped code runs in it as it is. Every callback belongs to a machine, inherited from the callback that
scheduled it: a machine that stands still has its steps parked, one that was killed has them dropped.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import heapq
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from stackwheel.trials.network import Network

T = TypeVar("T")
Step = Callable[..., object]


class Machine:
    """One life of a process on its machine: what runs there stands still or dies with it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.alive = True
        self.still = False
        self.parked: deque[Handle] = deque()
        self.signals: dict[int, tuple[Step, tuple[object, ...]]] = {}
        self.tasks: list[asyncio.Task[Any]] = []  # kept until the run ends: nobody is finalised at random

    def __repr__(self) -> str:
        return self.name

    def end_tasks(self) -> None:
        """Close what is left of its coroutines, in the order they were made; the run is over."""
        for task in self.tasks:
            coroutine = task.get_coro()
            if not task.done() and isinstance(coroutine, Coroutine):
                with contextlib.suppress(Exception):  # their last words go to a loop that is closed
                    coroutine.close()
        self.tasks.clear()


class Handle:
    """A step to be taken. Without a context it runs in the present one: nothing here keeps context variables."""

    __slots__ = ("args", "at", "callback", "context", "machine", "stopped")

    def __init__(
        self,
        callback: Step,
        args: tuple[object, ...],
        context: contextvars.Context | None,
        machine: Machine | None,
        at: float,
    ) -> None:
        self.callback, self.args, self.context = callback, args, context
        self.machine, self.at, self.stopped = machine, at, False

    def cancel(self) -> None:
        self.stopped = True

    def cancelled(self) -> bool:
        return self.stopped

    def when(self) -> float:
        return self.at


class VirtualLoop(asyncio.AbstractEventLoop):
    """Time is seconds since the run began; it moves only when nothing is left to do at the present one."""

    def __init__(self) -> None:
        self.now = 0.0
        self.ready: deque[Handle] = deque()
        self.timers: list[tuple[float, int, Handle]] = []
        self.made = 0  # timers, so that those of one time are taken in the order made
        self.steps = 0
        self.machine: Machine | None = None  # whose step is being taken
        self.closed = False
        self.faults: list[str] = []  # what no one caught
        self.network: Network | None = None
        self.after_step: Callable[[float], None] = lambda now: None

    # what the trial uses

    def at(self, when: float, machine: Machine | None, callback: Step, *args: object) -> Handle:
        """Take a step of a machine at a time, outside of any task."""
        handle = Handle(callback, args, None, machine, when)
        self.made += 1
        heapq.heappush(self.timers, (when, self.made, handle))
        return handle

    def start(self, machine: Machine, work: Coroutine[Any, Any, object]) -> asyncio.Task[Any]:
        """Run a coroutine as a machine's own process."""
        previous, self.machine = self.machine, machine
        try:
            return self.create_task(work)
        finally:
            self.machine = previous

    def stand_still(self, machine: Machine, still: bool) -> None:
        """What came meanwhile is taken at once on waking, in the order it came."""
        machine.still = still
        if not still:
            self.ready.extend(machine.parked)
            machine.parked.clear()

    def kill(self, machine: Machine) -> None:
        machine.alive = False
        machine.parked.clear()

    def run_until(self, until: float) -> None:
        """Take all steps up to a time."""
        events._set_running_loop(self)
        ready, timers, heappop = self.ready, self.timers, heapq.heappop
        try:
            while True:
                while ready:
                    self.step(ready.popleft())
                if not timers or timers[0][0] > until:
                    self.now = max(self.now, until)
                    return
                when, _, handle = heappop(timers)
                if not handle.stopped:
                    if when > self.now:
                        self.now = when
                    self.step(handle)
        finally:
            events._set_running_loop(None)

    def step(self, handle: Handle) -> None:
        machine = handle.machine
        if handle.stopped:
            return
        if machine is not None:
            if not machine.alive:
                return
            if machine.still:
                machine.parked.append(handle)
                return
        self.machine = machine
        self.steps += 1
        try:
            if handle.context is None:
                handle.callback(*handle.args)
            else:
                handle.context.run(handle.callback, *handle.args)
        except Exception as error:  # what asyncio itself would log and go on after
            self.faults.append(f"{machine}: {error!r}")
        self.after_step(self.now)

    # what asyncio asks of a loop

    def time(self) -> float:
        return self.now

    def call_soon(  # type: ignore[override]
        self,
        callback: Step,
        *args: object,
        context: contextvars.Context | None = None,
    ) -> Handle:
        handle = Handle(callback, args, context, self.machine, self.now)
        if not self.closed:
            self.ready.append(handle)
        return handle

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Step,
        *args: object,
        context: contextvars.Context | None = None,
    ) -> Handle:
        return self.call_at(self.now + max(0.0, delay), callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Step,
        *args: object,
        context: contextvars.Context | None = None,
    ) -> Handle:
        handle = Handle(callback, args, context, self.machine, when)
        if not self.closed:
            self.made += 1
            heapq.heappush(self.timers, (when, self.made, handle))
        return handle

    def create_future(self) -> asyncio.Future[Any]:
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Generator[Any, None, T] | Coroutine[Any, Any, T],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[T]:
        task: asyncio.Task[T] = asyncio.Task(coro, loop=self, name=name, context=context)
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        if self.machine is not None:
            kept = self.machine.tasks
            kept.append(task)
            if len(kept) > 256 and len(kept) % 128 == 0:  # those that ended need no keeping
                kept[:] = [one for one in kept if not one.done()]
        return task

    def is_running(self) -> bool:
        return not self.closed

    def is_closed(self) -> bool:
        return self.closed

    def get_debug(self) -> bool:
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        self.faults.append(f"{context.get('message')}: {context.get('exception')!r}")

    def add_signal_handler(self, sig: int, callback: Step, *args: object) -> None:
        if self.machine is not None:
            self.machine.signals[sig] = callback, args

    def signal(self, machine: Machine, sig: int) -> None:
        """Deliver a signal to a machine's process, as far as it listens for it."""
        if machine.alive and sig in machine.signals:
            callback, args = machine.signals[sig]
            self.at(self.now, machine, callback, *args)

    async def create_connection(
        self,
        protocol_factory: Callable[[], Any],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: Any = None,
        **_: object,
    ) -> tuple[Any, Any]:
        assert self.network is not None
        if sock is not None:
            attended: tuple[Any, Any] = sock.attend(protocol_factory())
            return attended
        assert host is not None and port is not None and self.machine is not None
        opened = self.create_future()
        self.network.dial(self.machine, (host, port), protocol_factory(), opened)
        made: tuple[Any, Any] = await opened
        return made

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: Any = None,
        **_: object,
    ) -> Any:
        return sock.serve(protocol_factory)

    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], Any],
        local_addr: Any = None,
        **_: object,
    ) -> tuple[Any, Any]:
        assert self.network is not None and self.machine is not None
        return self.network.bind(self.machine, local_addr, protocol_factory())

    async def sock_accept(self, sock: Any) -> tuple[Any, Any]:
        taken: tuple[Any, Any] = await sock.take()
        return taken

    def close(self) -> None:
        """Forget all that waits; coroutines that are finalised after this schedule nothing."""
        self.closed = True
        self.ready.clear()
        self.timers.clear()
