"""Tests of the publisher's state: planner updates become table updates, statuses become planner messages."""

from __future__ import annotations

from stackwheel import interface
from stackwheel.files.acceptor import Acceptor
from stackwheel.files.content import TableContent
from stackwheel.files.file_builder import PublisherSettings
from stackwheel.files.publisher_state import STATUS_TIMEOUT_REPORT_INTERVALS, PublisherState
from stackwheel.files.records import (
    ClassDemand,
    Incarnation,
    ProxyStatus,
    Reservation,
    ServerObservation,
    TableUpdate,
)
from stackwheel.interface import AdmissionLevel, Retry
from stackwheel.settings import ConfiguredNames
from stackwheel.state.messages import PlannerMessage, StreamEnded, StreamMessage
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.state.streams import ProxyStream
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart

NAMES = ConfiguredNames(("read", "book"), ("east", "west"), ("small",), ("outstanding",))
INCARNATION = Incarnation(0, 50, 1)
NOW = 10_000.0


class PublisherHarness:
    """A publisher's state, with readers that apply its updates."""

    def __init__(self, deltas_per_base: int = 20) -> None:
        ids = ServerIds()
        for name in ("a", "b", "c"):
            ids.register(name)
        settings = PublisherSettings(30_000.0, deltas_per_base, 1000.0)
        self.state = PublisherState("n0", NAMES, 8, settings, ids.name, 7)
        self.state.start_incarnation(NOW, [])
        self.readers: dict[int, Acceptor] = {}
        self.sequence = 0
        self.now = NOW

    def join(self, proxy: int, zone: str = "east") -> ProxyStream:
        """Send the first status of a proxy and return the stream that the planner actor receives."""
        self.readers[proxy] = Acceptor(zone, proxy)
        stream = self.send_status(proxy)[0]
        assert isinstance(stream, ProxyStream)
        return stream

    def send_status(self, proxy: int, **fields: object) -> list[PlannerMessage]:
        """Send the next status of a proxy, which acknowledges the updates that its reader has applied."""
        self.sequence += 1
        reader = self.readers[proxy]
        updates = [current.update for current in reader.current.values()]
        newest = max(updates, key=lambda update: update.created_at, default=None)
        values: dict[str, object] = {}
        if newest is not None:
            values = {
                "planner": newest.planner,
                "planner_incarnation": newest.incarnation,
                "applied_sequence": newest.sequence,
                "newly_started": False,
            }
        status = ProxyStatus(proxy, reader.zone, INCARNATION, self.sequence, self.now, **{**values, **fields})  # type: ignore[arg-type]
        return self.receive(status)

    def receive(self, status: ProxyStatus) -> list[PlannerMessage]:
        return list(self.state.receive_status(status, self.now))

    def update(
        self,
        proxy: int,
        *parts: UpdatePart,
        nonce: int | None = None,
        eject: tuple[str, ...] = (),
        restore: tuple[str, ...] = (),
    ) -> None:
        update = ProxyUpdate(proxy, parts, tuple(map(server_id, eject)), tuple(map(server_id, restore)), nonce)
        assert self.state.apply_update(update)

    def publish(self) -> list[TableUpdate]:
        """Create the due updates and apply them at all readers that they are for."""
        updates = list(self.state.due_updates(self.now))
        for update in updates:
            for reader in self.readers.values():
                if update.proxy in (None, reader.proxy) and update.zone == reader.zone:
                    acceptance = reader.validate(update, self.now)
                    if acceptance is not None:
                        reader.record_applied(acceptance, self.now)
        return updates

    def content(self, proxy: int, target: str = "all") -> TableContent:
        """Return the content that a reader has from the zone's updates, or from those for a single proxy."""
        return self.readers[proxy].current[f"n0|east|{target}"].content


def table(lines: dict[str, float], complete: bool = True, admitted: float | None = None) -> UpdatePart:
    level = None if admitted is None else AdmissionLevel(admitted, Retry.ONCE_IF_NOT_EXECUTED)
    return UpdatePart((0,), complete, tuple((server_id(name), weight) for name, weight in lines.items()), level)


