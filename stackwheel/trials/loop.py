"""An asyncio event loop in virtual time: nothing sleeps, and callbacks run in a fixed order.

The shipped code runs in it as it is. Every callback belongs to a machine, inherited from the callback that
scheduled it: a stalled machine has its callbacks parked, a killed one has them dropped.
"""

from __future__ import annotations

import asyncio
import contextlib
import contextvars
import heapq
from asyncio import events
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from typing import Any, Protocol, TypeVar

T = TypeVar("T")
Callback = Callable[..., object]
Address = tuple[str, int]

KEPT_TASKS = 256  # of one machine before those that are done are forgotten
FORGET_EVERY = 128  # tasks beyond that


def do_nothing(*_: object) -> None:
    """The default of optional callbacks."""


class LoopNetwork(Protocol):
    """What the loop needs of the simulated network: connections and datagrams."""

    def dial(
        self, machine: Machine, address: Address, protocol: Any, opened: asyncio.Future[Any] | None = None
    ) -> None:
        """Connect for a machine; `opened` is resolved with transport and protocol."""

    def bind(self, machine: Machine, address: Address, protocol: Any) -> tuple[Any, Any]:
        """Open a datagram endpoint."""


class Machine:
    """One incarnation of a process on its machine: what runs there stalls or dies with it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.alive = True
        self.stalled = False
        self.parked_callbacks: deque[Handle] = deque()
        self.signal_handlers: dict[int, Handle] = {}
        self.tasks: list[asyncio.Task[Any]] = []  # kept until the run ends: none is finalised at a random time

    def __repr__(self) -> str:
        return self.name

    def close_tasks(self) -> None:
        """Close what is left of its coroutines, in the order they were made; the run is over."""
        for task in self.tasks:
            coroutine = task.get_coro()
            if not task.done() and isinstance(coroutine, Coroutine):
                with contextlib.suppress(Exception):  # what they do at their end goes to a loop that is closed
                    coroutine.close()
        self.tasks.clear()


class Handle:
    """A scheduled callback. Without a context it runs in the present one: nothing here keeps context variables."""

    __slots__ = ("args", "callback", "context", "due_at", "is_cancelled", "machine")

    def __init__(
        self,
        callback: Callback,
        args: tuple[object, ...],
        context: contextvars.Context | None,
        machine: Machine | None,
        due_at: float,
    ) -> None:
        self.callback = callback
        self.args = args
        self.context = context
        self.machine = machine
        self.due_at = due_at
        self.is_cancelled = False

    def cancel(self) -> None:
        """Do not run the callback."""
        self.is_cancelled = True

    def cancelled(self) -> bool:
        """Whether it was cancelled."""
        return self.is_cancelled

    def when(self) -> float:
        """When it is due, in s of the loop's clock."""
        return self.due_at


