"""How a proxy forwards requests: admission, choice of a server, retries, and what it counts."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import NamedTuple, Protocol

from stackwheel.forwarder.state import ForwarderState, choose
from stackwheel.interface import Retry
from stackwheel.trials.context import SimulationContext
from stackwheel.trials.loop import Machine
from stackwheel.trials.requests import Attempts, Clients, Request, RequestReceiver
from stackwheel.trials.servers import AttemptProgress, Outcome

AVOID_S = 5.0  # that a server which failed too often in a row is avoided
MAX_IN_FLIGHT = 4096  # attempts of one proxy; more requests are rejected
RETRY_FACTOR = 0.8  # of the latency objective, after which an attempt is given up for another


class ForwardingProxy(RequestReceiver, Protocol):
    """What the forwarder needs of its proxy."""

    @property
    def random(self) -> Random:
        """Draws the proxy's choices."""

    @property
    def state(self) -> ForwarderState:
        """The proxy's tables."""

    @property
    def class_names(self) -> tuple[str, ...]:
        """The names of the request classes."""


@dataclass(slots=True)
class ServerStatistics:
    """What one server did since the last report; the time is ms of good answers in all."""

    attempts: float = 0.0
    failures: float = 0.0
    total_ms: float = 0.0

    def mean_ms(self) -> float:
        """The mean time of good answers."""
        return self.total_ms / max(1.0, self.attempts - self.failures)


class ClassDemand(NamedTuple):
    """Requests of one class since the last report."""

    class_name: str
    requests: int
    unserved: int


class Attempt(NamedTuple):
    """An attempt at a server: when it was sent (s), what comes of it, and the process that waits."""

    server: str
    sent_at: float
    outcome: Outcome
    retry: Retry
    process: Machine


