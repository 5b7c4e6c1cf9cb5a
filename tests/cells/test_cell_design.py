"""Plans from demand: within their limits, the same for the same demand, and with as little as possible moved."""

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


def plan_for(*demand: Demand, limits: Limits | None = None, former: Plan | None = None) -> Plan:
    return design(demand, limits or Limits(100, 16), REGIONS, RELAYS, former)


def shape(plan: Plan) -> list[tuple[str, int]]:
    return [(cell.name, cell.parts) for cell in plan.cells]


def test_a_service_that_fits_both_limits_is_one_cell() -> None:
    plan = plan_for(Demand("a", "east", 60, 8), Demand("a", "west", 40, 8))
    assert plan.cells == (Cell("a", "a", (), 0, 1, 20_001),)


def test_a_service_over_a_limit_is_cut_by_region() -> None:
    plan = plan_for(Demand("a", "east", 60, 8), Demand("a", "west", 41, 8))
    assert shape(plan) == [("a.east.0", 1), ("a.west.0", 1)]
    plan = plan_for(Demand("a", "east", 60, 17), Demand("a", "west", 20, 8))
    assert shape(plan) == [("a.east.0", 2), ("a.east.1", 2), ("a.west.0", 1)]


def test_a_service_is_cut_over_all_regions_where_one_has_too_few_planners() -> None:
    plan = plan_for(Demand("a", "east", 60, 31), Demand("a", "west", 20, 1))
    assert shape(plan) == [("a", 2), ("a.1", 2)]
    assert {cell.regions for cell in plan.cells} == {()}


def test_a_service_without_planners_for_its_parts_is_rejected() -> None:
    with pytest.raises(CellPlanError, match="service 'a': no planner for 5 servers"):
        plan_for(Demand("a", "east", 5, 0))
    with pytest.raises(CellPlanError, match="service 'a': 1000 servers need 16 parts, 3 planners allow one part each"):
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


def test_running_out_of_ports_is_reported() -> None:
    demand = [Demand(f"s{number}", "east", 1, 1) for number in range(12)]
    with pytest.raises(CellPlanError, match="no free port from 65525 to 65535"):
        design(demand, Limits(), REGIONS, RELAYS, first_port=65_525)
    assert len(design(demand, Limits(), REGIONS, RELAYS, first_port=65_524).cells) == 12


def test_a_cell_whose_name_another_service_has_gets_a_different_name() -> None:
    plan = plan_for(Demand("a", "east", 60, 8), Demand("a", "west", 60, 8), Demand("a.east.0", "east", 1, 1))
    assert shape(plan) == [("a.east.0", 1), ("a.west.0", 1), ("a.east.0_", 1)]


