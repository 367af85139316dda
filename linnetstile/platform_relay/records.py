"""The content of the journal as typed records: accepted messages with their attempts, and pending notices.

`journal_codec` defines the format in which they are stored.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class MessageFields:
    """The fields of a client's message, and when the relay accepted it.

    Attributes:
        submission_id: The client's correlation id.
        class_name: Name of the message class in the settings at the time of acceptance.
        tenant: Name of the tenant in these settings; empty if they name no tenants.
        destination: Number of the destination.
        idempotency_key: Empty if the client gave none.
        ordering_key: Messages of an ordered class that share it keep their order; 0 without one. None in a record of
            an earlier version, which had no ordered classes.
        accepted_at_ms: Unix time.
        deadline_ms: Unix time.
    """

    submission_id: str
    class_name: str
    tenant: str
    destination: int
    idempotency_key: str
    ordering_key: int | None
    accepted_at_ms: float
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class JournaledAttempt:
    """One attempt: its start (Unix time, ms), and the zone and name of its endpoint."""

    started_at_ms: float
    zone: int
    endpoint_name: str


# Replaces each attempt without effect in a compacted journal, where only the number of such attempts matters.
NO_EFFECT_ATTEMPT = JournaledAttempt(started_at_ms=0.0, zone=0, endpoint_name="")


@dataclass(slots=True)
class JournaledMessage:
    """One accepted message that has no result yet, as the journal stores it.

    Attributes:
        id: The relay's own id of the message.
        fields: The fields of the message.
        body: Body of the message.
        attempts: Number of attempts that have begun.
        open_attempt: The attempt that has no outcome yet.
        unclear_attempt: The first attempt that may have taken effect.
    """

    id: int
    fields: MessageFields
    body: bytes
    attempts: int = 0
    open_attempt: JournaledAttempt | None = None
    unclear_attempt: JournaledAttempt | None = None


class NoticeResult(StrEnum):
    """Result of an accepted message that was not delivered; the platform defines the values."""

    REJECTED = "bounced"  # no attempt took effect: the client may submit it again
    FAILED = "dead"  # an attempt may have taken effect


@dataclass(frozen=True, slots=True)
class Notice:
    """The result of one message, for the platform; `retry_after_ms` is None if no retry delay is advised."""

    submission_id: str
    result: NoticeResult
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class PendingNotice:
    """A notice that the platform has not confirmed.

    Attributes:
        id: The relay's own id of the message.
        notice: The notice.
        ordering_key: Ordering key of the message: the next message with this key waits for the notice. 0 without one.
    """

    id: int
    notice: Notice
    ordering_key: int = 0


JournalRecord = JournaledMessage | PendingNotice  # the state of one message that is not complete


@dataclass(frozen=True, slots=True)
class AttemptStartRecord:
    """An attempt of a message has begun."""

    message_id: int
    attempt: JournaledAttempt


@dataclass(frozen=True, slots=True)
class AttemptEndRecord:
    """The open attempt of a message has ended, and the message stays pending."""

    message_id: int
    may_have_effect: bool


@dataclass(frozen=True, slots=True)
class CompletionRecord:
    """A message is complete."""

    message_id: int


@dataclass(frozen=True, slots=True)
class EndedIdRecord:
    """The submission id of a message that is complete, kept in a compacted journal so that it is not accepted again."""

    submission_id: str


# One record of the file.
DecodedRecord = JournalRecord | AttemptStartRecord | AttemptEndRecord | CompletionRecord | EndedIdRecord
