"""Health checks: what an answer, or the lack of one, says of a server."""

import asyncio
import math

from canned_server import OK_HEAD, UNAVAILABLE, After, Serve, canned, run_against
from fake_services import free_port, toy

from stackwheel.interface import HealthCheckOutcome, HealthCheckResult, ServerId
from stackwheel.settings import ConfiguredNames
from stackwheel.state.clock import Clock
from stackwheel.wire.health_checks import check_health, health_check_call

SERVER = ServerId(b"\0" * 6)
LIVENESS = ConfiguredNames()
LOAD_REPORTS = ConfiguredNames(columns=("backlog", "outstanding"), health_check_returns_load=True)


def check(serve: Serve, names: ConfiguredNames) -> HealthCheckResult:
    return run_against(serve, lambda address: check_health(SERVER, health_check_call(address, names), names, Clock()))


def test_health_checks() -> None:
    assert check(toy.serve_health_check, LIVENESS).outcome == HealthCheckOutcome.OK == 1
    assert check(toy.serve_health_check, LIVENESS).load == ()
    load = check(toy.serve_health_check, LOAD_REPORTS).load
    assert math.isnan(load[0])
    assert load[1] == 0.0
    assert check(canned(OK_HEAD + b"what"), LOAD_REPORTS).outcome == HealthCheckOutcome.ERROR == 0
    assert check(canned(UNAVAILABLE), LIVENESS).outcome == HealthCheckOutcome.REJECTED == 2
    internal_error = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
    assert check(canned(internal_error), LIVENESS).outcome == HealthCheckOutcome.ERROR == 0
    assert check(canned(b"", After.RESET), LIVENESS).outcome == HealthCheckOutcome.RESET == 5
    nobody = health_check_call(f"127.0.0.1:{free_port()}", LIVENESS)
    unreachable = asyncio.run(check_health(SERVER, nobody, LIVENESS, Clock()))
    assert unreachable.outcome == HealthCheckOutcome.UNREACHABLE == 4
