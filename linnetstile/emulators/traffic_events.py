"""The events of the traffic record, and the one mapping between their fields and the JSON names on file."""

from __future__ import annotations

from dataclasses import MISSING, dataclass, field, fields
from typing import Any, ClassVar, NamedTuple, Self

from ..engine.attempt_outcome import WireResult
from .clock import now_ms

# Attributes whose JSON name differs; all others are written under their own name.
JSON_NAMES = {
    "at_ms": "t",
    "message_id": "mid",
    "connection": "conn",
    "reads_slowly": "crawls",
    "is_repeat_of_key": "repeat",
    "retry_after_ms": "told_ms",
    "is_on": "on",
    "submission": "hand",
    "message_class": "cls",
    "is_repeat": "again",
    "answer_by": "wait",
    "wire_result": "sight",
    "is_full": "whole",
    "statuses": "states",
}


class _Column(NamedTuple):
    attribute: str
    json_name: str
    is_required: bool


_columns_by_event: dict[str, tuple[_Column, ...]] = {}  # derived once for each kind of event


def _columns(event: type[TrafficEvent]) -> tuple[_Column, ...]:
    if event.EVENT not in _columns_by_event:
        _columns_by_event[event.EVENT] = tuple(
            _Column(
                attribute=each.name,
                json_name=JSON_NAMES.get(each.name, each.name),
                is_required=each.name == "at_ms" or each.default is MISSING and each.default_factory is MISSING,
            )
            for each in fields(event)
        )
    return _columns_by_event[event.EVENT]


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficEvent:
    """One row of the traffic record.

    Attributes:
        EVENT: The value of `ev` on file.
        at_ms: When it was seen, by the clock of the run.
    """

    EVENT: ClassVar[str] = ""

    at_ms: float = field(default_factory=now_ms)

    def to_row(self) -> dict[str, Any]:
        """Return the row without `ev`, by its JSON names; what is None is left out."""
        row = {}
        for column in _columns(type(self)):
            value = getattr(self, column.attribute)
            if value is not None:
                row[column.json_name] = value
        row["t"] = round(self.at_ms, 2)
        return row

    @classmethod
    def from_row(cls, row: dict[str, Any]) -> Self:
        """Read a row of this kind; fields that it does not know are passed over.

        Raises:
            KeyError: A field is missing.
        """
        return cls(
            **{
                column.attribute: row[column.json_name]
                for column in _columns(cls)
                if column.is_required or column.json_name in row
            }
        )


# -- partner -------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True, kw_only=True)
class CallEvent(TrafficEvent):
    """Something about one call of a relay to an endpoint.

    Attributes:
        partner: Name of the partner.
        endpoint: Id of the endpoint.
        message_id: The Message-ID; empty if the request had none.
        relay: Name of the calling relay, from the Via field.
        connection: Tells the connections of one emulator apart; None in records that do not say it.
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
    reads_slowly: bool | None = None  # the partner reads the body at a crawl


@dataclass(frozen=True, slots=True, kw_only=True)
class CallCut(CallEvent):
    """The connection ended before the request was complete."""

    EVENT: ClassVar[str] = "cut"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallClosed(CallEvent):
    """The relay closed the connection before it was answered."""

    EVENT: ClassVar[str] = "closed"


@dataclass(frozen=True, slots=True, kw_only=True)
class CallAnswered(CallEvent):
    """An answer was written, or lost on purpose.

    Attributes:
        status: The status; 0 if no complete answer was written.
        how: What was done instead of a complete answer.
        is_repeat_of_key: Whether the key was known; None if the work had not begun.
        retry_after_ms: The wait in the Retry-After field.
    """

    EVENT: ClassVar[str] = "answer"

    status: int
    how: str | None = None
    is_repeat_of_key: bool | None = None
    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class EffectApplied(CallEvent):
    """The ledger of effects: a message was processed."""

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
    """All endpoints of a partner went out or came back."""

    EVENT: ClassVar[str] = "outage"

    partner: str
    is_on: bool
    kind: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PartnerOverloaded(TrafficEvent):
    """A partner that was warming up got too many calls and answers nothing from now on."""

    EVENT: ClassVar[str] = "fallen"

    partner: str


# -- client --------------------------------------------------------------------------------------------------


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
        answer_by: "post" if the receipt comes in a request of its own, else empty.
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
    def reached_nobody(self) -> bool:
        """Whether no relay can have got any of it."""
        return self.wire_result in (WireResult.NO_CONNECTION.value, WireResult.NOT_SENT.value)


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionAccepted(TrafficEvent):
    """The relay accepted the message; its final answer comes in a request of its own."""

    EVENT: ClassVar[str] = "taken"

    submission: str
    message_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionAnswered(TrafficEvent):
    """The final answer to a submission.

    Attributes:
        submission: Identifies the submission.
        message_id: The Message-ID.
        kind: The relay's word for the answer; empty if it gave none.
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
    """A receipt came for a message that this client has not sent."""

    EVENT: ClassVar[str] = "stray"

    target: str


# -- registry ------------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True, kw_only=True)
class ListSent(TrafficEvent):
    """The registry answered a relay.

    Attributes:
        relay: Name of the relay.
        version: Version of the list.
        is_full: Whether all entries were sent, or only the changed ones.
        statuses: Status of each entry that was sent, by endpoint id as text.
    """

    EVENT: ClassVar[str] = "told"

    relay: str
    version: int
    is_full: bool
    statuses: dict[str, str]
