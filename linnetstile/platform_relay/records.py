"""What the journal holds, as typed records: accepted messages with their attempts, and notices owed to the platform.

`journal_codec` joins them with their stored form; nothing else knows the stored names.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class MessageFields:
    """What a client said of its message, and when the relay accepted it.

    Attributes:
        submission_id: The client's correlation id.
        class_name: Name of the message class in the settings of that time.
        tenant: Name of the tenant in the settings of that time; empty where the settings name none.
        destination: Number of the destination.
        idempotency_key: Empty if the client gave none.
        ordering_key: What messages of an ordered class share: 0 is nothing, None stands for a record that was
            written by a version that knew no ordered classes.
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
    """One attempt: when it began (Unix ms), and the zone and name of its endpoint."""

    started_at_ms: float
    zone: int
    endpoint_name: str


NO_EFFECT_ATTEMPT = JournaledAttempt(0.0, 0, "")  # stands for an attempt of which only its number matters


@dataclass(slots=True)
class JournaledMessage:
    """One accepted message that has no result yet, as the journal knows it.

    Attributes:
        id: The relay's own number of the message.
        fields: What was accepted.
        body: The message's body.
        attempts: How many attempts have begun.
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
    """How a message ended that was accepted and not delivered, in the platform's words."""

    REJECTED = "bounced"  # no attempt took effect: the client may submit it again
    FAILED = "dead"  # an attempt may have taken effect


@dataclass(frozen=True, slots=True)
class Notice:
    """The result of one message, owed to the platform; `retry_after_ms` is None where nothing is advised."""

    submission_id: str
    result: NoticeResult
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True)
class PendingNotice:
    """A notice that the platform has not confirmed.

    Attributes:
        id: The relay's own number of the message.
        notice: What the platform is to be notified of.
        ordering_key: The message's ordering key: the next message of this key waits for the notice; 0 means none does.
    """

    id: int
    notice: Notice
    ordering_key: int = 0


JournalRecord = JournaledMessage | PendingNotice  # what a journal still holds of one message
