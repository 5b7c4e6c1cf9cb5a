"""A planner's side: orders become files that readers take, answers become what the module hears."""

from __future__ import annotations

from stackwheel import interface as face
from stackwheel.files.accept import Accepted, Acceptor
from stackwheel.files.ledger import SILENT_ANSWERS, Ledger, Terms
from stackwheel.files.records import Answer, Booking, Came, Incarnation, Met, Orders
from stackwheel.interface import Retry
from stackwheel.settings import Names
from stackwheel.state.messages import PlannerMessage, StreamEnded, StreamMessage
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.state.streams import ProxyStream
from stackwheel.state.table_updates import ProxyUpdate, UpdatePart

NAMES = Names(("read", "book"), ("east", "west"), ("small",), ("outstanding",))
LIFE = Incarnation(0, 50, 1)
NOW = 10_000.0


class PolicyHarness:
    """A ledger beside readers that take what it writes."""

    def __init__(self, whole_every: int = 20) -> None:
        self.ids = ServerIds()
        for name in ("a", "b", "c"):
            self.ids.learn(name)
        self.ledger = Ledger("n0", NAMES, 8, Terms(30_000.0, whole_every, 1000.0), self.ids.name, 7)
        self.ledger.begin(NOW, [])
        self.readers: dict[int, Acceptor] = {}
        self.sequence = 0
        self.now = NOW

    def join(self, proxy: int, zone: str = "east") -> list[PlannerMessage]:
        self.readers[proxy] = Acceptor(zone, proxy)
        return self.answer(proxy)

    def answer(self, proxy: int, **more: object) -> list[PlannerMessage]:
        self.sequence += 1
        reader = self.readers[proxy]
        newest = max((h.orders for h in reader.held.values()), key=lambda o: o.made, default=None)
        fields: dict[str, object] = (
            {"planner": newest.planner, "incarnation": newest.incarnation, "applied": newest.sequence, "fresh": False}
            if newest is not None
            else {}
        )
        return list(
            self.ledger.answer(
                Answer(proxy, reader.zone, LIFE, self.sequence, self.now, **{**fields, **more}),  # type: ignore[arg-type]
                self.now,
            )
        )

    def order(
        self,
        proxy: int,
        *parts: UpdatePart,
        mark: int | None = None,
        shut: tuple[str, ...] = (),
        back: tuple[str, ...] = (),
    ) -> None:
        assert self.ledger.order(
            ProxyUpdate(proxy, parts, tuple(map(server_id, shut)), tuple(map(server_id, back)), mark)
        )

    def push(self) -> list[Orders]:
        """All files go out, and every reader finds them."""
        files = list(self.ledger.due(self.now))
        for orders in files:
            for reader in self.readers.values():
                found = reader.offer(orders, self.now)
                if isinstance(found, Accepted):
                    reader.commit(found, self.now)
        return files


def table(
    lines: dict[str, float], whole: bool = True, places: tuple[int, ...] = (0,), level: float | None = None
) -> UpdatePart:
    return UpdatePart(
        places,
        whole,
        tuple((server_id(s), w) for s, w in lines.items()),
        None if level is None else (level, Retry.ONCE_IF_NOT_EXECUTED),
    )


def test_a_first_answer_joins_and_says_that_it_lives() -> None:
    desk = PolicyHarness()
    stream, said = desk.join(3, "west")
    assert isinstance(stream, ProxyStream) and (stream.proxy, stream.zone, stream.newly_started) == (3, 1, True)
    assert said == StreamMessage(3, None, stream.connection)
    assert [type(item) for item in desk.answer(3)] == [StreamMessage]


def test_forwarders_of_a_zone_that_hold_the_same_share_a_file() -> None:
    desk = PolicyHarness()
    for proxy in (0, 1, 2):
        desk.join(proxy)
        desk.order(proxy, table({"a": 1.0, "b": 0.5}, level=0.9))
    files = desk.push()
    assert [(f.zone, f.proxy, f.whole, f.sequence) for f in files] == [("east", None, True, 1)]
    for reader in desk.readers.values():
        assert reader.held["n0|east|all"].content.tables == {"read": {"a": 1.0, "b": 0.5}}
    assert desk.push() == []  # nothing moved
    desk.order(1, table({"a": 0.0, "c": 2.0}, whole=False))
    files = desk.push()
    assert [(f.proxy, f.whole) for f in files] == [(1, True)]
    assert desk.readers[1].held["n0|east|1"].content.tables == {"read": {"b": 0.5, "c": 2.0}}


def test_who_had_a_file_of_its_own_is_not_left_with_it_when_it_holds_what_the_zone_does() -> None:
    """Else the zone's file does not move, the own one stays the newest, and what was ordered is never told."""
    desk = PolicyHarness()
    for proxy in (0, 1, 2):
        desk.join(proxy)
        desk.order(proxy, table({"a": 1.0, "b": 0.5}))
    desk.push()
    desk.now += 100.0
    for proxy in (1, 2):
        desk.order(proxy, table({"a": 0.0}, whole=False))
    desk.push()  # the zone's file follows the most; the first gets its own
    desk.now += 100.0
    desk.order(0, table({"a": 0.0}, whole=False))
    desk.push()
    newest = max(desk.readers[0].held.values(), key=lambda held: held.orders.made)
    assert newest.content.tables == {"read": {"b": 0.5}}
    desk.now += 16_000.0
    desk.push()
    desk.push()
    assert set(desk.ledger.targets) == {("east", None)}


