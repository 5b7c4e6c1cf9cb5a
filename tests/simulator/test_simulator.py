"""The adapter as its users start it: a process on two pipes."""

import os
import struct
import subprocess
import sys
from pathlib import Path

import pytest
import simulator_frames

ROOT = Path(__file__).parents[2]


def run(data: bytes, hash_seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    return subprocess.run(
        [sys.executable, "-m", "stackwheel.simulator"],
        input=data,
        capture_output=True,
        cwd=ROOT,
        env=env,
        timeout=60,
        check=False,
    )


def test_a_day_is_answered_batch_by_batch() -> None:
    done = run(b"".join(simulator_frames.day(0)))
    assert done.returncode == 0 and done.stderr == b""
    answers = simulator_frames.replies(done.stdout)
    assert [number for number, _ in answers] == list(range(1, 12))
    codes = {record[0] for _, records in answers for record in records}
    assert {65, 70, 72, 75, 76} <= codes  # timer, subscription, lines, tables and levels
    assert 69 not in codes


def test_end_of_input_is_no_error() -> None:
    done = run(b"")
    assert (done.returncode, done.stdout, done.stderr) == (0, b"", b"")


def test_same_actions_with_any_hash_seed() -> None:
    data = b"".join(simulator_frames.day(0, 1, 2))
    assert run(data, "1").stdout == run(data, "4711").stdout


def test_instances_share_nothing() -> None:
    """Each instance acts in company as it acts alone."""
    together = simulator_frames.replies(run(b"".join(simulator_frames.day(0, 1, 2))).stdout)
    for instance in (0, 1, 2):
        alone = simulator_frames.replies(run(b"".join(simulator_frames.day(instance))).stdout)
        mine = [(n, [r for r in rs if struct.unpack_from(">H", r, 5)[0] == instance]) for n, rs in together]
        assert mine == alone
        assert any(records for _, records in mine)


def test_a_killed_instance_is_silent_and_starts_anew() -> None:
    down = simulator_frames.record(6, struct.pack(">H", 0))
    tail = [
        simulator_frames.batch(20000.0, 50, down, simulator_frames.create(0), simulator_frames.directory(0)),
        simulator_frames.batch(20100.0, 51),
    ]
    answers = dict(simulator_frames.replies(run(b"".join(simulator_frames.day(0) + tail)).stdout))
    assert [r[0] for r in answers[50]] == [70, 67, 65]  # subscribes, tells that it has no proxies, sets its timer
    assert answers[51] == []


@pytest.mark.parametrize(
    ("data", "says"),
    [
        (b"\0" * 7, b"inside a header"),
        (simulator_frames.batch(1.0, 1, simulator_frames.reminder(1))[:-3], b"inside a batch"),
        (struct.pack(">dIII", 1.0, 0xFFFFFFFF, 1, 1), b"over the"),
        (simulator_frames.batch(1.0, 1, simulator_frames.record(98, b"")), b"unknown event code 98"),
        (simulator_frames.batch(1.0, 1, simulator_frames.reminder(1)), b"unknown instance 0"),
        (simulator_frames.batch(1.0, 1, simulator_frames.create(settings="instances=many")), b"instances is no number"),
    ],
)
def test_malformed_input_gets_one_plain_line(data: bytes, says: bytes) -> None:
    good = simulator_frames.batch(0.0, 0)
    done = run(good + data)
    assert done.returncode != 0
    assert says in done.stderr and done.stderr.count(b"\n") == 1 and b"Traceback" not in done.stderr
    assert [number for number, _ in simulator_frames.replies(done.stdout)] == [0]  # no half-written reply


def test_policy_exception_becomes_the_fault_action(monkeypatch: pytest.MonkeyPatch) -> None:
    from stackwheel.policy.planner import Planner
    from stackwheel.simulator.host import Host

    def broken(*_: object) -> None:
        raise KeyError("table")

    monkeypatch.setattr(Planner, "handle", broken)
    frame = simulator_frames.batch(0.0, 7, simulator_frames.create())
    ((number, (record,)),) = simulator_frames.replies(Host().answer(frame[:20], frame[20:]))
    assert number == 7 and record[0] == 69 and b"KeyError" in record
