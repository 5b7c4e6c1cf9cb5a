"""Requests: clients that make them, attempts at servers, effects and final answers."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from stackwheel.trials.context import SimulationContext
from stackwheel.trials.fleet import ServerFleet
from stackwheel.trials.loop import Machine
from stackwheel.trials.servers import Outcome, Proof, Server
from stackwheel.trials.shape import ScriptClass

CLIENT_RETRY_DELAY_S = 0.05  # until a client tries again
LATE_VALUE = 0.15  # of an answer that misses the latency objective
DEADLINE_SPREAD = (0.5, 1.0)  # of the class's deadline
WORK_SPREAD = (0.5, 1.5)  # of the class's mean work
DEMAND_SPREAD = 0.5  # the least weight of a proxy in the demand; the largest is 1 more
NUMBER_MASK = 0xFFFFFFFF  # of a request's number in the digest


@dataclass(slots=True, eq=False)
class Request:
    """What a client asks for; its own retries are requests of their own.

    Attributes:
        number: Of all requests.
        class_index: Its request class.
        arrived_at: When the client asked first, in s.
        deadline: When the client gives up, in s.
        client_retries_left: How often the client asks again.
        attempted_servers: Where the proxy has tried.
        retries: Attempts of the proxy after the first.
    """

    number: int
    class_index: int
    arrived_at: float
    deadline: float
    client_retries_left: int
    attempted_servers: tuple[str, ...] = ()
    retries: int = 0


class RequestReceiver(Protocol):
    """What clients and attempts need of a proxy."""

    base_rate: float

    @property
    def number(self) -> int:
        """The proxy's number."""

    @property
    def zone(self) -> int:
        """The proxy's zone."""

    @property
    def machine(self) -> Machine:
        """What its connections belong to."""

    @property
    def process(self) -> Machine:
        """What takes requests."""

    def rate(self) -> float:
        """Requests a second that clients make."""

    def receive_request(self, request: Request) -> None:
        """A request arrives."""


class Clients:
    """All clients: they make requests at proxies, retry, and value answers.

    Attributes:
        requested_value: Priority weights of all requests.
        answered_value: What was answered, by priority weight and time.
        request_count: Requests so far, clients' retries included.
        cumulative_rates: By proxy and class, so that one draw finds both.
    """

    def __init__(self, context: SimulationContext, proxies: Sequence[RequestReceiver]) -> None:
        self.context = context
        self.proxies = proxies
        self.requested_value = 0.0
        self.answered_value = 0.0
        self.request_count = 0
        self.cumulative_rates: list[float] = []

    def set_demand(self, servers: Sequence[Server]) -> None:
        """Set the requests a second of each proxy, from what the servers can do together."""
        shape = self.context.shape
        capacity = sum(1000.0 * shape.cores * server.speed for server in servers)
        work = sum(request_class.share * request_class.work for request_class in shape.classes)
        total = shape.utilization * capacity / work
        weights = [DEMAND_SPREAD + self.context.random.random() for _ in self.proxies]
        for proxy, weight in zip(self.proxies, weights, strict=True):
            proxy.base_rate = total * weight / sum(weights)
        self.rates_changed()

    def rates_changed(self) -> None:
        """Work out the cumulative rates again."""
        self.cumulative_rates = []
        total = 0.0
        for proxy in self.proxies:
            for request_class in self.context.shape.classes:
                total += proxy.rate() * request_class.share
                self.cumulative_rates.append(total)

    def make_next_request(self) -> None:
        """Make a request at a random proxy, and schedule the next one."""
        context = self.context
        now = context.loop.now
        total = self.cumulative_rates[-1]
        if total > 0:
            drawn = bisect(self.cumulative_rates, context.random.random() * total)
            index = min(drawn, len(self.cumulative_rates) - 1)
            proxy_index, class_index = divmod(index, len(context.shape.classes))
            request_class = context.shape.classes[class_index]
            deadline = now + request_class.deadline / 1000.0 * context.random.uniform(*DEADLINE_SPREAD)
            self.requested_value += request_class.priority_weight
            self.request_count += 1
            request = Request(self.request_count, class_index, now, deadline, context.shape.client_retries)
            proxy = self.proxies[proxy_index]
            context.loop.schedule_at(now, proxy.process, proxy.receive_request, request)
        context.schedule_after(context.random.expovariate(max(1.0, total)), self.make_next_request)

    def finish(self, request: Request, proxy: RequestReceiver, good: bool, decided_at: float) -> None:
        """A final answer goes to a client at once; the client may ask again.

        Args:
            request: What was asked for.
            proxy: Who answers.
            good: Whether it is what the client asked for, in time.
            decided_at: When the answer could have been given, in s.
        """
        context = self.context
        now = context.loop.now
        context.checker.request_answered(request.number, proxy.number, min(decided_at, now) * 1000.0, now * 1000.0)
        context.checker.forget_request(request.number)
        request_class = context.shape.classes[request.class_index]
        context.digest.add(now, request.number & NUMBER_MASK, b"+" if good else b"-")
        if good:
            in_time = now - request.arrived_at <= request_class.latency_objective / 1000.0
            self.answered_value += request_class.priority_weight * (1.0 if in_time else LATE_VALUE)
        elif request.client_retries_left and now + CLIENT_RETRY_DELAY_S < request.deadline:
            self.retry(request, proxy)

    def retry(self, request: Request, proxy: RequestReceiver) -> None:
        """A client asks the same proxy again."""
        loop = self.context.loop
        self.request_count += 1
        again = Request(
            self.request_count,
            request.class_index,
            request.arrived_at,
            request.deadline,
            request.client_retries_left - 1,
        )
        loop.schedule_at(loop.now + CLIENT_RETRY_DELAY_S, proxy.process, proxy.receive_request, again)

    def service(self) -> float:
        """Value answered over value requested."""
        return self.answered_value / self.requested_value if self.requested_value else 1.0


