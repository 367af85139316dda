"""linnetstile: a delivery service for messages to destinations that it does not control.

This package exports the public interface of the decision engine for programs that embed it: pass events to
`DeliveryEngine.handle` and carry out the actions that it returns. The engine needs the standard library only. The
programs of the package are started with the command `linnetstile`.
"""

from .engine.actions import Action, Cancel, CloseIdle, Fail, HealthCheck, Log, Reject, Send, SetTimer, WatchEndpoints
from .engine.engine import DeliveryEngine
from .engine.events import (
    AttemptEnded,
    ClientCancelled,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    HealthCheckEnded,
    ListKind,
    Message,
    Outcome,
    TimerFired,
)
from .engine.settings import (
    DeduplicationScope,
    DestinationKind,
    Effect,
    LoadReportFields,
    MessageClass,
    RateTrust,
    SafetyLimits,
    ScoreWeights,
    Settings,
    Tenant,
)

__all__ = [
    "Action",
    "AttemptEnded",
    "Cancel",
    "ClientCancelled",
    "CloseIdle",
    "DeduplicationScope",
    "DeliveryEngine",
    "DestinationKind",
    "Effect",
    "Endpoint",
    "EndpointList",
    "EndpointStatus",
    "Event",
    "Fail",
    "HealthCheck",
    "HealthCheckEnded",
    "ListKind",
    "LoadReportFields",
    "Log",
    "Message",
    "MessageClass",
    "Outcome",
    "RateTrust",
    "Reject",
    "SafetyLimits",
    "ScoreWeights",
    "Send",
    "SetTimer",
    "Settings",
    "Tenant",
    "TimerFired",
    "WatchEndpoints",
]
