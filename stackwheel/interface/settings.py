"""The settings of the policy, including the request classes and the retry modes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Literal, TypeAlias


class Retry(IntEnum):
    """When a proxy may retry a failed attempt; the values are the codes on the wire."""

    NEVER = 0
    ONCE_IF_NOT_EXECUTED = 1
    """Retry once, and only if the first attempt is known not to have been executed."""

    ONCE = 2
    TWICE = 3


Idempotency: TypeAlias = Literal["repeatable", "by_key", "once"]
"""Idempotency of a request class: idempotent, idempotent with an idempotency key, or not idempotent."""

DeduplicationScope: TypeAlias = Literal["all", "zone", "cell"]
"""Scope within which servers deduplicate requests by idempotency key: all servers, a zone or a cell."""

AdmissionMode: TypeAlias = Literal["share", "rate", "off"]
"""Unit of admission levels: a share of requests, requests per second per proxy, or no admission control."""

LoadBalancingPolicy: TypeAlias = Literal["weighted", "round", "two"]
"""How a proxy chooses a server: weighted random, weighted round robin, or power of two choices by weight."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Requirements of a request class, and the servers that may serve it.

    Attributes:
        name: name of the class in the settings and on the wire.
        latency_objective: latency up to which an answer has its full value, ms.
        deadline: latency beyond which an answer has no value, ms.
        priority_weight: value of one request; classes with the lowest value are shed first.
        idempotency: whether a request may be executed more than once.
        deduplication_scope: the set of servers that together execute a request with the same idempotency key only once.
        idempotency_key_ttl: time for which a server remembers an idempotency key, ms.
        allowed_zones: indexes of the zones whose servers may serve the class; empty for all zones.
        allowed_kinds: indexes of the machine kinds that may serve the class; empty for all kinds.
        zone_local: whether only servers in the proxy's own zone may serve the class.
    """

    name: str = ""
    latency_objective: float = 1000.0
    deadline: float = 3000.0
    priority_weight: float = 1.0
    idempotency: Idempotency = "once"
    deduplication_scope: DeduplicationScope = "all"
    idempotency_key_ttl: float = 0.0
    allowed_zones: tuple[int, ...] = ()
    allowed_kinds: tuple[int, ...] = ()
    zone_local: bool = False


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of the policy.

    Attributes:
        planner_index: index of this planner among all planners.
        planner_count: number of planners in the deployment.
        home_zone: index of the zone that this planner runs in.
        zone_count: number of zones.
        classes: the request classes.
        load_columns: names of the load figures that servers report, in the order in which reports contain them.

        endpoint_weights_enabled: whether the discovery service provides server weights.
        endpoint_list_on_request: whether the planner has to request the endpoint list or a watch on it; otherwise
            the list and its changes are sent to the planner without a request.
        list_poll_deadline: maximum time between two fetches of the endpoint list while no watch is open, ms.
        removal_is_advisory: whether proxies may continue to use a server that was removed from the endpoint list;
            if so, only draining obliges them to stop.

        gossip_enabled: whether planners send each other gossip.
        health_checks_enabled: whether the planner may send health checks to servers.

        proxy_count: number of proxies in the deployment.
        report_interval: time between two reports of a proxy, and the usual length of a slot, ms.
        load_balancing_policy: how proxies choose among the lines of a table.
        default_retry: retry mode if a table does not set one.
        attempt_duration_factor: duration of one attempt as a multiple of the latency objective; not used by the policy.
        consecutive_failure_limit: consecutive failures after which a proxy temporarily avoids a server; 0 for never.
        admission_mode: unit of the admission levels.
        key_range_count: number of key ranges, each with its own table; 0 if tables are assigned to proxies.
        exclusive_key_ranges: whether a key range is owned by one planner at a time.

        message_overhead: cost of a message in addition to the lines that it contains, in lines.
        channel_rate: capacity of the channel to the proxies, lines per second.
        queue_limit: maximum number of lines queued in the channel; 0 for no limit.
        message_cap: maximum number of messages to one proxy within `message_window`; 0 for no limit.
        message_window: time window of `message_cap`, ms.
        transit_time: time that an update takes to reach a proxy, ms.

        max_unserved_time: maximum time for which a proxy may have no server for a request class, ms.
        drain_grace: time within which proxies have to stop sending to a draining server, ms.
        slow_start_min_share: share of its full capacity that a server has when it starts.
        slow_start_duration: time until a started server has its full capacity, ms.
        overload_multiple: load, as a multiple of its present capacity, above which a warming server is overloaded.
        overload_duration: duration of such an overload after which the server fails, ms.
        cross_zone_cost: relative cost of a server in a zone other than the proxy's, by which the allocation of demand
            disadvantages such servers; 0 if zones do not matter.
    """

    planner_index: int = 0
    planner_count: int = 1
    home_zone: int = 0
    zone_count: int = 1
    classes: tuple[RequestClass, ...] = ()
    load_columns: tuple[str, ...] = ()

    # Endpoint list
    endpoint_weights_enabled: bool = False
    endpoint_list_on_request: bool = False
    list_poll_deadline: float = 10000.0
    removal_is_advisory: bool = False

    # Additional sources of load information
    gossip_enabled: bool = False
    health_checks_enabled: bool = False

    # Proxies
    proxy_count: int = 1
    report_interval: float = 1000.0
    load_balancing_policy: LoadBalancingPolicy = "weighted"
    default_retry: Retry = Retry.ONCE_IF_NOT_EXECUTED
    attempt_duration_factor: float = 1.0
    consecutive_failure_limit: int = 0
    admission_mode: AdmissionMode = "off"
    key_range_count: int = 0
    exclusive_key_ranges: bool = False

    # Channel to the proxies
    message_overhead: float = 0.0
    channel_rate: float = 1000.0
    queue_limit: float = 1000.0
    message_cap: int = 0
    message_window: float = 10000.0
    transit_time: float = 300.0

    # Service levels, server lifecycle and costs
    max_unserved_time: float = 5000.0
    drain_grace: float = 2000.0
    slow_start_min_share: float = 0.2
    slow_start_duration: float = 10000.0
    overload_multiple: float = 2.0
    overload_duration: float = 2000.0
    cross_zone_cost: float = 0.0