class Attempts:
    """Attempts of proxies at servers, and the effects that requests take there."""

    def __init__(self, context: SimulationContext, fleet: ServerFleet) -> None:
        self.context = context
        self.fleet = fleet

    def attempt(self, request: Request, proxy: RequestReceiver, name: str, until: float) -> Outcome:
        """An attempt leaves a proxy for a server; the proxy waits for an answer until `until` (s)."""
        context = self.context
        shape = context.shape
        now = context.loop.now
        request_class = shape.classes[request.class_index]
        server = self.fleet.servers.get(name)
        if server is None:
            return Outcome(now + 2 * shape.cross_zone_latency / 1000.0, False, Proof.NOT_SENT, None)
        latency = (shape.zone_latency if server.zone == proxy.zone else shape.cross_zone_latency) / 1000.0
        if context.network.cuts and self.is_cut_off(proxy, server):
            return Outcome(until, False, Proof.UNKNOWN, None)
        work = request_class.work * context.random.uniform(*WORK_SPREAD)
        outcome = server.serve(now, latency, work, until, context.random)
        if outcome.effect_at is not None:
            self.take_effect(request, request_class, proxy, server, outcome.effect_at)
        return outcome

    def is_cut_off(self, proxy: RequestReceiver, server: Server) -> bool:
        """Whether something does not pass between a proxy and a server."""
        cuts = self.context.network.cuts
        proxy_name = proxy.machine.name
        server_name = f"server-{server.slot}"
        return (proxy_name, server_name) in cuts or (server_name, proxy_name) in cuts

    def take_effect(
        self, request: Request, request_class: ScriptClass, proxy: RequestReceiver, server: Server, at: float
    ) -> None:
        """A request runs at a server, unless its key shows that it ran within the scope before."""
        checker = self.context.checker
        scope = server.zone if request_class.deduplication_scope == "zone" else 0
        at_ms = at * 1000.0
        if request_class.idempotency == "by_key":
            ttl = request_class.idempotency_key_ttl
            effects = checker.executions.get(request.number, [])
            if any(known_scope == scope and at_ms - known_at < ttl for known_scope, known_at in effects):
                return
        checker.request_executed(request.number, request.class_index, scope, proxy.number, server.name, at_ms)