class RequestForwarder:
    """Forwards the requests of one proxy.

    Attributes:
        in_flight: By server: attempts under way.
        consecutive_failures: By server.
        avoided_until: By server, in s.
        request_counts: By class, since the last report.
        unserved_counts: By class, since the last report: requests that no server was found for.
        statistics: By server, since the last report.
    """

    def __init__(
        self, context: SimulationContext, clients: Clients, attempts: Attempts, proxy: ForwardingProxy
    ) -> None:
        self.context = context
        self.clients = clients
        self.attempts = attempts
        self.proxy = proxy
        self.reset()

    def reset(self) -> None:
        """Begin with nothing."""
        classes = len(self.context.shape.classes)
        self.in_flight: dict[str, int] = {}
        self.consecutive_failures: dict[str, int] = {}
        self.avoided_until: dict[str, float] = {}
        self.request_counts = [0] * classes
        self.unserved_counts = [0] * classes
        self.statistics: dict[str, ServerStatistics] = {}

    def take_demand(self) -> list[ClassDemand]:
        """The classes that had requests since the last report; the counts begin anew."""
        names = self.proxy.class_names
        demand = [
            ClassDemand(name, requests, unserved)
            for name, requests, unserved in zip(names, self.request_counts, self.unserved_counts, strict=True)
            if requests
        ]
        self.request_counts = [0] * len(names)
        self.unserved_counts = [0] * len(names)
        return demand

    def take_statistics(self) -> dict[str, ServerStatistics]:
        """What servers did since the last report; it begins anew."""
        statistics = self.statistics
        self.statistics = {}
        return statistics

    def receive(self, request: Request) -> None:
        """A request arrives: it is answered at once where its client has left or it is not admitted."""
        proxy = self.proxy
        now = self.context.loop.now
        class_index = request.class_index
        self.request_counts[class_index] += 1
        if now >= request.deadline:
            self.clients.finish(request, proxy, False, now)
            return
        shape = self.context.shape
        rate = proxy.rate() * shape.classes[class_index].share
        class_name = proxy.class_names[class_index]
        if not proxy.state.admits(class_name, shape.admission_mode, proxy.random, rate):
            self.clients.finish(request, proxy, False, now)
            return
        self.attempt(request)

    def attempt(self, request: Request) -> None:
        """Send a request to a server that the table allows; without one it is answered at once."""
        proxy = self.proxy
        context = self.context
        shape = context.shape
        now = context.loop.now
        class_name = proxy.class_names[request.class_index]
        table = proxy.state.class_tables[class_name]
        avoided = self.avoided_servers(now) if self.avoided_until else ()
        policy = shape.load_balancing_policy
        name = choose(table, policy, proxy.random, self.in_flight, avoided, request.attempted_servers)
        if name is None or sum(self.in_flight.values()) >= MAX_IN_FLIGHT:
            self.unserved_counts[request.class_index] += 1
            self.clients.finish(request, proxy, False, now)
            return
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        context.checker.attempt_sent(proxy.number, name, now * 1000.0)
        retry = proxy.state.retry_mode(class_name, Retry(shape.default_retry))
        until = request.deadline
        if retry >= Retry.ONCE and request.retries < retry - Retry.ONCE_IF_NOT_EXECUTED:
            objective = shape.classes[request.class_index].latency_objective
            until = min(until, now + RETRY_FACTOR * objective / 1000.0)
        outcome = self.attempts.attempt(request, proxy, name, until)
        context.loop.schedule_at(
            outcome.known_at,
            proxy.process,
            self.finish_attempt,
            request,
            Attempt(name, now, outcome, retry, proxy.process),
        )

    def avoided_servers(self, now: float) -> tuple[str, ...]:
        """The servers that are avoided for now."""
        self.avoided_until = {name: until for name, until in self.avoided_until.items() if until > now}
        return tuple(self.avoided_until)

    def finish_attempt(self, request: Request, attempt: Attempt) -> None:
        """What came of an attempt is known: answer, or try another server."""
        if attempt.process is not self.proxy.process:
            return
        now = self.context.loop.now
        outcome = attempt.outcome
        self.count_attempt(attempt, now)
        if outcome.succeeded:
            self.consecutive_failures.pop(attempt.server, None)
            self.clients.finish(request, self.proxy, now <= request.deadline, outcome.known_at)
            return
        self.count_failure(attempt.server, now)
        if self.may_retry(request, outcome, attempt.retry) and now < request.deadline:
            request.attempted_servers = (*request.attempted_servers, attempt.server)
            request.retries += 1
            self.attempt(request)
        else:
            self.clients.finish(request, self.proxy, False, outcome.known_at)

    def count_attempt(self, attempt: Attempt, now: float) -> None:
        """An attempt is no longer in flight; count it for the next report."""
        left = self.in_flight[attempt.server] - 1
        if left:
            self.in_flight[attempt.server] = left
        else:
            del self.in_flight[attempt.server]
        statistics = self.statistics.get(attempt.server)
        if statistics is None:
            statistics = self.statistics[attempt.server] = ServerStatistics()
        succeeded = attempt.outcome.succeeded
        statistics.attempts += 1
        statistics.failures += not succeeded
        statistics.total_ms += succeeded * (now - attempt.sent_at) * 1000.0

    def count_failure(self, server: str, now: float) -> None:
        """A server has failed; after too many failures in a row it is avoided."""
        limit = self.context.shape.consecutive_failure_limit
        if not limit:
            return
        self.consecutive_failures[server] = self.consecutive_failures.get(server, 0) + 1
        if self.consecutive_failures[server] >= limit:
            del self.consecutive_failures[server]
            self.avoided_until[server] = now + AVOID_S

    @staticmethod
    def may_retry(request: Request, outcome: Outcome, retry: Retry) -> bool:
        """Whether the retry mode allows another attempt, by how far the last one had come."""
        if retry is Retry.NEVER:
            return False
        if retry is Retry.ONCE_IF_NOT_EXECUTED:
            return outcome.progress is AttemptProgress.NOT_SENT and request.retries < 1
        return request.retries < (1 if retry is Retry.ONCE else 2)
