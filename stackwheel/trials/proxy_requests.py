"""Forwarding of requests by a simulated proxy: admission, choice of a server, retries and statistics."""

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

AVOIDANCE_DURATION_S = 5.0  # begins when a server has had too many consecutive failures
MAX_ATTEMPTS_IN_FLIGHT = 4096  # per proxy; further requests are rejected
ATTEMPT_TIMEOUT_FACTOR = 0.8  # relative to the latency objective; applies to attempts that may be retried


class ForwardingProxy(RequestReceiver, Protocol):
    """The part of a proxy that its forwarder uses."""

    @property
    def random(self) -> Random:
        """Random numbers for the choices of the proxy."""

    @property
    def state(self) -> ForwarderState:
        """Tables of the proxy."""

    @property
    def class_names(self) -> tuple[str, ...]:
        """Names of the request classes."""


@dataclass(slots=True)
class ServerStatistics:
    """Statistics of one server since the last report; `total_ms` is the sum of all successful attempts' latencies."""

    attempts: float = 0.0
    failures: float = 0.0
    total_ms: float = 0.0

    def mean_ms(self) -> float:
        """Return the mean latency of successful attempts, in ms."""
        return self.total_ms / max(1.0, self.attempts - self.failures)


class ClassDemand(NamedTuple):
    """Number of requests of one class, and of unserved ones among them, since the last report."""

    class_name: str
    requests: int
    unserved: int


class Attempt(NamedTuple):
    """An attempt at a server, with its time (s), its outcome, the retry mode and the waiting process."""

    server: str
    sent_at: float
    outcome: Outcome
    retry: Retry
    process: Machine


class RequestForwarder:
    """Forwards the requests of one proxy.

    Attributes:
        in_flight: By server: number of attempts in flight.
        consecutive_failures: By server: number of consecutive failed attempts.
        avoided_until: By server: time until which the server is avoided, in s.
        request_counts: By class index: number of requests since the last report.
        unserved_counts: By class index: number of requests without an available server since the last report.
        statistics: By server: statistics since the last report.
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
        """Reset all counts and statistics."""
        classes = len(self.context.shape.classes)
        self.in_flight: dict[str, int] = {}
        self.consecutive_failures: dict[str, int] = {}
        self.avoided_until: dict[str, float] = {}
        self.request_counts = [0] * classes
        self.unserved_counts = [0] * classes
        self.statistics: dict[str, ServerStatistics] = {}

    def take_demand(self) -> list[ClassDemand]:
        """Return and reset the demand of all classes with requests since the last report."""
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
        """Return and reset the statistics of servers since the last report."""
        statistics = self.statistics
        self.statistics = {}
        return statistics

    def receive(self, request: Request) -> None:
        """Forward a request, or answer it at once if its deadline has passed or it is not admitted."""
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
        """Send a request to a server of the table; answer it at once if no server is available."""
        proxy = self.proxy
        context = self.context
        shape = context.shape
        now = context.loop.now
        class_name = proxy.class_names[request.class_index]
        table = proxy.state.class_tables[class_name]
        avoided = self.avoided_servers(now) if self.avoided_until else ()
        policy = shape.load_balancing_policy
        name = choose(table, policy, proxy.random, self.in_flight, avoided, request.attempted_servers)
        if name is None or sum(self.in_flight.values()) >= MAX_ATTEMPTS_IN_FLIGHT:
            self.unserved_counts[request.class_index] += 1
            self.clients.finish(request, proxy, False, now)
            return
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        context.checker.attempt_sent(proxy.number, name, now * 1000.0)
        retry = proxy.state.retry_mode(class_name, Retry(shape.default_retry))
        until = request.deadline
        if retry >= Retry.ONCE and request.retries < retry - Retry.ONCE_IF_NOT_EXECUTED:
            objective = shape.classes[request.class_index].latency_objective
            until = min(until, now + ATTEMPT_TIMEOUT_FACTOR * objective / 1000.0)
        outcome = self.attempts.attempt(request, proxy, name, until)
        context.loop.schedule_at(
            outcome.known_at,
            proxy.process,
            self.finish_attempt,
            request,
            Attempt(name, now, outcome, retry, proxy.process),
        )

    def avoided_servers(self, now: float) -> tuple[str, ...]:
        """Return the names of the servers that are avoided at a given time."""
        self.avoided_until = {name: until for name, until in self.avoided_until.items() if until > now}
        return tuple(self.avoided_until)

    def finish_attempt(self, request: Request, attempt: Attempt) -> None:
        """Process the outcome of an attempt: answer the request or try another server."""
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
        """Remove an attempt from those in flight and add it to the statistics."""
        remaining = self.in_flight[attempt.server] - 1
        if remaining:
            self.in_flight[attempt.server] = remaining
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
        """Count a failed attempt at a server; after too many consecutive failures, avoid the server."""
        limit = self.context.shape.consecutive_failure_limit
        if not limit:
            return
        self.consecutive_failures[server] = self.consecutive_failures.get(server, 0) + 1
        if self.consecutive_failures[server] >= limit:
            del self.consecutive_failures[server]
            self.avoided_until[server] = now + AVOIDANCE_DURATION_S

    @staticmethod
    def may_retry(request: Request, outcome: Outcome, retry: Retry) -> bool:
        """Return whether the retry mode allows another attempt after an outcome."""
        if retry is Retry.NEVER:
            return False
        if retry is Retry.ONCE_IF_NOT_EXECUTED:
            return outcome.progress is AttemptProgress.NOT_SENT and request.retries < 1
        return request.retries < (1 if retry is Retry.ONCE else 2)
