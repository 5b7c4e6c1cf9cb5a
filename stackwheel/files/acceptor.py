"""Decides which table updates a reader applies, without I/O or a clock of its own.

Checks the target, age, order and base of each update, and selects the reservations that may take effect. The newest
applied version is stored per planner, zone and target in `ReaderMemory`. Older versions are rejected, also after a
restart of the reader. A delta contains all changes since the complete update that it names, so it can be applied
without the deltas before it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

import msgspec

from stackwheel.files.content import TableContent, resulting_content
from stackwheel.files.errors import FileRejectedError, Stage
from stackwheel.files.records import Count, FileVersion, Incarnation, Milliseconds, Name, Reservation, TableUpdate

MAX_CLOCK_SKEW_MS = 5_000.0
MAX_TARGETS = 64  # the least recently updated target is evicted first
MAX_RESERVATION_IDS = 10_000  # further reservations are ignored until stored ones expire
VERSION_RETENTION_MS = 7 * 86_400_000.0  # has to exceed the lifetime of any table file


class AppliedVersion(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    rename={"expires_at": "until", "applied_at": "at"},
):
    """Version of the newest update applied for a target.

    Attributes:
        incarnation: incarnation of the planner.
        sequence: sequence number of the update.
        expires_at: expiry of the update, Unix ms.
        applied_at: time at which it was applied, Unix ms.
    """

    incarnation: Incarnation
    sequence: Count
    expires_at: Milliseconds
    applied_at: Milliseconds

    @property
    def version(self) -> FileVersion:
        """The version that orders this update among those of its planner."""
        return FileVersion(self.incarnation, self.sequence)


class ReaderMemory(
    msgspec.Struct,
    forbid_unknown_fields=True,
    rename={"valid_since": "since", "applied": "marks", "reservations": "bookings"},
):
    """State of a reader that survives restarts; it is saved before an update takes effect.

    Attributes:
        version: version of the format.
        valid_since: creation time of this memory, Unix ms. Whether reservations created earlier have taken effect is
            unknown.
        applied: newest applied version, by target key.
        reservations: expiry (Unix ms) of each reservation that took effect, by reservation id.
    """

    version: Literal[1] = 1
    valid_since: Milliseconds = 0.0
    applied: dict[Name, AppliedVersion] = {}
    reservations: dict[Name, Milliseconds] = {}


@dataclass(slots=True)
class CurrentTables:
    """Tables that result from one planner's updates for a target.

    Attributes:
        update: newest applied update.
        base: complete update that `update` builds on; `update` itself if that is complete.
        content: resulting tables.
    """

    update: TableUpdate
    base: TableUpdate
    content: TableContent


@dataclass(frozen=True, slots=True)
class Acceptance:
    """An update that passed all checks, and those of its reservations that have not taken effect yet."""

    current: CurrentTables
    reservations: tuple[Reservation, ...]


def target_key(update: TableUpdate) -> str:
    """Return the key of an update's target in `ReaderMemory`: planner, zone and proxy (or `all`)."""
    return f"{update.planner}|{update.zone}|{'all' if update.proxy is None else update.proxy}"


