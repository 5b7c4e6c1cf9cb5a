"""Searches for the first seed on which a deliberate defect is detected."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from stackwheel.rules.violations import Rule
from stackwheel.trials.defects.catalogue import find_defect
from stackwheel.trials.defects.files import FILE_DEFECTS
from stackwheel.trials.defects.planting import Defect, planted
from stackwheel.trials.defects.relay import RELAY_DEFECTS
from stackwheel.trials.runner import SeedResult, ignore_interrupts, run_seed

NO_SEED = -1


@dataclass(frozen=True, slots=True)
class SearchResult:
    """Result of the search for a defect.

    Attributes:
        defect: Name of the defect.
        seeds_run: Number of seeds run with the defect, including the one that detected it.
        seed: The seed that detected it, or `NO_SEED`.
        rule: The broken rule, or None if no seed detected the defect.
    """

    defect: str
    seeds_run: int
    seed: int
    rule: Rule | None


def detecting_rules(defect: Defect, result: SeedResult) -> set[Rule]:
    """Return the expected rules of a defect that a run broke."""
    return {verdict.rule for verdict in result.verdicts if verdict.rule in defect.expected_rules}


def search(name: str, seeds: Sequence[int]) -> SearchResult:
    """Run seeds until one breaks an expected rule with the defect, but not without it."""
    defect = find_defect(name)
    assert defect is not None, name
    files = defect in FILE_DEFECTS
    relays = defect in RELAY_DEFECTS
    for count, seed in enumerate(seeds, 1):
        with planted(defect):
            broken_with_defect = detecting_rules(defect, run_seed(seed, files, relays))
        if not broken_with_defect:
            continue
        broken_without_defect = {verdict.rule for verdict in run_seed(seed, files, relays).verdicts}
        broken_only_with_defect = broken_with_defect - broken_without_defect
        if broken_only_with_defect:
            return SearchResult(name, count, seed, min(broken_only_with_defect))
    return SearchResult(name, len(seeds), NO_SEED, None)


def search_all(names: Sequence[str], seeds: Sequence[int], jobs: int) -> Iterator[SearchResult]:
    """Search for each defect in worker processes, and yield the results in the order of the names."""
    with ProcessPoolExecutor(jobs, initializer=ignore_interrupts) as pool:
        yield from pool.map(search, names, [seeds] * len(names))
