"""Many seeds over the cores: results in the order of the seeds, whatever order they come in."""

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

CHUNK_SEEDS = 8  # that a process takes at once
CHUNKS_AHEAD = 4  # handed out for each process: what Ctrl-C has to wait for at most
DIGEST_BYTES = 16


@dataclass(frozen=True, slots=True)
class SeedResult:
    """One seed's verdicts, short enough to pass between processes.

    Attributes:
        virtual_seconds: How long the run was, on its own clock.
        cpu_seconds: What it took.
        service: Value answered over value requested.
        error: The traceback where the trial itself failed.
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
    """All that came of a run so far; `service` is a mean."""

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
        """Add the result of the next seed."""
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
        """The object that `--json` ends with."""
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
    """Run the script that is drawn from a seed."""
    return run_one(draw(seed, files, relays))


def run_one(script: Script) -> SeedResult:
    """Run a script; an exception of the trial itself is part of the result."""
    began = time.process_time()
    try:
        result = run_script(script)
    except Exception:
        took = time.process_time() - began
        return SeedResult(script.seed, "", (), 0.0, took, 0.0, 0, 0, traceback.format_exc())
    return SeedResult(
        script.seed,
        result.digest,
        tuple(result.verdicts),
        result.virtual_seconds,
        time.process_time() - began,
        result.service,
        result.requests,
        result.callbacks_run,
    )


def run_chunk(seeds: Sequence[int]) -> list[SeedResult]:
    """Run seeds with the usual scripts."""
    return [run_seed(seed) for seed in seeds]


def run_file_chunk(seeds: Sequence[int]) -> list[SeedResult]:
    """Run seeds with the scripts for files."""
    return [run_seed(seed, files=True) for seed in seeds]


def run_relay_chunk(seeds: Sequence[int]) -> list[SeedResult]:
    """Run seeds with the scripts for relays."""
    return [run_seed(seed, relays=True) for seed in seeds]


def ignore_interrupts() -> None:
    """Ctrl-C goes to every process of the terminal; the first one decides."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def run_seeds(
    seeds: Sequence[int],
    jobs: int,
    chunk: Callable[[Sequence[int]], list[SeedResult]] = run_chunk,
) -> Iterator[SeedResult]:
    """Yield results as they come, in order; closing it early leaves no process behind."""
    if jobs <= 1 or len(seeds) <= 1:
        for seed in seeds:
            yield from chunk([seed])
        return
    chunks = [seeds[at : at + CHUNK_SEEDS] for at in range(0, len(seeds), CHUNK_SEEDS)]
    pool = ProcessPoolExecutor(jobs, initializer=ignore_interrupts)
    running: dict[Future[list[SeedResult]], int] = {}
    done: dict[int, list[SeedResult]] = {}
    submitted = 0
    yielded = 0
    try:
        while yielded < len(chunks):
            while submitted < len(chunks) and len(running) < CHUNKS_AHEAD * jobs:
                running[pool.submit(chunk, chunks[submitted])] = submitted
                submitted += 1
            for future in wait(running, return_when=FIRST_COMPLETED).done:
                done[running.pop(future)] = future.result()
            while yielded in done:
                yield from done.pop(yielded)
                yielded += 1
    finally:
        pool.shutdown(wait=True, cancel_futures=True)


def default_jobs() -> int:
    """As many processes as cores."""
    return os.cpu_count() or 1


def group_by_rule(results: Sequence[SeedResult]) -> dict[Rule, list[SeedResult]]:
    """The results that broke each rule, in the order in which rules come up."""
    groups: dict[Rule, list[SeedResult]] = {}
    for result in results:
        for rule in dict.fromkeys(verdict.rule for verdict in result.verdicts):
            groups.setdefault(rule, []).append(result)
    return groups
