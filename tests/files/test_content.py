"""Tests that a complete update and a delta result in the content that the delta was built for."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from stackwheel.files.content import TableContent, delta_tables, resulting_content
from stackwheel.files.records import Incarnation, TableLevel, TableUpdate, WeightTable

INCARNATION = Incarnation(0, 1000, 5)
NOW = 10_000.0
LINES = st.dictionaries(st.sampled_from("abcd"), st.sampled_from([0.5, 1.0, 2.0]), max_size=4)
CONTENT = st.builds(
    TableContent,
    st.fixed_dictionaries({"read": LINES, "book": LINES}),
    st.fixed_dictionaries(
        {"read": st.sampled_from([None, TableLevel(0.5, 1)]), "book": st.sampled_from([None, TableLevel(0.9, 1)])}
    ),
    st.just(()),
)


def update(sequence: int, tables: tuple[WeightTable, ...], base_sequence: int | None = None) -> TableUpdate:
    return TableUpdate(
        "n0", INCARNATION, sequence, NOW, NOW + 20_000.0, "east", base_sequence=base_sequence, tables=tables
    )


@settings(max_examples=200, deadline=None)
@given(CONTENT, CONTENT)
def test_a_complete_update_and_a_delta_result_in_the_new_content(old: TableContent, new: TableContent) -> None:
    base = update(1, tuple(WeightTable(name, old.tables[name], old.levels[name]) for name in old.tables))
    content = resulting_content(base, update(2, delta_tables(base, new), base_sequence=1))
    assert content.tables == new.tables
    assert {name: content.levels.get(name) for name in new.levels} == new.levels
