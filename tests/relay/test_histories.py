"""Drawn histories: two relays that lag, die, lose the registry and come back, and planners that go between them."""

from __future__ import annotations

from random import Random

import pytest
from lists import DRAINING, GONE, READY, Follower, cache, changes, server, whole

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.relay.cache import ListingCache
from stackwheel.relay.messages import EndWatches, TellChanges, TellWhole
from stackwheel.wire import timing

STEPS = 120
NAMES = tuple(f"a-{number}" for number in range(5))


class Registry:
    """The truth, each change of it a generation."""

    def __init__(self) -> None:
        self.history: list[dict[str, Instance]] = [{}]
        self.generation = 0

    def change(self, random: Random, now: float) -> None:
        listed = dict(self.history[-1])
        name = random.choice(NAMES)
        known = listed.get(name)
        if known is None or random.random() < 0.2:
            listed[name] = server(name, started=now + 1.0)
        elif known.availability is READY and random.random() < 0.6:
            listed[name] = server(name, DRAINING, started=known.started_at)
        else:
            del listed[name]
        self.history.append(listed)
        self.generation += 1

    def whole(self, random: Random) -> EndpointList:
        return whole(self.generation, *self.history[-1].values())

    def since(self, generation: int, upto: int) -> EndpointList:
        former, listed = self.history[generation], self.history[upto]
        told = [one for name, one in listed.items() if former.get(name) != one]
        for at in range(generation, upto):
            for name, one in self.history[at].items():
                if name not in listed and name not in {known.name for known in told}:
                    told.append(server(name, GONE, started=one.started_at))
        return changes(upto, *told)


class Relay:
    """A cache behind a watch that may lag, and the planners that watch it."""

    def __init__(self, registry: Registry) -> None:
        self.registry = registry
        self.watchers: list[Planner] = []
        self.start()

    def start(self) -> None:
        self.cache: ListingCache = cache("a")
        self.connected = False
        self.end_watches()

    def end_watches(self) -> None:
        for planner in self.watchers:
            planner.relay = None
        self.watchers.clear()

    def hear(self, random: Random, now: float) -> None:
        """The next of what the registry has to tell, whether all of it at once or not."""
        known = self.cache.generation
        if known is None or (not self.connected and random.random() < 0.3):
            self.perform(self.cache.take(self.registry.whole(random), now))
        elif known < self.registry.generation:
            upto = random.randint(known + 1, self.registry.generation)
            self.perform(self.cache.take(self.registry.since(known, upto), now))
        else:
            self.cache.heard(now)
        self.connected = True

    def perform(self, actions: tuple[object, ...]) -> None:
        for action in actions:
            match action:
                case TellChanges(_, line):
                    for planner in self.watchers:
                        planner.follower.hear(line)
                case TellWhole(cell):
                    line = self.cache.whole(cell)
                    assert line is not None
                    for planner in self.watchers:
                        planner.follower.hear(line)
                case EndWatches():
                    self.end_watches()


class Planner:
    def __init__(self) -> None:
        self.follower = Follower()
        self.relay: Relay | None = None
        self.newest: dict[str, tuple[float, int]] = {}

    def call(self, relay: Relay, now: float) -> None:
        if self.follower.call(relay.cache, "a", now):
            self.relay = relay
            relay.watchers.append(self)

    def check(self) -> None:
        """No server goes back from draining to ready, or from a newer process to an older one."""
        order = {READY: 0, DRAINING: 1}
        for server_id, entry in self.follower.roster.entries.items():
            name = self.follower.roster.server_ids.name(server_id) or "?"
            word = entry.started_at, order[entry.availability]
            assert word >= self.newest.get(name, word), f"{name} was taken backwards"
            self.newest[name] = word


@pytest.mark.parametrize("seed", range(150))
def test_nothing_is_lost_doubled_or_taken_backwards(seed: int) -> None:
    random, registry, now = Random(seed), Registry(), 0.0
    relays = [Relay(registry), Relay(registry)]
    planners = [Planner(), Planner(), Planner()]
    for _ in range(STEPS):
        now += random.choice((1.0, 200.0, 900.0))
        relay, planner = random.choice(relays), random.choice(planners)
        match random.choice(("change", "change", "hear", "hear", "call", "call", "kill", "cut", "break")):
            case "change":
                registry.change(random, now)
            case "hear":
                relay.hear(random, now)
            case "call" if planner.relay is None:
                planner.call(relay, now)
            case "kill" if random.random() < 0.3:
                relay.start()
            case "cut" if random.random() < 0.3:
                relay.connected = False
                now += timing.WATCH_SILENCE_TIMEOUT_MS
            case "break" if planner.relay is not None:
                planner.relay.watchers.remove(planner)
                planner.relay = None
        for relay in relays:
            relay.perform(relay.cache.tick(now))
        for planner in planners:
            planner.check()
    for _ in range(STEPS):
        for relay in relays:
            relay.hear(random, now)
    for planner in planners:
        if planner.relay is None:
            planner.call(relays[0], now)
        planner.check()
        assert planner.follower.holds() == {one.name: one.availability for one in registry.history[-1].values()}
