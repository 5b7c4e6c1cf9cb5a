"""Table updates: proxies that parse the encoded updates have the tables that the policy has set."""

from __future__ import annotations

from collections.abc import Iterator

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from planner_harness import FakeConnection
from proxy_model import ProxyTables

from stackwheel import interface
from stackwheel.endpoints import EndpointList, Instance
from stackwheel.interface import Action, Availability, Retry, ServerId
from stackwheel.settings import ConfiguredNames
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.server_ids import ServerIds, server_id
from stackwheel.state.streams import ProxyStream, ProxyStreams
from stackwheel.state.table_updates import ALL_TABLES, NONCES_PER_INCARNATION, ProxyUpdate, TableUpdates, UpdatePart
from stackwheel.wire.line_codec import Encoder

CLASSES = ("read", "write")
SERVERS = tuple(f"s-{number}" for number in range(5))
ONE, TWO, THREE, *_ = (server_id(name) for name in SERVERS)


def endpoint_list(*restarted: str) -> EndpointList:
    return EndpointList(
        1,
        True,
        tuple(
            Instance(
                name, "127.0.0.1:1", "a", "small", 0, Availability.READY, 1.0, 5000.0 if name in restarted else 0.0
            )
            for name in SERVERS
        ),
    )


class UpdatesHarness:
    """The table updates under test, with proxies that apply the encoded updates."""

    def __init__(self, *restarted: str) -> None:
        self.ids = ServerIds()
        EndpointCache(("a",), ("small",), self.ids).apply(endpoint_list(*restarted))
        self.streams = ProxyStreams()
        self.updates = TableUpdates(len(CLASSES), self.streams)
        self.encoder = Encoder(ConfiguredNames(classes=CLASSES), self.ids)
        self.proxies: dict[int, ProxyTables] = {}

    def join(self, proxy: int, newly_started: bool = True) -> None:
        list(self.streams.join(ProxyStream(proxy, 0, 1.0, newly_started, FakeConnection())))
        self.proxies.setdefault(proxy, ProxyTables(CLASSES, set(SERVERS)))

    def apply(self, *actions: Action) -> dict[int, ProxyUpdate]:
        """Apply a list of the policy's actions, pass the encoded updates to the proxies, and return them by proxy."""
        updates = self.updates.apply_actions(actions)
        for update, data in zip(updates, self.encoder.encode(updates), strict=True):
            assert data.endswith(b"\r\n")
            for line in data.decode().split("\r\n")[:-1]:
                self.proxies[update.proxy].apply_line(line)
            assert self.proxies[update.proxy].costs[-1] == update.cost()
        return {update.proxy: update for update in updates}


def test_one_list_of_actions_results_in_one_update_to_the_final_state() -> None:
    harness = UpdatesHarness()
    harness.join(0)
    harness.join(1)
    harness.apply(interface.SetWeight(7, ONE, 1.0), interface.AssignTable(0, 7, (0,)))
    sent = harness.apply(
        interface.SetWeight(7, ONE, 2.0),
        interface.SetWeight(7, TWO, 3.0),
        interface.SetWeight(7, ONE, 0.0),
        interface.SetAdmission(7, (0,), 0.5, Retry.NEVER),
        interface.AttachNonce(4, False),
    )
    assert list(sent) == [0]  # the other proxy does not use the table
    assert sent[0].parts == (UpdatePart((0,), False, ((ONE, 0.0), (TWO, 3.0)), (0.5, Retry.NEVER)),)
    assert sent[0].nonce == 4
    assert harness.proxies[0].lines["read"] == {"s-1": 3.0}


def test_the_cost_of_an_assignment_includes_lines_level_table_and_nonce() -> None:
    """Guards against a cost that differs from the one the policy assumes for a complete table."""
    harness = UpdatesHarness()
    harness.join(0)
    level = interface.SetAdmission(7, (0,), 1.0, Retry.ONCE_IF_NOT_EXECUTED)
    sent = harness.apply(
        interface.SetWeight(7, ONE, 1.0),
        interface.SetWeight(7, TWO, 1.0),
        level,
        interface.AssignTable(0, 7, (0,)),
        interface.AttachNonce(1, False),
    )
    assert sent[0].cost() == (2 + 2) + 1


