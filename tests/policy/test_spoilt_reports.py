"""One spoilt figure in a report, in any field, must not distort the estimates that depend on it.

The spoilt figures fit their fields, so that they reach the policy, but they are wrong by orders of magnitude.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
from typing import NamedTuple

import pytest
from policy_harness import SETTINGS, PolicyHarness, entry, server_id

from stackwheel import interface
from stackwheel.interface import Availability, DemandReport, LoadReport, ProxyJoined, ServerId
from stackwheel.policy.plausibility import CHANCE_ALLOWANCE
from stackwheel.policy.slow_start import WARMING_LOAD_SHARE

SERVERS = 12
PROXIES = 8
REPLACED = server_id(2)
SUCCESSOR = server_id(100)
CAPACITY_PER_S = 25.0  # of a warm server
RATE_PER_S = 11.0  # of each proxy and class: 176 of all, 0.59 of what the servers can process
WARM_UP_SLOTS = 12
SLOTS_UNTIL_RESTART = 4
SPOILT_SHARE = 0.05
LARGE = 4.0e9  # nearly the maximum of a field
DAY_MS = 86_400_000.0
MAX_RATIO = 1.0 / WARMING_LOAD_SHARE  # an estimate that is wrong by less leaves a warming server under its limit
MIN_RATIO = 1.0 / MAX_RATIO

COLD_SETTINGS = replace(
    SETTINGS,
    load_columns=("utilization", "outstanding"),
    proxy_count=PROXIES,
    slow_start_min_share=0.24,
    slow_start_duration=18000.0,
    overload_multiple=3.0,
    cross_zone_cost=0.02,
)
DEPLOYMENTS = {
    "utilization": COLD_SETTINGS,
    "no utilization": replace(COLD_SETTINGS, load_columns=("outstanding",)),
    "peers silent": replace(COLD_SETTINGS, planner_count=2, gossip_enabled=True, proxy_count=2 * PROXIES),
    "peers silent, no utilization": replace(
        COLD_SETTINGS, load_columns=("outstanding",), planner_count=2, gossip_enabled=True, proxy_count=2 * PROXIES
    ),
}
SPOILT_LOAD_REPORTS: dict[str, dict[str, object]] = {
    "attempts": {"attempts": int(LARGE)},
    "failures": {"attempts": int(LARGE), "failures": int(LARGE)},
    "long latency": {"mean_latency": DAY_MS},
    "no latency": {"mean_latency": 0.0},
    "short window": {"window": 1e-3},
    "long window": {"window": DAY_MS},
    "first load column": {"load": (LARGE, 4.0)},
    "last load column": {"load": (0.5, LARGE)},
    "all load columns": {"load": (LARGE, LARGE)},
}
SPOILT_DEMAND_REPORTS: dict[str, dict[str, object]] = {
    "requests": {"requests": int(LARGE)},
    "short window": {"window": 1e-3},
    "long window": {"window": DAY_MS},
}


class Load(NamedTuple):
    """Requests per second that the proxies of the planner send to a server, by zone of the proxies."""

    by_zone: tuple[float, float]

    @property
    def total(self) -> float:
        return sum(self.by_zone)


class Fleet:
    """Proxies and servers in a closed loop with a planner: the load of each server follows from the tables.

    Attributes:
        harness: the planner and its tables.
        has_peer: whether a second, silent planner causes the same load.
    """

    def __init__(self, settings: interface.Settings) -> None:
        servers = [entry(number, number % 2) for number in range(SERVERS)]
        proxies = [(number, number % 2) for number in range(PROXIES)]
        self.has_peer = settings.planner_count > 1
        rate = RATE_PER_S / settings.planner_count
        self.rate = rate
        self.harness = PolicyHarness(settings, servers, proxies)

    def load(self, server: ServerId) -> Load:
        by_zone = [0.0, 0.0]
        for proxy, zone in self.harness.zone_by_proxy.items():
            for request_class in (0, 1):
                by_zone[zone] += self.rate * self.harness.shares(proxy, request_class).get(server, 0.0)
        return Load((by_zone[0], by_zone[1]))

    def capacity(self, server: ServerId) -> float:
        """Return the requests per second that a server can process now."""
        started_at = self.harness.entries[server].started_at
        progress = min(1.0, (self.harness.now - started_at) / COLD_SETTINGS.slow_start_duration)
        minimum = COLD_SETTINGS.slow_start_min_share
        return CAPACITY_PER_S * (minimum + (1.0 - minimum) * progress)

    def reports(self) -> list[LoadReport | DemandReport]:
        """Return the sound reports of one second."""
        planners = 2.0 if self.has_peer else 1.0
        reports: list[LoadReport | DemandReport] = []
        for server, listed in self.harness.entries.items():
            if listed.availability is not Availability.READY:
                continue
            load = self.load(server)
            utilization = min(1.0, load.total * planners / self.capacity(server))
            figures = {"utilization": utilization, "outstanding": load.total * planners * 0.1}
            columns = tuple(figures[column] for column in self.harness.settings.load_columns)
            for zone, rate in enumerate(load.by_zone):
                if round(rate):
                    reports.append(LoadReport(zone, server, round(rate), 0, 100.0, 1000.0, columns))
        reports += [
            DemandReport(proxy, request_class, round(self.rate), 0, 1000.0)
            for proxy in self.harness.zone_by_proxy
            for request_class in (0, 1)
        ]
        return reports

    def run_slot(self, *spoilt: interface.Event) -> None:
        """Send the reports of one second; spoilt reports replace the sound ones on the same subject."""
        subjects = {subject(event) for event in spoilt}
        sound = [report for report in self.reports() if subject(report) not in subjects]
        self.harness.send(*self.harness.acknowledgements(), *sound, *spoilt, wait_ms=1000.0)

    def sound_report(self, server: ServerId) -> LoadReport:
        """Return the sound report of the servers' own zone on a server."""
        return next(
            report
            for report in self.reports()
            if isinstance(report, LoadReport) and report.server == server and report.zone == 0
        )


