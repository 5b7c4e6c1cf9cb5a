"""Requests: the clients that make them, attempts at servers, executions and final answers."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from stackwheel.trials.context import SimulationContext
from stackwheel.trials.fleet import ServerFleet
from stackwheel.trials.loop import Machine
from stackwheel.trials.servers import AttemptProgress, Outcome, Server
from stackwheel.trials.shape import ScriptClass

CLIENT_RETRY_DELAY_S = 0.05
LATE_ANSWER_VALUE = 0.15  # relative to an answer within the latency objective
DEADLINE_FACTOR_RANGE = (0.5, 1.0)  # relative to the deadline of the request class
WORK_FACTOR_RANGE = (0.5, 1.5)  # relative to the mean work of the request class
MIN_DEMAND_WEIGHT = 0.5  # constant part of a demand weight; a random number from 0 to 1 is added for each proxy
REQUEST_NUMBER_MASK = 0xFFFFFFFF  # the digest contains 32 bits of a request's number


@dataclass(slots=True, eq=False)
class Request:
    """A request of a client; each retry of the client is a request of its own.

    Attributes:
        number: Number of the request, unique in a trial.
        class_index: Index of the request class.
        arrived_at: Time of the client's first request, in s.
        deadline: Time until which the client waits, in s.
        client_retries_left: Number of retries that the client may still make.
        attempted_servers: Names of the servers at which attempts have failed.
        retries: Number of the proxy's attempts after the first.
    """

    number: int
    class_index: int
    arrived_at: float
    deadline: float
    client_retries_left: int
    attempted_servers: tuple[str, ...] = ()
    retries: int = 0


class RequestReceiver(Protocol):
    """The part of a proxy that clients and attempts use."""

    base_rate: float

    @property
    def number(self) -> int:
        """Number of the proxy."""

    @property
    def zone(self) -> int:
        """Index of the proxy's zone."""

    @property
    def machine(self) -> Machine:
        """Machine that the proxy's connections belong to."""

    @property
    def process(self) -> Machine:
        """Machine of the process that forwards requests."""

    def rate(self) -> float:
        """Return the rate of the clients' requests, in requests per second."""

    def receive_request(self, request: Request) -> None:
        """Receive a request of a client."""


class Clients:
    """All clients: they send requests to proxies, retry them, and record the value of the answers.

    Attributes:
        requested_value: Sum of the priority weights of all requests.
        answered_value: Sum of the priority weights of all answered requests, reduced for late answers.
        request_count: Number of requests, retries of clients included.
        cumulative_rates: Cumulative request rates over all proxies and request classes, for drawing both at once.
    """

    def __init__(self, context: SimulationContext, proxies: Sequence[RequestReceiver]) -> None:
        self.context = context
        self.proxies = proxies
        self.requested_value = 0.0
        self.answered_value = 0.0
        self.request_count = 0
        self.cumulative_rates: list[float] = []

    def set_demand(self, servers: Sequence[Server]) -> None:
        """Set the base request rate of each proxy according to the total capacity of the servers."""
        shape = self.context.shape
        capacity = sum(1000.0 * shape.cores * server.speed for server in servers)
        work = sum(request_class.share * request_class.work for request_class in shape.classes)
        total = shape.utilization * capacity / work
        weights = [MIN_DEMAND_WEIGHT + self.context.random.random() for _ in self.proxies]
        for proxy, weight in zip(self.proxies, weights, strict=True):
            proxy.base_rate = total * weight / sum(weights)
        self.rates_changed()

    def rates_changed(self) -> None:
        """Recompute the cumulative rates."""
        self.cumulative_rates = []
        total = 0.0
        for proxy in self.proxies:
            for request_class in self.context.shape.classes:
                total += proxy.rate() * request_class.share
                self.cumulative_rates.append(total)

    def make_next_request(self) -> None:
        """Send a request to a random proxy and schedule the next one."""
        context = self.context
        now = context.loop.now
        total = self.cumulative_rates[-1]
        if total > 0:
            drawn = bisect(self.cumulative_rates, context.random.random() * total)
            index = min(drawn, len(self.cumulative_rates) - 1)
            proxy_index, class_index = divmod(index, len(context.shape.classes))
            request_class = context.shape.classes[class_index]
            deadline = now + request_class.deadline / 1000.0 * context.random.uniform(*DEADLINE_FACTOR_RANGE)
            self.requested_value += request_class.priority_weight
            self.request_count += 1
            request = Request(self.request_count, class_index, now, deadline, context.shape.client_retries)
            proxy = self.proxies[proxy_index]
            context.loop.schedule_at(now, proxy.process, proxy.receive_request, request)
        context.schedule_after(context.random.expovariate(max(1.0, total)), self.make_next_request)

    def finish(self, request: Request, proxy: RequestReceiver, good: bool, decided_at: float) -> None:
        """Pass the final answer to the client, which may retry.

        Args:
            request: The answered request.
            proxy: The proxy that answers.
            good: Whether the request succeeded before its deadline.
            decided_at: Earliest time at which the answer could have been sent, in s.
        """
        context = self.context
        now = context.loop.now
        context.checker.request_answered(request.number, proxy.number, min(decided_at, now) * 1000.0, now * 1000.0)
        context.checker.forget_request(request.number)
        request_class = context.shape.classes[request.class_index]
        context.digest.add(now, request.number & REQUEST_NUMBER_MASK, b"+" if good else b"-")
        if good:
            in_time = now - request.arrived_at <= request_class.latency_objective / 1000.0
            self.answered_value += request_class.priority_weight * (1.0 if in_time else LATE_ANSWER_VALUE)
        elif request.client_retries_left and now + CLIENT_RETRY_DELAY_S < request.deadline:
            self.retry(request, proxy)

    def retry(self, request: Request, proxy: RequestReceiver) -> None:
        """Schedule a retry of a client at the same proxy."""
        loop = self.context.loop
        self.request_count += 1
        new_request = Request(
            self.request_count,
            request.class_index,
            request.arrived_at,
            request.deadline,
            request.client_retries_left - 1,
        )
        loop.schedule_at(loop.now + CLIENT_RETRY_DELAY_S, proxy.process, proxy.receive_request, new_request)

    def answered_value_share(self) -> float:
        """Return the answered value divided by the requested value; 1 without requests."""
        return self.answered_value / self.requested_value if self.requested_value else 1.0


