"""Tests of the simulator adapter as a process that communicates over standard input and output."""

import os
import struct
import subprocess
import sys
from pathlib import Path

import pytest
import simulator_frames

from stackwheel.policy.planner import Planner
from stackwheel.simulator.host import Host
from stackwheel.simulator.wire import ActionCode, EventCode

REPOSITORY_ROOT = Path(__file__).parents[2]


def run(data: bytes, hash_seed: str = "0") -> subprocess.CompletedProcess[bytes]:
    env = {**os.environ, "PYTHONHASHSEED": hash_seed}
    return subprocess.run(
        [sys.executable, "-m", "stackwheel.simulator"],
        input=data,
        capture_output=True,
        cwd=REPOSITORY_ROOT,
        env=env,
        timeout=60,
        check=False,
    )


def test_each_batch_gets_one_reply() -> None:
    completed = run(b"".join(simulator_frames.scripted_batches(0)))
    assert completed.returncode == 0
    assert completed.stderr == b""
    replies = simulator_frames.split_replies(completed.stdout)
    assert [reply.batch_number for reply in replies] == list(range(1, 12))
    codes = {record[0] for reply in replies for record in reply.records}
    assert {
        ActionCode.SET_TIMER,
        ActionCode.WATCH_ENDPOINTS,
        ActionCode.SET_WEIGHT,
        ActionCode.ASSIGN_TABLE,
        ActionCode.SET_ADMISSION,
    } <= codes
    assert ActionCode.FAULT not in codes


def test_end_of_input_is_not_an_error() -> None:
    completed = run(b"")
    assert (completed.returncode, completed.stdout, completed.stderr) == (0, b"", b"")


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    data = b"".join(simulator_frames.scripted_batches(0, 1, 2))
    assert run(data, "1").stdout == run(data, "4711").stdout


def instance_of(record: bytes) -> int:
    instance: int = struct.unpack_from(">H", record, simulator_frames.RECORD_HEADER_BYTES)[0]
    return instance


def test_an_instance_acts_the_same_alone_and_beside_others() -> None:
    """Instances in one process must not share state."""
    together = simulator_frames.split_replies(run(b"".join(simulator_frames.scripted_batches(0, 1, 2))).stdout)
    for instance in (0, 1, 2):
        alone = simulator_frames.split_replies(run(b"".join(simulator_frames.scripted_batches(instance))).stdout)
        selected = [(number, [r for r in records if instance_of(r) == instance]) for number, records in together]
        assert selected == alone
        assert any(records for _, records in selected)


def test_a_stopped_instance_sends_nothing_and_can_restart() -> None:
    stop = simulator_frames.record(EventCode.STOP_PLANNER, struct.pack(">H", 0))
    last_batches = [
        simulator_frames.batch(
            20000.0, 50, stop, simulator_frames.create_planner(0), simulator_frames.endpoint_update(0)
        ),
        simulator_frames.batch(20100.0, 51),
    ]
    replies = dict(
        simulator_frames.split_replies(run(b"".join(simulator_frames.scripted_batches(0) + last_batches)).stdout)
    )
    codes = [record[0] for record in replies[50]]
    assert codes == [ActionCode.WATCH_ENDPOINTS, ActionCode.SEND_GOSSIP, ActionCode.SET_TIMER]
    assert replies[51] == []


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (b"\0" * 7, b"inside a header"),
        (simulator_frames.batch(1.0, 1, simulator_frames.timer_fired(1))[:-3], b"inside a batch"),
        (struct.pack(">dIII", 1.0, 0xFFFFFFFF, 1, 1), b"over the"),
        (simulator_frames.batch(1.0, 1, simulator_frames.record(98, b"")), b"unknown event code 98"),
        (simulator_frames.batch(1.0, 1, simulator_frames.timer_fired(1)), b"unknown instance 0"),
        (
            simulator_frames.batch(1.0, 1, simulator_frames.create_planner(settings="instances=many")),
            b"instances: not a number: 'many'",
        ),
    ],
)
def test_malformed_input_ends_the_process_with_one_line_on_stderr(data: bytes, message: bytes) -> None:
    empty_batch = simulator_frames.batch(0.0, 0)
    completed = run(empty_batch + data)
    assert completed.returncode != 0
    assert message in completed.stderr
    assert completed.stderr.count(b"\n") == 1
    assert b"Traceback" not in completed.stderr
    replies = simulator_frames.split_replies(completed.stdout)
    assert [reply.batch_number for reply in replies] == [0]  # no partial reply


def test_a_policy_exception_becomes_a_fault_record(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_key_error(*_: object) -> None:
        raise KeyError("table")

    monkeypatch.setattr(Planner, "handle", raise_key_error)
    data = simulator_frames.batch(0.0, 7, simulator_frames.create_planner())
    ((number, (record,)),) = simulator_frames.split_replies(Host().reply_to(simulator_frames.frame_of(data)))
    assert number == 7
    assert record[0] == ActionCode.FAULT
    assert b"KeyError" in record
