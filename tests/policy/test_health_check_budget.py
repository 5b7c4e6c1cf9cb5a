"""Tests for health checks while load reports arrive late."""

from policy_harness import PolicyHarness, actions_of_type, entry, load_reports, server_id

from stackwheel import interface


def test_health_checks_detect_the_start_and_end_of_an_overload_while_reports_are_late() -> None:
    """Load reports with long windows show an overload and its end many seconds too late."""
    harness = PolicyHarness(
        servers=[entry(n) for n in range(8)],
        proxies=((0, 0),),
        load_columns=("outstanding",),
        health_checks_enabled=True,
        zone_count=1,
    )
    check_counts: list[int] = []

    def run_second(outstanding: float, window: float = 12_000.0) -> None:
        checks = actions_of_type(
            harness.send(
                *load_reports(harness, int(window / 50.0), window=window),
                interface.DemandReport(0, 0, 100, 0, 1000.0),
                interface.DemandReport(0, 1, 60, 0, 1000.0),
                wait_ms=1000.0,
            ),
            interface.StartHealthCheck,
        )
        check_counts.append(len(checks))
        harness.send(*(interface.HealthCheckResult(check.server, 1, 5.0, (outstanding,)) for check in checks))

    for _ in range(12):
        run_second(2.0)
    assert harness.planner.shedding.shed_share == 0.0
    for _ in range(4):
        run_second(60.0)
    assert harness.planner.shedding.shed_share > 0.0
    for _ in range(12):
        run_second(1.0)
    assert harness.planner.shedding.shed_share == 0.0
    assert check_counts[-1] > 0
    for _ in range(60):
        run_second(1.0, 1000.0)
    assert check_counts[-1] == 0  # recent reports make health checks unnecessary


def test_rejected_health_checks_indicate_an_overload() -> None:
    """If only answered health checks counted, saturated servers that reject them would be ignored."""
    harness = PolicyHarness(
        servers=[entry(n) for n in range(9)],
        proxies=((0, 0),),
        load_columns=("outstanding",),
        health_checks_enabled=True,
        zone_count=1,
    )
    for _ in range(20):
        checks = actions_of_type(
            harness.send(
                *load_reports(harness, 120, window=12_000.0),
                interface.DemandReport(0, 0, 100, 0, 1000.0),
                interface.DemandReport(0, 1, 60, 0, 1000.0),
                wait_ms=1000.0,
            ),
            interface.StartHealthCheck,
        )
        harness.send(
            *(
                interface.HealthCheckResult(
                    check.server,
                    interface.HealthCheckOutcome.OK if check.server[3] < 3 else interface.HealthCheckOutcome.REJECTED,
                    5.0,
                    (1.0,) if check.server[3] < 3 else (),
                )
                for check in checks
            )
        )
    assert harness.planner.shedding.shed_share > 0.0


def test_a_slot_completes_after_a_saturated_server_has_reset_a_health_check() -> None:
    harness = PolicyHarness(servers=[entry(n) for n in range(4)], load_columns=("outstanding",))
    harness.send(
        interface.HealthCheckResult(server_id(0), interface.HealthCheckOutcome.REJECTED, 5.0),
        interface.HealthCheckResult(server_id(0), interface.HealthCheckOutcome.RESET, 5.0),
    )
    reports = [interface.LoadReport(0, server_id(n), 20, 0, 100.0, 1000.0) for n in range(4)]
    assert actions_of_type(harness.send(*reports, wait_ms=1000.0), interface.SetTimer)  # set at the end of a slot