def subject(event: interface.Event) -> tuple[object, ...]:
    """Return what a report is about."""
    match event:
        case LoadReport(zone, server):
            return (zone, server)
        case DemandReport(proxy, request_class):
            return (proxy, request_class)
    return ()


def running_fleet(deployment: str, slots: int = WARM_UP_SLOTS) -> Fleet:
    fleet = Fleet(DEPLOYMENTS[deployment])
    for _ in range(slots):
        fleet.run_slot()
    return fleet


def spoil_load_report(fleet: Fleet, fields: dict[str, object]) -> None:
    """Run a slot in which one report on `REPLACED` is spoilt."""
    report = fleet.sound_report(REPLACED)
    if "load" in fields and "utilization" not in fleet.harness.settings.load_columns:
        fields = {"load": fields["load"][-1:]}  # type: ignore[index]
    fleet.run_slot(replace(report, **fields))  # type: ignore[arg-type]


def worst_cold_load(fleet: Fleet, server: ServerId) -> float:
    """Return the highest load of a cold server, as a multiple of its capacity, until it is warm."""
    worst = 0.0
    while fleet.harness.now < fleet.harness.entries[server].started_at + COLD_SETTINGS.slow_start_duration:
        planners = 2.0 if fleet.has_peer else 1.0
        worst = max(worst, fleet.load(server).total * planners / fleet.capacity(server))
        fleet.run_slot()
    return worst


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("field", SPOILT_LOAD_REPORTS)
def test_successor_of_a_server_with_a_spoilt_load_report_is_not_overloaded(field: str, deployment: str) -> None:
    """Guards against a cold successor that gets nearly all requests after one spoilt report on its predecessor."""
    fleet = running_fleet(deployment)
    spoil_load_report(fleet, SPOILT_LOAD_REPORTS[field])
    for _ in range(SLOTS_UNTIL_RESTART - 1):
        fleet.run_slot()
    draining = replace(fleet.harness.entries[REPLACED], availability=Availability.DRAINING)
    fleet.harness.update_endpoints(draining, entry(100, 0, started_at=fleet.harness.now))
    assert worst_cold_load(fleet, SUCCESSOR) <= COLD_SETTINGS.overload_multiple


