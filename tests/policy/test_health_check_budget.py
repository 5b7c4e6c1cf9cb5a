"""Health checks where load reports are old."""

from policy_harness import PolicyHarness, actions_of, entry, load_reports, server_id

from stackwheel import interface as face


def test_health_checks_show_an_overload_and_its_end_while_reports_are_old() -> None:
    """Shedding began and ended ten seconds late: each report covered the time since the last."""
    harness = PolicyHarness(
        servers=[entry(n) for n in range(8)],
        proxies=((0, 0),),
        load_columns=("outstanding",),
        health_checks_enabled=True,
        zone_count=1,
    )
    spent: list[int] = []

    def second(waiting: float, span: float = 12_000.0) -> None:
        checks = actions_of(
            harness.send(
                *load_reports(harness, int(span / 50.0), span=span),
                face.DemandReport(0, 0, 100, 0, 1000.0),
                face.DemandReport(0, 1, 60, 0, 1000.0),
                wait=1000.0,
            ),
            face.StartHealthCheck,
        )
        spent.append(len(checks))
        harness.send(*(face.HealthCheckResult(check.server, 1, 5.0, (waiting,)) for check in checks))

    for _ in range(12):
        second(2.0)
    assert harness.planner.shedding.shed_share == 0.0
    for _ in range(4):
        second(60.0)
    assert harness.planner.shedding.shed_share > 0.0
    for _ in range(12):
        second(1.0)
    assert harness.planner.shedding.shed_share == 0.0
    assert spent[-1] > 0
    for _ in range(60):
        second(1.0, 1000.0)
    assert spent[-1] == 0  # reports that are fresh tell as much, and cost nothing


def test_rejected_health_checks_show_an_overload() -> None:
    """Only servers with spare capacity answered, so with two thirds saturated nothing was shed for ten seconds."""
    harness = PolicyHarness(
        servers=[entry(n) for n in range(9)],
        proxies=((0, 0),),
        load_columns=("outstanding",),
        health_checks_enabled=True,
        zone_count=1,
    )
    for _ in range(20):
        checks = actions_of(
            harness.send(
                *load_reports(harness, 120, span=12_000.0),
                face.DemandReport(0, 0, 100, 0, 1000.0),
                face.DemandReport(0, 1, 60, 0, 1000.0),
                wait=1000.0,
            ),
            face.StartHealthCheck,
        )
        harness.send(
            *(
                face.HealthCheckResult(
                    check.server,
                    face.HealthCheckOutcome.OK if check.server[3] < 3 else face.HealthCheckOutcome.REJECTED,
                    5.0,
                    (1.0,) if check.server[3] < 3 else (),
                )
                for check in checks
            )
        )
    assert harness.planner.shedding.shed_share > 0.0


def test_a_saturated_server_that_then_resets_a_health_check_has_no_known_load() -> None:
    harness = PolicyHarness(servers=[entry(n) for n in range(4)], load_columns=("outstanding",))
    harness.send(
        face.HealthCheckResult(server_id(0), face.HealthCheckOutcome.REJECTED, 5.0),
        face.HealthCheckResult(server_id(0), face.HealthCheckOutcome.RESET, 5.0),
    )
    bare = [face.LoadReport(0, server_id(n), 20, 0, 100.0, 1000.0) for n in range(4)]
    assert actions_of(harness.send(*bare, wait=1000.0), face.SetTimer)  # the slot ran to its end