@pytest.mark.parametrize("servers", [101, 150, 400, 1000, 3000])
def test_the_margin_of_parts_holds_by_the_exact_binomial(servers: int) -> None:
    """The sum over parts of the exact chance that one is over the limit, in exact integer arithmetic."""
    parts = parts_needed(servers, 100)
    over = sum(math.comb(servers, size) * (parts - 1) ** (servers - size) for size in range(101, servers + 1))
    assert parts * Fraction(over, parts**servers) <= Fraction(OVERFLOW_RISK)
    assert parts <= 2 * -(-servers // 100)  # and it isn't bought with twice the parts


def test_one_cell_holds_up_to_the_limit_and_part_counts_are_bounded() -> None:
    assert parts_needed(0, 1) == parts_needed(512, 512) == 1
    assert parts_needed(513, 512) == 2
    assert parts_needed(10**7, 512) == MAX_PARTS + 1


def test_parts_grow_until_no_named_server_is_over() -> None:
    """Names that all score highest at one of two parts: chance would say that two do."""
    named = [name for name in (f"a-{number}" for number in range(1000)) if part_of(name, 3) == 1][:120]
    plan = plan_for(Demand("a", "east", len(named), 20, tuple(named)))
    cell_sizes = Counter(cell.name for cell in (CellIndex(plan).cell_of(name, "zone-0") for name in named) if cell)
    assert plan.cells[0].parts > 3
    assert max(cell_sizes.values()) <= 100
    assert sum(cell_sizes.values()) == 120


def test_parts_stay_until_half_of_the_demand_is_removed() -> None:
    def parts(servers: int, former: Plan | None, planners: int = 16) -> Plan:
        return plan_for(Demand("a", "east", servers, planners), Demand("b", "east", 1, 1), former=former)

    grown = parts(300, None)
    count = grown.cells[0].parts
    assert count == parts_needed(300, 100) == 5
    assert parts(200, grown) == grown
    assert parts(160, grown) == grown
    assert parts(100, grown).cells[0].parts == parts_needed(200, 100) < count
    assert shape(parts(50, grown, planners=9))[0] == ("a.east.0", 2)  # 18 planners need two
    assert shape(parts(50, grown, planners=8))[0] == ("a", 1)
    assert parts(300, grown, planners=6).cells[0].regions == ()  # too few for five parts with two each
    assert parts(300, parts(200, grown)) == grown


def test_names_and_ports_stay_and_a_new_port_was_never_used() -> None:
    first = plan_for(Demand("a", "east", 1, 1), Demand("c", "east", 1, 1))
    second = plan_for(Demand("b", "east", 1, 1), Demand("c", "east", 1, 1), former=first)
    assert [(cell.name, cell.port) for cell in second.cells] == [("b", 20_003), ("c", 20_002)]
    renamed = Plan(1, first.limits, first.regions, first.relays, (Cell("mine", "a", (), 0, 1, 4000), first.cells[1]))
    third = plan_for(Demand("a", "east", 1, 1), former=renamed)
    assert third.cells == (Cell("mine", "a", (), 0, 1, 4000),)


demands = st.dictionaries(
    st.tuples(st.sampled_from(["a", "b", "c", "d"]), st.sampled_from(["east", "west"])),
    st.integers(1, 400).map(lambda servers: (servers, 10 + servers // 8)),  # so few parts that none is empty by chance
    min_size=1,
)


def named(sizes: dict[tuple[str, str], tuple[int, int]]) -> list[Demand]:
    return [
        Demand(service, region, servers, planners, tuple(f"{service}-{region}{n}" for n in range(servers)))
        for (service, region), (servers, planners) in sizes.items()
    ]


def servers_of(demand: list[Demand]) -> list[ListedServer]:
    zones = {region: zone for zone, region in REGIONS.items()}
    return [ListedServer(name, zones[item.region]) for item in demand for name in item.server_names]


@settings(max_examples=60, deadline=None)
@given(demands, demands, st.randoms())
def test_plans_fit_their_fleet_and_keep_names_and_ports(
    first: dict[tuple[str, str], tuple[int, int]], second: dict[tuple[str, str], tuple[int, int]], random: Random
) -> None:
    demand = named(first)
    plan = plan_for(*demand)
    assert check_plan_against_fleet(plan, servers_of(demand)) == ()
    assert plan_for(*demand, former=plan) == plan == decode_plan(encode_plan(plan))
    shuffled = demand[:]
    random.shuffle(shuffled)
    assert plan_for(*shuffled) == plan

    later = named(second)
    after = plan_for(*later, former=plan)
    assert check_plan_against_fleet(after, servers_of(later)) == ()
    assert plan_for(*later, former=after) == after
    before = {(cell.service, cell.regions, cell.part): (cell.name, cell.port) for cell in plan.cells}
    for cell in after.cells:
        key = cell.service, cell.regions, cell.part
        assert before.get(key, (cell.name, cell.port)) == (cell.name, cell.port)
        assert key in before or cell.port not in {port for _, port in before.values()}


@settings(max_examples=30, deadline=None)
@given(demands, st.integers(1, 400))
def test_adding_a_service_moves_nothing(sizes: dict[tuple[str, str], tuple[int, int]], servers: int) -> None:
    demand = named(sizes)
    plan = plan_for(*demand)
    more = plan_for(*demand, *named({("new", "east"): (servers, 20)}), former=plan)
    moved = compare_plans(plan, more, servers_of(demand))
    assert moved.servers_moved == moved.replicas_moved == moved.cells_removed == 0
    assert set(plan.cells) < set(more.cells)


@given(st.integers(0, 10_000), st.dictionaries(st.text(max_size=3), st.integers(0, 50), min_size=1), st.integers(0, 3))
def test_shares_add_up(total: int, weights: dict[str, int], minimum: int) -> None:
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
def test_servers_that_no_plan_can_hold_are_rejected(servers: list[ListedServer], planners: int, message: str) -> None:
    with pytest.raises(CellPlanError, match=message):
        demand_from_servers(servers, REGIONS, planners)


# The design size: 48,000 servers, 2,100 services, 85 zones in 36 regions, 15,000 planners, 17 relays.


@pytest.fixture(scope="module")
def servers() -> list[ListedServer]:
    return generated_fleet.servers(33)


@pytest.fixture(scope="module")
def full_plan(servers: list[ListedServer]) -> Plan:
    return designed(servers)


def designed(
    servers: list[ListedServer],
    former: Plan | None = None,
    relays: int = generated_fleet.RELAYS,
    planners: int = generated_fleet.PLANNERS,
) -> Plan:
    regions = generated_fleet.regions()
    return design(
        demand_from_servers(servers, regions, planners), Limits(), regions, generated_fleet.relays(relays), former
    )


def test_at_design_size_every_cell_is_within_its_limits(servers: list[ListedServer], full_plan: Plan) -> None:
    assert check_plan_against_fleet(full_plan, servers) == ()
    assert designed(servers, full_plan) == full_plan
    load = measure_spread(full_plan, servers)
    assert load.servers_by_cell.maximum <= 512
    assert load.cells_by_relay.mean == 2 * len(full_plan.cells) / 17
    deviation = (load.cells_by_relay.mean * (1 - 1 / 17)) ** 0.5  # of a binomial; two draws a cell are even less
    assert load.cells_by_relay.maximum - load.cells_by_relay.minimum < 8 * deviation


def test_at_design_size_one_more_relay_moves_its_own_share_of_replicas(
    servers: list[ListedServer], full_plan: Plan
) -> None:
    moved = compare_plans(full_plan, designed(servers, full_plan, relays=18), servers)
    expected = moved.replicas / 18  # it is one of the two of 2/18 of all cells
    assert moved.servers_moved == 0
    assert abs(moved.replicas_moved - expected) < 5 * expected**0.5


def test_at_design_size_a_tenth_more_servers_moves_few(servers: list[ListedServer], full_plan: Plan) -> None:
    random = Random(5)
    more = [
        ListedServer(f"{service_of(server.name)}-more{n}", server.zone)
        for n, server in enumerate(random.sample(servers, 4800))
    ]
    after = designed([*servers, *more], full_plan, planners=16_500)
    moved = compare_plans(full_plan, after, servers)
    assert check_plan_against_fleet(after, [*servers, *more]) == ()
    assert 0 < moved.servers_moved < 0.06 * moved.servers
    assert moved.replicas_moved == 0