def test_successor_in_a_kind_with_a_spoilt_weight_is_not_overloaded() -> None:
    """Guards against a cold successor whose assumed capacity follows from one listed weight near 0."""
    fleet = running_fleet("utilization")
    fleet.harness.update_endpoints(replace(fleet.harness.entries[REPLACED], weight=1e-5))
    fleet.run_slot()
    fleet.harness.update_endpoints(entry(100, 0, started_at=fleet.harness.now))
    assert worst_cold_load(fleet, SUCCESSOR) <= COLD_SETTINGS.overload_multiple


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("field", SPOILT_LOAD_REPORTS)
def test_server_that_restarts_after_a_spoilt_load_report_is_not_overloaded(field: str, deployment: str) -> None:
    """Guards against a restarted server that gets nearly all requests because its measured capacity is kept."""
    fleet = running_fleet(deployment)
    spoil_load_report(fleet, SPOILT_LOAD_REPORTS[field])
    fleet.run_slot()
    fleet.harness.update_endpoints(replace(fleet.harness.entries[REPLACED], started_at=fleet.harness.now))
    assert worst_cold_load(fleet, REPLACED) <= COLD_SETTINGS.overload_multiple


@pytest.mark.parametrize("slots", [0, 1, WARM_UP_SLOTS])
@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("field", SPOILT_LOAD_REPORTS)
def test_estimates_after_a_spoilt_load_report_stay_near_those_without_it(
    field: str, deployment: str, slots: int
) -> None:
    """Guards against estimates, of any kind and of any server, that one spoilt report distorts for many slots."""
    fleet, sound_fleet = running_fleet(deployment, slots), running_fleet(deployment, slots)
    spoil_load_report(fleet, SPOILT_LOAD_REPORTS[field])
    sound_fleet.run_slot()
    for _ in range(5):
        assert distortions(fleet, sound_fleet) == {}
        fleet.run_slot()
        sound_fleet.run_slot()


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("field", [field for field in SPOILT_LOAD_REPORTS if "column" in field])
def test_spoilt_load_figures_are_forgotten_within_five_slots(field: str, deployment: str) -> None:
    """Guards against a load figure that stays too large for half a minute after one spoilt report."""
    fleet, sound_fleet = running_fleet(deployment), running_fleet(deployment)
    spoil_load_report(fleet, SPOILT_LOAD_REPORTS[field])
    sound_fleet.run_slot()
    for _ in range(5):
        fleet.run_slot()
        sound_fleet.run_slot()
    view, sound_view = (chosen.harness.planner.pool.views[REPLACED] for chosen in (fleet, sound_fleet))
    for column, figure in sound_view.load.items():
        assert MIN_RATIO * figure < view.load[column] < MAX_RATIO * figure


def test_limited_figures_are_logged_once_per_slot() -> None:
    """Guards against a faulty collector that nobody notices, because its figures are limited silently."""
    fleet = running_fleet("utilization")
    assert "reported figures over the plausible limit: count=1" not in logged_texts(fleet)
    spoil_load_report(fleet, SPOILT_LOAD_REPORTS["attempts"])
    fleet.run_slot()
    assert logged_texts(fleet) == ["reported figures over the plausible limit: count=1"]


def logged_texts(fleet: Fleet) -> list[str]:
    return [action.text for action in fleet.harness.actions if isinstance(action, interface.Log)]


def distortions(fleet: Fleet, sound_fleet: Fleet) -> dict[str, float]:
    """Return the estimates that differ by more than the reserve of warming servers, with their ratio."""
    planner, sound_planner = fleet.harness.planner, sound_fleet.harness.planner
    ratios = {"unit capacity": planner.capacity.unit_capacity / (sound_planner.capacity.unit_capacity or 1.0)}
    now = fleet.harness.now
    ratios["demand"] = planner.demand.total_rate(now) / sound_planner.demand.total_rate(now)
    ratios["report window"] = planner.estimates.mean_report_window / sound_planner.estimates.mean_report_window
    for number in range(SERVERS):
        view, sound_view = (chosen.pool.views[server_id(number)] for chosen in (planner, sound_planner))
        ratios[f"capacity of {number}"] = view.capacity / sound_view.capacity
        # Few requests vary by chance.
        ratios[f"attempts of {number}"] = (CHANCE_ALLOWANCE + view.attempt_rate) / (
            CHANCE_ALLOWANCE + sound_view.attempt_rate
        )
        server_rate = view.attempt_rate + planner.peers.peer_rate(view, now)
        sound_server_rate = sound_view.attempt_rate + sound_planner.peers.peer_rate(sound_view, now)
        ratios[f"server rate of {number}"] = (CHANCE_ALLOWANCE + server_rate) / (CHANCE_ALLOWANCE + sound_server_rate)
    return {name: ratio for name, ratio in ratios.items() if not MIN_RATIO < ratio < MAX_RATIO}


