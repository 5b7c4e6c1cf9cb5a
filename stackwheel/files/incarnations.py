"""Chooses the incarnation of a planner that starts, without any disk of its own."""

from __future__ import annotations

from collections.abc import Iterable

from stackwheel.files.records import Incarnation


def next_incarnation(now: float, salt: int, seen: Iterable[Incarnation], epoch: int = 0) -> Incarnation:
    """An incarnation later than all known ones of the planner's own name.

    Incarnations order by fencing epoch, then clock, then salt. A planner without a disk learns its earlier ones from
    its own files and from the status files of its readers; a clock that was stepped back, or two starts within one
    millisecond, then do no harm. With neither kind of file in reach a stepped clock does: the planner's files are
    rejected until its clock has caught up or a status file has been read.

    Args:
        now: Unix ms.
        salt: a random number.
        seen: the known earlier incarnations.
        epoch: the operators' fencing token, 0 where there is none.
    """
    latest = max(seen, default=None)
    started = int(now)
    if latest is not None and (epoch, started, salt) <= (latest.epoch, latest.started, latest.salt):
        epoch = max(epoch, latest.epoch)
        started = latest.started + 1
    return Incarnation(epoch, started, salt)
