"""The endpoint list: applies its updates to the server pool, and retries failed calls."""

from __future__ import annotations

from random import Random

from stackwheel.interface import Action, Availability, EndpointEntry, EndpointUpdate, SetTimer, Settings, UpdateKind
from stackwheel.policy.servers import ServerPool, ServerView
from stackwheel.policy.timers import ENDPOINT_LIST_TIMER

MAX_BACKOFF_DEADLINE_SHARE = 0.4
"""Maximum backoff as a share of the maximum time between two fetches of the endpoint list."""

MAX_BACKOFF_DOUBLINGS = 9
"""Maximum number of times that the initial backoff of one report interval is doubled."""

MIN_BACKOFF_FACTOR = 0.5
"""Minimum random factor of a backoff; the maximum is 1 more. Jitter spreads the retries of all planners."""

MIN_INCLUSION_THRESHOLD = 0.05
"""Minimum of `ServerView.inclusion_threshold`."""


class EndpointTracker:
    """Updates the server pool according to the endpoint list.

    Attributes:
        failed_calls: number of consecutive failed calls.
    """

    def __init__(self, settings: Settings, random: Random, actions: list[Action], pool: ServerPool) -> None:
        self.settings = settings
        self.random = random
        self.actions = actions
        self.pool = pool
        self.failed_calls = 0

    def apply(self, update: EndpointUpdate) -> bool:
        """Apply an update of the endpoint list.

        A server that is missing from a complete list is removed, unless `Settings.removal_is_advisory` is set.

        Returns:
            Whether the tables have to be updated at once.
        """
        if update.kind is UpdateKind.FAILED:
            self.schedule_retry()
            return False
        self.failed_calls = 0
        entries = {entry.server: entry for entry in update.entries}
        removed = {server for server, entry in entries.items() if entry.availability is Availability.REMOVED}
        is_urgent = False
        for server, entry in entries.items():
            if server not in removed:
                is_urgent |= self.apply_entry(entry)
        if update.kind is not UpdateKind.DELTA:
            removed |= self.pool.views.keys() - entries.keys()
        if self.settings.removal_is_advisory:
            return is_urgent
        for server in [server for server in self.pool.views if server in removed]:
            del self.pool.views[server]
            is_urgent = True
        return is_urgent

    def apply_entry(self, entry: EndpointEntry) -> bool:
        """Apply the entry of one server, and return whether its process or its availability has changed."""
        # The number is drawn for known servers too, so that the sequence of draws depends only on the updates.
        threshold = self.random.uniform(MIN_INCLUSION_THRESHOLD, 1.0)
        view = self.pool.views.setdefault(entry.server, ServerView(entry, inclusion_threshold=threshold))
        previous_entry = view.entry
        if entry.started_at > previous_entry.started_at:
            # A restarted server keeps its measured capacity and attempt rates, but not its latency and failures.
            self.pool.views[entry.server] = ServerView(
                entry, view.capacity, view.inclusion_threshold, view.attempt_rates
            )
        self.pool.views[entry.server].entry = entry
        return (entry.started_at, entry.availability) != (previous_entry.started_at, previous_entry.availability)

    def schedule_retry(self) -> None:
        """Start the timer of the next call, with exponential backoff and jitter."""
        self.failed_calls += 1
        doubled_ms = self.settings.report_interval * 2 ** min(MAX_BACKOFF_DOUBLINGS, self.failed_calls - 1)
        backoff_ms = doubled_ms * (MIN_BACKOFF_FACTOR + self.random.random())
        max_backoff_ms = MAX_BACKOFF_DEADLINE_SHARE * self.settings.list_poll_deadline
        self.actions.append(SetTimer(min(max_backoff_ms, backoff_ms), ENDPOINT_LIST_TIMER))
