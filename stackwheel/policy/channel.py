"""Flow control of the channel to the proxies: its queue as acknowledgements show it, and each proxy's messages."""

from __future__ import annotations

import itertools
import math
from typing import NamedTuple

from stackwheel.interface import Action, AttachNonce, Settings
from stackwheel.policy.proxies import ProxyView

# shares of the queue limit; each use of the channel stops at its own
CHANGE_QUEUE_SHARE = 0.25
"""Nothing is added to a longer queue: what the operators' rules require must never wait behind it for long."""

MAX_QUEUE_SHARE = 0.8
"""No message may make the queue longer than this; the rest is a margin for errors of this estimate."""

# the pace of ordinary changes
CHANGE_PACE_SHARE = 0.4
"""Of the channel's stated rate: what changes of weights may use of it."""

CHANGE_ALLOWANCE_INTERVALS = 2.0
"""Report intervals' worth of that pace that may accumulate unused, so that one message can change a zone's tables."""

LINES_PER_OVERHEAD = 5.0
"""Overheads' worth of lines in a message to each proxy of a group; else most of what is sent is overhead."""

# the message cap of a proxy
CHANGE_MESSAGE_SHARE = 0.6
"""Of the message cap, for changes; the rest is a reserve for lines of removed, draining and warming servers."""

# the queue where nothing is acknowledged
SILENT_DRAIN_SHARE = 0.2
"""Of the stated rate: how fast the queue is assumed to drain while no acknowledgement shows it."""

SILENT_INTERVALS = 1.0
"""Report intervals without any acknowledgement after which the queue is assumed to drain by time alone.

This is about the whole channel. When the stream of one silent proxy is closed is decided elsewhere, and later:
`MAX_SILENT_REPORT_INTERVALS` in `stackwheel/wire/timing.py`.
"""

NONCE_COUNT = 1 << 16
"""Nonces go round; far more than can be unacknowledged at once."""


class SentUpdate(NamedTuple):
    """An update that some proxies have not acknowledged yet."""

    sent_at: float
    lines_by_proxy: dict[int, float]


