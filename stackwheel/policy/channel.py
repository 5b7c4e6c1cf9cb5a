"""Flow control of the channel to the proxies: length of its queue, and number of messages to each proxy.

The channel transmits updates at a limited rate, and the lines that it has not transmitted yet form its queue. Each
message costs its lines and a fixed overhead, which is also stated in lines.
"""

from __future__ import annotations

import itertools
import math
from typing import NamedTuple

from stackwheel.interface import Action, AttachNonce, Settings
from stackwheel.policy.proxies import ProxyView

# Shares of the queue limit up to which lines may be added
CHANGE_QUEUE_SHARE = 0.25
"""Share of the queue limit above which no message is queued, so that later changes required by rules wait only briefly.

A message that is queued below this share may extend the queue up to `MAX_QUEUE_SHARE`.
"""

MAX_QUEUE_SHARE = 0.8
"""Share of the queue limit that the queue may reach; the rest is a margin for estimation errors."""

# Rate limit of routine changes
CHANGE_RATE_SHARE = 0.4
"""Share of the channel rate that routine changes to weights may use."""

CHANGE_BURST_INTERVALS = 2.0
"""Maximum allowance for routine changes that can accumulate, in report intervals, so that one message can be large."""

MIN_LINES_PER_OVERHEAD = 5.0
"""Minimum number of lines per message for which the rate of routine changes has to suffice, in message overheads.

With fewer lines per message, most of what is sent would be overhead.

It limits the number of proxies of a table group, to each of which a message can be sent in every report interval.
"""

# Message cap of a proxy
CHANGE_MESSAGE_SHARE = 0.6
"""Share of the message cap for ordinary messages.

The rest is reserved for changes to removed, draining and warming servers and for the first tables of a proxy.
"""

# Estimate of the queue without acknowledgements
UNACKNOWLEDGED_DRAIN_SHARE = 0.2
"""Share of the channel rate at which the queue is assumed to drain while no acknowledgements arrive."""

MAX_ACK_WAIT_INTERVALS = 1.0
"""Number of report intervals without any acknowledgement after which the queue is assumed to drain with time.

It applies to the channel as a whole; `MAX_SILENT_REPORT_INTERVALS` in `stackwheel/wire/timing.py` is the limit for
single proxies.
"""

NONCE_COUNT = 1 << 16
"""Number of different nonces, which are reused in turn; far greater than the number of unacknowledged updates."""


class SentUpdate(NamedTuple):
    """An update that some proxies have not acknowledged yet.

    Attributes:
        sent_at: time at which the update was sent, ms.
        lines_by_proxy: lines sent to each proxy that has not acknowledged the update, with the message overhead.
    """

    sent_at: float
    lines_by_proxy: dict[int, float]