class Attempts:
    """Attempts of proxies at servers, and the executions of requests there."""

    def __init__(self, context: SimulationContext, fleet: ServerFleet) -> None:
        self.context = context
        self.fleet = fleet

    def attempt(self, request: Request, proxy: RequestReceiver, name: str, until: float) -> Outcome:
        """Send a request from a proxy to a server; the proxy waits for an answer until the time `until` (s)."""
        context = self.context
        shape = context.shape
        now = context.loop.now
        request_class = shape.classes[request.class_index]
        server = self.fleet.servers.get(name)
        if server is None:
            return Outcome(now + 2 * shape.cross_zone_latency / 1000.0, False, AttemptProgress.NOT_SENT, None)
        latency = (shape.zone_latency if server.zone == proxy.zone else shape.cross_zone_latency) / 1000.0
        if context.network.cuts and self.is_cut_off(proxy, server):
            return Outcome(until, False, AttemptProgress.UNKNOWN, None)
        work = request_class.work * context.random.uniform(*WORK_FACTOR_RANGE)
        outcome = server.serve(now, latency, work, until, context.random)
        if outcome.effect_at is not None:
            self.execute(request, request_class, proxy, server, outcome.effect_at)
        return outcome

    def is_cut_off(self, proxy: RequestReceiver, server: Server) -> bool:
        """Return whether the path between a proxy and a server is cut in at least one direction."""
        cuts = self.context.network.cuts
        proxy_name = proxy.machine.name
        server_name = f"server-{server.slot}"
        return (proxy_name, server_name) in cuts or (server_name, proxy_name) in cuts

    def execute(
        self, request: Request, request_class: ScriptClass, proxy: RequestReceiver, server: Server, executed_at: float
    ) -> None:
        """Record the execution of a request, unless the server recognises its idempotency key within the scope."""
        checker = self.context.checker
        scope = server.zone if request_class.deduplication_scope == "zone" else 0
        executed_at_ms = executed_at * 1000.0
        if request_class.idempotency == "by_key":
            ttl = request_class.idempotency_key_ttl
            previous = checker.executions.get(request.number, [])
            if any(other_scope == scope and executed_at_ms - other_at < ttl for other_scope, other_at in previous):
                return
        checker.record_execution(request.number, request.class_index, scope, proxy.number, server.name, executed_at_ms)