class ChannelBudget:
    """Accounts for the channel: how many lines wait in it, what may be added, and when a proxy got messages.

    It holds no messages itself; the actions of the planner are turned into messages by `stackwheel/state`.

    Attributes:
        queued_lines: lines sent and not known to have left the queue.
        ack_clock_started_at: when the wait for the next acknowledgement began, in ms: the last acknowledgement, or, if
            none was owed before it, the last message.
        overhead_lines: what a message costs besides its lines, with its nonce.
        pending_lines: lines by proxy that the present call of the planner has decided to send.
        change_allowance: lines that changes may use now, by their pace; negative after a large message.
        max_group_size: proxies that one message's changes can go to within the pace.
        message_times: when messages went to a proxy, whatever stream it had.
        unacknowledged: updates by nonce, the oldest first.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.queue_limit = settings.queue_limit or math.inf
        self.now = 0.0
        self.queued_lines = 0.0
        self.ack_clock_started_at = 0.0
        self.overhead_lines = settings.message_overhead + 1.0
        self.change_lines_per_ms = CHANGE_PACE_SHARE * settings.channel_rate / 1000.0
        self.max_change_allowance = CHANGE_ALLOWANCE_INTERVALS * settings.report_interval * self.change_lines_per_ms
        self.change_allowance = self.max_change_allowance
        lines_per_interval = self.max_change_allowance / CHANGE_ALLOWANCE_INTERVALS
        self.max_group_size = lines_per_interval / (LINES_PER_OVERHEAD * self.overhead_lines)
        self.message_times: dict[int, list[float]] = {}
        self.last_nonce = 0
        self.unacknowledged: dict[int, SentUpdate] = {}
        self.pending_lines: dict[int, int] = {}

    def start_call(self, now: float, proxies: dict[int, ProxyView]) -> None:
        """Start a call of the planner: let time pass for the queue and for the pace of changes.

        The queue drains by two rules. While acknowledgements are expected, only they shorten it (`acknowledge`). Once
        they have been overdue for `SILENT_INTERVALS`, or if no open stream owes one, it drains by time, at
        `SILENT_DRAIN_SHARE` of the stated rate.
        """
        self.pending_lines = {}
        elapsed_ms = now - self.now
        acknowledgement_due_at = self.ack_clock_started_at + SILENT_INTERVALS * self.settings.report_interval
        if now > acknowledgement_due_at or not self.awaits_acknowledgement(proxies):
            drained = elapsed_ms / 1000.0 * self.settings.channel_rate * SILENT_DRAIN_SHARE
            self.queued_lines -= min(self.queued_lines, drained)
        accumulated = self.change_allowance + elapsed_ms * self.change_lines_per_ms
        self.change_allowance = min(self.max_change_allowance, accumulated)
        self.now = now

    def awaits_acknowledgement(self, proxies: dict[int, ProxyView]) -> bool:
        """Whether a proxy that owes an acknowledgement still has the stream that the update went to."""
        for update in self.unacknowledged.values():
            for number in update.lines_by_proxy:
                proxy = proxies.get(number)
                if proxy is not None and proxy.joined_at <= update.sent_at:
                    return True
        return False

    def acknowledge(self, proxy: int, nonce: int) -> None:
        """Take in an acknowledgement; updates leave in order, so that all before this one have left too."""
        # The dict is in the order in which updates were sent. A nonce that is assigned again while it is still in the
        # dict would keep its old place, but that takes NONCE_COUNT updates in a row of which no proxy acknowledges any:
        # one acknowledgement, of any proxy, removes all earlier updates.
        if nonce not in self.unacknowledged:
            return
        later = itertools.dropwhile(lambda item: item[0] != nonce, self.unacknowledged.items())
        self.unacknowledged = dict(later)
        self.unacknowledged[nonce].lines_by_proxy.pop(proxy, None)
        self.queued_lines = sum(sum(update.lines_by_proxy.values()) for update in self.unacknowledged.values())
        self.ack_clock_started_at = self.now

    def free_lines(self, share: float) -> float:
        """Lines that may be added before the queue is over a share of its limit; negative if it is."""
        pending = self.pending_lines
        return self.queue_limit * share - self.queued_lines - sum(pending.values()) - len(pending) * self.overhead_lines

    def may_send_message(self, proxy: int, share: float, spacing_ms: float = 0.0) -> bool:
        """Whether one more message to a proxy fits into a share of its cap, and the last is so long ago."""
        window_start = self.now - self.settings.message_window
        recent = [at for at in self.message_times.get(proxy, []) if at > window_start]
        self.message_times[proxy] = recent
        cap = self.settings.message_cap
        if not cap:
            return True
        is_spaced = not recent or self.now - recent[-1] >= spacing_ms
        return is_spaced and len(recent) + 1 <= max(1.0, cap * share)

    def reserve_spacing_ms(self) -> float:
        """Time between messages from the reserve of the cap, so that the next drain finds some of it left."""
        reserve = self.settings.message_cap * (1 - CHANGE_MESSAGE_SHARE)
        return self.settings.message_window / max(1.0, reserve + 1)

    def add(self, users: list[int], lines: int) -> None:
        """Note lines that go to each of some proxies, in the one message that each gets of this call."""
        for user in users:
            self.pending_lines[user] = self.pending_lines.get(user, 0) + lines

    def commit(self) -> list[Action]:
        """Charge what this call sends, with a nonce whose acknowledgement will show that it has arrived.

        If no acknowledgement was owed before, the wait for one begins now (`ack_clock_started_at`).
        """
        lines = self.pending_lines
        if not lines:
            return []
        for proxy in lines:
            self.message_times[proxy] = [*self.message_times.get(proxy, []), self.now]
        if not any(update.lines_by_proxy for update in self.unacknowledged.values()):
            self.ack_clock_started_at = self.now
        self.queued_lines = self.queued_lines + (sum(lines.values()) + len(lines) * self.overhead_lines)
        self.last_nonce = (self.last_nonce + 1) % NONCE_COUNT
        lines_by_proxy = {proxy: count + self.overhead_lines for proxy, count in lines.items()}
        self.unacknowledged[self.last_nonce] = SentUpdate(self.now, lines_by_proxy)
        return [AttachNonce(self.last_nonce, False)]
