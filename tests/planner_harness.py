"""A harness for the planner actor, with a scripted policy, recording ports and fake connections."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from policy_harness import SETTINGS

from stackwheel.endpoints import EndpointList, Instance
from stackwheel.interface import Action, AttachNonce, Availability, Event, ServerId, Settings
from stackwheel.policy.planner import Planner
from stackwheel.state.clock import Clock
from stackwheel.state.endpoint_cache import EndpointCache
from stackwheel.state.messages import HealthCheckTarget, PlannerMessage
from stackwheel.state.planner_actor import PlannerActor, PolicyOptions
from stackwheel.state.server_ids import ServerIds
from stackwheel.state.streams import ProxyStream, StreamConnection
from stackwheel.state.table_updates import ProxyUpdate

ACK_TIMEOUT = 5000.0  # ms
SEED = 40


class FakeConnection:
    """A connection of a stream that counts how often it was superseded."""

    def __init__(self) -> None:
        self.superseded_count = 0

    def on_superseded(self) -> None:
        self.superseded_count += 1

    def on_attached(self) -> None:
        pass


class RecordingPorts:
    """Ports that record each call as a tuple of its kind and arguments."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    def deliver(self, messages: Sequence[tuple[StreamConnection, ProxyUpdate]]) -> None:
        self.calls += [("update", update.proxy, update) for _, update in messages]

    def watch_endpoints(self, enabled: bool) -> None:
        self.calls.append(("watch", enabled))

    def fetch_endpoints(self) -> None:
        self.calls.append(("fetch",))

    def start_health_check(self, server: ServerId, target: HealthCheckTarget) -> None:
        self.calls.append(("health check", server, target))

    def send_gossip(self, payload: bytes, peer: int | None) -> None:
        self.calls.append(("gossip", payload, peer))


class ScriptedPolicy:
    """A replacement for the policy that records events, and returns or raises scripted replies."""

    def __init__(self, _settings: Settings, seed: int) -> None:
        self.seed = seed
        self.batches: list[list[Event]] = []
        self.replies: list[list[Action] | Exception] = []

    def handle(self, _now: float, events: Sequence[Event]) -> list[Action]:
        self.batches.append(list(events))
        reply = self.replies.pop(0) if self.replies else []
        if isinstance(reply, Exception):
            raise reply
        return list(reply)


class ManualClock:
    """A clock whose time is set by the test, ms."""

    def __init__(self, time: float = 0.0) -> None:
        self.time = time

    def now(self) -> float:
        return self.time


class ActorHarness:
    """A planner actor with an endpoint list of generation 1 that contains the servers s-0 and s-1."""

    def __init__(self, clock: ManualClock | None = None) -> None:
        self.policies: list[ScriptedPolicy] = []
        self.ports = RecordingPorts()
        endpoints = EndpointCache(("east", "west"), ("small",), ServerIds())
        endpoints.apply(endpoint_list("s-0", "s-1"))
        self.actor = PlannerActor(
            PolicyOptions(SETTINGS, SEED, self.make_policy),
            0.0,
            clock or Clock(),  # type: ignore[arg-type]
            endpoints,
            self.ports,
            ACK_TIMEOUT,
        )

    def make_policy(self, settings: Settings, seed: int) -> Planner:
        self.policies.append(ScriptedPolicy(settings, seed))
        return self.policies[-1]  # type: ignore[return-value]

    def send_nonce(self, nonce: int) -> None:
        """Process a batch in which the policy requests acknowledgements from all proxies."""
        self.policies[-1].replies.append([AttachNonce(nonce, True)])
        self.process()

    def process(self, *messages: PlannerMessage) -> list[Event]:
        """Post messages, process them as one batch, and return the events that the policy received."""
        for message in messages:
            self.actor.post(message)
        self.actor.process_batch()
        return list(self.policies[-1].batches[-1])


def endpoint_list(*names: str, complete: bool = True, generation: int = 1) -> EndpointList:
    return EndpointList(generation, complete, tuple(ready_instance(name) for name in names))


def ready_instance(name: str, address: str = "127.0.0.1:1", started_at: float = 0.0) -> Instance:
    return Instance(name, address, "east", "small", 0, Availability.READY, 1.0, started_at)


def proxy_stream(proxy: int, connection: FakeConnection, newly_started: bool = True) -> ProxyStream:
    return ProxyStream(proxy, 0, 20.0, newly_started, connection)
