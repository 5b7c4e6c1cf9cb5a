"""Builds a planner's table files: one for each zone, one for each proxy that differs from the rest of its zone.

A target's files are a complete update now and then, and deltas on it in between.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from stackwheel.files.content import TableContent, complete_tables, delta_tables
from stackwheel.files.file_proxy import FileProxy
from stackwheel.files.records import MAX_RESERVATIONS, Incarnation, Reservation, TableUpdate


@dataclass(frozen=True, slots=True)
class PublisherSettings:
    """What the operators' file and the deployment set.

    Attributes:
        file_lifetime: ms that a file may be used.
        deltas_per_base: deltas between two complete updates.
        report_interval: ms between the status files of a proxy.
    """

    file_lifetime: float = 30_000.0
    deltas_per_base: int = 20
    report_interval: float = 1_000.0


class TargetId(NamedTuple):
    """Whom a file is for: all proxies of a zone, or one of them."""

    zone: str
    proxy: int | None


@dataclass(slots=True)
class FileTarget:
    """The files of one target so far.

    Attributes:
        sequence: of the newest file.
        created_at: when that was made, Unix ms.
        base: the complete update that deltas build on, None where the next file has to be complete.
        deltas_since_base: how many.
        content: what the newest file says in the end, None where a new one is needed in any case.
    """

    sequence: int = 0
    created_at: float = 0.0
    base: TableUpdate | None = None
    deltas_since_base: int = 0
    content: TableContent | None = None

    def force_complete(self) -> None:
        """The next file is a complete one, and is due now."""
        self.base = None
        self.content = None

    def reset(self) -> None:
        """A new incarnation begins: nothing of it has been written."""
        self.sequence = 0
        self.created_at = 0.0
        self.force_complete()


class FileBuilder:
    """Keeps what was written for each target and makes the files that are due.

    Attributes:
        incarnation: of the planner; None until it has started.
        sequence: number of the newest file, whatever its target: a later file includes what an earlier one said.
        targets: by whom they are for.
        reservations: by id.
    """

    def __init__(self, planner: str, settings: PublisherSettings) -> None:
        self.planner = planner
        self.settings = settings
        self.incarnation: Incarnation | None = None
        self.sequence = 0
        self.targets: dict[TargetId, FileTarget] = {}
        self.reservations: dict[str, Reservation] = {}

    def start_incarnation(self, incarnation: Incarnation) -> None:
        """From now on files are of that incarnation, and the first of each target is complete."""
        self.incarnation = incarnation
        self.sequence = 0
        for target in self.targets.values():
            target.reset()

    def reserve(self, reservation: Reservation, now: float) -> bool:
        """Send a reservation along with every file until it expires; False if there are too many."""
        self.reservations = {other.id: other for other in self._unexpired_reservations(now)}
        if len(self.reservations) >= MAX_RESERVATIONS:
            return False
        self.reservations[reservation.id] = reservation
        return True

    def due_updates(self, proxies: Iterable[FileProxy], now: float) -> Iterator[TableUpdate]:
        """Files whose content has changed, that carry a nonce, or whose former one has spent half its lifetime."""
        by_zone: dict[str, list[FileProxy]] = {}
        for proxy in proxies:
            if proxy.updated:
                by_zone.setdefault(proxy.zone, []).append(proxy)
        for zone, members in by_zone.items():
            yield from self._due_in_zone(zone, members, now)

    def force_complete(self, zone: str, proxy: int | None) -> None:
        """A reader lacks the base: the next file of the target is complete. No actor calls this yet."""
        target = self.targets.get(TargetId(zone, proxy))
        if target is not None:
            target.force_complete()

    def forget_proxy(self, zone: str, proxy: int) -> None:
        """A proxy has left, and its own files with it."""
        self.targets.pop(TargetId(zone, proxy), None)

    def _due_in_zone(self, zone: str, members: Sequence[FileProxy], now: float) -> Iterator[TableUpdate]:
        shared = _most_common_content(members)
        sharing = [proxy for proxy in members if proxy.content == shared]
        yield from self._update_if_due(TargetId(zone, None), shared, sharing, now)
        for proxy in members:
            if proxy.content != shared or self._needs_own_file(proxy):
                yield from self._update_if_due(TargetId(zone, proxy.proxy), proxy.content, [proxy], now)

    def _needs_own_file(self, proxy: FileProxy) -> bool:
        """Whether a proxy that agrees with its zone by now still goes by a newer file of its own."""
        own_id = TargetId(proxy.zone, proxy.proxy)
        own = self.targets.get(own_id)
        if own is None:
            return False
        shared = self.targets[TargetId(proxy.zone, None)]
        if own.content == proxy.content and shared.created_at > own.created_at:
            del self.targets[own_id]
            return False
        return True

    def _update_if_due(
        self, target_id: TargetId, content: TableContent, readers: Sequence[FileProxy], now: float
    ) -> Iterator[TableUpdate]:
        target = self.targets.setdefault(target_id, FileTarget())
        carries_nonce = any(proxy.has_unsent_nonce for proxy in readers)
        aging = now >= target.created_at + self.settings.file_lifetime / 2
        if target.content == content and not carries_nonce and not aging:
            return
        update = self._next_update(target_id, target, content, now)
        for proxy in readers:
            proxy.assign_nonces(target.sequence)
        yield update

    def _next_update(self, target_id: TargetId, target: FileTarget, content: TableContent, now: float) -> TableUpdate:
        assert self.incarnation is not None
        self.sequence += 1
        base = target.base if target.deltas_since_base < self.settings.deltas_per_base else None
        update = TableUpdate(
            planner=self.planner,
            incarnation=self.incarnation,
            sequence=self.sequence,
            created_at=now,
            expires_at=now + self.settings.file_lifetime,
            zone=target_id.zone,
            proxy=target_id.proxy,
            base_sequence=base.sequence if base is not None else None,
            tables=delta_tables(base, content) if base is not None else complete_tables(content),
            ejected=content.ejected,
            reservations=tuple(self._unexpired_reservations(now)),
        )
        if base is None:
            target.base = update
            target.deltas_since_base = 0
        else:
            target.deltas_since_base += 1
        target.sequence = update.sequence
        target.created_at = now
        target.content = content.copy()
        return update

    def _unexpired_reservations(self, now: float) -> list[Reservation]:
        return [reservation for reservation in self.reservations.values() if reservation.expires_at > now]


@dataclass(slots=True)
class _ContentGroup:
    content: TableContent
    size: int


def _most_common_content(proxies: Sequence[FileProxy]) -> TableContent:
    """What most proxies have; of equally common contents the one seen first."""
    groups: list[_ContentGroup] = []
    for proxy in proxies:
        group = next((group for group in groups if group.content == proxy.content), None)
        if group is None:
            groups.append(_ContentGroup(proxy.content, 1))
        else:
            group.size += 1
    return max(groups, key=lambda group: group.size).content
