"""Health checks of servers by HTTP: the outcome, and the load columns if the server reports them."""

from __future__ import annotations

from stackwheel import interface
from stackwheel.interface import HealthCheckOutcome, ServerId
from stackwheel.settings import ConfiguredNames
from stackwheel.state.clock import Clock
from stackwheel.wire import timing
from stackwheel.wire.http import Call, CallError, Stage, exchange
from stackwheel.wire.line_codec import FieldError, parse_load
from stackwheel.wire.messages import order_columns

LIVENESS_PATH = "/health/live"
LOAD_REPORT_PATH = "/stats"
REJECTED_STATUS = 503  # the server is running, but does not accept more requests


def health_check_call(address: str, names: ConfiguredNames) -> Call:
    """Create the call for a health check, without opening it."""
    return Call(address, LOAD_REPORT_PATH if names.health_check_returns_load else LIVENESS_PATH)


async def check_health(
    server: ServerId, call: Call, names: ConfiguredNames, clock: Clock
) -> interface.HealthCheckResult:
    """Make the call of a health check, and return its outcome, its duration in ms and the reported load columns."""
    started_at = clock.now()
    try:
        body = await exchange(
            call, timing.HEALTH_CHECK_TIMEOUT_MS, timing.HEALTH_CHECK_TIMEOUT_MS, timing.MAX_HEALTH_CHECK_RESPONSE_BYTES
        )
    except CallError as error:
        return interface.HealthCheckResult(server, outcome_of(error), clock.now() - started_at)
    elapsed = clock.now() - started_at
    try:
        load = parse_load(body.decode().strip(), "=") if names.health_check_returns_load else ()
    except (UnicodeDecodeError, FieldError):
        return interface.HealthCheckResult(server, HealthCheckOutcome.ERROR, elapsed)
    return interface.HealthCheckResult(server, HealthCheckOutcome.OK, elapsed, order_columns(load, names.columns))


def outcome_of(error: CallError) -> HealthCheckOutcome:
    """Return the outcome of a health check whose call failed."""
    if error.stage is Stage.STATUS:
        return HealthCheckOutcome.REJECTED if error.status == REJECTED_STATUS else HealthCheckOutcome.ERROR
    if error.stage is Stage.CONNECT:
        return HealthCheckOutcome.UNREACHABLE
    return HealthCheckOutcome.TIMEOUT if error.timed_out else HealthCheckOutcome.RESET
