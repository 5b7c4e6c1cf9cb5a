"""The interface between the policy and its adapters: settings, events and actions.

The package contains only types, in the terms of `docs/glossary.md`. The policy, which contains all decisions of a
planner, consumes settings and events and returns actions. An adapter (`state` or `simulator`) translates them to and
from its protocol.

A weight table lists servers and their weights, one per line. Proxies use standing tables until a planner assigns them
tables. The channel transmits the updates of a planner to its proxies; its queue and rate are counted in lines, where
each weight, table assignment, admission level, ejection and nonce is one line. A slot is the period between two
recomputations of the tables, about one report interval.


Unless stated otherwise, durations are in milliseconds, points in time are Unix timestamps in milliseconds on the
planner's clock, and rates are per second. Request classes, zones, machine kinds and load columns are identified by
their zero-based index in the settings.
"""

from stackwheel.interface.actions import (
    Action,
    AdmissionLevel,
    AssignTable,
    AttachNonce,
    ClearTable,
    FetchEndpoints,
    Log,
    SendGossip,
    SetAdmission,
    SetEjection,
    SetTimer,
    SetWeight,
    StartHealthCheck,
    WatchEndpoints,
)
from stackwheel.interface.endpoints import (
    Availability,
    EndpointEntry,
    EndpointUpdate,
    ServerId,
    UpdateKind,
)
from stackwheel.interface.events import (
    Acknowledged,
    DemandReport,
    Event,
    GossipReceived,
    HealthCheckOutcome,
    HealthCheckResult,
    KeyRangeDemand,
    KeyRangeGranted,
    KeyRangeWeight,
    LoadReport,
    ProxyJoined,
    ProxyLeft,
    TimerFired,
)
from stackwheel.interface.settings import (
    AdmissionMode,
    DeduplicationScope,
    Idempotency,
    LoadBalancingPolicy,
    RequestClass,
    Retry,
    Settings,
)

__all__ = [
    "Acknowledged",
    "Action",
    "AdmissionLevel",
    "AdmissionMode",
    "AssignTable",
    "AttachNonce",
    "Availability",
    "ClearTable",
    "DeduplicationScope",
    "DemandReport",
    "EndpointEntry",
    "EndpointUpdate",
    "Event",
    "FetchEndpoints",
    "GossipReceived",
    "HealthCheckOutcome",
    "HealthCheckResult",
    "Idempotency",
    "KeyRangeDemand",
    "KeyRangeGranted",
    "KeyRangeWeight",
    "LoadBalancingPolicy",
    "LoadReport",
    "Log",
    "ProxyJoined",
    "ProxyLeft",
    "RequestClass",
    "Retry",
    "SendGossip",
    "ServerId",
    "SetAdmission",
    "SetEjection",
    "SetTimer",
    "SetWeight",
    "Settings",
    "StartHealthCheck",
    "TimerFired",
    "UpdateKind",
    "WatchEndpoints",
]
