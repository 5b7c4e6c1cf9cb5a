"""Health checks: the outcome for each response or failure of a server."""

import asyncio
import math

from canned_server import (
    OK_HEAD,
    UNAVAILABLE_RESPONSE,
    ConnectionEnd,
    ConnectionHandler,
    canned_response,
    run_with_server,
)
from fake_services import free_port, toy_server

from stackwheel.interface import HealthCheckOutcome, HealthCheckResult, ServerId
from stackwheel.settings import ConfiguredNames
from stackwheel.state.clock import Clock
from stackwheel.wire.health_checks import check_health, health_check_call

SERVER = ServerId(b"\0" * 6)
LIVENESS = ConfiguredNames()
LOAD_REPORTS = ConfiguredNames(columns=("backlog", "outstanding"), health_check_returns_load=True)


def check(serve: ConnectionHandler, names: ConfiguredNames) -> HealthCheckResult:
    return run_with_server(
        serve, lambda address: check_health(SERVER, health_check_call(address, names), names, Clock())
    )


def test_health_check_outcomes() -> None:
    assert check(toy_server.serve_health_check, LIVENESS).outcome == HealthCheckOutcome.OK == 1
    assert check(toy_server.serve_health_check, LIVENESS).load == ()
    load = check(toy_server.serve_health_check, LOAD_REPORTS).load
    assert math.isnan(load[0])
    assert load[1] == 0.0
    assert check(canned_response(OK_HEAD + b"what"), LOAD_REPORTS).outcome == HealthCheckOutcome.ERROR == 0
    assert check(canned_response(UNAVAILABLE_RESPONSE), LIVENESS).outcome == HealthCheckOutcome.REJECTED == 2
    internal_error = b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"
    assert check(canned_response(internal_error), LIVENESS).outcome == HealthCheckOutcome.ERROR == 0
    assert check(canned_response(b"", ConnectionEnd.RESET), LIVENESS).outcome == HealthCheckOutcome.RESET == 5
    refused_call = health_check_call(f"127.0.0.1:{free_port()}", LIVENESS)
    unreachable = asyncio.run(check_health(SERVER, refused_call, LIVENESS, Clock()))
    assert unreachable.outcome == HealthCheckOutcome.UNREACHABLE == 4