class Acceptor:
    """Decides which updates one proxy applies.

    Attributes:
        zone: name of the proxy's zone.
        proxy: number of the proxy; None for a reader that applies only updates for an entire zone.
        memory: state that survives restarts.
        current: current tables, by target key; they are lost when the process ends.
    """

    def __init__(self, zone: str, proxy: int | None, memory: ReaderMemory | None = None) -> None:
        self.zone = zone
        self.proxy = proxy
        self.memory = memory or ReaderMemory()
        self.current: dict[str, CurrentTables] = {}

    def validate(self, update: TableUpdate, now: float) -> Acceptance | None:
        """Check whether an update may be applied, without changing any state.

        Args:
            update: update from a file whose integrity and signature have been checked.
            now: current time, Unix ms.

        Returns:
            The accepted update, or None if it is already applied.

        Raises:
            FileRejectedError: the update must not be applied.
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
            # A restarted reader has the version but not the tables, so it applies the same update again.
        if update.complete:
            base = update
            content = resulting_content(update)
        else:
            base = _find_base(update, current)
            content = resulting_content(base, update)
        return Acceptance(CurrentTables(update, base, content), self._new_reservations(update, now))

    def record_applied(self, acceptance: Acceptance, now: float) -> ReaderMemory:
        """Record an update as applied.

        The caller has to save the returned memory before any reservation takes effect. If the process ends between
        the two steps, the reservation is lost instead of taking effect twice.

        Returns:
            The memory to save.
        """
        update = acceptance.current.update
        key = target_key(update)
        self.current[key] = acceptance.current
        retained_since = now - VERSION_RETENTION_MS
        applied = {
            other: version
            for other, version in self.memory.applied.items()
            if other != key and version.applied_at > retained_since
        }
        applied[key] = AppliedVersion(update.incarnation, update.sequence, update.expires_at, now)
        excess = max(0, len(applied) - MAX_TARGETS)
        for evicted in list(applied)[:excess]:
            del applied[evicted]
            self.current.pop(evicted, None)
        reservations = {id_: expires_at for id_, expires_at in self.memory.reservations.items() if expires_at > now}
        reservations.update((reservation.id, reservation.expires_at) for reservation in acceptance.reservations)
        self.memory = ReaderMemory(1, self.memory.valid_since, applied, reservations)
        return self.memory

    def forget_expired(self, now: float, grace: float) -> list[str]:
        """Remove tables that expired at least `grace` ms ago and return their target keys. Not called yet."""
        expired = [key for key, current in self.current.items() if current.update.expires_at + grace <= now]
        for key in expired:
            del self.current[key]
        return expired

    def _check_target(self, update: TableUpdate) -> None:
        if update.zone != self.zone or update.proxy not in (None, self.proxy):
            raise FileRejectedError(Stage.TARGET, f"for zone {update.zone}, proxy {update.proxy}, not for this reader")

    def _new_reservations(self, update: TableUpdate, now: float) -> tuple[Reservation, ...]:
        """Return the reservations of an update that may take effect.

        They are unexpired, have not taken effect, were created since `valid_since`, and fit into the memory.
        """
        stored = self.memory.reservations
        new = tuple(
            reservation
            for reservation in update.reservations
            if reservation.id not in stored
            and reservation.expires_at > now
            and reservation.created_at >= self.memory.valid_since
        )
        return new[: max(0, MAX_RESERVATION_IDS - len(stored))]


def _check_age(update: TableUpdate, now: float) -> None:
    if update.created_at > now + MAX_CLOCK_SKEW_MS:
        ahead_s = (update.created_at - now) / 1000.0
        raise FileRejectedError(Stage.AGE, f"created {ahead_s:.1f} s in the future")
    if update.expires_at <= now:
        expired_s = (now - update.expires_at) / 1000.0
        raise FileRejectedError(Stage.AGE, f"expired {expired_s:.1f} s ago")


def _check_order(update: TableUpdate, applied: AppliedVersion) -> None:
    if update.version >= applied.version:
        return
    if update.incarnation != applied.incarnation:
        raise FileRejectedError(Stage.ORDER, f"earlier incarnation of planner {update.planner} than the applied one")
    raise FileRejectedError(
        Stage.ORDER, f"sequence {update.sequence} is older than the applied sequence {applied.sequence}"
    )


def _find_base(update: TableUpdate, current: CurrentTables | None) -> TableUpdate:
    """Return the complete update that a delta builds on; raises FileRejectedError if it is not the current base."""
    if current is None:
        raise FileRejectedError(
            Stage.BASE, f"delta on complete file {update.base_sequence}, but no complete file is loaded"
        )
    base = current.base
    if base.incarnation != update.incarnation or base.sequence != update.base_sequence:
        raise FileRejectedError(
            Stage.BASE, f"delta on complete file {update.base_sequence}, but {base.sequence} is loaded"
        )
    return base
