"""Tests of the design of cell plans: limits, determinism, and small changes to a previous plan."""

from __future__ import annotations

import math
from collections import Counter
from fractions import Fraction
from random import Random

import generated_fleet
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from stackwheel.cells.assignment import CellIndex, part_of, service_of
from stackwheel.cells.check import ListedServer, check_plan_against_fleet
from stackwheel.cells.demand import Demand, apportion, demand_from_servers
from stackwheel.cells.design import design
from stackwheel.cells.movement import compare_plans, measure_spread
from stackwheel.cells.part_count import OVERFLOW_RISK, parts_needed
from stackwheel.cells.plan import MAX_PARTS, Cell, CellPlanError, Limits, Plan
from stackwheel.cells.plan_file import decode_plan, encode_plan

REGIONS = {"zone-0": "east", "zone-1": "west", "zone-2": "west"}
RELAYS = generated_fleet.relays(3)


def plan_for(*demand: Demand, limits: Limits | None = None, previous_plan: Plan | None = None) -> Plan:
    return design(demand, limits or Limits(100, 16), REGIONS, RELAYS, previous_plan)


def cell_parts(plan: Plan) -> list[tuple[str, int]]:
    return [(cell.name, cell.parts) for cell in plan.cells]


def test_a_service_that_fits_both_limits_is_one_cell() -> None:
    plan = plan_for(Demand("a", "east", 60, 8), Demand("a", "west", 40, 8))
    assert plan.cells == (Cell("a", "a", (), 0, 1, 20_001),)


def test_a_service_over_a_limit_is_divided_by_region() -> None:
    plan = plan_for(Demand("a", "east", 60, 8), Demand("a", "west", 41, 8))
    assert cell_parts(plan) == [("a.east.0", 1), ("a.west.0", 1)]
    plan = plan_for(Demand("a", "east", 60, 17), Demand("a", "west", 20, 8))
    assert cell_parts(plan) == [("a.east.0", 2), ("a.east.1", 2), ("a.west.0", 1)]


def test_a_service_is_divided_over_all_regions_if_one_region_has_too_few_planners() -> None:
    plan = plan_for(Demand("a", "east", 60, 31), Demand("a", "west", 20, 1))
    assert cell_parts(plan) == [("a", 2), ("a.1", 2)]
    assert {cell.regions for cell in plan.cells} == {()}


def test_a_service_with_too_few_planners_for_its_parts_is_rejected() -> None:
    with pytest.raises(CellPlanError, match="service 'a': no planner for 5 servers"):
        plan_for(Demand("a", "east", 5, 0))
    with pytest.raises(
        CellPlanError, match="service 'a': 1000 servers need 16 parts, but 3 planners can serve at most one part each"
    ):
        plan_for(Demand("a", "east", 1000, 3))


@pytest.mark.parametrize(
    ("demand", "message"),
    [
        ([Demand("a", "north", 101, 9)], r"plan: cells\[0\].regions\[0\]: unknown region 'north'"),
        (
            [Demand("a", "east", 1, 1), Demand("a", "east", 1, 1)],
            r"demand\[1\]: duplicate demand of service 'a' in region 'east'",
        ),
        ([Demand("a b", "east", 1, 1)], r"plan: cells\[0\].name: Expected `str` matching regex"),
        ([Demand("\ud800", "east", 1, 1)], "plan: text cannot be encoded as UTF-8"),
        ([Demand("a", "east", -1, 1)], r"demand\[0\]: negative count: -1 servers, 1 planners"),
        ([Demand("a", "east", 2, 1, ("a-1",))], r"demand\[0\]: 1 server names for 2 servers"),
    ],
)
def test_invalid_demand_is_rejected(demand: list[Demand], message: str) -> None:
    with pytest.raises(CellPlanError, match=message):
        plan_for(*demand)


def test_a_lack_of_free_ports_is_reported() -> None:
    demand = [Demand(f"s{number}", "east", 1, 1) for number in range(12)]
    with pytest.raises(CellPlanError, match="no free port from 65525 to 65535"):
        design(demand, Limits(), REGIONS, RELAYS, first_port=65_525)
    assert len(design(demand, Limits(), REGIONS, RELAYS, first_port=65_524).cells) == 12


def test_a_cell_gets_a_different_name_if_another_service_has_its_name() -> None:
    plan = plan_for(Demand("a", "east", 60, 8), Demand("a", "west", 60, 8), Demand("a.east.0", "east", 1, 1))
    assert cell_parts(plan) == [("a.east.0", 1), ("a.west.0", 1), ("a.east.0_", 1)]


