"""Tests of the assignment of servers and planners to cells, and of cells to relays."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections import Counter
from pathlib import Path
from random import Random

import generated_fleet
import pytest
from hypothesis import given
from hypothesis import strategies as st
from xxhash import xxh3_64_intdigest

from stackwheel.cells.assignment import (
    CellIndex,
    assign_planners,
    discovery_addresses,
    part_of,
    relays_for_cell,
    service_of,
)
from stackwheel.cells.plan import MAX_PARTS, Cell, Limits, Plan

ROOT = Path(__file__).parents[2]
PYTHON_PATH = os.pathsep.join([str(ROOT), str(ROOT / "tests")])
PLAN = Plan(
    1,
    Limits(),
    {"zone-0": "east", "zone-1": "west"},
    generated_fleet.relays(3),
    (
        Cell("small", "small", (), 0, 1, 20001),
        Cell("large.east.0", "large", ("east",), 0, 2, 20002),
        Cell("large.east.1", "large", ("east",), 1, 2, 20003),
        Cell("wide", "wide", ("west", "east"), 0, 1, 20004),
    ),
)
names = st.text(min_size=1, max_size=30)
name_sets = st.sets(names, min_size=1, max_size=60)


@pytest.mark.parametrize(
    ("name", "service"),
    [("billing-5be2a07c", "billing"), ("svc-0001-7", "svc-0001"), ("alone", "alone"), ("-7", "-7"), ("a-", "a")],
)
def test_the_service_is_the_server_name_up_to_the_last_hyphen(name: str, service: str) -> None:
    assert service_of(name) == service


def test_a_server_belongs_to_the_cell_of_its_service_region_and_part() -> None:
    index = CellIndex(PLAN)
    assert index.cell_of("small-1", "zone-1") is PLAN.cells[0]
    assert {index.cell_of(f"large-{n}", "zone-0") for n in range(50)} == set(PLAN.cells[1:3])
    assert index.cell_of("wide-1", "zone-0") is index.cell_of("wide-1", "zone-1") is PLAN.cells[3]
    assert index.cell_of("large-1", "zone-1") is None
    assert index.cell_of("other-1", "zone-0") is None


def test_a_server_in_an_unknown_zone_belongs_to_a_cell_of_all_regions_or_to_none() -> None:
    index = CellIndex(PLAN)
    assert index.cell_of("small-1", "unknown") is PLAN.cells[0]
    assert index.cell_of("large-1", "unknown") is None
    assert index.cell_of("wide-1", "unknown") is None


def test_planners_get_the_cells_of_their_service_and_region() -> None:
    index = CellIndex(PLAN)
    planners = [f"planner-{number}" for number in range(8)]
    cells = index.cells_of_planners(planners, "large", "east")
    assert Counter(cell.name for cell in cells.values()) == {"large.east.0": 4, "large.east.1": 4}
    assert set(index.cells_of_planners(planners, "small", "west").values()) == {PLAN.cells[0]}
    assert index.cells_of_planners(planners, "large", "west") == {}


def test_hashes_match_known_xxh3_values() -> None:
    """A library with other hash values would move servers between cells."""
    assert xxh3_64_intdigest(b"") == 0x2D06800538D394C2
    assert xxh3_64_intdigest(b"billing-5be2a07c") == 0x912C6810676EC104
    assert xxh3_64_intdigest(b"a" * 300, 7) == 0xC55F688D327B999A


def test_assignments_do_not_change_between_versions() -> None:
    parts = (2, 7, 100, 1024)
    assert [part_of("billing-5be2a07c", count) for count in parts] == [1, 3, 47, 910]
    assert [part_of("svc-0001-0", count) for count in parts] == [0, 6, 84, 84]
    assert [part_of("grüße-1", count) for count in parts] == [0, 5, 54, 54]
    assert [relay.name for relay in relays_for_cell("svc-0001", generated_fleet.relays())] == ["relay-3", "relay-15"]
    assert [relay.name for relay in relays_for_cell("svc-0002.region-03.1", generated_fleet.relays())] == [
        "relay-6",
        "relay-1",
    ]
    planner_parts = assign_planners([f"planner-{number}" for number in range(8)], 3)
    assert [planner_parts[f"planner-{number}"] for number in range(8)] == [1, 2, 1, 0, 2, 0, 0, 1]


ASSIGNMENT_SCRIPT = """
import json
from stackwheel.cells.assignment import assign_planners, discovery_addresses, part_of, relays_for_cell
from stackwheel.cells.demand import demand_from_servers
from stackwheel.cells.design import design
from stackwheel.cells.plan import Limits
from stackwheel.cells.plan_file import encode_plan
import generated_fleet
servers, regions, relays = generated_fleet.servers(4, 3000, 40), generated_fleet.regions(), generated_fleet.relays()
plan = design(demand_from_servers(servers, regions, 400), Limits(), regions, relays)
print(json.dumps([
    [part_of(server.name, 9) for server in servers],
    [[relay.name for relay in relays_for_cell(cell.name, set(relays))] for cell in plan.cells],
    sorted(assign_planners({f"planner-{number}" for number in range(99)}, 7).items()),
    [discovery_addresses(plan, cell, "planner-1") for cell in plan.cells],
    encode_plan(plan).decode(),
]))
"""


def test_processes_with_different_hash_seeds_make_the_same_assignments() -> None:
    def run(seed: str) -> list[object]:
        completed = subprocess.run(
            [sys.executable, "-c", ASSIGNMENT_SCRIPT],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": PYTHON_PATH},
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        assignments = json.loads(completed.stdout)
        assert isinstance(assignments, list)
        assert len(assignments) == 5
        return assignments

    assert run("0") == run("1") == run("4711")


@given(name_sets, st.integers(1, 40))
def test_an_additional_part_moves_servers_only_to_itself(drawn_names: set[str], parts: int) -> None:
    for name in drawn_names:
        before = part_of(name, parts)
        after = part_of(name, parts + 1)
        assert 0 <= before < parts
        assert after in (before, parts)


def test_a_name_with_an_unpaired_surrogate_is_hashed() -> None:
    assert 0 <= part_of("\ud800-1", 5) < 5
    assert assign_planners(["\ud800"], 1) == {"\ud800": 0}


@pytest.mark.parametrize("parts", [0, -1, MAX_PARTS + 1])
def test_part_counts_out_of_range_are_rejected(parts: int) -> None:
    with pytest.raises(ValueError, match="is not between 1 and 1024"):
        part_of("a", parts)
    with pytest.raises(ValueError, match="is not between 1 and 1024"):
        assign_planners(["a"], parts)


@pytest.mark.parametrize("parts", [2, 7, 16, 64])
def test_parts_are_even_and_an_additional_part_moves_only_its_share(parts: int) -> None:
    """Tolerates five standard deviations of the binomial distribution."""
    server_names = [server.name for server in generated_fleet.servers(7)]
    count = Counter(part_of(name, parts) for name in server_names)
    mean = len(server_names) / parts
    assert all(abs(count[part] - mean) < 5 * (mean * (1 - 1 / parts)) ** 0.5 for part in range(parts))
    share = 1 / (parts + 1)
    moved = sum(part_of(name, parts) != part_of(name, parts + 1) for name in server_names)
    assert abs(moved - share * len(server_names)) < 5 * (len(server_names) * share * (1 - share)) ** 0.5


@given(name_sets, st.integers(1, 12), st.randoms())
def test_planners_are_assigned_evenly_regardless_of_their_order(
    drawn_names: set[str], parts: int, random: Random
) -> None:
    assigned = assign_planners(drawn_names, parts)
    shuffled = sorted(drawn_names)
    random.shuffle(shuffled)
    assert assign_planners(shuffled, parts) == assigned
    assert assigned.keys() == drawn_names
    count = Counter(assigned.values())
    part_sizes = [count[part] for part in range(parts)]
    assert max(part_sizes) - min(part_sizes) <= 1
    assert set(count) <= set(range(parts))


def test_an_additional_planner_moves_few_others() -> None:
    """With bounded loads, an additional planner can move others from part to part."""
    moved_counts = []
    for draw in range(20):
        planners = [f"planner-{draw}-{number}" for number in range(450)]
        before = assign_planners(planners, 30)
        after = assign_planners([*planners, "another"], 30)
        moved_counts.append(sum(before[name] != after[name] for name in planners))
    assert sum(moved_counts) / len(moved_counts) < 9
    assert max(moved_counts) < 18


@given(names, st.integers(2, 20), st.randoms())
def test_replicas_do_not_depend_on_the_order_of_relays(cell: str, count: int, random: Random) -> None:
    relays = list(generated_fleet.relays(count))
    replicas = relays_for_cell(cell, relays)
    random.shuffle(relays)
    assert relays_for_cell(cell, relays) == replicas
    assert len(set(replicas)) == 2
    assert set(relays_for_cell(cell, relays, count)) == set(relays)


@given(names, st.integers(3, 20), st.integers(0, 19))
def test_adding_or_removing_a_relay_moves_only_its_own_replicas(cell: str, count: int, position: int) -> None:
    relays = generated_fleet.relays(count)
    remaining = [relay for number, relay in enumerate(relays) if number != position % count]
    removed = relays[position % count]
    before = relays_for_cell(cell, relays)
    after = relays_for_cell(cell, remaining)
    if removed in before:
        assert len(set(before) & set(after)) == 1
    else:
        assert before == after


def test_discovery_addresses_contain_both_replicas_in_an_order_that_depends_on_the_planner() -> None:
    cell = PLAN.cells[0]
    first, second = (f"{relay.host}:20001" for relay in relays_for_cell("small", PLAN.relays))
    address_counts = Counter(discovery_addresses(PLAN, cell, f"planner-{number}") for number in range(1000))
    assert set(address_counts) == {f"{first},{second}", f"{second},{first}"}
    assert min(address_counts.values()) > 420  # half of 1000 less five standard deviations
