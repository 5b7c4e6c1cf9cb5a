"""Runs the health checks that the policy requests, within the limit on file descriptors."""

from __future__ import annotations

from collections.abc import Callable

from stackwheel.interface import HealthCheckOutcome, HealthCheckResult, ServerId
from stackwheel.settings import ConfiguredNames
from stackwheel.state.clock import Clock
from stackwheel.state.messages import HealthCheckCompleted, HealthCheckTarget
from stackwheel.wire.connection_table import ConnectionTable
from stackwheel.wire.health_checks import check_health, health_check_call
from stackwheel.wire.task_supervisor import TaskSupervisor


class HealthCheckRunner:
    """Starts health checks and posts their results."""

    def __init__(
        self,
        names: ConfiguredNames,
        clock: Clock,
        connections: ConnectionTable,
        supervisor: TaskSupervisor,
        post: Callable[[HealthCheckCompleted], None],
    ) -> None:
        """Create a runner whose health checks share the limit on descriptors with `connections`."""
        self.names = names
        self.clock = clock
        self.connections = connections
        self.supervisor = supervisor
        self.post = post

    def start(self, server: ServerId, target: HealthCheckTarget) -> None:
        """Start a health check of a server; skipped if no descriptor is free, because connections have priority."""
        if self.connections.at_capacity():
            return
        if target.address:
            # Count the check before its task runs, as several may be started in one iteration of the event loop.
            self.connections.health_checks_in_flight += 1
            self.supervisor.start(self._check(server, target))
        else:  # no endpoint list so far contained an address of the server
            self.post(HealthCheckCompleted(target, HealthCheckResult(server, HealthCheckOutcome.UNREACHABLE, 0.0)))

    async def _check(self, server: ServerId, target: HealthCheckTarget) -> None:
        call = health_check_call(target.address, self.names)
        try:
            result = await check_health(server, call, self.names, self.clock)
            self.post(HealthCheckCompleted(target, result))
        finally:
            await call.wait_closed()
            self.connections.health_checks_in_flight -= 1
            self.connections.released.set()
