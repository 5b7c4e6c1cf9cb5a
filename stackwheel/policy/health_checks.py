"""Selection of the servers that are sent a health check while load reports arrive too late."""

from __future__ import annotations

from stackwheel.interface import Action, Settings, StartHealthCheck
from stackwheel.policy.demand import DemandTracker
from stackwheel.policy.estimates import LoadEstimates
from stackwheel.policy.servers import ServerPool
from stackwheel.policy.table_groups import TableGroups

LATE_REPORT_WINDOW_INTERVALS = 4.0
"""Mean report window, in report intervals, above which health checks are sent."""

MAX_CHECKS_PER_REQUEST = 0.06
"""Maximum number of health checks per request, which limits the load from health checks."""


class HealthChecks:
    """Selects servers for health checks once per slot, among the servers in the tables and within a budget."""

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
        """Return the health checks of a slot, for the servers whose last check is the longest ago.

        There are none while load reports arrive soon enough.
        """
        if (
            not self.is_enabled
            or not self.estimates.mean_report_window > LATE_REPORT_WINDOW_INTERVALS * self.report_interval
        ):
            return []
        views = self.pool.views
        listed = {
            server
            for group in self.groups.all_groups()
            for table in group.tables
            for server in table.sent
            if server in views
        }
        max_checks = MAX_CHECKS_PER_REQUEST * self.demand.total_rate(now) * self.report_interval / 1000.0
        budget = int(min(len(listed), max_checks))
        selected = sorted(listed, key=lambda server: (views[server].health_check_sent_at, server))[:budget]
        for server in selected:
            views[server].health_check_sent_at = now
        return [StartHealthCheck(server) for server in selected]
