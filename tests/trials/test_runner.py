"""Runs of many seeds in parallel processes."""

from __future__ import annotations

from stackwheel.trials.runner import Summary, run_seeds


def summary_of(jobs: int) -> Summary:
    summary = Summary()
    for result in run_seeds(range(20, 32), jobs):
        summary.add(result)
    return summary


def test_results_do_not_depend_on_the_number_of_processes() -> None:
    one_process = summary_of(jobs=1)
    three_processes = summary_of(jobs=3)
    assert one_process.hasher.hexdigest() == three_processes.hasher.hexdigest()
    assert one_process.seeds == three_processes.seeds == 12
