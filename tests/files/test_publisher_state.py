"""A planner's side: updates become files that readers apply, status files become items for the planner actor."""

from __future__ import annotations

from stackwheel import interface as face
from stackwheel.files.acceptor import Acceptor
from stackwheel.files.content import TableContent
from stackwheel.files.file_builder import PublisherSettings
from stackwheel.files.publisher_state import SILENT_REPORT_INTERVALS, PublisherState
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
    """A publisher's state beside readers that apply what it publishes."""

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
        """A proxy's first status; the stream that the planner actor is told of."""
        self.readers[proxy] = Acceptor(zone, proxy)
        stream = self.send_status(proxy)[0]
        assert isinstance(stream, ProxyStream)
        return stream

    def send_status(self, proxy: int, **fields: object) -> list[PlannerMessage]:
        """A proxy's next status, which acknowledges what its reader has applied."""
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
        """All files that are due; every reader finds them."""
        updates = list(self.state.due_updates(self.now))
        for update in updates:
            for reader in self.readers.values():
                if update.proxy in (None, reader.proxy) and update.zone == reader.zone:
                    acceptance = reader.validate(update, self.now)
                    if acceptance is not None:
                        reader.record_applied(acceptance, self.now)
        return updates

    def content(self, proxy: int, addressee: str = "all") -> TableContent:
        """What a reader has of the zone's files, or of its own."""
        return self.readers[proxy].current[f"n0|east|{addressee}"].content


def table(lines: dict[str, float], complete: bool = True, admitted: float | None = None) -> UpdatePart:
    level = None if admitted is None else AdmissionLevel(admitted, Retry.ONCE_IF_NOT_EXECUTED)
    return UpdatePart((0,), complete, tuple((server_id(name), weight) for name, weight in lines.items()), level)


def test_a_first_status_joins_the_proxy_and_shows_that_it_is_alive() -> None:
    harness = PublisherHarness()
    harness.readers[3] = Acceptor("west", 3)
    stream, alive = harness.send_status(3)
    assert isinstance(stream, ProxyStream)
    assert (stream.proxy, stream.zone, stream.newly_started) == (3, 1, True)
    assert alive == StreamMessage(3, None, stream.connection)
    assert [type(item) for item in harness.send_status(3)] == [StreamMessage]


def test_proxies_of_a_zone_that_agree_share_a_file() -> None:
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
    assert harness.publish() == []  # nothing has changed
    harness.update(1, table({"a": 0.0, "c": 2.0}, complete=False))
    updates = harness.publish()
    assert [(update.proxy, update.complete) for update in updates] == [(1, True)]
    assert harness.content(1, "1").tables == {"read": {"b": 0.5, "c": 2.0}}


def test_a_proxy_with_a_file_of_its_own_follows_the_zone_again_when_they_agree() -> None:
    """Else the zone's file does not move, the own one stays the newest, and the update never reaches the proxy."""
    harness = PublisherHarness()
    for proxy in (0, 1, 2):
        harness.join(proxy)
        harness.update(proxy, table({"a": 1.0, "b": 0.5}))
    harness.publish()
    harness.now += 100.0
    for proxy in (1, 2):
        harness.update(proxy, table({"a": 0.0}, complete=False))
    harness.publish()  # the zone's file follows the majority; the first proxy gets its own
    harness.now += 100.0
    harness.update(0, table({"a": 0.0}, complete=False))
    harness.publish()
    newest = max(harness.readers[0].current.values(), key=lambda current: current.update.created_at)
    assert newest.content.tables == {"read": {"b": 0.5}}
    harness.now += 16_000.0
    harness.publish()
    harness.publish()
    assert set(harness.state.files.targets) == {("east", None)}


def test_deltas_build_on_the_base_until_the_next_one_is_due() -> None:
    harness = PublisherHarness(deltas_per_base=3)
    harness.join(0)
    harness.update(0, table({"a": 1.0}))
    complete: list[bool] = []
    for step in range(9):
        harness.update(0, table({"b": float(step + 1)}, complete=False))
        complete += [update.complete for update in harness.publish()]
        assert harness.content(0).tables["read"]["b"] == step + 1
    assert complete == [True, False, False, False, True, False, False, False, True]


