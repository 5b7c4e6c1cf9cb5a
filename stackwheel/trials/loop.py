"""An asyncio event loop in virtual time: no call blocks, and callbacks run in a deterministic order.

The code of the service runs in it unchanged. Every callback belongs to a machine, inherited from the callback that
scheduled it. Callbacks of a stalled machine are parked until it resumes; callbacks of a killed machine are dropped.
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

MAX_RETAINED_TASKS = 256  # per machine; completed tasks beyond this limit are dropped
PRUNE_INTERVAL_TASKS = 128


def do_nothing(*_: object) -> None:
    """Ignore all arguments; the default of optional callbacks."""


class LoopNetwork(Protocol):
    """The part of the simulated network that the loop uses: connections and datagrams."""

    def dial(
        self, machine: Machine, address: Address, protocol: Any, opened: asyncio.Future[Any] | None = None
    ) -> None:
        """Open a connection from a machine; `opened` is resolved with the transport and the protocol."""

    def bind(self, machine: Machine, address: Address, protocol: Any) -> tuple[Any, Any]:
        """Open a datagram endpoint."""


class Machine:
    """One incarnation of a process and its machine; its callbacks and tasks stall or end with it."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.alive = True
        self.stalled = False
        self.parked_callbacks: deque[Handle] = deque()
        self.signal_handlers: dict[int, Handle] = {}
        self.tasks: list[asyncio.Task[Any]] = []  # referenced, so that no task is finalised at a nondeterministic time

    def __repr__(self) -> str:
        return self.name

    def close_tasks(self) -> None:
        """Close the unfinished coroutines in the order of their creation, after the end of the run."""
        for task in self.tasks:
            coroutine = task.get_coro()
            if not task.done() and isinstance(coroutine, Coroutine):
                with contextlib.suppress(Exception):  # cleanup code of the coroutine may use the closed loop
                    coroutine.close()
        self.tasks.clear()


class Handle:
    """A scheduled callback; without a context of its own, it runs in the current context."""

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
        """Prevent the callback from running."""
        self.is_cancelled = True

    def cancelled(self) -> bool:
        """Return whether the callback was cancelled."""
        return self.is_cancelled

    def when(self) -> float:
        """Return the time at which the callback is due, in s of the loop's clock."""
        return self.due_at


