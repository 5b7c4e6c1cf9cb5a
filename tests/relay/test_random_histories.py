"""Random histories of two relays with delays, restarts and disconnections, and of planners that switch between them."""

from __future__ import annotations

from random import Random

import pytest
from endpoint_lists import DRAINING, READY, REMOVED, PlannerView, delta_list, instance, snapshot_list, watch_cache_of

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.relay.messages import EndWatches, SendDelta, SendSnapshot
from stackwheel.relay.watch_cache import WatchCache
from stackwheel.wire import timing

STEPS = 120
NAMES = tuple(f"a-{number}" for number in range(5))


class Discovery:
    """The discovery service, with the complete list of each generation."""

    def __init__(self) -> None:
        self.history: list[dict[str, Instance]] = [{}]
        self.generation = 0

    def change(self, random: Random, now: float) -> None:
        listed = dict(self.history[-1])
        name = random.choice(NAMES)
        known = listed.get(name)
        if known is None or random.random() < 0.2:
            listed[name] = instance(name, started=now + 1.0)
        elif known.availability is READY and random.random() < 0.6:
            listed[name] = instance(name, DRAINING, started=known.started_at)
        else:
            del listed[name]
        self.history.append(listed)
        self.generation += 1

    def snapshot(self) -> EndpointList:
        return snapshot_list(self.generation, *self.history[-1].values())

    def delta(self, since: int, up_to: int) -> EndpointList:
        previous = self.history[since]
        listed = self.history[up_to]
        changed = [entry for name, entry in listed.items() if previous.get(name) != entry]
        for generation in range(since, up_to):
            for name, entry in self.history[generation].items():
                if name not in listed and name not in {known.name for known in changed}:
                    changed.append(instance(name, REMOVED, started=entry.started_at))
        return delta_list(up_to, *changed)


class Relay:
    """A watch cache that receives lists with delays, and the planners that watch it."""

    def __init__(self, discovery: Discovery) -> None:
        self.discovery = discovery
        self.watchers: list[Planner] = []
        self.start()

    def start(self) -> None:
        self.cache: WatchCache = watch_cache_of("a")
        self.connected = False
        self.end_watches()

    def end_watches(self) -> None:
        for planner in self.watchers:
            planner.relay = None
        self.watchers.clear()

    def receive(self, random: Random, now: float) -> None:
        """Receive a complete list, some or all of the missing changes, or a heartbeat."""
        known = self.cache.generation
        if known is None or (not self.connected and random.random() < 0.3):
            self.perform(self.cache.apply(self.discovery.snapshot(), now))
        elif known < self.discovery.generation:
            up_to = random.randint(known + 1, self.discovery.generation)
            self.perform(self.cache.apply(self.discovery.delta(known, up_to), now))
        else:
            self.cache.mark_upstream_alive(now)
        self.connected = True

    def perform(self, actions: tuple[object, ...]) -> None:
        for action in actions:
            match action:
                case SendDelta(_, line):
                    for planner in self.watchers:
                        planner.view.receive(line)
                case SendSnapshot(cell):
                    snapshot = self.cache.snapshot(cell)
                    assert snapshot is not None
                    for planner in self.watchers:
                        planner.view.receive(snapshot)
                case EndWatches():
                    self.end_watches()


class Planner:
    def __init__(self) -> None:
        self.view = PlannerView()
        self.relay: Relay | None = None
        self.latest_progress: dict[str, tuple[float, int]] = {}

    def open_watch(self, relay: Relay, now: float) -> None:
        if self.view.open_watch(relay.cache, "a", now):
            self.relay = relay
            relay.watchers.append(self)

    def check_no_reversal(self) -> None:
        """Check that no server returns from draining to ready, or from a newer process to an older one."""
        order = {READY: 0, DRAINING: 1}
        for server, entry in self.view.endpoints.entries.items():
            name = self.view.endpoints.server_ids.name(server) or "?"
            progress = entry.started_at, order[entry.availability]
            assert progress >= self.latest_progress.get(name, progress), f"{name} returned to an earlier state"
            self.latest_progress[name] = progress


@pytest.mark.parametrize("seed", range(150))
def test_planners_reach_the_current_list_without_reverted_states(seed: int) -> None:
    random = Random(seed)
    discovery = Discovery()
    now = 0.0
    relays = [Relay(discovery), Relay(discovery)]
    planners = [Planner(), Planner(), Planner()]
    for _ in range(STEPS):
        now += random.choice((1.0, 200.0, 900.0))
        relay, planner = random.choice(relays), random.choice(planners)
        match random.choice(
            (
                "change",
                "change",
                "receive",
                "receive",
                "open watch",
                "open watch",
                "restart relay",
                "lose upstream",
                "close watch",
            )
        ):
            case "change":
                discovery.change(random, now)
            case "receive":
                relay.receive(random, now)
            case "open watch" if planner.relay is None:
                planner.open_watch(relay, now)
            case "restart relay" if random.random() < 0.3:
                relay.start()
            case "lose upstream" if random.random() < 0.3:
                relay.connected = False
                now += timing.WATCH_SILENCE_TIMEOUT_MS
            case "close watch" if planner.relay is not None:
                planner.relay.watchers.remove(planner)
                planner.relay = None
        for relay in relays:
            relay.perform(relay.cache.tick(now))
        for planner in planners:
            planner.check_no_reversal()
    for _ in range(STEPS):
        for relay in relays:
            relay.receive(random, now)
    for planner in planners:
        if planner.relay is None:
            planner.open_watch(relays[0], now)
        planner.check_no_reversal()
        assert planner.view.listed_servers() == {
            entry.name: entry.availability for entry in discovery.history[-1].values()
        }
