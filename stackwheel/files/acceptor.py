"""Decides which table files a reader applies: target, age, order, base and reservations. No I/O, no clock.

The newest version applied is remembered for each planner, zone and target; nothing at or below it is applied again,
also after the reader has restarted from its `ReaderMemory`. A delta holds all that changed since the complete update
that it names, so any delta applies without those between.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

import msgspec

from stackwheel.files.content import TableContent, content_of
from stackwheel.files.errors import FileRejectedError, Stage
from stackwheel.files.records import Count, FileVersion, Incarnation, Name, Reservation, TableUpdate, UnixMs

MAX_CLOCK_SKEW_MS = 5_000.0  # that a file may seem to come from the future: clocks differ
MAX_REMEMBERED_TARGETS = 64  # remembered by one reader; the one that was updated longest ago is forgotten first
MAX_REMEMBERED_RESERVATIONS = 10_000  # ids remembered; beyond it no reservation is accepted until some have expired
VERSION_LIFETIME_MS = 7 * 86_400_000.0  # that the version of a silent planner is remembered: no file is valid as long


class AppliedVersion(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"expires_at": "until", "applied_at": "at"},
):
    """The newest update applied for a target: its version, when it expires, when it was applied."""

    incarnation: Incarnation
    sequence: Count
    expires_at: UnixMs
    applied_at: UnixMs

    @property
    def version(self) -> FileVersion:
        """As in the update."""
        return FileVersion(self.incarnation, self.sequence)


class ReaderMemory(
    msgspec.Struct,
    forbid_unknown_fields=True,
    rename={"valid_since": "since", "applied": "marks", "reservations": "bookings"},
):
    """What a reader must not forget; it is saved before anything takes effect.

    Attributes:
        version: of the format.
        valid_since: when the memory was begun. What was made before may have taken effect unknown to it.
        applied: newest version by target key.
        reservations: ids that took effect, and when each expires.
    """

    version: Literal[1] = 1
    valid_since: UnixMs = 0.0
    applied: dict[Name, AppliedVersion] = {}
    reservations: dict[Name, UnixMs] = {}


@dataclass(slots=True)
class CurrentTables:
    """What one planner's updates for a target amount to.

    Attributes:
        update: the newest one applied.
        base: the complete one under it, or the same.
        content: the tables that result.
    """

    update: TableUpdate
    base: TableUpdate
    content: TableContent


@dataclass(frozen=True, slots=True)
class Acceptance:
    """An update that may be applied, and those of its reservations that have not taken effect yet."""

    current: CurrentTables
    reservations: tuple[Reservation, ...]


def target_key(update: TableUpdate) -> str:
    """The planner, zone and addressee of an update, as the memory's key."""
    return f"{update.planner}|{update.zone}|{'all' if update.proxy is None else update.proxy}"


class Acceptor:
    """Decides for one proxy.

    Attributes:
        zone: of the proxy.
        proxy: its number, or None for a reader that takes only what is for a whole zone.
        memory: outlives the process.
        current: tables by target key; they do not outlive the process.
    """

    def __init__(self, zone: str, proxy: int | None, memory: ReaderMemory | None = None) -> None:
        self.zone = zone
        self.proxy = proxy
        self.memory = memory or ReaderMemory()
        self.current: dict[str, CurrentTables] = {}

    def validate(self, update: TableUpdate, now: float) -> Acceptance | None:
        """What applying an update would mean; nothing changes yet.

        Args:
            update: a genuine one.
            now: Unix ms.

        Returns:
            None where that very update is applied already.

        Raises:
            FileRejectedError: it must not be applied.
        """
        self._check_target(update)
        _check_age(update, now)
        key = target_key(update)
        current = self.current.get(key)
        applied = self.memory.applied.get(key)
        if applied is not None:
            _check_order(update, applied)
            if update.version == applied.version and current is not None:
                return None
            # The same version without its content: a reader that restarted applies it once more.
        if update.complete:
            base = update
            content = content_of(update)
        else:
            base = _find_base(update, current)
            content = content_of(base, update)
        return Acceptance(CurrentTables(update, base, content), self._new_reservations(update, now))

    def record_applied(self, acceptance: Acceptance, now: float) -> ReaderMemory:
        """Count an update as applied.

        The memory has to be saved before any reservation takes effect: should the reader die between the two, the
        reservation is lost, and never taken twice.

        Returns:
            The memory to be saved.
        """
        update = acceptance.current.update
        key = target_key(update)
        self.current[key] = acceptance.current
        oldest = now - VERSION_LIFETIME_MS
        applied = {
            other: version
            for other, version in self.memory.applied.items()
            if other != key and version.applied_at > oldest
        }
        applied[key] = AppliedVersion(update.incarnation, update.sequence, update.expires_at, now)
        excess = max(0, len(applied) - MAX_REMEMBERED_TARGETS)
        for forgotten in list(applied)[:excess]:
            del applied[forgotten]
            self.current.pop(forgotten, None)
        reservations = {name: expires_at for name, expires_at in self.memory.reservations.items() if expires_at > now}
        reservations.update((reservation.id, reservation.expires_at) for reservation in acceptance.reservations)
        self.memory = ReaderMemory(1, self.memory.valid_since, applied, reservations)
        return self.memory

    def forget_expired(self, now: float, grace: float) -> list[str]:
        """Forget tables that expired `grace` ms ago; the keys of these. No actor calls this yet."""
        expired = [key for key, current in self.current.items() if current.update.expires_at + grace <= now]
        for key in expired:
            del self.current[key]
        return expired

    def _check_target(self, update: TableUpdate) -> None:
        if update.zone != self.zone or update.proxy not in (None, self.proxy):
            raise FileRejectedError(Stage.TARGET, f"for zone {update.zone}, proxy {update.proxy}")

    def _new_reservations(self, update: TableUpdate, now: float) -> tuple[Reservation, ...]:
        """Those that may take effect: unknown, unexpired, not from before the memory, and within its capacity."""
        known = self.memory.reservations
        found = tuple(
            reservation
            for reservation in update.reservations
            if reservation.id not in known
            and reservation.expires_at > now
            and reservation.created_at >= self.memory.valid_since
        )
        return found[: max(0, MAX_REMEMBERED_RESERVATIONS - len(known))]


def _check_age(update: TableUpdate, now: float) -> None:
    if update.created_at > now + MAX_CLOCK_SKEW_MS:
        ahead_s = (update.created_at - now) / 1000.0
        raise FileRejectedError(Stage.AGE, f"made {ahead_s:.1f} s from now")
    if update.expires_at <= now:
        expired_s = (now - update.expires_at) / 1000.0
        raise FileRejectedError(Stage.AGE, f"its time was over {expired_s:.1f} s ago")


def _check_order(update: TableUpdate, applied: AppliedVersion) -> None:
    if update.version >= applied.version:
        return
    if update.incarnation != applied.incarnation:
        raise FileRejectedError(Stage.ORDER, f"of an earlier life of {update.planner} than the one applied")
    raise FileRejectedError(Stage.ORDER, f"number {update.sequence}, {applied.sequence} is applied")


def _find_base(update: TableUpdate, current: CurrentTables | None) -> TableUpdate:
    """The complete update that a delta builds on."""
    if current is None:
        raise FileRejectedError(Stage.BASE, f"changes whole file {update.base_sequence}, and none is held")
    base = current.base
    if base.incarnation != update.incarnation or base.sequence != update.base_sequence:
        raise FileRejectedError(Stage.BASE, f"changes whole file {update.base_sequence}, {base.sequence} is held")
    return base
