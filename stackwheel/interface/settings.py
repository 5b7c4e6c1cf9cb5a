"""What the planner is configured with: the request classes and the retry modes, and settings in groups."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import Literal, TypeAlias


class Retry(IntEnum):
    """When a proxy may retry a failed attempt; the values are those of the wire."""

    NEVER = 0
    ONCE_IF_NOT_EXECUTED = 1
    """Only after proof that the first attempt never ran."""

    ONCE = 2
    TWICE = 3


Idempotency: TypeAlias = Literal["repeatable", "by_key", "once"]
"""Of a request class: idempotent, idempotent with a key, or not idempotent."""

DeduplicationScope: TypeAlias = Literal["all", "zone", "cell"]
"""Which servers drop a repeated key among themselves: all, those of a zone, or those of a cell."""

AdmissionMode: TypeAlias = Literal["share", "rate", "off"]
"""What an admission level states: a share of requests, requests per second and proxy, or nothing."""

LoadBalancingPolicy: TypeAlias = Literal["weighted", "round", "two"]
"""How a proxy chooses a server: at random by weight, round robin by weight, or the less loaded of two drawn so."""


@dataclass(frozen=True, slots=True)
class RequestClass:
    """What a class of requests needs, and which servers may serve it.

    Attributes:
        name: its name in the settings and on the wire.
        latency_objective: ms within which an answer has its full value.
        deadline: ms after which an answer has no value.
        priority_weight: value of one request; the lowest is shed first.
        idempotency: whether an attempt may run twice.
        deduplication_scope: the servers that drop a repeated key among themselves.
        idempotency_key_ttl: ms for which a server remembers a key.
        allowed_zones: zones whose servers may serve it; empty: every zone.
        allowed_kinds: kinds of server that may serve it; empty: every kind.
        zone_local: whether only servers in the proxy's own zone may serve it.
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
    """What the planner is configured with, in groups.

    Attributes:
        planner_index: this planner's index among the planners.
        planner_count: planners of the deployment.
        home_zone: the zone that this planner runs in.
        zone_count: number of zones.
        classes: the request classes.
        load_columns: the figures of a server's own load, in the order in which reports give them.

        endpoint_weights_enabled: whether discovery states weights.
        endpoint_list_on_request: whether the planner has to ask for the endpoint list.
        list_poll_deadline: ms within which a planner without a watch has to ask for the list again.
        removal_is_advisory: whether only draining obliges the planner: a server dropped from the list may still
            be used.

        gossip_enabled: whether planners send each other gossip.
        health_checks_enabled: whether the planner may call servers.

        proxy_count: proxies of the deployment.
        report_interval: ms between two reports of a proxy, and the length of a slot.
        load_balancing_policy: how proxies choose among the lines of a table.
        default_retry: the retry mode where a table says nothing.
        attempt_duration_factor: time of one attempt as a multiple of the latency objective; the policy does not use it.
        consecutive_failure_limit: failures in a row after which a proxy avoids a server for a while; 0: never.
        admission_mode: what an admission level states.
        key_range_count: slices of the key space that have a table each; 0: tables are assigned to proxies.
        exclusive_key_ranges: whether one planner at a time owns a slice.

        message_overhead: lines that a message costs besides its own.
        channel_rate: lines per second that the channel to the proxies carries.
        queue_limit: lines that may wait in the channel; 0: no limit.
        message_cap: messages to one proxy within `message_window`; 0: no limit.
        message_window: ms over which `message_cap` counts.
        transit_time: ms that an update takes to a proxy.

        max_unserved_time: ms for which a proxy may have no server for a class.
        drain_grace: ms within which proxies have to stop sending to a draining server.
        slow_start_min_share: share of its capacity that a server has when it starts.
        slow_start_duration: ms until a started server has its full capacity.
        overload_multiple: multiple of its present capacity over which a server that warms up is overloaded.
        overload_duration: ms of such an overload after which the server fails.
        cross_zone_cost: price of a request that is served in another zone.
    """

    planner_index: int = 0
    planner_count: int = 1
    home_zone: int = 0
    zone_count: int = 1
    classes: tuple[RequestClass, ...] = ()
    load_columns: tuple[str, ...] = ()

    # The endpoint list.
    endpoint_weights_enabled: bool = False
    endpoint_list_on_request: bool = False
    list_poll_deadline: float = 10000.0
    removal_is_advisory: bool = False

    # What the planner may use besides reports.
    gossip_enabled: bool = False
    health_checks_enabled: bool = False

    # The proxies.
    proxy_count: int = 1
    report_interval: float = 1000.0
    load_balancing_policy: LoadBalancingPolicy = "weighted"
    default_retry: Retry = Retry.ONCE_IF_NOT_EXECUTED
    attempt_duration_factor: float = 1.0
    consecutive_failure_limit: int = 0
    admission_mode: AdmissionMode = "off"
    key_range_count: int = 0
    exclusive_key_ranges: bool = False

    # The channel to the proxies.
    message_overhead: float = 0.0
    channel_rate: float = 1000.0
    queue_limit: float = 1000.0
    message_cap: int = 0
    message_window: float = 10000.0
    transit_time: float = 300.0

    # What the planner is held to.
    max_unserved_time: float = 5000.0
    drain_grace: float = 2000.0
    slow_start_min_share: float = 0.2
    slow_start_duration: float = 10000.0
    overload_multiple: float = 2.0
    overload_duration: float = 2000.0
    cross_zone_cost: float = 0.0
