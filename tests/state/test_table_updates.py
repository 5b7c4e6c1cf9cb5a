"""Orders as proxies hold them: a stand-in applies what is written and must hold what the policy ordered."""

from collections.abc import Iterator

from fake_services import Tables
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from stackwheel import interface as face
from stackwheel.endpoints import EndpointList, Instance
from stackwheel.interface import Action, Availability, Retry, Server
from stackwheel.settings import Names
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.state.streams import ProxyStream, ProxyStreams
from stackwheel.state.table_updates import ALL_TABLES, NONCES_PER_INCARNATION, ProxyUpdate, TableUpdates, UpdatePart
from stackwheel.wire.line_codec import Encoder

CLASSES = ("read", "write")
SERVERS = tuple(f"s-{number}" for number in range(5))
ONE, TWO, THREE, *_ = (server_id(name) for name in SERVERS)


class Line:
    def __init__(self) -> None:
        self.replaced = False

    def on_superseded(self) -> None:
        self.replaced = True

    def on_attached(self) -> None:
        self.replaced = False


def listing(*started: str) -> EndpointList:
    return EndpointList(
        1,
        True,
        tuple(
            Instance(name, "127.0.0.1:1", "a", "small", 0, Availability.READY, 1.0, 5000.0 if name in started else 0.0)
            for name in SERVERS
        ),
    )


class Setup:
    def __init__(self, *started: str) -> None:
        self.ids = ServerIds()
        self.roster = EndpointCache(("a",), ("small",), self.ids)
        self.roster.apply(listing(*started))
        self.streams = ProxyStreams()
        self.orders = TableUpdates(len(CLASSES), self.streams, self.roster)
        self.encoder = Encoder(Names(classes=CLASSES), self.ids)
        self.held: dict[int, Tables] = {}

    def join(self, proxy: int, fresh: bool = True) -> None:
        list(self.streams.join(ProxyStream(proxy, 0, 1.0, fresh, Line())))
        self.held.setdefault(proxy, Tables(CLASSES, set(SERVERS)))

    def take(self, *actions: Action) -> dict[int, ProxyUpdate]:
        messages = self.orders.take(actions)
        for message, data in zip(messages, self.encoder.encode(messages), strict=True):
            assert data.endswith(b"\r\n")
            for line in data.decode().split("\r\n")[:-1]:
                self.held[message.proxy].take(line)
            assert self.held[message.proxy].costs[-1] == message.cost()
        return {message.proxy: message for message in messages}


def test_one_reply_is_one_message_in_its_end_state() -> None:
    setup = Setup()
    setup.join(0)
    setup.join(1)
    setup.take(face.SetWeight(7, ONE, 1.0), face.AssignTable(0, 7, (0,)))
    got = setup.take(
        face.SetWeight(7, ONE, 2.0),
        face.SetWeight(7, TWO, 3.0),
        face.SetWeight(7, ONE, 0.0),
        face.SetAdmission(7, (0,), 0.5, Retry.NEVER),
        face.AttachNonce(4, False),
    )
    assert list(got) == [0]  # the other uses no table of these
    assert got[0].parts == (UpdatePart((0,), False, ((ONE, 0.0), (TWO, 3.0)), (0.5, Retry.NEVER)),)
    assert got[0].nonce == 4 and setup.held[0].lines["read"] == {"s-1": 3.0}


def test_assignment_costs_what_the_policy_charges() -> None:
    """A table bound whole: its lines, its level and the table itself; the mark goes with the head."""
    setup = Setup()
    setup.join(0)
    level = face.SetAdmission(7, (0,), 1.0, Retry.ONCE_IF_NOT_EXECUTED)
    got = setup.take(
        face.SetWeight(7, ONE, 1.0),
        face.SetWeight(7, TWO, 1.0),
        level,
        face.AssignTable(0, 7, (0,)),
        face.AttachNonce(1, False),
    )
    assert got[0].cost() == (2 + 2) + 1


def test_a_table_for_all_classes() -> None:
    setup = Setup()
    setup.join(0)
    setup.take(face.SetWeight(7, ONE, 1.0), face.AssignTable(0, 7, ()))
    assert setup.held[0].lines == {"read": {"s-0": 1.0}, "write": {"s-0": 1.0}}


def test_a_whole_table_comes_with_its_level_again() -> None:
    setup = Setup()
    setup.join(0)
    setup.take(face.SetWeight(7, ONE, 1.0), face.SetAdmission(7, (0,), 0.4, Retry.NEVER), face.AssignTable(0, 7, (0,)))
    setup.take(face.AssignTable(0, 7, (0,)))
    assert setup.held[0].levels == {"read": (0.4, 0)}


def test_of_two_levels_the_lower_holds_with_the_tables_own_retry() -> None:
    setup = Setup()
    setup.join(0)
    setup.take(
        face.SetWeight(7, ONE, 1.0), face.AssignTable(0, 7, (0,)), face.SetAdmission(ALL_TABLES, (), 0.5, Retry.TWICE)
    )
    assert setup.held[0].levels == {"read": (0.5, 3), "write": (0.5, 3)}  # standing tables too
    setup.take(face.SetAdmission(7, (0,), 0.8, Retry.NEVER))
    assert setup.held[0].levels["read"] == (0.5, 0)
    setup.take(face.SetAdmission(ALL_TABLES, (0,), 0.9, Retry.TWICE))
    assert setup.held[0].levels["read"] == (0.8, 0)