def test_a_table_can_be_assigned_for_all_classes() -> None:
    harness = UpdatesHarness()
    harness.join(0)
    harness.apply(interface.SetWeight(7, ONE, 1.0), interface.AssignTable(0, 7, ()))
    assert harness.proxies[0].lines == {"read": {"s-0": 1.0}, "write": {"s-0": 1.0}}


def test_a_complete_table_is_sent_with_its_level() -> None:
    harness = UpdatesHarness()
    harness.join(0)
    harness.apply(
        interface.SetWeight(7, ONE, 1.0),
        interface.SetAdmission(7, (0,), 0.4, Retry.NEVER),
        interface.AssignTable(0, 7, (0,)),
    )
    harness.apply(interface.AssignTable(0, 7, (0,)))
    assert harness.proxies[0].levels == {"read": (0.4, 0)}


def test_the_lower_of_two_levels_applies_with_the_retry_mode_of_the_table() -> None:
    harness = UpdatesHarness()
    harness.join(0)
    harness.apply(
        interface.SetWeight(7, ONE, 1.0),
        interface.AssignTable(0, 7, (0,)),
        interface.SetAdmission(ALL_TABLES, (), 0.5, Retry.TWICE),
    )
    assert harness.proxies[0].levels == {"read": (0.5, 3), "write": (0.5, 3)}  # "write" uses its standing table
    harness.apply(interface.SetAdmission(7, (0,), 0.8, Retry.NEVER))
    assert harness.proxies[0].levels["read"] == (0.5, 0)
    harness.apply(interface.SetAdmission(ALL_TABLES, (0,), 0.9, Retry.TWICE))
    assert harness.proxies[0].levels["read"] == (0.8, 0)


def test_a_cleared_table_has_no_lines_and_no_level() -> None:
    harness = UpdatesHarness()
    harness.join(0)
    harness.apply(
        interface.SetWeight(7, ONE, 1.0),
        interface.SetAdmission(7, (0,), 0.4, Retry.NEVER),
        interface.AssignTable(0, 7, (0,)),
    )
    harness.apply(interface.ClearTable(7), interface.SetWeight(7, TWO, 2.0))
    assert harness.proxies[0].lines["read"] == {"s-1": 2.0}
    assert harness.proxies[0].levels == {}


def test_ejections_are_sent_to_the_proxies_that_may_use_the_server() -> None:
    harness = UpdatesHarness()
    for proxy in range(3):
        harness.join(proxy)
    harness.apply(
        interface.SetWeight(7, ONE, 1.0),
        interface.SetWeight(8, TWO, 1.0),
        interface.AssignTable(0, 7, ()),
        interface.AssignTable(1, 8, ()),
    )
    sent = harness.apply(interface.SetEjection(ONE, True))
    assert list(sent) == [0, 2]  # the server is in a table of proxy 0; proxy 2 may have tables of another planner
    assert harness.apply(interface.SetEjection(ONE, True)) == {}  # both proxies have been notified
    harness.join(3)
    assert list(harness.apply(interface.SetEjection(ONE, True))) == [3]  # the others have been notified
    assert list(harness.apply(interface.SetEjection(ONE, False))) == [0, 2, 3]
    assert all(not proxy.ejected for proxy in harness.proxies.values())


def test_the_ejection_of_a_server_is_sent_with_a_new_table_that_contains_it() -> None:
    harness = UpdatesHarness()
    harness.apply(interface.SetEjection(ONE, True))
    harness.join(0)
    sent = harness.apply(interface.SetWeight(7, ONE, 1.0), interface.AssignTable(0, 7, ()))
    assert sent[0].eject == (ONE,)
    assert harness.proxies[0].available_lines("read") == {}


def test_a_complete_table_does_not_restore_servers_that_were_never_ejected() -> None:
    """Guards against sending lines whose cost the policy does not include."""
    harness = UpdatesHarness("s-0", "s-1")
    harness.join(0, newly_started=False)
    sent = harness.apply(
        interface.SetWeight(7, ONE, 1.0), interface.SetWeight(7, TWO, 1.0), interface.AssignTable(0, 7, ())
    )
    assert (sent[0].eject, sent[0].restore) == ((), ())
    assert sent[0].cost() == 3


