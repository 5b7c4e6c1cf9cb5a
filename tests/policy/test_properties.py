"""What must hold for any run of events."""

import math

from hypothesis import given, settings
from hypothesis import strategies as st
from policy_harness import SETTINGS, PolicyHarness, entry, server_id

from stackwheel import interface as face

numbers = st.floats(allow_nan=True, allow_infinity=True)
servers = st.integers(0, 7)
entries = st.builds(
    lambda n, availability, started, weight: entry(n, n % 2, availability, started, weight),
    servers,
    st.sampled_from(face.Availability),
    st.sampled_from([0.0, 99000.0, 104000.0]),
    numbers,
)
reports = st.builds(
    lambda zone, n, attempts, failures, mean, window, load: face.LoadReport(
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
    entries.map(lambda e: face.EndpointUpdate(face.UpdateKind.DELTA, 1, (e,))),
    st.lists(entries, max_size=8).map(lambda es: face.EndpointUpdate(face.UpdateKind.FULL, 1, tuple(es))),
    reports,
    reports,
    reports,
    st.builds(face.DemandReport, st.integers(0, 3), st.integers(0, 2), st.integers(0, 500), st.integers(0, 9), numbers),
    st.builds(lambda p, z, r: face.ProxyJoined(p, z, r, True), st.integers(0, 3), st.integers(0, 1), numbers),
    st.builds(face.ProxyLeft, st.integers(0, 3)),
    st.builds(face.GossipReceived, st.integers(0, 3), st.binary(max_size=256)),
    st.just(face.EndpointUpdate(face.UpdateKind.FAILED, 0)),
)
batches = st.lists(st.tuples(st.floats(0.0, 1500.0), st.lists(events, max_size=12)), max_size=25)
kinds = st.fixed_dictionaries(
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
@given(kinds, batches)
def test_any_run(kind: dict[str, object], run: list[tuple[float, list[face.Event]]]) -> None:
    harness = PolicyHarness(servers=[entry(n, n % 2) for n in range(6)], **kind)  # type: ignore[arg-type]
    ever = {server_id(n) for n in range(6)}
    queue, at = 0.0, harness.now
    written: dict[int, list[float]] = {}
    for wait, batch in run:
        for event in batch:
            if isinstance(event, face.EndpointUpdate):
                ever |= {e.server for e in event.entries}
        actions = harness.send(*batch, wait=wait)
        lines = lines_by_proxy(harness, actions)
        queue = max(0.0, queue - (harness.now - at) / 1000.0 * SETTINGS.channel_rate) + sum(
            count + SETTINGS.message_overhead for count in lines.values()
        )
        at = harness.now
        for proxy in lines:
            recent = [t for t in written.get(proxy, []) if t > harness.now - 10000.0]
            written[proxy] = [*recent, harness.now]
            if harness.settings.message_cap:
                assert len(written[proxy]) <= harness.settings.message_cap
        if harness.settings.queue_limit:
            assert queue <= harness.settings.queue_limit
        for action in actions:
            if isinstance(action, face.SetWeight):
                assert action.server in ever
                assert math.isfinite(action.weight)
                assert action.weight >= 0
            if isinstance(action, face.SetAdmission):
                assert math.isfinite(action.admitted)
                assert action.admitted >= 0
                assert action.retry in (face.Retry.NEVER, face.Retry.ONCE_IF_NOT_EXECUTED)


def lines_by_proxy(harness: PolicyHarness, actions: list[face.Action]) -> dict[int, int]:
    """What an update costs each proxy, counted by the protocol's page and not by the policy's model."""
    lines: dict[int, int] = {}
    joined = {p for a in actions if isinstance(a, face.AssignTable) for p in [a.proxy]}
    for action in actions:
        if isinstance(action, face.SetWeight | face.SetAdmission):
            for proxy, tables in harness.bindings.items():
                if proxy not in joined and action.table in tables.values():
                    lines[proxy] = lines.get(proxy, 0) + 1
        if isinstance(action, face.AssignTable):
            lines[action.proxy] = lines.get(action.proxy, 0) + 2 + len(harness.tables.get(action.table, {}))
    return {p: n for p, n in lines.items() if p in harness.planner.proxies}


@settings(max_examples=40, deadline=None)
@given(batches)
def test_the_same_events_lead_to_the_same_actions(run: list[tuple[float, list[face.Event]]]) -> None:
    def play() -> list[face.Action]:
        harness = PolicyHarness(servers=[entry(n, n % 2) for n in range(6)])
        for wait, batch in run:
            harness.send(*batch, wait=wait)
        return harness.actions

    assert play() == play()
