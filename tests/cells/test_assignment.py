"""Which cell a server belongs to, and which relays serve it: the same everywhere, evenly, moving no more than it must."""

from __future__ import annotations

import pytest

from stackwheel.cells.assignment import CellIndex, service_of
from stackwheel.cells.plan import Cell, Limits, Plan, Relay

PLAN = Plan(
    1,
    Limits(),
    {"zone-0": "east", "zone-1": "west"},
    (Relay("relay-0", "127.0.1.1"), Relay("relay-1", "127.0.1.2"), Relay("relay-2", "127.0.1.3")),
    (
        Cell("small", "small", (), 0, 1, 20001),
        Cell("large.east.0", "large", ("east",), 0, 2, 20002),
        Cell("large.east.1", "large", ("east",), 1, 2, 20003),
    ),
)


@pytest.mark.parametrize(
    ("name", "service"),
    [("billing-5be2a07c", "billing"), ("svc-0001-7", "svc-0001"), ("alone", "alone"), ("-7", "-7"), ("a-", "a")],
)
def test_a_service_is_the_name_up_to_the_last_hyphen(name: str, service: str) -> None:
    assert service_of(name) == service


def test_a_server_belongs_to_the_cell_of_its_service_region_and_part() -> None:
    index = CellIndex(PLAN)
    assert index.cell_of("small-1", "zone-1") is PLAN.cells[0]
    assert {index.cell_of(f"large-{n}", "zone-0") for n in range(50)} == set(PLAN.cells[1:])
    assert index.cell_of("large-1", "zone-1") is None and index.cell_of("other-1", "zone-0") is None
    assert index.cell_of("large-1", "nowhere") is None
    assert index.cell_of("small-1", "nowhere") is PLAN.cells[0]
