"""All events of the traffic record, collected from the modules of the emulators that record them."""

from __future__ import annotations

from .client_events import MessageSubmitted, StrayReceipt, SubmissionAccepted, SubmissionAnswered, SubmissionLost
from .partner_events import (
    CallAnswered,
    CallBegan,
    CallClosed,
    CallCut,
    CallEvent,
    EffectApplied,
    OutageChanged,
    PartnerOverloaded,
    ReceiptPosted,
)
from .registry_events import ListSent
from .traffic_event import TrafficEvent

__all__ = [
    "CallAnswered",
    "CallBegan",
    "CallClosed",
    "CallCut",
    "CallEvent",
    "EffectApplied",
    "ListSent",
    "MessageSubmitted",
    "OutageChanged",
    "PartnerOverloaded",
    "ReceiptPosted",
    "StrayReceipt",
    "SubmissionAccepted",
    "SubmissionAnswered",
    "SubmissionLost",
    "TrafficEvent",
]
