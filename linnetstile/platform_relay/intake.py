"""Intake: a submission is checked, journaled, and then acknowledged to its client."""

from __future__ import annotations

import asyncio
import hashlib
from collections import Counter
from collections.abc import Callable, Iterable

from ..engine.events import ClientCancelled, Event, Message
from ..engine.resource_limits import ResourceLimits
from ..engine.settings import MessageClass, Settings
from ..net import server
from . import clock, journal_codec
from .accepted import AcceptedMessage, AcceptedMessages
from .directory import Directory
from .http_frontend import Submission, reply
from .journal import Journal
from .records import JournaledMessage, MessageFields

ORDERING_KEY_BYTES = 7  # so that the number fits 64 bits also after one is added


def ordering_key_number(ordering_key: str, idempotency_key: str, message_class: MessageClass) -> int:
    """Return what a message of an ordered class shares with others, as the engine knows it: 0 is nothing.

    Where the path names no key, the idempotency key stands for it.
    """
    if not message_class.in_order or not (ordering_key or idempotency_key):
        return 0
    digest = hashlib.blake2b((ordering_key or idempotency_key).encode(), digest_size=ORDERING_KEY_BYTES).digest()
    return int.from_bytes(digest, "big") + 1


class Intake:
    """Accepts submissions: `submit` gets each one, `commit` ends each turn of the engine.

    A client hears 202 only after its message is in the journal.
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
        post: Callable[[Event], None],
        counts: Counter[str],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._settings = settings
        self._max_message_bytes = limits.max_message_bytes
        self._accepted = accepted
        self._journal = journal
        self._directory = directory
        self._is_closing = is_closing  # whether the relay shuts down
        self._post = post
        self._counts = counts
        self._uncommitted: list[AcceptedMessage] = []  # submitted since the last turn
        self.is_open = False  # once the relay is ready

    def submit(self, request: server.RequestContext, submission: Submission) -> None:
        """Take a submission that could be read; it is rejected here only where the engine could not judge it."""
        remaining_ms = submission.remaining_ms - (self._loop.time() - request.started_at) * 1000
        if not self.is_open or self._is_closing():
            reply(request, 503, "refused: this relay is not taking messages on", close=True)
        elif submission.submission_id in self._accepted.submission_ids:
            self._counts["known"] += 1
            reply(request, 409, "X-Correlation-Id: was handed in before", close=True)
        elif not self._directory.knows_destination(submission.destination):
            self._counts["nowhere"] += 1
            reply(request, 503, "refused: no such destination is listed")
        elif self._journal.message_bytes + len(request.body) > self._max_message_bytes:
            self._counts["no_room"] += 1
            reply(request, 503, "refused: no room to keep it")
        elif remaining_ms <= 0:
            self._counts["late"] += 1
            reply(request, 503, "refused: its time is up")
        else:
            self._accept(request, submission, remaining_ms)

    def _accept(self, request: server.RequestContext, submission: Submission, remaining_ms: float) -> None:
        message_id = self._accepted.next_id()
        fields = self._fields(submission, remaining_ms)
        message = AcceptedMessage(JournaledMessage(message_id, fields, request.body), request)
        request.body = b""
        self._accepted.add(message)
        self._uncommitted.append(message)
        self._post(
            Message(
                message_id,
                submission.destination,
                submission.class_index,
                remaining_ms,
                submission.tenant_index,
                message.ordering_key,
                is_retry=submission.is_retry,
                from_dead_relay=submission.from_dead_relay,
            )
        )

    def _fields(self, submission: Submission, remaining_ms: float) -> MessageFields:
        unix_ms, settings = clock.unix_ms(), self._settings
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
        """Return the messages that were submitted since the last call; `commit` gets those that were not rejected."""
        uncommitted, self._uncommitted = self._uncommitted, []
        return uncommitted

    def commit(self, messages: Iterable[AcceptedMessage]) -> None:
        """Journal messages and then acknowledge them; cancel those whose client has gone."""
        fresh = [message for message in messages if message.request is not None]
        for message in fresh:
            self._journal.add(journal_codec.encode_accepted(message.journaled))
        written = self._journal.flush()
        for message in fresh:
            if not self._acknowledge(message, written):
                message_id = message.journaled.id
                self._accepted.remove(message_id)
                self._post(ClientCancelled(message_id))

    def _acknowledge(self, message: AcceptedMessage, written: bool) -> bool:
        """Answer the client; return False if the message is not accepted after all."""
        request, message.request = message.request, None
        assert request is not None
        if not written:
            self._counts["not_written"] += 1
            reply(request, 503, "refused: it can't be kept")
            return False
        if reply(request, 202, close=self._is_closing()):
            self._counts["taken"] += 1
            return True
        self._counts["unheard"] += 1
        self._journal.add(journal_codec.encode_completed(message.journaled.id))
        return False
