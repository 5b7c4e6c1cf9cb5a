"""Runs many seeds in parallel processes and yields their results in the order of the seeds."""

from __future__ import annotations

import hashlib
import os
import signal
import time
import traceback
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass, field

from stackwheel.rules.violations import Rule, Violation
from stackwheel.trials.draw import draw
from stackwheel.trials.script import Script
from stackwheel.trials.simulation import run_script

CHUNK_SEEDS = 8
# Ctrl-C waits for submitted chunks that can no longer be cancelled.
MAX_SUBMITTED_CHUNKS_PER_PROCESS = 4
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class SeedResult:
    """Result of one seed, small enough to pass between processes.

    Attributes:
        seed: The seed.
        digest: Hash of all events of the run; empty if the trial itself failed.
        verdicts: Violations of rules.
        virtual_seconds: Duration of the run in virtual time.
        cpu_seconds: CPU time of the run.
        service: Value of the answered requests as a share of the value of all requests.
        requests: Number of requests, including clients' retries.
        callbacks_run: Callbacks that the virtual loop has run.
        error: Traceback if the trial itself failed, otherwise empty.
    """

    seed: int
    digest: str
    verdicts: tuple[Violation, ...]
    virtual_seconds: float
    cpu_seconds: float
    service: float
    requests: int
    callbacks_run: int
    error: str = ""


@dataclass(slots=True)
class Summary:
    """Totals of the results so far.

    Attributes:
        seeds: Number of results.
        wall_seconds: Duration of the whole run, set by the caller.
        service: Mean of the results' `service`.
        broken: Results with a violation or an error.
        hasher: Hash of all seeds and their digests.
    """

    seeds: int = 0
    virtual_seconds: float = 0.0
    cpu_seconds: float = 0.0
    wall_seconds: float = 0.0
    requests: int = 0
    callbacks_run: int = 0
    service: float = 0.0
    broken: list[SeedResult] = field(default_factory=list)
    hasher: hashlib.blake2b = field(default_factory=lambda: hashlib.blake2b(digest_size=DIGEST_BYTES))

    def add(self, result: SeedResult) -> None:
        """Add the result of the next seed; the digest depends on the order."""
        self.seeds += 1
        self.virtual_seconds += result.virtual_seconds
        self.cpu_seconds += result.cpu_seconds
        self.requests += result.requests
        self.callbacks_run += result.callbacks_run
        self.service += (result.service - self.service) / self.seeds
        self.hasher.update(f"{result.seed}:{result.digest}\n".encode())
        if result.verdicts or result.error:
            self.broken.append(result)

    def document(self) -> dict[str, object]:
        """Return the summary in the form that `--json` prints."""
        broken: list[dict[str, object]] = [
            {"seed": result.seed, "rule": verdict.rule.value, "at": round(verdict.at / 1000.0, 3)}
            for result in self.broken
            for verdict in result.verdicts
        ]
        broken += [
            {"seed": result.seed, "rule": "the trial itself failed", "at": 0.0}
            for result in self.broken
            if result.error
        ]
        return {
            "seeds": self.seeds,
            "broken": broken,
            "virtual_seconds": round(self.virtual_seconds, 3),
            "seconds": round(self.wall_seconds, 3),
            "digest": self.hasher.hexdigest(),
        }


def run_seed(seed: int, files: bool = False, relays: bool = False) -> SeedResult:
    """Draw the script of a seed and run it."""
    return run_one(draw(seed, files, relays))


def run_one(script: Script) -> SeedResult:
    """Run a script; an exception of the trial itself becomes the `error` of the result."""
    started_at = time.process_time()
    try:
        result = run_script(script)
    except Exception:
        elapsed_cpu_s = time.process_time() - started_at
        return SeedResult(script.seed, "", (), 0.0, elapsed_cpu_s, 0.0, 0, 0, traceback.format_exc())
    return SeedResult(
        script.seed,
        result.digest,
        tuple(result.verdicts),
        result.virtual_seconds,
        time.process_time() - started_at,
        result.service,
        result.requests,
        result.callbacks_run,
    )


def run_chunk(seeds: Sequence[int]) -> list[SeedResult]:
    """Run seeds with scripts that use streams and no relays."""
    return [run_seed(seed) for seed in seeds]


def run_file_chunk(seeds: Sequence[int]) -> list[SeedResult]:
    """Run seeds with scripts in which proxies receive files."""
    return [run_seed(seed, files=True) for seed in seeds]


def run_relay_chunk(seeds: Sequence[int]) -> list[SeedResult]:
    """Run seeds with scripts that use relays."""
    return [run_seed(seed, relays=True) for seed in seeds]


def ignore_interrupts() -> None:
    """Ignore SIGINT in a worker process; Ctrl-C reaches all processes of the terminal, and the main one handles it."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def run_seeds(
    seeds: Sequence[int],
    jobs: int,
    chunk_runner: Callable[[Sequence[int]], list[SeedResult]] = run_chunk,
) -> Iterator[SeedResult]:
    """Yield the results of seeds in the order of the seeds, as soon as they are available.

    Closing the generator early cancels pending chunks and waits until all worker processes have ended.

    Args:
        seeds: The seeds to run.
        jobs: Number of processes; with 1, seeds run in the calling process.
        chunk_runner: Function that runs several seeds in a worker process.
    """
    if jobs <= 1 or len(seeds) <= 1:
        for seed in seeds:
            yield from chunk_runner([seed])
        return
    chunks = [seeds[start : start + CHUNK_SEEDS] for start in range(0, len(seeds), CHUNK_SEEDS)]
    pool = ProcessPoolExecutor(jobs, initializer=ignore_interrupts)
    pending: dict[Future[list[SeedResult]], int] = {}
    completed: dict[int, list[SeedResult]] = {}
    submitted = 0
    yielded = 0
    try:
        while yielded < len(chunks):
            while submitted < len(chunks) and len(pending) < MAX_SUBMITTED_CHUNKS_PER_PROCESS * jobs:
                pending[pool.submit(chunk_runner, chunks[submitted])] = submitted
                submitted += 1
            for future in wait(pending, return_when=FIRST_COMPLETED).done:
                completed[pending.pop(future)] = future.result()
            while yielded in completed:
                yield from completed.pop(yielded)
                yielded += 1
    finally:
        pool.shutdown(wait=True, cancel_futures=True)


def default_jobs() -> int:
    """Return the number of CPU cores."""
    return os.cpu_count() or 1


def group_by_rule(results: Sequence[SeedResult]) -> dict[Rule, list[SeedResult]]:
    """Return the results that broke each rule, with rules in the order of their first violation."""
    groups: dict[Rule, list[SeedResult]] = {}
    for result in results:
        for rule in dict.fromkeys(verdict.rule for verdict in result.verdicts):
            groups.setdefault(rule, []).append(result)
    return groups