def test_the_first_status_of_a_proxy_opens_a_stream_and_resets_its_timeout() -> None:
    harness = PublisherHarness()
    harness.readers[3] = Acceptor("west", 3)
    stream, message = harness.send_status(3)
    assert isinstance(stream, ProxyStream)
    assert (stream.proxy, stream.zone, stream.newly_started) == (3, 1, True)
    assert message == StreamMessage(3, None, stream.connection)
    assert [type(item) for item in harness.send_status(3)] == [StreamMessage]


def test_proxies_of_a_zone_with_equal_content_share_an_update() -> None:
    harness = PublisherHarness()
    for proxy in (0, 1, 2):
        harness.join(proxy)
        harness.update(proxy, table({"a": 1.0, "b": 0.5}, admitted=0.9))
    updates = harness.publish()
    assert [(update.zone, update.proxy, update.complete, update.sequence) for update in updates] == [
        ("east", None, True, 1)
    ]
    for proxy in harness.readers:
        assert harness.content(proxy).tables == {"read": {"a": 1.0, "b": 0.5}}
    assert harness.publish() == []
    harness.update(1, table({"a": 0.0, "c": 2.0}, complete=False))
    updates = harness.publish()
    assert [(update.proxy, update.complete) for update in updates] == [(1, True)]
    assert harness.content(1, "1").tables == {"read": {"b": 0.5, "c": 2.0}}


def test_a_proxy_with_updates_of_its_own_returns_to_those_of_the_zone() -> None:
    """The proxy's own update must follow until the zone's one is newer; otherwise the reader uses outdated tables."""
    harness = PublisherHarness()
    for proxy in (0, 1, 2):
        harness.join(proxy)
        harness.update(proxy, table({"a": 1.0, "b": 0.5}))
    harness.publish()
    harness.now += 100.0
    for proxy in (1, 2):
        harness.update(proxy, table({"a": 0.0}, complete=False))
    harness.publish()  # the zone gets the content of the majority, and proxy 0 an update of its own
    harness.now += 100.0
    harness.update(0, table({"a": 0.0}, complete=False))
    harness.publish()
    newest = max(harness.readers[0].current.values(), key=lambda current: current.update.created_at)
    assert newest.content.tables == {"read": {"b": 0.5}}
    harness.now += 16_000.0
    harness.publish()
    harness.publish()
    assert set(harness.state.file_builder.targets) == {("east", None)}


def test_a_complete_update_follows_after_the_configured_number_of_deltas() -> None:
    harness = PublisherHarness(deltas_per_base=3)
    harness.join(0)
    harness.update(0, table({"a": 1.0}))
    complete: list[bool] = []
    for step in range(9):
        harness.update(0, table({"b": float(step + 1)}, complete=False))
        complete += [update.complete for update in harness.publish()]
        assert harness.content(0).tables["read"]["b"] == step + 1
    assert complete == [True, False, False, False, True, False, False, False, True]


def test_a_nonce_is_acknowledged_once_its_update_is_applied() -> None:
    harness = PublisherHarness()
    harness.join(0)
    harness.update(0, table({"a": 1.0}), nonce=5)
    assert harness.send_status(0)[1:] == []
    harness.publish()
    _, acknowledged = harness.send_status(0, apply_delay=120.0)
    assert isinstance(acknowledged, StreamMessage)
    assert acknowledged.event == interface.Acknowledged(0, 5, 120.0)
    assert len(harness.send_status(0)) == 1
    harness.update(0, nonce=6)  # an update without changes is published for the nonce
    harness.publish()
    events = [item.event for item in harness.send_status(0) if isinstance(item, StreamMessage)]
    assert interface.Acknowledged(0, 6, 0.0) in events


def test_readers_receive_ejections_and_restorations() -> None:
    harness = PublisherHarness()
    harness.join(0)
    harness.update(0, table({"a": 1.0, "b": 1.0}), eject=("a",))
    harness.publish()
    assert harness.content(0).ejected == ("a",)
    harness.update(0, restore=("a",))
    harness.publish()
    assert harness.content(0).ejected == ()