@pytest.mark.parametrize("slots", [1, WARM_UP_SLOTS])
@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("field", SPOILT_DEMAND_REPORTS)
def test_spoilt_demand_report_leads_to_no_load_shedding(field: str, deployment: str, slots: int) -> None:
    """Guards against a planner that refuses nearly all requests because one proxy reported too many."""
    fleet = running_fleet(deployment, slots)
    report = DemandReport(0, 0, round(fleet.rate), 0, 1000.0)
    fleet.run_slot(replace(report, **SPOILT_DEMAND_REPORTS[field]))  # type: ignore[arg-type]
    for _ in range(5):
        assert fleet.harness.planner.shedding.shed_share == 0.0
        fleet.run_slot()


@pytest.mark.parametrize("slots", [0, 1, WARM_UP_SLOTS])
@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("field", SPOILT_DEMAND_REPORTS)
def test_demand_after_a_spoilt_demand_report_stays_near_that_without_it(
    field: str, deployment: str, slots: int
) -> None:
    fleet, sound_fleet = running_fleet(deployment, slots), running_fleet(deployment, slots)
    report = DemandReport(0, 0, round(fleet.rate), 0, 1000.0)
    fleet.run_slot(replace(report, **SPOILT_DEMAND_REPORTS[field]))  # type: ignore[arg-type]
    sound_fleet.run_slot()
    for _ in range(5):
        assert distortions(fleet, sound_fleet) == {}
        fleet.run_slot()
        sound_fleet.run_slot()


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_spoilt_announced_rate_leads_to_no_load_shedding(deployment: str) -> None:
    fleet = running_fleet(deployment)
    fleet.run_slot(ProxyJoined(0, 0, LARGE, False))
    for _ in range(5):
        assert fleet.harness.planner.shedding.shed_share == 0.0
        fleet.run_slot()


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
def test_report_that_stays_valid_for_a_spoilt_window_expires(deployment: str) -> None:
    """Guards against a report that counts as recent for a day, because its window is spoilt."""
    fleet = running_fleet(deployment)
    spoil_load_report(fleet, SPOILT_LOAD_REPORTS["long window"])
    view = fleet.harness.planner.pool.views[REPLACED]
    assert view.zone_reports[0].valid_until <= fleet.harness.now + 60_000.0


def run_slot_with_spoilt_reports(fleet: Fleet, random: Random, share: float) -> None:
    """Run a slot in which a share of the reports is spoilt, each in one field drawn at random."""
    spoilt: list[interface.Event] = []
    for report in fleet.reports():
        if random.random() >= share:
            continue
        if isinstance(report, LoadReport):
            fields = SPOILT_LOAD_REPORTS[random.choice(list(SPOILT_LOAD_REPORTS))]
            if "load" in fields:
                fields = {"load": fields["load"][-len(report.load) :]}  # type: ignore[index]
        else:
            fields = SPOILT_DEMAND_REPORTS[random.choice(list(SPOILT_DEMAND_REPORTS))]
        spoilt.append(replace(report, **fields))  # type: ignore[arg-type]
    fleet.run_slot(*spoilt)


@pytest.mark.parametrize("deployment", DEPLOYMENTS)
@pytest.mark.parametrize("seed", range(4))
def test_no_cold_server_is_overloaded_while_reports_arrive_spoilt_again_and_again(seed: int, deployment: str) -> None:
    """Guards against spoilt figures that add up: servers restart one after another while each 20th report is spoilt."""
    fleet = running_fleet(deployment)
    random = Random(seed)
    planners = 2.0 if fleet.has_peer else 1.0
    for number in range(SERVERS):
        fleet.harness.update_endpoints(replace(fleet.harness.entries[server_id(number)], started_at=fleet.harness.now))
        for _ in range(round(COLD_SETTINGS.slow_start_duration / 1000.0)):
            load = fleet.load(server_id(number)).total * planners
            assert load <= COLD_SETTINGS.overload_multiple * fleet.capacity(server_id(number))
            run_slot_with_spoilt_reports(fleet, random, SPOILT_SHARE)
