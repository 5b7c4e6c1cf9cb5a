"""Many seeds: results do not hang on the number of processes."""

from __future__ import annotations

from stackwheel.trials.runner import Summary, run_seeds


def summary_of(jobs: int) -> Summary:
    summary = Summary()
    for result in run_seeds(range(20, 32), jobs):
        summary.add(result)
    return summary


def test_results_are_the_same_over_any_number_of_processes() -> None:
    one = summary_of(jobs=1)
    three = summary_of(jobs=3)
    assert one.hasher.hexdigest() == three.hasher.hexdigest()
    assert one.seeds == three.seeds == 12
