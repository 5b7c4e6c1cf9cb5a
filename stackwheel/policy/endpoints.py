"""The endpoint list: follows its updates, and polls it again after a call that failed."""

from __future__ import annotations

from random import Random

from stackwheel.interface import Action, Availability, EndpointEntry, EndpointUpdate, SetTimer, Settings, UpdateKind
from stackwheel.policy.servers import ServerPool, ServerView
from stackwheel.policy.timers import ENDPOINT_LIST_TIMER

MAX_RETRY_DEADLINE_SHARE = 0.4
"""Of the time within which the list has to be polled: no backoff is longer."""

MAX_BACKOFF_DOUBLINGS = 9
"""Of a report interval."""

MIN_JITTER = 0.5
"""Of a backoff; it is drawn up to this plus 1, as all planners may fail at once."""

MIN_THIN_LINE_DRAW = 0.05
"""Of the least share: a thinner line than this is never kept."""


class EndpointTracker:
    """Keeps the server pool as discovery lists it."""

    def __init__(self, settings: Settings, random: Random, actions: list[Action], pool: ServerPool) -> None:
        self.settings = settings
        self.random = random
        self.actions = actions
        self.pool = pool
        self.failed_calls = 0

    def apply(self, update: EndpointUpdate) -> bool:
        """Follow an update; whether tables have to follow at once.

        A server that a full list lacks is removed, unless removal is advisory: then its reports judge it.
        """
        if update.kind is UpdateKind.FAILED:
            self.retry_later()
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
        """Follow one server's entry; whether its process or availability changed."""
        draw = self.random.uniform(MIN_THIN_LINE_DRAW, 1.0)  # for known servers too: draws keep their order
        known = self.pool.views.setdefault(entry.server, ServerView(entry, thin_line_draw=draw))
        before = known.entry
        if entry.started_at > before.started_at:
            # A new process: measured capacity and attempt rates stay valid, latency and failures are measured anew.
            self.pool.views[entry.server] = ServerView(entry, known.capacity, known.thin_line_draw, known.attempt_rates)
        self.pool.views[entry.server].entry = entry
        return (entry.started_at, entry.availability) != (before.started_at, before.availability)

    def retry_later(self) -> None:
        """Poll again after a backoff with jitter, within the time that the settings allow."""
        self.failed_calls += 1
        doubled = self.settings.report_interval * 2 ** min(MAX_BACKOFF_DOUBLINGS, self.failed_calls - 1)
        backoff_ms = doubled * (MIN_JITTER + self.random.random())
        longest_ms = MAX_RETRY_DEADLINE_SHARE * self.settings.list_poll_deadline
        self.actions.append(SetTimer(min(longest_ms, backoff_ms), ENDPOINT_LIST_TIMER))
