"""How many seeds it takes until one shows a deliberate defect."""

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
    """How many seeds it took to find a defect.

    Attributes:
        defect: The defect's name.
        seeds_run: Seeds run with the defect, the one that showed it included.
        seed: The seed that showed it, or `NO_SEED`.
        rule: The rule that broke, or None where no seed showed the defect.
    """

    defect: str
    seeds_run: int
    seed: int
    rule: Rule | None


def detecting_rules(defect: Defect, result: SeedResult) -> set[Rule]:
    """Return the broken rules of a run that show the defect."""
    return {verdict.rule for verdict in result.verdicts if verdict.rule in defect.expected_rules}


def search(name: str, seeds: Sequence[int]) -> SearchResult:
    """Try seeds until one breaks a rule with the defect that it keeps without it."""
    defect = find_defect(name)
    assert defect is not None, name
    files = defect in FILE_DEFECTS
    relays = defect in RELAY_DEFECTS
    for count, seed in enumerate(seeds, 1):
        with planted(defect):
            showing = detecting_rules(defect, run_seed(seed, files, relays))
        if not showing:
            continue
        broken_anyway = {verdict.rule for verdict in run_seed(seed, files, relays).verdicts}
        broken_by_defect = showing - broken_anyway
        if broken_by_defect:
            return SearchResult(name, count, seed, min(broken_by_defect))
    return SearchResult(name, len(seeds), NO_SEED, None)


def search_all(names: Sequence[str], seeds: Sequence[int], jobs: int) -> Iterator[SearchResult]:
    """Search for each defect in a process of its own; results come in the order of the names."""
    with ProcessPoolExecutor(jobs, initializer=ignore_interrupts) as pool:
        yield from pool.map(search, names, [seeds] * len(names))
