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
from stackwheel.trials.world import run_script

CHUNK = 8  # seeds that a process takes at once
AHEAD = 4  # chunks handed out for each process: what Ctrl-C has to wait for at most


@dataclass(frozen=True, slots=True)
class SeedResult:
    """One seed's verdicts, short enough to pass between processes."""

    seed: int
    digest: str
    verdicts: tuple[Violation, ...]
    virtual_seconds: float
    cpu: float  # s that it took
    service: float
    requests: int
    steps: int
    fault: str = ""  # the trial itself failed


@dataclass(slots=True)
class Summary:
    """All that came of a run so far."""

    seeds: int = 0
    virtual_seconds: float = 0.0
    cpu: float = 0.0
    seconds: float = 0.0
    requests: int = 0
    steps: int = 0
    service: float = 0.0  # mean
    broken: list[SeedResult] = field(default_factory=list)
    hasher: hashlib.blake2b = field(default_factory=lambda: hashlib.blake2b(digest_size=16))

    def add(self, result: SeedResult) -> None:
        self.seeds += 1
        self.virtual_seconds += result.virtual_seconds
        self.cpu += result.cpu
        self.requests += result.requests
        self.steps += result.steps
        self.service += (result.service - self.service) / self.seeds
        self.hasher.update(f"{result.seed}:{result.digest}\n".encode())
        if result.verdicts or result.fault:
            self.broken.append(result)

    def document(self) -> dict[str, object]:
        """The object that `--json` ends with."""
        return {
            "seeds": self.seeds,
            "broken": [
                {"seed": r.seed, "rule": v.rule.value, "at": round(v.at / 1000.0, 3)}
                for r in self.broken
                for v in r.verdicts
            ]
            + [{"seed": r.seed, "rule": "the trial itself failed", "at": 0.0} for r in self.broken if r.fault],
            "virtual_seconds": round(self.virtual_seconds, 3),
            "seconds": round(self.seconds, 3),
            "digest": self.hasher.hexdigest(),
        }


def run_seed(seed: int, files: bool = False, relays: bool = False) -> SeedResult:
    return run_one(draw(seed, files, relays))


def run_one(script: Script) -> SeedResult:
    began = time.process_time()
    try:
        found = run_script(script)
    except Exception:
        return SeedResult(script.seed, "", (), 0.0, time.process_time() - began, 0.0, 0, 0, traceback.format_exc())
    return SeedResult(
        script.seed,
        found.digest,
        tuple(found.verdicts),
        found.virtual_seconds,
        time.process_time() - began,
        found.service,
        found.requests,
        found.steps,
    )


def run_chunk(seeds: Sequence[int]) -> list[SeedResult]:
    return [run_seed(seed) for seed in seeds]


def run_file_chunk(seeds: Sequence[int]) -> list[SeedResult]:
    return [run_seed(seed, files=True) for seed in seeds]


def run_relay_chunk(seeds: Sequence[int]) -> list[SeedResult]:
    return [run_seed(seed, relays=True) for seed in seeds]


def leave_interrupts() -> None:
    """Ctrl-C goes to every process of the terminal; the first one decides."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def run_seeds(
    seeds: Sequence[int],
    jobs: int,
    chunk: Callable[[Sequence[int]], list[SeedResult]] = run_chunk,
) -> Iterator[SeedResult]:
    """Results as they come, in order; closing it early leaves no process behind."""
    if jobs <= 1 or len(seeds) <= 1:
        for seed in seeds:
            yield from chunk([seed])
        return
    chunks = [seeds[at : at + CHUNK] for at in range(0, len(seeds), CHUNK)]
    pool = ProcessPoolExecutor(jobs, initializer=leave_interrupts)
    under_way: dict[Future[list[SeedResult]], int] = {}
    done: dict[int, list[SeedResult]] = {}
    handed = given = 0
    try:
        while given < len(chunks):
            while handed < len(chunks) and len(under_way) < AHEAD * jobs:
                under_way[pool.submit(chunk, chunks[handed])] = handed
                handed += 1
            for future in wait(under_way, return_when=FIRST_COMPLETED).done:
                done[under_way.pop(future)] = future.result()
            while given in done:
                yield from done.pop(given)
                given += 1
    finally:
        pool.shutdown(wait=True, cancel_futures=True)


def default_jobs() -> int:
    return os.cpu_count() or 1


def by_rule(results: Sequence[SeedResult]) -> dict[Rule, list[SeedResult]]:
    found: dict[Rule, list[SeedResult]] = {}
    for result in results:
        for rule in dict.fromkeys(v.rule for v in result.verdicts):
            found.setdefault(rule, []).append(result)
    return found
