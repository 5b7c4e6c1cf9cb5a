"""Health checks: which servers are asked for their load where load reports come too late to tell."""

from __future__ import annotations

from stackwheel.interface import Action, Settings, StartHealthCheck
from stackwheel.policy.demand import DemandTracker
from stackwheel.policy.estimates import LoadEstimates
from stackwheel.policy.servers import ServerPool
from stackwheel.policy.table_groups import TableGroups

LATE_REPORT_WINDOW_INTERVALS = 4.0
"""Report intervals that a report spans on average: over this checks are worth their cost."""

MAX_CHECKS_PER_REQUEST = 0.06
"""The most; a check is work for a server."""


class HealthChecks:
    """Spends a budget of checks on the servers that tables use, once a slot."""

    def __init__(
        self,
        settings: Settings,
        pool: ServerPool,
        demand: DemandTracker,
        estimates: LoadEstimates,
        groups: TableGroups,
    ) -> None:
        self.pool = pool
        self.demand = demand
        self.estimates = estimates
        self.groups = groups
        self.is_enabled = settings.health_checks_enabled and "outstanding" in settings.load_columns
        self.report_interval = settings.report_interval

    def start(self, now: float) -> list[Action]:
        """The checks of a slot, of the servers that were checked longest ago; none while reports are in time."""
        if (
            not self.is_enabled
            or not self.estimates.mean_report_window > LATE_REPORT_WINDOW_INTERVALS * self.report_interval
        ):
            return []
        views = self.pool.views
        used = {
            server
            for group in self.groups.all_groups()
            for table in group.tables
            for server in table.sent
            if server in views
        }
        affordable = MAX_CHECKS_PER_REQUEST * self.demand.total_rate(now) * self.report_interval / 1000.0
        budget = int(min(len(used), affordable))
        chosen = sorted(used, key=lambda server: (views[server].health_check_sent_at, server))[:budget]
        for server in chosen:
            views[server].health_check_sent_at = now
        return [StartHealthCheck(server) for server in chosen]
