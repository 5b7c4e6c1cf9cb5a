"""Builds a planner's table updates: one per zone, and one per proxy whose tables differ from the rest of its zone.

Each target gets a complete update at intervals, and deltas on it in between.
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
    """Settings of a publisher.

    Attributes:
        file_lifetime: time from the creation of a table file to its expiry, ms.
        deltas_per_base: maximum number of deltas between two complete updates.
        report_interval: time between two status files of a proxy, ms.
    """

    file_lifetime: float = 30_000.0
    deltas_per_base: int = 20
    report_interval: float = 1_000.0


class TargetId(NamedTuple):
    """Identifies the readers of a file: all proxies of a zone, or one of them if `proxy` is not None."""

    zone: str
    proxy: int | None


@dataclass(slots=True)
class FileTarget:
    """State of the files of one target.

    Attributes:
        sequence: sequence number of the newest update.
        created_at: creation time of the newest update, Unix ms.
        base: complete update that deltas build on; None if the next update has to be complete.
        deltas_since_base: number of deltas created since `base`.
        content: content that results from the newest update; None if a new update is due in any case.
    """

    sequence: int = 0
    created_at: float = 0.0
    base: TableUpdate | None = None
    deltas_since_base: int = 0
    content: TableContent | None = None

    def force_complete(self) -> None:
        """Make a complete update due."""
        self.base = None
        self.content = None

    def reset(self) -> None:
        """Discard the state at the start of a new incarnation."""
        self.sequence = 0
        self.created_at = 0.0
        self.force_complete()


class FileBuilder:
    """Tracks the newest update of each target and creates the updates that are due.

    Attributes:
        planner: name of the planner.
        settings: settings of the publisher.
        incarnation: incarnation of the planner; None before the first one starts.
        sequence: sequence number of the newest update of all targets.
        targets: state of each target.
        reservations: reservations to include in updates, by id.
    """

    def __init__(self, planner: str, settings: PublisherSettings) -> None:
        self.planner = planner
        self.settings = settings
        self.incarnation: Incarnation | None = None
        self.sequence = 0
        self.targets: dict[TargetId, FileTarget] = {}
        self.reservations: dict[str, Reservation] = {}

    def start_incarnation(self, incarnation: Incarnation) -> None:
        """Start an incarnation; the first update of each target in it is complete."""
        self.incarnation = incarnation
        self.sequence = 0
        for target in self.targets.values():
            target.reset()

    def reserve(self, reservation: Reservation, now: float) -> bool:
        """Include a reservation in all updates until it expires; returns False if there are too many reservations."""
        self.reservations = {other.id: other for other in self._unexpired_reservations(now)}
        if len(self.reservations) >= MAX_RESERVATIONS:
            return False
        self.reservations[reservation.id] = reservation
        return True

    def due_updates(self, proxies: Iterable[FileProxy], now: float) -> Iterator[TableUpdate]:
        """Create the updates that are due.

        An update is due if the content has changed, if a nonce has to be sent, or if the newest update of the target
        has reached half of its lifetime.
        """
        by_zone: dict[str, list[FileProxy]] = {}
        for proxy in proxies:
            if proxy.has_complete_tables:
                by_zone.setdefault(proxy.zone, []).append(proxy)
        for zone, members in by_zone.items():
            yield from self._due_in_zone(zone, members, now)

    def force_complete(self, zone: str, proxy: int | None) -> None:
        """Make a complete update of a target due, for a reader that does not have the base. Not called yet."""
        target = self.targets.get(TargetId(zone, proxy))
        if target is not None:
            target.force_complete()

    def forget_proxy(self, zone: str, proxy: int) -> None:
        """Discard the target of a proxy that has left."""
        self.targets.pop(TargetId(zone, proxy), None)

    def _due_in_zone(self, zone: str, members: Sequence[FileProxy], now: float) -> Iterator[TableUpdate]:
        shared_content = _most_common_content(members)
        sharing = [proxy for proxy in members if proxy.content == shared_content]
        yield from self._update_if_due(TargetId(zone, None), shared_content, sharing, now)
        for proxy in members:
            if proxy.content != shared_content or self._needs_own_file(proxy):
                yield from self._update_if_due(TargetId(zone, proxy.proxy), proxy.content, [proxy], now)

    def _needs_own_file(self, proxy: FileProxy) -> bool:
        """Return whether a proxy with the content of its zone still needs updates of its own.

        This is the case while the proxy's own update is newer than that of the zone, because readers use the newer
        of the two. Once the zone's update is newer, the proxy's own target is removed.
        """
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
        has_nonce = any(proxy.has_unsent_nonce for proxy in readers)
        needs_renewal = now >= target.created_at + self.settings.file_lifetime / 2
        if target.content == content and not has_nonce and not needs_renewal:
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
    """Return the content that most proxies have; the first one if several are equally common."""
    groups: list[_ContentGroup] = []
    for proxy in proxies:
        group = next((group for group in groups if group.content == proxy.content), None)
        if group is None:
            groups.append(_ContentGroup(proxy.content, 1))
        else:
            group.size += 1
    return max(groups, key=lambda group: group.size).content
