"""Delivery of messages to endpoints: journals each attempt, makes its call, and posts its outcome to the engine."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from functools import partial

from ..engine.actions import Send
from ..engine.attempt_outcome import AttemptVerdict, WireResult
from ..engine.events import AttemptEnded, Outcome
from ..net.engine_loop import EngineLoop
from ..net.fault_boundary import FaultBoundary
from . import clock, counters, journal_codec
from .accepted import AcceptedMessage, AcceptedMessages, Attempt
from .directory import Directory
from .endpoint_client import AttemptResult, EndpointClient
from .journal import Journal
from .records import JournaledAttempt, PendingNotice


@dataclass(slots=True, eq=False)
class _StartedAttempt:
    """A journaled attempt, with the engine's action that requested it."""

    send: Send
    message: AcceptedMessage
    attempt: Attempt


class Delivery:
    """Carries out the engine's sends and cancellations.

    Attributes:
        waiting_for_order: Sends by ordering key. Each waits until the platform has confirmed the notice of an earlier
            message with the same key.
        on_handed_over_ended: Called with a message that has not ended, after an attempt that the engine does not know.
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
        on_handed_over_ended: Callable[[AcceptedMessage], None],
    ) -> None:
        self.waiting_for_order: dict[int, Send] = {}
        self.on_handed_over_ended = on_handed_over_ended
        self._accepted = accepted
        self._pending_notices = pending_notices
        self._journal = journal
        self._directory = directory
        self._endpoint_client = endpoint_client
        self._engine_loop = engine_loop
        self._post_event = engine_loop.post
        self._counts = counts

    def send_all(self, sends: Iterable[Send]) -> None:
        """Start the attempts that can start now, after a single journal write for all of them."""
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
                self._abandon(started_attempt)

    def _abandon(self, started: _StartedAttempt) -> None:
        """End an attempt that is not sent because it could not be journaled."""
        started.message.journaled.open_attempt = None
        started.message.attempt = None
        self._post_not_sent(started.send, started.attempt.number)

    def _start(self, send: Send, unix_ms: float) -> _StartedAttempt | None:
        """Journal the start of an attempt; return None if the attempt cannot start now."""
        message = self._accepted.by_id.get(send.id)
        address = self._directory.address_of(send.endpoint)
        if message is None or address is None:  # message cancelled in this turn, or endpoint removed
            self._post_not_sent(send, message.journaled.attempts if message else 0)
            return None
        journaled = message.journaled
        ordering_key = message.ordering_key
        if ordering_key and self._has_pending_notice(ordering_key):
            # The platform has not confirmed the notice of an earlier message yet: this call must not overtake it.
            self.waiting_for_order[ordering_key] = send
            return None
        now_ms = self._engine_loop.now_ms
        if now_ms >= min(send.timeout_at_ms, send.send_before_ms):  # waited too long for an earlier notice
            self._post_not_sent(send, journaled.attempts)
            return None
        assert message.attempt is None, "the message has an attempt in flight already"
        message.attempt = Attempt(number=journaled.attempts, address=address, started_at_ms=now_ms)
        journaled.attempts += 1
        journaled.open_attempt = JournaledAttempt(started_at_ms=unix_ms, zone=address.zone, endpoint_name=address.name)
        self._journal.add(journal_codec.encode_attempt_started(journaled.id, journaled.open_attempt))
        return _StartedAttempt(send, message, message.attempt)

    def _has_pending_notice(self, ordering_key: int) -> bool:
        return any(pending.ordering_key == ordering_key for pending in self._pending_notices.values())

    def _call(self, started: _StartedAttempt, unix_ms: float) -> None:
        send = started.send
        attempt = started.attempt
        fields = started.message.journaled.fields
        self._counts[counters.ATTEMPTS] += 1
        headers = [("X-Correlation-Id", fields.submission_id)]
        if fields.idempotency_key:
            headers.append(("Idempotency-Key", fields.idempotency_key))
        now_ms = self._engine_loop.now_ms
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

    def _on_ended(self, started: _StartedAttempt, result: AttemptResult) -> None:
        send = started.send
        attempt = started.attempt
        verdict = result.verdict
        outcome = verdict.outcome
        attempt.call = None
        started.message.attempt = None
        self._counts[counters.ATTEMPTS_ENDED[outcome]] += 1
        self._journal_end(started.message, verdict)
        if attempt.was_handed_over:
            self._end_handed_over(started.message, verdict)
            return
        self._post_event(
            AttemptEnded(
                id=send.id,
                attempt=attempt.number,
                endpoint=send.endpoint,
                outcome=outcome,
                latency_ms=self._engine_loop.now_ms - attempt.started_at_ms,
                is_final=verdict.is_final,
                retry_after_ms=verdict.retry_after_ms,
                slots_exhausted=verdict.slots_exhausted,
                load_report=result.load_report,
                connection_reused=result.connection_reused,
            )
        )
        if verdict.is_final:
            self._accepted.remove(started.message.journaled.id)

    def _end_handed_over(self, message: AcceptedMessage, verdict: AttemptVerdict) -> None:
        """End a message by an attempt that the engine does not know, or pass the message to the engine again."""
        if verdict.is_final:
            self._accepted.remove(message.journaled.id)
        else:
            self.on_handed_over_ended(message)

    def hand_over(self) -> None:
        """Go on without the engine that requested the attempts in flight; it has been restarted.

        What has not been sent is not sent any more; attempts whose call is out go on until they end. Those of messages
        in order are cancelled, as the restarted engine would not hold back their successors. One whose call was never
        made, as its turn failed, counts as one that may have taken effect.
        """
        self.waiting_for_order.clear()
        for message in list(self._accepted.by_id.values()):
            attempt = message.attempt
            if attempt is not None:
                with FaultBoundary("the cancellation of a call"):
                    self._cancel_for_hand_over(message, attempt)
                attempt.was_handed_over = True

    @staticmethod
    def _cancel_for_hand_over(message: AcceptedMessage, attempt: Attempt) -> None:
        if attempt.call is None:
            message.attempt = None
        elif message.ordering_key:
            attempt.call.abort(WireResult.CANCELLED)
        else:
            attempt.call.cancel_if_unsent()

    def _journal_end(self, message: AcceptedMessage, verdict: AttemptVerdict) -> None:
        """Journal the end of an attempt."""
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
        self._post_event(AttemptEnded(send.id, attempt_number, send.endpoint, Outcome.NOT_SENT))

    def send_waiting(self, ordering_keys: Iterable[int]) -> None:
        """Start the attempts that were waiting for the notices of messages with these ordering keys."""
        waiting = self.waiting_for_order
        self.send_all([waiting.pop(key) for key in ordering_keys if key in waiting])

    def cancel(self, message_id: int, attempt_number: int) -> None:
        """Abort an attempt, whether its request was sent or not."""
        message = self._accepted.by_id.get(message_id)
        attempt = message.attempt if message else None
        if attempt and attempt.number == attempt_number and attempt.call:
            attempt.call.abort(WireResult.CANCELLED)

    def cancel_if_unsent(self, message_id: int) -> None:
        """Cancel the attempt of a message if its request cannot have arrived in full; otherwise let it continue."""
        message = self._accepted.by_id.get(message_id)
        if message is None:
            return
        waiting = self.waiting_for_order.get(message.ordering_key)
        if waiting is not None and waiting.id == message_id:
            del self.waiting_for_order[message.ordering_key]
            self._post_not_sent(waiting, message.journaled.attempts)
        elif message.attempt and message.attempt.call:
            message.attempt.call.cancel_if_unsent()
