"""Channels from planners to proxies: they limit the rate of updates, delay them and deliver them in order."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any, Protocol

from stackwheel.forwarder.updates import ConfigUpdate
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.loop import Machine

TRANSIT_FACTOR_RANGE = (0.6, 1.4)
BURST_GRACE_S = 2.0  # blocked updates enter the channel at once when a cut or a stall ends


class UpdateReceiver(Protocol):
    """The part of a proxy that channels use."""

    @property
    def number(self) -> int:
        """Number of the proxy."""

    @property
    def process(self) -> Machine:
        """Machine of the process that applies updates."""

    def apply(self, stream: Any, update: ConfigUpdate, entered_at: float) -> None:
        """Apply an update that arrives from the channel, which it entered at `entered_at` (s)."""


class UpdateStream(Protocol):
    """The part of a stream that channels use."""

    @property
    def planner(self) -> int:
        """Number of the planner."""

    @property
    def proxy(self) -> UpdateReceiver:
        """The proxy that receives the updates."""


@dataclass(frozen=True, slots=True)
class QueuedUpdate:
    """An update in a channel, with the time when it leaves the channel (s) and its cost in lines."""

    departs_at: float
    cost: float


class Channel:
    """The updates that one planner has sent and that have not left the channel; costs are lines, times s.

    Attributes:
        idle_from: Time from which the channel has no queued updates.
        queued_lines: Cost of all queued updates.
        max_queued_lines: Maximum of `queued_lines` so far.
        last_arrival: By proxy: arrival time of the last update so far; later updates do not overtake it.
    """

    def __init__(self) -> None:
        self.idle_from = 0.0
        self.queue: deque[QueuedUpdate] = deque()
        self.queued_lines = 0.0
        self.max_queued_lines = 0.0
        self.last_arrival: dict[int, float] = {}

    def enqueue(self, now: float, proxy: int, cost: float, rate: float, transit: float) -> float:
        """Add an update to the queue; return the time of its arrival at the proxy.

        Args:
            now: The current time.
            proxy: Number of the receiving proxy.
            cost: Lines of the update, the overhead included.
            rate: Lines per second that leave the channel.
            transit: Transit time from the channel to the proxy, in s.
        """
        while self.queue and self.queue[0].departs_at <= now:
            self.queued_lines -= self.queue.popleft().cost
        self.idle_from = max(self.idle_from, now) + cost / rate
        self.queue.append(QueuedUpdate(self.idle_from, cost))
        self.queued_lines += cost
        self.max_queued_lines = max(self.max_queued_lines, self.queued_lines)
        arrival = max(self.last_arrival.get(proxy, 0.0), self.idle_from + transit)
        self.last_arrival[proxy] = arrival
        return arrival


class UpdateChannels:
    """The channels of all planners.

    Attributes:
        burst_until: By planner: time in s until which the length of its queue is not checked, because updates that
            were blocked by the network or by a stalled process enter the channel at once.
    """

    def __init__(self, context: SimulationContext) -> None:
        self.context = context
        self.channels = [Channel() for _ in range(context.shape.planners)]
        self.burst_until: dict[int, float] = {}

    def clear(self, planner: int) -> None:
        """Replace the channel of a planner that has ended with an empty one."""
        self.channels[planner] = Channel()

    def allow_burst(self, planner: int) -> None:
        """Suspend the check of a planner's queue for `BURST_GRACE_S`, because blocked updates arrive at once."""
        self.burst_until[planner] = self.context.loop.now + BURST_GRACE_S

    def last_arrival(self, planner: int, proxy: int) -> float:
        """Return the arrival time of the last update from a planner to a proxy so far, in s."""
        return self.channels[planner].last_arrival.get(proxy, 0.0)

    def enter(self, stream: UpdateStream, update: ConfigUpdate) -> None:
        """Put an update that was received completely into its planner's channel and schedule its application."""
        context = self.context
        shape = context.shape
        now = context.loop.now
        proxy = stream.proxy
        cost = update.cost() + shape.message_overhead
        spread = context.random.uniform(*TRANSIT_FACTOR_RANGE)
        transit = shape.transit_time / 1000.0 * context.transit_factor * spread
        channel = self.channels[stream.planner]
        arrival = channel.enqueue(now, proxy.number, cost, shape.channel_rate, transit)
        if now >= self.burst_until.get(stream.planner, 0.0):
            context.checker.check_queued_lines(stream.planner, channel.queued_lines, context.now_ms())
        context.count("messages")
        context.count("lines", update.cost())
        context.loop.schedule_at(arrival, proxy.process, proxy.apply, stream, update, now)

    def max_queued_lines(self) -> float:
        """Return the maximum length that the queue of any current channel has had, in lines."""
        return max(channel.max_queued_lines for channel in self.channels)

    def transit_allowance_ms(self) -> float:
        """Return the transit time allowed for an update, in ms: twice the current mean."""
        return 2 * self.context.shape.transit_time * self.context.transit_factor
