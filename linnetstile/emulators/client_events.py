"""The events that the client emulator records."""

from __future__ import annotations

from dataclasses import dataclass
from typing import ClassVar

from ..engine.attempt_outcome import WireResult
from .traffic_event import TrafficEvent


@dataclass(frozen=True, slots=True, kw_only=True)
class MessageSubmitted(TrafficEvent):
    """A client submits a message to a relay.

    Attributes:
        submission: Identifies this submission of the message.
        message_id: The Message-ID.
        relay: Name of the relay.
        message_class: Name of the message class.
        is_repeat: Whether the client sends the same message a second time on purpose.
        sender: AS2 name of the sender.
        receiver: AS2 name of the partner.
        answer_by: "post" if the receipt comes in a separate request, else empty.
    """

    EVENT: ClassVar[str] = "hand"

    submission: str
    message_id: str
    relay: str
    message_class: str
    is_repeat: bool
    sender: str
    receiver: str
    answer_by: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionLost(TrafficEvent):
    """A submission ended without an answer; `wire_result` is the value of a `WireResult`."""

    EVENT: ClassVar[str] = "lost"

    submission: str
    message_id: str
    wire_result: str

    @property
    def reached_no_relay(self) -> bool:
        """Whether no relay can have received any part of the submission."""
        return self.wire_result in (WireResult.NO_CONNECTION.value, WireResult.NOT_SENT.value)


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionAccepted(TrafficEvent):
    """The relay accepted the message; its final answer comes in a separate request."""

    EVENT: ClassVar[str] = "taken"

    submission: str
    message_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionAnswered(TrafficEvent):
    """The final answer to a submission.

    Attributes:
        submission: Identifies the submission.
        message_id: The Message-ID.
        kind: The kind of the answer by its `linnetstile-answer` field; empty without one.
        status: The HTTP status.
        receipt: What the receipt proves: the value of a `ReceiptStatus`, or "none".
        digest: Digest of the answer's body.
    """

    EVENT: ClassVar[str] = "final"

    submission: str
    message_id: str
    kind: str
    status: int
    receipt: str
    digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StrayReceipt(TrafficEvent):
    """A receipt arrived for a message that this client has not sent."""

    EVENT: ClassVar[str] = "stray"

    target: str