def test_nonces_of_an_earlier_incarnation_are_distinguished() -> None:
    harness = UpdatesHarness()
    harness.join(0)
    assert harness.apply(interface.AttachNonce(5, True))[0].nonce == 5
    assert harness.updates.policy_nonce(5) == 5
    harness.updates.restart()
    assert harness.apply(interface.AttachNonce(5, True))[0].nonce == NONCES_PER_INCARNATION + 5
    assert harness.updates.policy_nonce(5) is None
    assert harness.updates.policy_nonce(NONCES_PER_INCARNATION + 5) == 5


servers = st.sampled_from([server_id(name) for name in SERVERS])
table_numbers = st.integers(0, 3)
class_lists = st.lists(st.integers(0, 1), unique=True, max_size=2).map(tuple)
weights = st.sampled_from([0.0, 1e-12, 0.25, 3.0])
actions = st.one_of(
    st.builds(interface.SetWeight, table_numbers, servers, weights),
    st.builds(interface.SetWeight, table_numbers, servers, weights),
    st.builds(interface.AssignTable, st.integers(0, 3), table_numbers, class_lists),
    st.builds(interface.ClearTable, table_numbers),
    st.builds(interface.SetEjection, servers, st.booleans()),
    st.builds(
        interface.SetAdmission,
        table_numbers | st.just(ALL_TABLES),
        class_lists,
        st.sampled_from([0.0, 0.5, 1.0]),
        st.sampled_from(Retry),
    ),
    st.builds(interface.AttachNonce, st.integers(1, NONCES_PER_INCARNATION - 1), st.booleans()),
)


def expected_lines(updates: TableUpdates, stream: ProxyStream, request_class: int) -> Iterator[tuple[ServerId, float]]:
    for server, weight in updates.tables.get(stream.table_by_class[request_class], {}).items():
        if server not in updates.ejected:
            yield server, weight


@hypothesis_settings(deadline=None)
@given(st.lists(st.lists(actions, max_size=8), max_size=8), st.booleans())
def test_proxies_have_the_tables_and_levels_that_the_policy_has_set(
    replies: list[list[Action]], newly_started: bool
) -> None:
    harness = UpdatesHarness(*SERVERS)
    for proxy in range(3):
        harness.join(proxy, newly_started)
    for reply in replies:
        harness.apply(*reply)
        for proxy, stream in harness.streams.by_proxy.items():
            tables = harness.proxies[proxy]
            for request_class, table in stream.table_by_class.items():
                name = CLASSES[request_class]
                assert tables.available_lines(name) == {
                    harness.ids.name(server): weight
                    for server, weight in expected_lines(harness.updates, stream, request_class)
                }
                level = harness.updates.admission_level(request_class, table)
                assert tables.levels.get(name) == (level and (level[0], int(level[1])))


def test_lines_of_a_shared_table_are_sent_once_even_if_the_levels_of_its_classes_differ() -> None:
    """Guards against sending a line once per class."""
    harness = UpdatesHarness()
    harness.join(0)
    levels = [
        interface.SetAdmission(7, (request_class,), 0.5 + request_class / 4, Retry.NEVER) for request_class in (0, 1)
    ]
    sent = harness.apply(interface.SetWeight(7, ONE, 1.0), *levels, interface.AssignTable(0, 7, (0, 1)))
    assert sent[0].parts == (
        UpdatePart((0, 1), True, ((ONE, 1.0),), None),
        UpdatePart((0,), False, (), (0.5, Retry.NEVER)),
        UpdatePart((1,), False, (), (0.75, Retry.NEVER)),
    )
    sent = harness.apply(interface.SetWeight(7, TWO, 1.0), interface.SetAdmission(7, (1,), 0.5, Retry.NEVER))
    assert sent[0].cost() == 2
    assert harness.proxies[0].lines == {name: {"s-0": 1.0, "s-1": 1.0} for name in CLASSES}
    assert harness.proxies[0].levels["write"][0] == 0.5