def test_a_cleared_table_is_empty_and_without_level() -> None:
    setup = Setup()
    setup.join(0)
    setup.take(face.SetWeight(7, ONE, 1.0), face.SetAdmission(7, (0,), 0.4, Retry.NEVER), face.AssignTable(0, 7, (0,)))
    setup.take(face.ClearTable(7), face.SetWeight(7, TWO, 2.0))
    assert setup.held[0].lines["read"] == {"s-1": 2.0} and setup.held[0].levels == {}


def test_withdrawals_reach_who_may_hold_the_server() -> None:
    setup = Setup()
    for proxy in range(3):
        setup.join(proxy)
    setup.take(
        face.SetWeight(7, ONE, 1.0), face.SetWeight(8, TWO, 1.0), face.AssignTable(0, 7, ()), face.AssignTable(1, 8, ())
    )
    got = setup.take(face.SetEjection(ONE, True))
    assert list(got) == [0, 2]  # it is in the one's table, and the third holds others'
    assert setup.take(face.SetEjection(ONE, True)) == {}  # they know
    setup.join(3)
    assert list(setup.take(face.SetEjection(ONE, True))) == [3]  # who has joined since does not
    assert list(setup.take(face.SetEjection(ONE, False))) == [0, 2, 3]
    assert all(not held.ejected for held in setup.held.values())


def test_a_withdrawn_server_in_a_new_table_is_shut_out() -> None:
    setup = Setup()
    setup.take(face.SetEjection(ONE, True))
    setup.join(0)
    got = setup.take(face.SetWeight(7, ONE, 1.0), face.AssignTable(0, 7, ()))
    assert got[0].eject == (ONE,) and setup.held[0].open_lines("read") == {}


def test_letting_back_costs_no_lines_that_the_policy_does_not_count() -> None:
    """After a release each whole table let back every new server: the channel carried twice what was booked."""
    setup = Setup("s-0", "s-1")  # started lately
    setup.join(0, fresh=False)
    got = setup.take(face.SetWeight(7, ONE, 1.0), face.SetWeight(7, TWO, 1.0), face.AssignTable(0, 7, ()))
    assert (got[0].eject, got[0].restore) == ((), ()) and got[0].cost() == 3


def test_marks_of_an_earlier_life_are_told_apart() -> None:
    setup = Setup()
    setup.join(0)
    assert setup.take(face.AttachNonce(5, True))[0].nonce == 5 and setup.orders.own_mark(5) == 5
    setup.orders.start_over()
    assert setup.take(face.AttachNonce(5, True))[0].nonce == NONCES_PER_INCARNATION + 5
    assert setup.orders.own_mark(5) is None and setup.orders.own_mark(NONCES_PER_INCARNATION + 5) == 5


servers = st.sampled_from([server_id(name) for name in SERVERS])
tables = st.integers(0, 3)
places = st.lists(st.integers(0, 1), unique=True, max_size=2).map(tuple)
weights = st.sampled_from([0.0, 1e-12, 0.25, 3.0])
actions = st.one_of(
    st.builds(face.SetWeight, tables, servers, weights),
    st.builds(face.SetWeight, tables, servers, weights),
    st.builds(face.AssignTable, st.integers(0, 3), tables, places),
    st.builds(face.ClearTable, tables),
    st.builds(face.SetEjection, servers, st.booleans()),
    st.builds(
        face.SetAdmission,
        tables | st.just(ALL_TABLES),
        places,
        st.sampled_from([0.0, 0.5, 1.0]),
        st.sampled_from(Retry),
    ),
    st.builds(face.AttachNonce, st.integers(1, NONCES_PER_INCARNATION - 1), st.booleans()),
)


def expected(orders: TableUpdates, stream: ProxyStream, place: int) -> Iterator[tuple[Server, float]]:
    for server, weight in orders.tables.get(stream.table_by_class[place], {}).items():
        if server not in orders.withdrawn:
            yield server, weight


@hypothesis_settings(deadline=None)
@given(st.lists(st.lists(actions, max_size=8), max_size=8), st.booleans())
def test_proxies_hold_what_was_ordered(replies: list[list[Action]], fresh: bool) -> None:
    setup = Setup(*SERVERS)
    for proxy in range(3):
        setup.join(proxy, fresh)
    for reply in replies:
        setup.take(*reply)
        for proxy, stream in setup.streams.by_proxy.items():
            held = setup.held[proxy]
            for place, table in stream.table_by_class.items():
                name = CLASSES[place]
                assert held.open_lines(name) == {setup.ids.name(s): w for s, w in expected(setup.orders, stream, place)}
                level = setup.orders.level(place, table)
                assert held.levels.get(name) == (level and (level[0], int(level[1])))


def test_classes_that_share_a_table_share_its_lines_whatever_their_levels() -> None:
    """A line for three classes went out three times as soon as their levels differed."""
    setup = Setup()
    setup.join(0)
    levels = [face.SetAdmission(7, (place,), 0.5 + place / 4, Retry.NEVER) for place in (0, 1)]
    got = setup.take(face.SetWeight(7, ONE, 1.0), *levels, face.AssignTable(0, 7, (0, 1)))
    assert got[0].parts == (
        UpdatePart((0, 1), True, ((ONE, 1.0),), None),
        UpdatePart((0,), False, (), (0.5, Retry.NEVER)),
        UpdatePart((1,), False, (), (0.75, Retry.NEVER)),
    )
    got = setup.take(face.SetWeight(7, TWO, 1.0), face.SetAdmission(7, (1,), 0.5, Retry.NEVER))
    assert got[0].cost() == 2 and setup.held[0].lines == {name: {"s-0": 1.0, "s-1": 1.0} for name in CLASSES}
    assert setup.held[0].levels["write"][0] == 0.5