def test_an_unchanged_update_is_renewed_at_half_of_its_lifetime() -> None:
    harness = PublisherHarness()
    harness.join(0)
    harness.update(0, table({"a": 1.0}))
    harness.publish()
    harness.now += 14_000.0
    assert harness.publish() == []
    harness.now += 1_000.0
    (renewed,) = harness.publish()
    assert renewed.expires_at == harness.now + 30_000.0
    assert renewed.tables == ()


def test_reports_become_events_and_invalid_ones_are_ignored() -> None:
    harness = PublisherHarness()
    stream = harness.join(0)
    items = harness.send_status(
        0,
        window=1000.0,
        demand=(ClassDemand("read", 12, 1), ClassDemand("nothing", 5)),
        observations=(
            ServerObservation("a", 9, 1, 80.0, {"outstanding": 3.0}),
            ServerObservation("unknown", 9),
            ServerObservation("b", 1, 2),
        ),
    )
    assert items[1:] == [
        StreamMessage(0, interface.DemandReport(0, 0, 12, 1, 1000.0), stream.connection),
        interface.LoadReport(0, server_id("a"), 9, 1, 80.0, 1000.0, (3.0,)),
    ]
    assert harness.send_status(0, window=0.0, demand=(ClassDemand("read", 12, 1),))[1:] == []


def test_a_repeated_outdated_or_unknown_status_is_ignored() -> None:
    harness = PublisherHarness()
    harness.join(0)
    status = ProxyStatus(0, "east", INCARNATION, 9, NOW, window=1000.0, demand=(ClassDemand("read", 1),))
    assert len(harness.receive(status)) == 2
    assert harness.receive(status) == []
    assert harness.receive(ProxyStatus(0, "east", INCARNATION, 8, NOW)) == []
    assert harness.receive(ProxyStatus(99, "east", INCARNATION, 1, NOW)) == []
    assert harness.receive(ProxyStatus(1, "north", INCARNATION, 1, NOW)) == []
    assert harness.state.rejected_count == 2


def test_a_restarted_proxy_opens_a_new_stream_without_tables() -> None:
    harness = PublisherHarness()
    harness.join(0)
    harness.update(0, table({"a": 1.0}))
    items = harness.receive(ProxyStatus(0, "east", Incarnation(0, 60, 1), 1, NOW))
    assert isinstance(items[0], ProxyStream)
    assert not harness.state.proxies[0].has_complete_tables


def test_a_proxy_without_status_files_is_removed_after_the_timeout() -> None:
    harness = PublisherHarness()
    stream = harness.join(0)
    harness.now += STATUS_TIMEOUT_REPORT_INTERVALS * 1000.0
    assert list(harness.state.expire_silent(harness.now)) == []
    (ended,) = harness.state.expire_silent(harness.now + 1.0)
    assert ended == StreamEnded(0, stream.connection)
    assert harness.state.proxies == {}


def test_a_status_with_a_later_incarnation_starts_a_new_incarnation() -> None:
    """A planner whose clock was stepped back may start with an incarnation that compares less than an earlier one."""
    harness = PublisherHarness()
    harness.join(0)
    harness.update(0, table({"a": 1.0}))
    harness.publish()
    later = Incarnation(0, 999_999, 3)
    harness.send_status(0, planner_incarnation=later, applied_sequence=40)
    assert harness.state.incarnation is not None
    assert harness.state.incarnation > later
    (update,) = harness.publish()
    assert update.complete
    assert update.sequence == 1
    assert update.incarnation == harness.state.incarnation


def test_a_reservation_is_included_in_updates_until_it_expires() -> None:
    harness = PublisherHarness()
    harness.join(0)
    harness.update(0, table({"a": 1.0}))
    assert harness.state.reserve(Reservation("n0.1", "book", 3, NOW + 5000.0), NOW)
    (first,) = harness.publish()
    assert [reservation.id for reservation in first.reservations] == ["n0.1"]
    harness.now += 6000.0
    harness.update(0, table({"b": 1.0}, complete=False))
    (second,) = harness.publish()
    assert second.reservations == ()


def test_a_complete_update_can_be_forced() -> None:
    harness = PublisherHarness()
    harness.join(0)
    harness.update(0, table({"a": 1.0}))
    harness.publish()
    harness.state.file_builder.force_complete("east", None)
    (update,) = harness.publish()
    assert update.complete
    assert update.sequence == 2
