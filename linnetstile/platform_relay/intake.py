"""Intake: checks each submission, journals it, and then acknowledges it to its client."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

from ..engine.events import ClientCancelled, Event, Message
from ..engine.resource_limits import MESSAGE_BYTES, ResourceLimits
from ..engine.settings import MessageClass, Settings
from ..net import server
from ..net.fault_boundary import FaultBoundary
from . import clock, counters, journal_codec
from .accepted import AcceptedMessage, AcceptedMessages
from .directory import Directory
from .http_frontend import reply
from .journal import Journal
from .records import JournaledMessage, MessageFields
from .submission import Submission

try:
    from _blake2 import blake2b  # what hashlib gives, without OpenSSL, which takes 4 MB that no limit accounts for
except ImportError:
    from hashlib import blake2b

ORDERING_KEY_BYTES = 7  # size of the digest: the digest plus 1 fits into 64 bits


def ordering_key_number(ordering_key: str, idempotency_key: str, message_class: MessageClass) -> int:
    """Return the ordering key of a message as a number for the engine; 0 for an unordered message.

    Without an ordering key in the path of the request, the idempotency key takes its place.
    """
    key = ordering_key or idempotency_key
    if not message_class.in_order or not key:
        return 0
    digest = blake2b(key.encode(), digest_size=ORDERING_KEY_BYTES).digest()
    return int.from_bytes(digest, "big") + 1


class Intake:
    """Accepts submissions: `submit` takes each one, `commit` acknowledges those of one turn of the engine.

    A client gets its 202 only after its message is in the journal.

    Attributes:
        is_open: Whether the relay is ready; until then it rejects all submissions.
    """

    def __init__(
        self,
        settings: Settings,
        limits: ResourceLimits,
        *,
        accepted: AcceptedMessages,
        journal: Journal,
        directory: Directory,
        is_closing: Callable[[], bool],
        held_memory_bytes: Callable[[], int],
        post_event: Callable[[Event], None],
        counts: Counter[str],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._max_message_bytes = limits.max_message_bytes
        self._max_memory_bytes = limits.max_message_memory_bytes
        self._held_memory_bytes = held_memory_bytes
        self._accepted = accepted
        self._journal = journal
        self._directory = directory
        self._is_closing = is_closing
        self._post_event = post_event
        self._counts = counts
        self._uncommitted: list[AcceptedMessage] = []  # submitted since the last call of `take_uncommitted`
        self.is_open = False

    def submit(self, request: server.RequestContext, submission: Submission) -> None:
        """Accept a valid submission, or reject it for a reason that the engine does not check.

        These are: the relay is not ready or is shutting down, the id is that of a pending message, the destination is
        unknown, the journal or the memory for messages is full, or the deadline has passed.
        """
        remaining_ms = submission.remaining_ms - (self._loop.time() - request.started_at) * 1000
        if not self.is_open or self._is_closing():
            # A further request that has arrived is owed an answer, too: the last one closes the connection.
            reply(request, 503, "refused: this relay is not taking messages on", close=not request.has_successor)
        elif submission.submission_id in self._accepted.submission_ids:
            self._counts[counters.REJECTED_DUPLICATE] += 1
            reply(request, 409, "X-Correlation-Id: was handed in before", close=True)
        elif not self._directory.knows_destination(submission.destination):
            self._counts[counters.REJECTED_UNKNOWN_DESTINATION] += 1
            reply(request, 503, "refused: no such destination is listed")
        elif self._journal.message_bytes + len(request.body) > self._max_message_bytes:
            self._counts[counters.REJECTED_JOURNAL_FULL] += 1
            reply(request, 503, "refused: no room to keep it")
        elif self._held_memory_bytes() + MESSAGE_BYTES + len(request.body) > self._max_memory_bytes:
            self._counts[counters.REJECTED_NO_MEMORY] += 1
            reply(request, 503, "refused: no room to keep it")
        elif remaining_ms <= 0:
            self._counts[counters.REJECTED_PAST_DEADLINE] += 1
            reply(request, 503, "refused: its time is up")
        else:
            self._accept(request, submission, remaining_ms)

    def _accept(self, request: server.RequestContext, submission: Submission, remaining_ms: float) -> None:
        message_id = self._accepted.next_id()
        fields = self._fields(submission, remaining_ms)
        journaled = JournaledMessage(id=message_id, fields=fields, body=request.body)
        message = AcceptedMessage(journaled, request)
        request.body = b""
        self._accepted.add(message)
        self._uncommitted.append(message)
        self._post_event(
            Message(
                id=message_id,
                destination=submission.destination,
                class_index=submission.class_index,
                remaining_ms=remaining_ms,
                tenant=submission.tenant_index,
                ordering_key=message.ordering_key,
                is_retry=submission.is_retry,
                from_dead_relay=submission.from_dead_relay,
            )
        )

    def _fields(self, submission: Submission, remaining_ms: float) -> MessageFields:
        unix_ms = clock.unix_ms()
        settings = self._settings
        message_class = settings.classes[submission.class_index]
        return MessageFields(
            submission_id=submission.submission_id,
            class_name=message_class.name,
            tenant=settings.tenants[submission.tenant_index].name if settings.tenants else "",
            destination=submission.destination,
            idempotency_key=submission.idempotency_key,
            ordering_key=ordering_key_number(submission.ordering_key, submission.idempotency_key, message_class),
            accepted_at_ms=round(unix_ms, 1),
            deadline_ms=round(unix_ms + remaining_ms, 1),
        )

    def take_uncommitted(self) -> list[AcceptedMessage]:
        """Return the messages that were submitted since the last call, to be passed to `commit` after the turn."""
        uncommitted = self._uncommitted
        self._uncommitted = []
        return uncommitted

    def commit(self, messages: Iterable[AcceptedMessage]) -> None:
        """Journal and acknowledge the messages that the engine did not end in this turn.

        A message is cancelled if its client has disconnected or the journal cannot be written.
        """
        unanswered = [message for message in messages if message.request is not None]
        for message in unanswered:
            self._journal.add(journal_codec.encode_accepted(message.journaled))
        written = self._journal.flush()
        for message in unanswered:
            if not self._acknowledge(message, written):
                message_id = message.journaled.id
                self._accepted.remove(message_id)
                self._post_event(ClientCancelled(message_id))

    def reject_unanswered(self) -> None:
        """Reject each message whose client has no answer yet, as the engine does not know of it any more."""
        self._uncommitted = []
        unanswered = [message for message in self._accepted.by_id.values() if message.request is not None]
        for message in unanswered:
            with FaultBoundary("the rejection of a message"):
                self._reject(message)

    def _reject(self, message: AcceptedMessage) -> None:
        request = message.request
        message.request = None
        self._accepted.remove(message.journaled.id)
        self._journal.add(journal_codec.encode_completed(message.journaled.id))  # it may have been journaled
        if request is not None and not request.answered:
            reply(request, 503, "refused", close=self._is_closing() and not request.has_successor)

    def _acknowledge(self, message: AcceptedMessage, written: bool) -> bool:
        """Answer the client; return False if the message is not accepted after all."""
        request = message.request
        assert request is not None
        message.request = None
        if not written:
            self._counts[counters.REJECTED_NOT_JOURNALED] += 1
            reply(request, 503, "refused: it can't be kept")
            return False
        if reply(request, 202, close=self._is_closing() and not request.has_successor):
            self._counts[counters.ACCEPTED] += 1
            return True
        self._counts[counters.CLIENT_LEFT_BEFORE_ANSWER] += 1
        self._journal.add(journal_codec.encode_completed(message.journaled.id))
        return False