def test_changes_go_on_the_whole_file_until_the_next_one_is_due() -> None:
    desk, kinds = PolicyHarness(whole_every=3), []
    desk.join(0)
    desk.order(0, table({"a": 1.0}))
    for step in range(9):
        desk.order(0, table({"b": float(step + 1)}, whole=False))
        kinds += [f.whole for f in desk.push()]
        assert desk.readers[0].held["n0|east|all"].content.tables["read"]["b"] == step + 1
    assert kinds == [True, False, False, False, True, False, False, False, True]


def test_a_mark_is_answered_once_its_file_is_applied() -> None:
    desk = PolicyHarness()
    desk.join(0)
    desk.order(0, table({"a": 1.0}), mark=5)
    assert desk.answer(0)[1:] == []
    desk.push()
    _, told = desk.answer(0, took=120.0)
    assert isinstance(told, StreamMessage) and told.event == face.Acknowledged(0, 5, 120.0)
    assert len(desk.answer(0)) == 1
    desk.order(0, mark=6)  # nothing moves, and yet it has to be answered
    desk.push()
    assert any(isinstance(i, StreamMessage) and i.event == face.Acknowledged(0, 6, 0.0) for i in desk.answer(0))


def test_withdrawals_and_their_end_reach_the_reader() -> None:
    desk = PolicyHarness()
    desk.join(0)
    desk.order(0, table({"a": 1.0, "b": 1.0}), shut=("a",))
    desk.push()
    assert desk.readers[0].held["n0|east|all"].content.withdrawn == ("a",)
    desk.order(0, back=("a",))
    desk.push()
    assert desk.readers[0].held["n0|east|all"].content.withdrawn == ()


def test_files_are_made_again_before_they_are_over_and_not_sooner() -> None:
    desk = PolicyHarness()
    desk.join(0)
    desk.order(0, table({"a": 1.0}))
    desk.push()
    desk.now += 14_000.0
    assert desk.push() == []
    desk.now += 1_000.0
    (again,) = desk.push()
    assert again.until == desk.now + 30_000.0 and again.tables == ()


def test_reports_become_what_the_module_hears_and_spoilt_ones_nothing() -> None:
    desk = PolicyHarness()
    stream, *_ = desk.join(0)
    heard = desk.answer(
        0,
        over=1000.0,
        came=(Came("read", 12, 1), Came("nothing", 5)),
        met=(Met("a", 9, 1, 80.0, {"outstanding": 3.0}), Met("unknown", 9), Met("b", 1, 2)),
    )
    assert isinstance(stream, ProxyStream)
    assert heard[1:] == [
        StreamMessage(0, face.DemandReport(0, 0, 12, 1, 1000.0), stream.connection),
        face.LoadReport(0, server_id("a"), 9, 1, 80.0, 1000.0, (3.0,)),
    ]
    assert desk.answer(0, over=0.0, came=(Came("read", 12, 1),))[1:] == []


def test_an_answer_that_comes_twice_or_late_or_from_nobody_changes_nothing() -> None:
    desk = PolicyHarness()
    desk.join(0)
    one = Answer(0, "east", LIFE, 9, NOW, over=1000.0, came=(Came("read", 1),))
    assert len(list(desk.ledger.answer(one, NOW))) == 2
    assert list(desk.ledger.answer(one, NOW)) == []
    assert list(desk.ledger.answer(Answer(0, "east", LIFE, 8, NOW), NOW)) == []
    assert list(desk.ledger.answer(Answer(99, "east", LIFE, 1, NOW), NOW)) == []
    assert list(desk.ledger.answer(Answer(1, "north", LIFE, 1, NOW), NOW)) == [] and desk.ledger.refused == 2


def test_a_forwarder_that_starts_over_joins_anew_and_has_lost_its_tables() -> None:
    desk = PolicyHarness()
    desk.join(0)
    desk.order(0, table({"a": 1.0}))
    found = list(desk.ledger.answer(Answer(0, "east", Incarnation(0, 60, 1), 1, NOW), NOW))
    assert isinstance(found[0], ProxyStream) and not desk.ledger.forwarders[0].ordered


def test_who_does_not_answer_counts_as_left_and_is_forgotten() -> None:
    desk = PolicyHarness()
    stream, *_ = desk.join(0)
    desk.now += SILENT_ANSWERS * 1000.0
    assert list(desk.ledger.silent(desk.now)) == []
    (gone,) = desk.ledger.silent(desk.now + 1.0)
    assert (
        isinstance(stream, ProxyStream) and gone == StreamEnded(0, stream.connection) and desk.ledger.forwarders == {}
    )


def test_a_planner_whose_clock_was_stepped_back_learns_its_former_life_from_an_answer() -> None:
    desk = PolicyHarness()
    desk.join(0)
    desk.order(0, table({"a": 1.0}))
    desk.push()
    later = Incarnation(0, 999_999, 3)
    desk.answer(0, incarnation=later, applied=40)
    assert desk.ledger.incarnation is not None and desk.ledger.incarnation > later
    (again,) = desk.push()
    assert again.whole and again.sequence == 1 and again.incarnation == desk.ledger.incarnation


def test_an_order_for_bookings_goes_along_until_it_is_over() -> None:
    desk = PolicyHarness()
    desk.join(0)
    desk.order(0, table({"a": 1.0}))
    assert desk.ledger.book(Booking("n0.1", "book", 3, NOW + 5000.0), NOW)
    (first,) = desk.push()
    assert [b.id for b in first.bookings] == ["n0.1"]
    desk.now += 6000.0
    desk.order(0, table({"b": 1.0}, whole=False))
    (second,) = desk.push()
    assert second.bookings == ()


def test_a_reader_that_misses_the_base_gets_a_whole_file() -> None:
    desk = PolicyHarness()
    desk.join(0)
    desk.order(0, table({"a": 1.0}))
    desk.push()
    desk.ledger.whole_again("east", None)
    (again,) = desk.push()
    assert again.whole and again.sequence == 2
