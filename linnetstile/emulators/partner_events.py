"""The events that the partner emulator records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from .traffic_event import TrafficEvent


@dataclass(frozen=True, slots=True, kw_only=True)
class CallEvent(TrafficEvent):
    """An event of one call of a relay to an endpoint.

    Attributes:
        partner: Name of the partner.
        endpoint: Id of the endpoint.
        message_id: The Message-ID; empty if the request had none.
        relay: Name of the calling relay, from the Via field.
        connection: Identifies the connection within the emulator; None in older records.
    """

    partner: str
    endpoint: int
    message_id: str
    relay: str
    connection: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CallBegan(CallEvent):
    """The head of a request has arrived; `at_ms` is the time of its first byte."""

    EVENT: ClassVar[str] = "began"

    subject: str = ""
    reads_slowly: bool | None = None  # the partner reads the body slowly


@dataclass(frozen=True, slots=True, kw_only=True)
class CallCut(CallEvent):
    """The connection ended before the request was complete."""

    EVENT: ClassVar[str] = "cut"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallClosed(CallEvent):
    """The relay closed the connection before its call was answered."""

    EVENT: ClassVar[str] = "closed"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswered(CallEvent):
    """An answer was written, or lost by a fault.

    Attributes:
        status: The status; 0 if no complete answer was written.
        how: What was done instead of a complete answer.
        is_repeat_of_key: Whether the key was known when the work began; None if it had not begun.
        retry_after_ms: The wait in the Retry-After field.
    """

    EVENT: ClassVar[str] = "answer"

    status: int
    how: str | None = None
    is_repeat_of_key: bool | None = None
    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class EffectApplied(CallEvent):
    """A message was processed; these events are the ledger of effects."""

    EVENT: ClassVar[str] = "effect"

    subject: str = ""
    is_repeat_of_key: bool | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class ReceiptPosted(CallEvent):
    """An asynchronous receipt was posted; `how` is the wire result of that call."""

    EVENT: ClassVar[str] = "receipt"

    how: str
    is_repeat_of_key: bool | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class OutageChanged(TrafficEvent):
    """An outage of all endpoints of a partner began or ended."""

    EVENT: ClassVar[str] = "outage"

    partner: str
    is_on: bool
    kind: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PartnerOverloaded(TrafficEvent):
    """A partner in slow start got too many calls and answers nothing from now on."""

    EVENT: ClassVar[str] = "fallen"

    partner: str
