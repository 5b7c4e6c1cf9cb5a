"""The policy's interface: settings, events and actions in the terms of `docs/glossary.md`.

Types only. `policy/` decides on these; an adapter (`state`, `simulator`) translates them to and from a protocol.
Where nothing else is said, times and durations are milliseconds, points in time are Unix milliseconds on the
planner's clock, and rates are per second. Request classes, zones, kinds and load columns are named by their place
in the settings, from 0.
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