class VirtualLoop(asyncio.AbstractEventLoop):
    """An event loop whose clock advances only when no callback is due at the current time.

    Attributes:
        now: The virtual time, in s since the start of the run.
        machine: The machine whose callback is running; None outside of callbacks of machines.
        uncaught_errors: Descriptions of the exceptions that callbacks and tasks raised and did not handle.
        after_callback: Called with the virtual time after each callback.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.ready: deque[Handle] = deque()
        self.timers: list[tuple[float, int, Handle]] = []  # heap, ordered by due time and creation
        self.timer_count = 0
        self.callbacks_run = 0
        self.machine: Machine | None = None
        self.closed = False
        self.uncaught_errors: list[str] = []
        self.network: LoopNetwork | None = None
        self.after_callback: Callable[[float], None] = do_nothing

    # Methods for the simulation.

    def schedule_at(self, when: float, machine: Machine | None, callback: Callback, *args: object) -> Handle:
        """Schedule a callback of a machine at a virtual time, outside of any task."""
        handle = Handle(callback, args, None, machine, when)
        self.timer_count += 1
        heapq.heappush(self.timers, (when, self.timer_count, handle))
        return handle

    @contextlib.contextmanager
    def running_as(self, machine: Machine) -> Generator[None, None, None]:
        """Assign all callbacks that the block schedules to a machine."""
        previous = self.machine
        self.machine = machine
        try:
            yield
        finally:
            self.machine = previous

    def start_process(self, machine: Machine, main: Coroutine[Any, Any, object]) -> asyncio.Task[Any]:
        """Start a coroutine as the main task of a machine."""
        with self.running_as(machine):
            return self.create_task(main)

    def set_stalled(self, machine: Machine, stalled: bool) -> None:
        """Stall a machine or resume it; on resumption the parked callbacks run at once, in their original order."""
        machine.stalled = stalled
        if not stalled:
            self.ready.extend(machine.parked_callbacks)
            machine.parked_callbacks.clear()

    def kill(self, machine: Machine) -> None:
        """Drop all current and future callbacks of a machine."""
        machine.alive = False
        machine.parked_callbacks.clear()

    def run_until(self, until: float) -> None:
        """Run all callbacks that are due up to a virtual time, in s."""
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
        """Run a callback; drop it if it was cancelled or its machine has ended, park it if its machine is stalled."""
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
        except Exception as error:  # asyncio logs such an exception and continues
            self.uncaught_errors.append(f"{machine}: {error!r}")
        self.after_callback(self.now)

    def deliver_signal(self, machine: Machine, signal_number: int) -> None:
        """Deliver a signal to the process of a machine; ignore it if the process has no handler for it."""
        if machine.alive and signal_number in machine.signal_handlers:
            handler = machine.signal_handlers[signal_number]
            self.schedule_at(self.now, machine, handler.callback, *handler.args)

    # The part of asyncio.AbstractEventLoop that the service uses.

    def time(self) -> float:
        """Return the virtual time in s."""
        return self.now

    def call_soon(  # type: ignore[override]  # Handle stands in for asyncio.Handle
        self,
        callback: Callback,
        *args: object,
        context: contextvars.Context | None = None,
    ) -> Handle:
        """Schedule a callback of the current machine at the current time."""
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
        """Schedule a callback of the current machine after a delay in s."""
        return self.call_at(self.now + max(0.0, delay), callback, *args, context=context)

    def call_at(  # type: ignore[override]  # Handle stands in for asyncio.TimerHandle
        self,
        when: float,
        callback: Callback,
        *args: object,
        context: contextvars.Context | None = None,
    ) -> Handle:
        """Schedule a callback of the current machine at a virtual time in s."""
        handle = Handle(callback, args, context, self.machine, when)
        if not self.closed:
            self.timer_count += 1
            heapq.heappush(self.timers, (when, self.timer_count, handle))
        return handle

    def create_future(self) -> asyncio.Future[Any]:
        """Create a future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(
        self,
        coro: Generator[Any, None, T] | Coroutine[Any, Any, T],
        *,
        name: str | None = None,
        context: contextvars.Context | None = None,
    ) -> asyncio.Task[T]:
        """Create a task of the current machine."""
        task: asyncio.Task[T] = asyncio.Task(coro, loop=self, name=name, context=context)
        task._log_destroy_pending = False  # type: ignore[attr-defined]  # a private attribute of asyncio
        if self.machine is not None:
            tasks = self.machine.tasks
            tasks.append(task)
            if len(tasks) > MAX_RETAINED_TASKS and len(tasks) % PRUNE_INTERVAL_TASKS == 0:
                tasks[:] = [retained for retained in tasks if not retained.done()]
        return task

    def is_running(self) -> bool:
        """Return whether the loop accepts callbacks."""
        return not self.closed

    def is_closed(self) -> bool:
        """Return whether the loop is closed."""
        return self.closed

    def get_debug(self) -> bool:
        """Return False: debug mode is not supported."""
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an exception that a task raised and did not handle."""
        self.uncaught_errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    def add_signal_handler(self, sig: int, callback: Callback, *args: object) -> None:
        """Set the current machine's handler of a signal."""
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
        """Open a connection on the simulated network, or attach a protocol to the accepted connection `sock`."""
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
        """Accept connections at `sock`, a listener of the simulated network, with a protocol factory."""
        return sock.serve(protocol_factory)

    async def create_datagram_endpoint(  # type: ignore[override]  # supports only a local address
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
        """Drop all scheduled callbacks and accept no more, such as those of coroutines that are finalised later."""
        self.closed = True
        self.ready.clear()
        self.timers.clear()
