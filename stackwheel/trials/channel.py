"""The channels between planners and proxies: updates enter one after the other, take time and arrive in order."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any, Protocol

from stackwheel.forwarder.updates import ConfigUpdate
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.loop import Machine

TRANSIT_SPREAD = (0.6, 1.4)  # of the mean, for a message that has left the channel
BURST_S = 2.0  # after a cut or a stalled reader within which what was blocked arrives


class UpdateReceiver(Protocol):
    """What a channel needs of a proxy."""

    @property
    def number(self) -> int:
        """The proxy's number."""

    @property
    def process(self) -> Machine:
        """What applies updates."""

    def apply(self, stream: Any, update: ConfigUpdate, entered_at: float) -> None:
        """An update has come out of the channel; it entered it at `entered_at` (s)."""


class UpdateStream(Protocol):
    """What a channel needs of a stream."""

    @property
    def planner(self) -> int:
        """The planner that it leads to."""

    @property
    def proxy(self) -> UpdateReceiver:
        """The proxy that it belongs to."""


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A message in a channel: when it leaves (s), and its cost in lines."""

    leaves_at: float
    cost: float


class Channel:
    """What one planner has sent and proxies have not got yet; costs are lines, times s."""

    def __init__(self) -> None:
        self.free_at = 0.0
        self.messages: deque[QueuedMessage] = deque()
        self.queued_lines = 0.0
        self.max_queued_lines = 0.0
        self.last_arrival: dict[int, float] = {}  # by proxy, so that its messages come in order

    def enqueue(self, now: float, proxy: int, cost: float, rate: float, transit: float) -> float:
        """Return when a message that enters now reaches its proxy.

        Args:
            now: The present time.
            proxy: Whom it is for.
            cost: Its lines, the overhead included.
            rate: Lines a second that leave the channel.
            transit: Seconds from leaving the channel to the proxy.
        """
        while self.messages and self.messages[0].leaves_at <= now:
            self.queued_lines -= self.messages.popleft().cost
        self.free_at = max(self.free_at, now) + cost / rate
        self.messages.append(QueuedMessage(self.free_at, cost))
        self.queued_lines += cost
        self.max_queued_lines = max(self.max_queued_lines, self.queued_lines)
        arrival = max(self.last_arrival.get(proxy, 0.0), self.free_at + transit)
        self.last_arrival[proxy] = arrival
        return arrival


class UpdateChannels:
    """The channel of each planner.

    Attributes:
        burst_until: By planner: until when the length of its queue is not its doing, in s, because what the network
            or a process that did not read delayed enters the channel at once.
    """

    def __init__(self, context: SimulationContext) -> None:
        self.context = context
        self.channels = [Channel() for _ in range(context.shape.planners)]
        self.burst_until: dict[int, float] = {}

    def clear(self, planner: int) -> None:
        """A planner has ended; nothing waits for the next one."""
        self.channels[planner] = Channel()

    def allow_burst(self, planner: int) -> None:
        """What was blocked or unread is about to arrive at once."""
        self.burst_until[planner] = self.context.loop.now + BURST_S

    def last_arrival(self, planner: int, proxy: int) -> float:
        """When the last message so far reaches a proxy, in s."""
        return self.channels[planner].last_arrival.get(proxy, 0.0)

    def enter(self, stream: UpdateStream, update: ConfigUpdate) -> None:
        """A message's last byte has arrived: it enters its planner's channel."""
        context = self.context
        shape = context.shape
        now = context.loop.now
        proxy = stream.proxy
        cost = update.cost() + shape.message_overhead
        spread = context.random.uniform(*TRANSIT_SPREAD)
        transit = shape.transit_time / 1000.0 * context.transit_factor * spread
        channel = self.channels[stream.planner]
        arrival = channel.enqueue(now, proxy.number, cost, shape.channel_rate, transit)
        if now >= self.burst_until.get(stream.planner, 0.0):
            context.checker.lines_queued(stream.planner, channel.queued_lines, context.now_ms())
        context.count("messages")
        context.count("lines", update.cost())
        context.loop.schedule_at(arrival, proxy.process, proxy.apply, stream, update, now)

    def max_queued_lines(self) -> float:
        """The longest queue that any present channel has had."""
        return max(channel.max_queued_lines for channel in self.channels)

    def transit_allowance_ms(self) -> float:
        """Twice the usual transit: what an update may take beyond the protocol's allowance."""
        return 2 * self.context.shape.transit_time * self.context.transit_factor