def test_a_nonce_is_acknowledged_once_its_file_is_applied() -> None:
    harness = PublisherHarness()
    harness.join(0)
    harness.update(0, table({"a": 1.0}), nonce=5)
    assert harness.send_status(0)[1:] == []
    harness.publish()
    _, acknowledged = harness.send_status(0, apply_delay=120.0)
    assert isinstance(acknowledged, StreamMessage)
    assert acknowledged.event == face.Acknowledged(0, 5, 120.0)
    assert len(harness.send_status(0)) == 1
    harness.update(0, nonce=6)  # nothing changes, and yet it has to be acknowledged
    harness.publish()
    events = [item.event for item in harness.send_status(0) if isinstance(item, StreamMessage)]
    assert face.Acknowledged(0, 6, 0.0) in events


def test_ejections_and_their_end_reach_the_reader() -> None:
    harness = PublisherHarness()
    harness.join(0)
    harness.update(0, table({"a": 1.0, "b": 1.0}), eject=("a",))
    harness.publish()
    assert harness.content(0).ejected == ("a",)
    harness.update(0, restore=("a",))
    harness.publish()
    assert harness.content(0).ejected == ()


def test_files_are_renewed_before_they_expire_and_not_sooner() -> None:
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


def test_reports_become_events_and_contradictory_ones_nothing() -> None:
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
        StreamMessage(0, face.DemandReport(0, 0, 12, 1, 1000.0), stream.connection),
        face.LoadReport(0, server_id("a"), 9, 1, 80.0, 1000.0, (3.0,)),
    ]
    assert harness.send_status(0, window=0.0, demand=(ClassDemand("read", 12, 1),))[1:] == []


def test_a_repeated_old_or_unknown_status_changes_nothing() -> None:
    harness = PublisherHarness()
    harness.join(0)
    status = ProxyStatus(0, "east", INCARNATION, 9, NOW, window=1000.0, demand=(ClassDemand("read", 1),))
    assert len(harness.receive(status)) == 2
    assert harness.receive(status) == []
    assert harness.receive(ProxyStatus(0, "east", INCARNATION, 8, NOW)) == []
    assert harness.receive(ProxyStatus(99, "east", INCARNATION, 1, NOW)) == []
    assert harness.receive(ProxyStatus(1, "north", INCARNATION, 1, NOW)) == []
    assert harness.state.rejected_count == 2


def test_a_restarted_proxy_rejoins_without_its_tables() -> None:
    harness = PublisherHarness()
    harness.join(0)
    harness.update(0, table({"a": 1.0}))
    items = harness.receive(ProxyStatus(0, "east", Incarnation(0, 60, 1), 1, NOW))
    assert isinstance(items[0], ProxyStream)
    assert not harness.state.proxies[0].updated


def test_a_silent_proxy_counts_as_departed_and_is_forgotten() -> None:
    harness = PublisherHarness()
    stream = harness.join(0)
    harness.now += SILENT_REPORT_INTERVALS * 1000.0
    assert list(harness.state.expire_silent(harness.now)) == []
    (ended,) = harness.state.expire_silent(harness.now + 1.0)
    assert ended == StreamEnded(0, stream.connection)
    assert harness.state.proxies == {}


def test_a_planner_whose_clock_was_stepped_back_learns_its_earlier_incarnation_from_a_status() -> None:
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


def test_a_reservation_goes_along_until_it_expires() -> None:
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


def test_a_reader_that_lacks_the_base_gets_a_complete_file() -> None:
    harness = PublisherHarness()
    harness.join(0)
    harness.update(0, table({"a": 1.0}))
    harness.publish()
    harness.state.files.force_complete("east", None)
    (update,) = harness.publish()
    assert update.complete
    assert update.sequence == 2
