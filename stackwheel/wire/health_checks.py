"""Probes of a server: whether it answers, and its load report where it has one."""

from __future__ import annotations

from stackwheel import interface as face
from stackwheel.interface import HealthCheckOutcome, Server
from stackwheel.settings import Names
from stackwheel.state.clock import Clock
from stackwheel.wire import timing
from stackwheel.wire.http import Call, CallFailed, Stage, exchange
from stackwheel.wire.line_codec import FieldError, read_load
from stackwheel.wire.messages import columns_in_order


def probe_call(address: str, names: Names) -> Call:
    """The call that probes the server at an address, not yet opened."""
    return Call(address, "/stats" if names.health_check_returns_load else "/health/live")


async def probe(server: Server, call: Call, names: Names, clock: Clock) -> face.HealthCheckResult:
    """Make the call, and tell what came of it."""
    began = clock.now()
    body = await exchange(
        call, timing.HEALTH_CHECK_TIMEOUT_MS, timing.HEALTH_CHECK_TIMEOUT_MS, timing.MAX_HEALTH_CHECK_BYTES
    )
    elapsed = clock.now() - began
    if isinstance(body, CallFailed):
        return face.HealthCheckResult(server, outcome(body), elapsed)
    try:
        load = read_load(body.decode().strip(), "=") if names.health_check_returns_load else ()
    except (UnicodeDecodeError, FieldError):
        return face.HealthCheckResult(server, HealthCheckOutcome.ERROR, elapsed)
    return face.HealthCheckResult(server, HealthCheckOutcome.OK, elapsed, columns_in_order(load, names.columns))


def outcome(failed: CallFailed) -> HealthCheckOutcome:
    if failed.stage is Stage.STATUS:
        return HealthCheckOutcome.REJECTED if failed.status == 503 else HealthCheckOutcome.ERROR
    if failed.stage is Stage.DIAL:
        return HealthCheckOutcome.UNREACHABLE
    return HealthCheckOutcome.TIMEOUT if failed.timed_out else HealthCheckOutcome.RESET