class ChannelBudget:
    """Estimates the channel's queue, limits the lines added to it, and counts the messages to each proxy.

    It contains no messages: `stackwheel/state` creates them from the planner's actions.

    Attributes:
        settings: the settings of the policy.
        queue_limit: maximum number of lines in the queue.
        now: time of the current call of the planner, ms.
        queued_lines: estimated number of lines in the queue.
        ack_wait_started_at: start of the wait for the next acknowledgement, ms: time of the last acknowledgement or,
            if no acknowledgement was expected after it, of the next update.
        overhead_lines: cost of a message in addition to its lines, including its nonce, in lines.
        change_lines_per_ms: rate at which the allowance for routine changes grows, lines per ms.
        max_change_allowance: maximum of `change_allowance`, in lines.
        change_allowance: number of lines that routine changes may use now; negative after a large message.
        max_group_size: maximum number of proxies of a table group, so that the rate of routine changes suffices to send
            each of them a message per report interval.
        message_times: times of the recent messages to each proxy, ms, on all of its streams.
        last_nonce: nonce of the last update.
        unacknowledged: updates by nonce, the oldest first.
        pending_lines: lines by proxy that the current call of the planner will send.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.queue_limit = settings.queue_limit or math.inf
        self.now = 0.0
        self.queued_lines = 0.0
        self.ack_wait_started_at = 0.0
        self.overhead_lines = settings.message_overhead + 1.0
        self.change_lines_per_ms = CHANGE_RATE_SHARE * settings.channel_rate / 1000.0
        self.max_change_allowance = CHANGE_BURST_INTERVALS * settings.report_interval * self.change_lines_per_ms
        self.change_allowance = self.max_change_allowance
        lines_per_interval = self.max_change_allowance / CHANGE_BURST_INTERVALS
        self.max_group_size = lines_per_interval / (MIN_LINES_PER_OVERHEAD * self.overhead_lines)
        self.message_times: dict[int, list[float]] = {}
        self.last_nonce = 0
        self.unacknowledged: dict[int, SentUpdate] = {}
        self.pending_lines: dict[int, int] = {}

    def start_call(self, now: float, proxies: dict[int, ProxyView]) -> None:
        """Start a call of the planner: update the queue and the allowance for routine changes to the current time.

        While acknowledgements are expected, only they shorten the queue (`acknowledge`). If none has arrived for
        `MAX_ACK_WAIT_INTERVALS`, or if none is expected on any open stream, the queue is assumed to drain at
        `UNACKNOWLEDGED_DRAIN_SHARE` of the channel rate.

        Args:
            now: current time, ms.
            proxies: connected proxies by number.
        """
        self.pending_lines = {}
        elapsed_ms = now - self.now
        acknowledgement_due_at = self.ack_wait_started_at + MAX_ACK_WAIT_INTERVALS * self.settings.report_interval
        if now > acknowledgement_due_at or not self.awaits_acknowledgement(proxies):
            drained = elapsed_ms / 1000.0 * self.settings.channel_rate * UNACKNOWLEDGED_DRAIN_SHARE
            self.queued_lines -= min(self.queued_lines, drained)
        allowance = self.change_allowance + elapsed_ms * self.change_lines_per_ms
        self.change_allowance = min(self.max_change_allowance, allowance)
        self.now = now

    def awaits_acknowledgement(self, proxies: dict[int, ProxyView]) -> bool:
        """Return whether an acknowledgement is expected on a stream that has been open since the update was sent."""
        for update in self.unacknowledged.values():
            for number in update.lines_by_proxy:
                proxy = proxies.get(number)
                if proxy is not None and proxy.joined_at <= update.sent_at:
                    return True
        return False

    def acknowledge(self, proxy: int, nonce: int) -> None:
        """Process an acknowledgement; all earlier updates have left the queue too, because the queue is in order."""
        # The dict is in the order of sending. Reusing a nonce that is still in the dict would break this order. That
        # would require NONCE_COUNT updates without an acknowledgement, because each acknowledgement removes all updates
        # sent before the acknowledged one.
        if nonce not in self.unacknowledged:
            return
        remaining = itertools.dropwhile(lambda item: item[0] != nonce, self.unacknowledged.items())
        self.unacknowledged = dict(remaining)
        self.unacknowledged[nonce].lines_by_proxy.pop(proxy, None)
        self.queued_lines = sum(sum(update.lines_by_proxy.values()) for update in self.unacknowledged.values())
        self.ack_wait_started_at = self.now

    def free_lines(self, share: float) -> float:
        """Return the number of lines that fit below a share of the queue limit; negative if the queue exceeds it."""
        pending = self.pending_lines
        return self.queue_limit * share - self.queued_lines - sum(pending.values()) - len(pending) * self.overhead_lines

    def may_send_message(self, proxy: int, share: float, spacing_ms: float = 0.0) -> bool:
        """Return whether a proxy may be sent another message.

        Args:
            proxy: number of the proxy.
            share: share of the message cap that may be used.
            spacing_ms: minimum time since the last message to the proxy.
        """
        window_start = self.now - self.settings.message_window
        recent_times = [at for at in self.message_times.get(proxy, []) if at > window_start]
        self.message_times[proxy] = recent_times
        cap = self.settings.message_cap
        if not cap:
            return True
        is_spaced = not recent_times or self.now - recent_times[-1] >= spacing_ms
        return is_spaced and len(recent_times) + 1 <= max(1.0, cap * share)

    def reserve_spacing_ms(self) -> float:
        """Return the minimum time between messages that use the reserve of the message cap, ms.

        The spacing spreads the reserve over the window of the cap, so that a part remains for the next draining server.
        """
        reserve = self.settings.message_cap * (1 - CHANGE_MESSAGE_SHARE)
        return self.settings.message_window / max(1.0, reserve + 1)

    def add_lines(self, recipients: list[int], lines: int) -> None:
        """Add lines to the message that the current call of the planner sends to each recipient."""
        for recipient in recipients:
            self.pending_lines[recipient] = self.pending_lines.get(recipient, 0) + lines

    def commit(self) -> list[Action]:
        """Add the lines of the current call to the queue, and return the action that requests their acknowledgement.

        If all earlier updates were acknowledged, the wait for the next acknowledgement starts now.
        """
        lines = self.pending_lines
        if not lines:
            return []
        for proxy in lines:
            self.message_times[proxy] = [*self.message_times.get(proxy, []), self.now]
        if not any(update.lines_by_proxy for update in self.unacknowledged.values()):
            self.ack_wait_started_at = self.now
        self.queued_lines = self.queued_lines + (sum(lines.values()) + len(lines) * self.overhead_lines)
        self.last_nonce = (self.last_nonce + 1) % NONCE_COUNT
        lines_by_proxy = {proxy: count + self.overhead_lines for proxy, count in lines.items()}
        self.unacknowledged[self.last_nonce] = SentUpdate(self.now, lines_by_proxy)
        return [AttachNonce(self.last_nonce, False)]