class VirtualLoop(asyncio.AbstractEventLoop):
    """Time is seconds since the run began; it moves only when nothing is left to do at the present one.

    Attributes:
        now: The virtual time.
        machine: The machine whose callback is running, if any.
        uncaught_errors: What callbacks and tasks raised and nobody caught, as text.
        after_callback: Called with the time after each callback.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.ready: deque[Handle] = deque()
        self.timers: list[tuple[float, int, Handle]] = []  # a heap
        self.timer_count = 0  # so that timers of the same time run in the order made
        self.callbacks_run = 0
        self.machine: Machine | None = None
        self.closed = False
        self.uncaught_errors: list[str] = []
        self.network: LoopNetwork | None = None
        self.after_callback: Callable[[float], None] = do_nothing

    # For the simulation.

    def schedule_at(self, when: float, machine: Machine | None, callback: Callback, *args: object) -> Handle:
        """Run a callback of a machine at a time, outside of any task."""
        handle = Handle(callback, args, None, machine, when)
        self.timer_count += 1
        heapq.heappush(self.timers, (when, self.timer_count, handle))
        return handle

    @contextlib.contextmanager
    def running_as(self, machine: Machine) -> Generator[None, None, None]:
        """Let what the block schedules belong to a machine."""
        previous = self.machine
        self.machine = machine
        try:
            yield
        finally:
            self.machine = previous

    def start_process(self, machine: Machine, main: Coroutine[Any, Any, object]) -> asyncio.Task[Any]:
        """Run a coroutine as a machine's own process."""
        with self.running_as(machine):
            return self.create_task(main)

    def set_stalled(self, machine: Machine, stalled: bool) -> None:
        """Stall a machine, or wake it: what came meanwhile runs at once on waking, in the order it came."""
        machine.stalled = stalled
        if not stalled:
            self.ready.extend(machine.parked_callbacks)
            machine.parked_callbacks.clear()

    def kill(self, machine: Machine) -> None:
        """Drop all callbacks of a machine, those to come as well."""
        machine.alive = False
        machine.parked_callbacks.clear()

    def run_until(self, until: float) -> None:
        """Run all callbacks up to a time."""
        events._set_running_loop(self)
        ready = self.ready
        timers = self.timers
        heappop = heapq.heappop
        try:
            while True:
                while ready:
                    self.run_callback(ready.popleft())
                if not timers or timers[0][0] > until:
                    self.now = max(self.now, until)
                    return
                when, _, handle = heappop(timers)
                if not handle.is_cancelled:
                    if when > self.now:
                        self.now = when
                    self.run_callback(handle)
        finally:
            events._set_running_loop(None)

    def run_callback(self, handle: Handle) -> None:
        """Run a callback unless it was cancelled or its machine is dead; park it where its machine is stalled."""
        machine = handle.machine
        if handle.is_cancelled:
            return
        if machine is not None:
            if not machine.alive:
                return
            if machine.stalled:
                machine.parked_callbacks.append(handle)
                return
        self.machine = machine
        self.callbacks_run += 1
        try:
            if handle.context is None:
                handle.callback(*handle.args)
            else:
                handle.context.run(handle.callback, *handle.args)
        except Exception as error:  # what asyncio itself would log and go on after
            self.uncaught_errors.append(f"{machine}: {error!r}")
        self.after_callback(self.now)

    def deliver_signal(self, machine: Machine, signal_number: int) -> None:
        """Deliver a signal to a machine's process, as far as it listens for it."""
        if machine.alive and signal_number in machine.signal_handlers:
            handler = machine.signal_handlers[signal_number]
            self.schedule_at(self.now, machine, handler.callback, *handler.args)

    # The part of asyncio.AbstractEventLoop that the service uses.

    def time(self) -> float:
        """The virtual time in s."""
        return self.now

    def call_soon(  # type: ignore[override]  # Handle stands in for asyncio.Handle
        self,
        callback: Callback,
        *args: object,
        context: contextvars.Context | None = None,
    ) -> Handle:
        """Run a callback of the present machine at the present time."""
        handle = Handle(callback, args, context, self.machine, self.now)
        if not self.closed:
            self.ready.append(handle)
        return handle

    def call_later(  # type: ignore[override]  # Handle stands in for asyncio.TimerHandle
        self,
        delay: float,
        callback: Callback,
        *args: object,
        context: contextvars.Context | None = None,
    ) -> Handle:
        """Run a callback of the present machine after a delay in s."""
        return self.call_at(self.now + max(0.0, delay), callback, *args, context=context)

    def call_at(  # type: ignore[override]  # Handle stands in for asyncio.TimerHandle
        self,
        when: float,
        callback: Callback,
        *args: object,
        context: contextvars.Context | None = None,
    ) -> Handle:
        """Run a callback of the present machine at a time."""
        handle = Handle(callback, args, context, self.machine, when)
        if not self.closed:
            self.timer_count += 1
            heapq.heappush(self.timers, (when, self.timer_count, handle))
        return handle

    def create_future(self) -> asyncio.Future[Any]:
        """Make a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Generator[Any, None, T] | Coroutine[Any, Any, T],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[T]:
        """Make a task of the present machine."""
        task: asyncio.Task[T] = asyncio.Task(coro, loop=self, name=name, context=context)
        task._log_destroy_pending = False  # type: ignore[attr-defined]  # asyncio's own switch
        if self.machine is not None:
            tasks = self.machine.tasks
            tasks.append(task)
            if len(tasks) > KEPT_TASKS and len(tasks) % FORGET_EVERY == 0:
                tasks[:] = [kept for kept in tasks if not kept.done()]
        return task

    def is_running(self) -> bool:
        """Whether the loop still takes callbacks."""
        return not self.closed

    def is_closed(self) -> bool:
        """Whether the run is over."""
        return self.closed

    def get_debug(self) -> bool:
        """Asyncio's debug mode is always off."""
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Note what a task raised and nobody caught."""
        self.uncaught_errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def add_signal_handler(self, sig: int, callback: Callback, *args: object) -> None:
        """Listen for a signal on the present machine."""
        if self.machine is not None:
            self.machine.signal_handlers[sig] = Handle(callback, args, None, self.machine, self.now)

    async def create_connection(
        self,
        protocol_factory: Callable[[], Any],
        host: str | None = None,
        port: int | None = None,
        *,
        sock: Any = None,
        **_: object,
    ) -> tuple[Any, Any]:
        """Connect through the simulated network, or take over an accepted connection given as `sock`."""
        assert self.network is not None
        if sock is not None:
            accepted: tuple[Any, Any] = sock.attach(protocol_factory())
            return accepted
        assert host is not None
        assert port is not None
        assert self.machine is not None
        opened = self.create_future()
        self.network.dial(self.machine, (host, port), protocol_factory(), opened)
        connection: tuple[Any, Any] = await opened
        return connection

    async def create_server(
        self,
        protocol_factory: Callable[[], Any],
        *_host_and_port: object,
        sock: Any = None,
        **_: object,
    ) -> Any:
        """Serve a listener of the simulated network, given as `sock`."""
        return sock.serve(protocol_factory)

    async def create_datagram_endpoint(  # type: ignore[override]  # of what asyncio takes, one address is enough
        self,
        protocol_factory: Callable[[], Any],
        local_addr: Any = None,
        **_: object,
    ) -> tuple[Any, Any]:
        """Open a datagram endpoint on the simulated network."""
        assert self.network is not None
        assert self.machine is not None
        return self.network.bind(self.machine, local_addr, protocol_factory())

    async def sock_accept(self, sock: Any) -> tuple[Any, Any]:
        """Wait for the next connection of a listener."""
        accepted: tuple[Any, Any] = await sock.accepted()
        return accepted

    def close(self) -> None:
        """Forget all that waits; coroutines that are finalised after this schedule nothing."""
        self.closed = True
        self.ready.clear()
        self.timers.clear()
