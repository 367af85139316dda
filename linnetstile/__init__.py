"""linnetstile: a delivery service for messages to destinations it does not control.

The names here are the public face of the decision module, for those who embed it: feed a `Relay` events with
`handle`, carry out the actions that it returns. It needs the standard library only. The programs are started
with the command `linnetstile`.
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
