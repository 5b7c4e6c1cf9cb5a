"""Chooses the incarnation of a starting planner that has no persistent storage."""

from __future__ import annotations

from collections.abc import Iterable

from stackwheel.files.records import Incarnation


def next_incarnation(now: float, salt: int, seen: Iterable[Incarnation], epoch: int = 0) -> Incarnation:
    """Return an incarnation later than all known ones of the same planner.

    Incarnations are ordered by fencing epoch, start time and salt. The caller finds earlier incarnations in the
    planner's table files and in the status files of its readers, so that clock steps and starts within the same
    millisecond are harmless. If no such file is accessible after the clock was stepped back, readers reject the
    planner's files until its clock has caught up or a status file has been read.

    Args:
        now: current time, Unix ms.
        salt: random number.
        seen: known earlier incarnations of the planner.
        epoch: fencing token that the operators assign; 0 for none.
    """
    latest = max(seen, default=None)
    started = int(now)
    if latest is not None and (epoch, started, salt) <= (latest.epoch, latest.started, latest.salt):
        epoch = max(epoch, latest.epoch)
        started = latest.started + 1
    return Incarnation(epoch, started, salt)