@pytest.mark.parametrize("servers", [101, 150, 400, 1000, 3000])
def test_the_exact_overflow_probability_is_within_the_risk(servers: int) -> None:
    """Sums the probability of an oversized part over all parts in exact integer arithmetic."""
    parts = parts_needed(servers, 100)
    overflow_count = sum(math.comb(servers, size) * (parts - 1) ** (servers - size) for size in range(101, servers + 1))
    assert parts * Fraction(overflow_count, parts**servers) <= Fraction(OVERFLOW_RISK)
    assert parts <= 2 * -(-servers // 100)


def test_a_service_within_the_limit_needs_one_part_and_part_counts_are_limited() -> None:
    assert parts_needed(0, 1) == parts_needed(512, 512) == 1
    assert parts_needed(513, 512) == 2
    assert parts_needed(10**7, 512) == MAX_PARTS + 1


def test_parts_are_added_until_no_part_of_named_servers_exceeds_the_limit() -> None:
    """All names are in the same of three parts, so more parts are needed than estimated."""
    server_names = [name for name in (f"a-{number}" for number in range(1000)) if part_of(name, 3) == 1][:120]
    plan = plan_for(Demand("a", "east", len(server_names), 20, tuple(server_names)))
    cell_sizes = Counter(
        cell.name for cell in (CellIndex(plan).cell_of(name, "zone-0") for name in server_names) if cell
    )
    assert plan.cells[0].parts > 3
    assert max(cell_sizes.values()) <= 100
    assert sum(cell_sizes.values()) == 120


def test_parts_are_removed_only_after_the_demand_has_halved() -> None:
    def parts(servers: int, previous_plan: Plan | None, planners: int = 16) -> Plan:
        return plan_for(Demand("a", "east", servers, planners), Demand("b", "east", 1, 1), previous_plan=previous_plan)

    grown = parts(300, None)
    count = grown.cells[0].parts
    assert count == parts_needed(300, 100) == 5
    assert parts(200, grown) == grown
    assert parts(160, grown) == grown
    assert parts(100, grown).cells[0].parts == parts_needed(200, 100) < count
    assert cell_parts(parts(50, grown, planners=9))[0] == ("a.east.0", 2)  # twice the planners need two parts
    assert cell_parts(parts(50, grown, planners=8))[0] == ("a", 1)
    assert parts(300, grown, planners=6).cells[0].regions == ()  # too few planners for five parts with two each
    assert parts(300, parts(200, grown)) == grown


def test_names_and_ports_are_retained_and_new_cells_get_unused_ports() -> None:
    first = plan_for(Demand("a", "east", 1, 1), Demand("c", "east", 1, 1))
    second = plan_for(Demand("b", "east", 1, 1), Demand("c", "east", 1, 1), previous_plan=first)
    assert [(cell.name, cell.port) for cell in second.cells] == [("b", 20_003), ("c", 20_002)]
    renamed = Plan(1, first.limits, first.regions, first.relays, (Cell("mine", "a", (), 0, 1, 4000), first.cells[1]))
    third = plan_for(Demand("a", "east", 1, 1), previous_plan=renamed)
    assert third.cells == (Cell("mine", "a", (), 0, 1, 4000),)


size_maps = st.dictionaries(
    st.tuples(st.sampled_from(["a", "b", "c", "d"]), st.sampled_from(["east", "west"])),
    st.integers(1, 400).map(lambda servers: (servers, 10 + servers // 8)),  # few parts, so that no part is empty
    min_size=1,
)


def demand_with_names(sizes: dict[tuple[str, str], tuple[int, int]]) -> list[Demand]:
    return [
        Demand(service, region, servers, planners, tuple(f"{service}-{region}{n}" for n in range(servers)))
        for (service, region), (servers, planners) in sizes.items()
    ]


def servers_of(demand: list[Demand]) -> list[ListedServer]:
    zones = {region: zone for zone, region in REGIONS.items()}
    return [ListedServer(name, zones[item.region]) for item in demand for name in item.server_names]


@settings(max_examples=60, deadline=None)
@given(size_maps, size_maps, st.randoms())
def test_plans_fit_their_fleet_and_retain_names_and_ports(
    first: dict[tuple[str, str], tuple[int, int]], second: dict[tuple[str, str], tuple[int, int]], random: Random
) -> None:
    demand = demand_with_names(first)
    plan = plan_for(*demand)
    assert check_plan_against_fleet(plan, servers_of(demand)) == ()
    assert plan_for(*demand, previous_plan=plan) == plan == decode_plan(encode_plan(plan))
    shuffled = demand[:]
    random.shuffle(shuffled)
    assert plan_for(*shuffled) == plan

    later = demand_with_names(second)
    after = plan_for(*later, previous_plan=plan)
    assert check_plan_against_fleet(after, servers_of(later)) == ()
    assert plan_for(*later, previous_plan=after) == after
    before = {(cell.service, cell.regions, cell.part): (cell.name, cell.port) for cell in plan.cells}
    for cell in after.cells:
        key = cell.service, cell.regions, cell.part
        assert before.get(key, (cell.name, cell.port)) == (cell.name, cell.port)
        assert key in before or cell.port not in {port for _, port in before.values()}


@settings(max_examples=30, deadline=None)
@given(size_maps, st.integers(1, 400))
def test_adding_a_service_moves_nothing(sizes: dict[tuple[str, str], tuple[int, int]], servers: int) -> None:
    demand = demand_with_names(sizes)
    plan = plan_for(*demand)
    extended_plan = plan_for(*demand, *demand_with_names({("new", "east"): (servers, 20)}), previous_plan=plan)
    moved = compare_plans(plan, extended_plan, servers_of(demand))
    assert moved.servers_moved == moved.replicas_moved == moved.cells_removed == 0
    assert set(plan.cells) < set(extended_plan.cells)


@given(st.integers(0, 10_000), st.dictionaries(st.text(max_size=3), st.integers(0, 50), min_size=1), st.integers(0, 3))
def test_shares_sum_up_to_the_total_and_respect_the_minimum(total: int, weights: dict[str, int], minimum: int) -> None:
    total += minimum * len(weights)
    shares = apportion(total, weights, minimum)
    if sum(weights.values()):
        assert sum(shares.values()) == total
        assert min(shares.values()) >= minimum


@pytest.mark.parametrize(
    ("servers", "planners", "message"),
    [
        ([ListedServer("a-1", "zone-9")], 5, r"instances\[0\].zone: unknown zone 'zone-9' of server 'a-1'"),
        (
            [ListedServer("a-1", "zone-0")] * 2,
            5,
            r"instances\[1\]: duplicate server 'a-1', first listed at instances\[0\]",
        ),
        ([ListedServer("a-1", "zone-0"), ListedServer("b-1", "zone-0")], 1, "planners: 1 for 2 services"),
    ],
)
def test_invalid_servers_and_too_few_planners_are_rejected(
    servers: list[ListedServer], planners: int, message: str
) -> None:
    with pytest.raises(CellPlanError, match=message):
        demand_from_servers(servers, REGIONS, planners)


# Tests at design size: 48,000 servers, 2,100 services, 85 zones in 36 regions, 15,000 planners, 17 relays


@pytest.fixture(scope="module")
def servers() -> list[ListedServer]:
    return generated_fleet.servers(33)


@pytest.fixture(scope="module")
def full_plan(servers: list[ListedServer]) -> Plan:
    return design_fleet_plan(servers)


def design_fleet_plan(
    servers: list[ListedServer],
    previous_plan: Plan | None = None,
    relays: int = generated_fleet.RELAYS,
    planners: int = generated_fleet.PLANNERS,
) -> Plan:
    regions = generated_fleet.regions()
    return design(
        demand_from_servers(servers, regions, planners),
        Limits(),
        regions,
        generated_fleet.relays(relays),
        previous_plan,
    )


def test_at_design_size_every_cell_is_within_its_limits(servers: list[ListedServer], full_plan: Plan) -> None:
    assert check_plan_against_fleet(full_plan, servers) == ()
    assert design_fleet_plan(servers, full_plan) == full_plan
    load = measure_spread(full_plan, servers)
    assert load.servers_by_cell.maximum <= 512
    assert load.cells_by_relay.mean == 2 * len(full_plan.cells) / 17
    deviation = (load.cells_by_relay.mean * (1 - 1 / 17)) ** 0.5  # standard deviation of the binomial distribution
    assert load.cells_by_relay.maximum - load.cells_by_relay.minimum < 8 * deviation


def test_at_design_size_an_additional_relay_moves_only_its_share_of_replicas(
    servers: list[ListedServer], full_plan: Plan
) -> None:
    moved = compare_plans(full_plan, design_fleet_plan(servers, full_plan, relays=18), servers)
    expected = moved.replicas / 18  # 1/18 of all replicas belong to the new relay
    assert moved.servers_moved == 0
    assert abs(moved.replicas_moved - expected) < 5 * expected**0.5


def test_at_design_size_a_tenth_more_servers_moves_few_existing_servers(
    servers: list[ListedServer], full_plan: Plan
) -> None:
    random = Random(5)
    more = [
        ListedServer(f"{service_of(server.name)}-more{n}", server.zone)
        for n, server in enumerate(random.sample(servers, 4800))
    ]
    after = design_fleet_plan([*servers, *more], full_plan, planners=16_500)
    moved = compare_plans(full_plan, after, servers)
    assert check_plan_against_fleet(after, [*servers, *more]) == ()
    assert 0 < moved.servers_moved < 0.06 * moved.servers
    assert moved.replicas_moved == 0
