"""linnetstile: a delivery service for messages to destinations it does not control.

The names here are the public face of the decision module, for those who embed it: feed a `Relay` events with
`handle`, carry out the actions that it returns. It needs the standard library only. The programs are started
with the command `linnetstile`.
"""

from .decisions.control import Relay
from .decisions.interface import (
    Action, AttemptEnded, Cancel, CloseIdle, DestinationKind, Effect, Endpoint, EndpointList, Event, Fail,
    Goal, Listing, ListKind, Log, Message, MessageClass, Outcome, Probe, ProbeEnded, Rates, Refuse, Safety,
    Scope, Send, Settings, SetTimer, Tenant, TimerFired, WatchList, Withdrawn,
)

__all__ = [
    "Action", "AttemptEnded", "Cancel", "CloseIdle", "DestinationKind", "Effect", "Endpoint", "EndpointList",
    "Event", "Fail", "Goal", "ListKind", "Listing", "Log", "Message", "MessageClass", "Outcome", "Probe",
    "ProbeEnded", "Rates", "Refuse", "Relay", "Safety", "Scope", "Send", "SetTimer", "Settings", "Tenant",
    "TimerFired", "WatchList", "Withdrawn",
]
