"""Selection of the servers that are sent a health check while load reports are too infrequent."""

from __future__ import annotations

from stackwheel.interface import Action, Settings, StartHealthCheck
from stackwheel.policy.demand import DemandTracker
from stackwheel.policy.estimates import LoadEstimates
from stackwheel.policy.servers import ServerPool
from stackwheel.policy.table_groups import TableGroups

LATE_REPORT_WINDOW_INTERVALS = 4.0
"""Mean window of the load reports, in report intervals, above which health checks are sent and worth their cost."""

MAX_CHECKS_PER_REQUEST = 0.06
"""Maximum number of health checks per request, which limits the load from health checks."""


class HealthChecks:
    """Selects servers in the tables for health checks, once per slot; their number is limited by the request rate."""

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
        """Return the actions that start the health checks of a slot.

        The servers are those whose last health check is the longest ago. No health checks are started while the mean
        window of the load reports is at most `LATE_REPORT_WINDOW_INTERVALS`.
        """
        if (
            not self.is_enabled
            or not self.estimates.mean_report_window > LATE_REPORT_WINDOW_INTERVALS * self.report_interval
        ):
            return []
        views = self.pool.views
        sent_servers = {
            server
            for group in self.groups.all_groups()
            for table in group.tables
            for server in table.sent
            if server in views
        }
        max_checks = MAX_CHECKS_PER_REQUEST * self.demand.total_rate(now) * self.report_interval / 1000.0
        budget = int(min(len(sent_servers), max_checks))
        selected = sorted(sent_servers, key=lambda server: (views[server].health_check_sent_at, server))[:budget]
        for server in selected:
            views[server].health_check_sent_at = now
        return [StartHealthCheck(server) for server in selected]
