"""Delivery: an attempt is journaled, then its call begins, and the engine hears how it ended."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import partial

from ..engine.actions import Send
from ..engine.attempt_outcome import AttemptVerdict, WireResult
from ..engine.events import AttemptEnded, Outcome
from ..net.engine_loop import EngineLoop
from . import clock, journal_codec
from .accepted import AcceptedMessage, AcceptedMessages, Attempt
from .directory import Directory
from .endpoint_client import EndpointClient
from .journal import Journal
from .records import JournaledAttempt, PendingNotice


@dataclass(slots=True, eq=False)
class _StartedAttempt:
    send: Send
    message: AcceptedMessage
    attempt: Attempt


class Delivery:
    """Carries out the engine's sends and cancellations.

    Attributes:
        waiting_for_order: By ordering key: a send that goes once the platform has the notice of the message before.
    """

    def __init__(
        self,
        *,
        accepted: AcceptedMessages,
        pending_notices: Mapping[int, PendingNotice],
        journal: Journal,
        directory: Directory,
        endpoint_client: EndpointClient,
        engine_loop: EngineLoop,
        counts: Counter[str],
    ) -> None:
        self.waiting_for_order: dict[int, Send] = {}
        self._accepted = accepted
        self._pending_notices = pending_notices
        self._journal = journal
        self._directory = directory
        self._endpoint_client = endpoint_client
        self._engine_loop = engine_loop
        self._post = engine_loop.post
        self._counts = counts

    def send_all(self, sends: Iterable[Send]) -> None:
        """Begin the attempts that can begin, after one write of the journal for all of them."""
        unix_ms = clock.unix_ms()
        started: list[_StartedAttempt] = []
        for send in sends:
            attempt = self._start(send, unix_ms)
            if attempt is not None:
                started.append(attempt)
        written = self._journal.flush()
        for started_attempt in started:
            if written:
                self._call(started_attempt, unix_ms)
            else:
                started_attempt.message.journaled.open_attempt = started_attempt.message.attempt = None
                self._post_not_sent(started_attempt.send, started_attempt.attempt.number)

    def _start(self, send: Send, unix_ms: float) -> _StartedAttempt | None:
        """Journal an attempt; None if it does not begin now."""
        message = self._accepted.by_id.get(send.id)
        address = self._directory.address_of(send.endpoint)
        if message is None or address is None:  # cancelled in this turn, or the endpoint has just gone
            self._post_not_sent(send, message.journaled.attempts if message else 0)
            return None
        journaled = message.journaled
        ordering_key = message.ordering_key
        if ordering_key and self._has_pending_notice(ordering_key):
            # The result of the message before is on its way: this call must not overtake it.
            self.waiting_for_order[ordering_key] = send
            return None
        now_ms = self._engine_loop.now
        if now_ms >= min(send.timeout_at_ms, send.send_before_ms):  # it waited for such a result too long
            self._post_not_sent(send, journaled.attempts)
            return None
        assert message.attempt is None, "two attempts at once"
        message.attempt = Attempt(journaled.attempts, address, now_ms)
        journaled.attempts += 1
        journaled.open_attempt = JournaledAttempt(unix_ms, address.zone, address.name)
        self._journal.add(journal_codec.encode_attempt_started(journaled.id, journaled.open_attempt))
        return _StartedAttempt(send, message, message.attempt)

    def _has_pending_notice(self, ordering_key: int) -> bool:
        return any(pending.ordering_key == ordering_key for pending in self._pending_notices.values())

    def _call(self, started: _StartedAttempt, unix_ms: float) -> None:
        send, attempt = started.send, started.attempt
        fields = started.message.journaled.fields
        self._counts["attempts"] += 1
        headers = [("X-Correlation-Id", fields.submission_id)]
        if fields.idempotency_key:
            headers.append(("Idempotency-Key", fields.idempotency_key))
        now_ms = self._engine_loop.now
        attempt.call = self._endpoint_client.send(
            attempt.address,
            headers,
            started.message.journaled.body,
            timeout_ms=send.timeout_at_ms - now_ms,
            last_byte_delay_ms=send.last_byte_delay_ms,
            send_within_ms=send.send_before_ms - now_ms,
            remaining_ms=fields.deadline_ms - unix_ms,
            on_ended=partial(self._on_ended, started),
        )

    def _on_ended(
        self, started: _StartedAttempt, verdict: AttemptVerdict, load_report: tuple[float, ...], reused: bool
    ) -> None:
        send, attempt, journaled = started.send, started.attempt, started.message.journaled
        outcome = verdict.outcome
        attempt.call = None
        started.message.attempt = None
        self._counts[f"ended_{outcome.value}"] += 1
        self._journal_end(started.message, verdict)
        self._post(
            AttemptEnded(
                send.id,
                attempt.number,
                send.endpoint,
                outcome,
                self._engine_loop.now - attempt.started_at_ms,
                verdict.is_final,
                verdict.retry_after_ms,
                verdict.slots_exhausted,
                load_report,
                reused,
            )
        )
        if verdict.is_final:
            self._accepted.remove(journaled.id)

    def _journal_end(self, message: AcceptedMessage, verdict: AttemptVerdict) -> None:
        journaled = message.journaled
        may_have_effect = not verdict.outcome.proves_no_effect
        if may_have_effect and journaled.unclear_attempt is None:
            journaled.unclear_attempt = journaled.open_attempt
        journaled.open_attempt = None
        if verdict.is_final:
            record = journal_codec.encode_completed(journaled.id)
        else:
            record = journal_codec.encode_attempt_ended(journaled.id, may_have_effect=may_have_effect)
        self._journal.add(record)

    def _post_not_sent(self, send: Send, attempt_number: int) -> None:
        self._post(AttemptEnded(send.id, attempt_number, send.endpoint, Outcome.NOT_SENT))

    def send_waiting(self, ordering_keys: Iterable[int]) -> None:
        """Begin the attempts that waited for notices of messages with these keys."""
        waiting = self.waiting_for_order
        self.send_all([waiting.pop(key) for key in ordering_keys if key in waiting])

    def cancel(self, message_id: int, attempt_number: int) -> None:
        """Abort an attempt, whether its request was sent or not."""
        message = self._accepted.by_id.get(message_id)
        attempt = message.attempt if message else None
        if attempt and attempt.number == attempt_number and attempt.call:
            attempt.call.abort(WireResult.CANCELLED)

    def cancel_if_unsent(self, message_id: int) -> None:
        """Take back an attempt whose request cannot have arrived in full; else nothing changes."""
        message = self._accepted.by_id.get(message_id)
        if message is None:
            return
        waiting = self.waiting_for_order.get(message.ordering_key)
        if waiting is not None and waiting.id == message_id:
            del self.waiting_for_order[message.ordering_key]
            self._post_not_sent(waiting, message.journaled.attempts)
        elif message.attempt and message.attempt.call:
            message.attempt.call.cancel_if_unsent()
