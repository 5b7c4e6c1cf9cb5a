"""Property tests: invariants that hold for any sequence of events."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st
from policy_harness import SETTINGS, PolicyHarness, entry, server_id

from stackwheel import interface

numbers = st.floats(allow_nan=True, allow_infinity=True)
servers = st.integers(0, 7)
entries = st.builds(
    lambda n, availability, started_at, weight: entry(n, n % 2, availability, started_at, weight),
    servers,
    st.sampled_from(interface.Availability),
    st.sampled_from([0.0, 99000.0, 104000.0]),
    numbers,
)
reports = st.builds(
    lambda zone, n, attempts, failures, mean, window, load: interface.LoadReport(
        zone, server_id(n), attempts, failures, mean, window, (load,)
    ),
    st.integers(0, 1),
    servers,
    st.integers(0, 400),
    st.integers(0, 500),
    numbers,
    numbers | st.just(1000.0),
    numbers,
)
events = st.one_of(
    entries.map(lambda e: interface.EndpointUpdate(interface.UpdateKind.DELTA, 1, (e,))),
    st.lists(entries, max_size=8).map(lambda es: interface.EndpointUpdate(interface.UpdateKind.FULL, 1, tuple(es))),
    reports,
    reports,
    reports,
    st.builds(
        interface.DemandReport, st.integers(0, 3), st.integers(0, 2), st.integers(0, 500), st.integers(0, 9), numbers
    ),
    st.builds(lambda p, z, r: interface.ProxyJoined(p, z, r, True), st.integers(0, 3), st.integers(0, 1), numbers),
    st.builds(interface.ProxyLeft, st.integers(0, 3)),
    st.builds(interface.GossipReceived, st.integers(0, 3), st.binary(max_size=256)),
    st.just(interface.EndpointUpdate(interface.UpdateKind.FAILED, 0)),
)
batches = st.lists(st.tuples(st.floats(0.0, 1500.0), st.lists(events, max_size=12)), max_size=25)
setting_overrides = st.fixed_dictionaries(
    {
        "admission_mode": st.sampled_from(["share", "rate", "off"]),
        "message_cap": st.sampled_from([0, 5, 12]),
        "queue_limit": st.sampled_from([0.0, 800.0, 4000.0]),
        "consecutive_failure_limit": st.sampled_from([0, 5]),
        "load_columns": st.sampled_from([("utilization",), ("outstanding",), ()]),
        "planner_count": st.integers(1, 3),
        "removal_is_advisory": st.booleans(),
    }
)


@settings(max_examples=120, deadline=None)
@given(setting_overrides, batches)
def test_limits_hold_and_actions_are_valid_for_any_events(
    overrides: dict[str, object], event_batches: list[tuple[float, list[interface.Event]]]
) -> None:
    harness = PolicyHarness(servers=[entry(n, n % 2) for n in range(6)], **overrides)  # type: ignore[arg-type]
    listed_servers = {server_id(n) for n in range(6)}
    queued_lines, queue_updated_at = 0.0, harness.now
    message_times: dict[int, list[float]] = {}
    for wait_ms, batch in event_batches:
        for event in batch:
            if isinstance(event, interface.EndpointUpdate):
                listed_servers |= {e.server for e in event.entries}
        actions = harness.send(*batch, wait_ms=wait_ms)
        lines = lines_by_proxy(harness, actions)
        queued_lines = max(0.0, queued_lines - (harness.now - queue_updated_at) / 1000.0 * SETTINGS.channel_rate) + sum(
            count + SETTINGS.message_overhead for count in lines.values()
        )
        queue_updated_at = harness.now
        for proxy in lines:
            recent = [t for t in message_times.get(proxy, []) if t > harness.now - 10000.0]
            message_times[proxy] = [*recent, harness.now]
            if harness.settings.message_cap:
                assert len(message_times[proxy]) <= harness.settings.message_cap
        if harness.settings.queue_limit:
            assert queued_lines <= harness.settings.queue_limit
        for action in actions:
            if isinstance(action, interface.SetWeight):
                assert action.server in listed_servers
                assert math.isfinite(action.weight)
                assert action.weight >= 0
            if isinstance(action, interface.SetAdmission):
                assert math.isfinite(action.admitted)
                assert action.admitted >= 0
                assert action.retry in (interface.Retry.NEVER, interface.Retry.ONCE_IF_NOT_EXECUTED)


def lines_by_proxy(harness: PolicyHarness, actions: list[interface.Action]) -> dict[int, int]:
    """Count the lines that actions send to each proxy, as the protocol specifies and not as the policy estimates."""
    lines: dict[int, int] = {}
    assigned = {p for a in actions if isinstance(a, interface.AssignTable) for p in [a.proxy]}
    for action in actions:
        if isinstance(action, interface.SetWeight | interface.SetAdmission):
            for proxy, tables in harness.assignments.items():
                if proxy not in assigned and action.table in tables.values():
                    lines[proxy] = lines.get(proxy, 0) + 1
        if isinstance(action, interface.AssignTable):
            lines[action.proxy] = lines.get(action.proxy, 0) + 2 + len(harness.tables.get(action.table, {}))
    return {p: n for p, n in lines.items() if p in harness.planner.proxies}


@settings(max_examples=40, deadline=None)
@given(batches)
def test_the_same_events_lead_to_the_same_actions(event_batches: list[tuple[float, list[interface.Event]]]) -> None:
    def run_events() -> list[interface.Action]:
        harness = PolicyHarness(servers=[entry(n, n % 2) for n in range(6)])
        for wait_ms, batch in event_batches:
            harness.send(*batch, wait_ms=wait_ms)
        return harness.actions

    assert run_events() == run_events()
