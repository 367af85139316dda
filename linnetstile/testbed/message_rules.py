"""The rules about messages: answers, effects, concurrent attempts, order."""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise

from ..emulators.traffic_events import MessageSubmitted, SubmissionAnswered, SubmissionLost
from ..engine.attempt_outcome import ReceiptStatus
from ..engine.settings import Effect, MessageClass
from .attempts import TRANSIT_MS, AttemptRecord, MessageAtProcess
from .recorded_traffic import RecordedTraffic, SubmissionEnd
from .verdict import Verdict

CLIENT_SLACK_MS = 250.0  # allowance for a client's delay in reading an answer on a machine that runs the whole fleet
PROVISIONAL_ANSWERS = ("refused", "conflict")  # after one of these, the answer to a repeat may differ
VALID_RECEIPTS = (
    "none",
    ReceiptStatus.POSITIVE.value,
    ReceiptStatus.DUPLICATE.value,
    ReceiptStatus.NEGATIVE.value,
)


# -- answers -------------------------------------------------------------------------------------------------


class AnswerRule:
    """Every accepted message gets one final answer in time, and a repeat of the message gets the same answer."""

    def __init__(self, traffic: RecordedTraffic) -> None:
        self._traffic = traffic
        self._verdict = Verdict("answers", "every accepted message gets one final answer, in time")
        self._first_answers: dict[MessageAtProcess, SubmissionAnswered] = {}
        self._messages_with_effect = {message.message_id for message in traffic.effects}

    def check(self) -> Verdict:
        """Check each submission."""
        for submission in self._traffic.submissions.values():
            self._verdict.checked_count += 1
            ends = self._traffic.ends.get(submission.submission, [])
            first_end = ends[0] if ends else None
            if first_end is None or isinstance(first_end, SubmissionLost):
                self._check_missing_answer(submission, first_end)
                continue
            self._check_count_and_latency(submission, ends)
            if first_end.kind not in PROVISIONAL_ANSWERS:
                self._check_answer(submission, first_end)
        return self._verdict

    def _answer_limit_ms(self, submission: MessageSubmitted) -> float:
        return self._traffic.facts.classes[submission.message_class].deadline_ms + CLIENT_SLACK_MS

    def _check_missing_answer(self, submission: MessageSubmitted, lost: SubmissionLost | None) -> None:
        if lost is not None and lost.reached_no_relay:
            return
        end_ms = lost.at_ms if lost else submission.at_ms + self._answer_limit_ms(submission)
        processes = self._traffic.facts.processes
        if not processes.was_killed(submission.relay, submission.at_ms, end_ms):
            end = f"connection result: {lost.wire_result}" if lost else "no event recorded"
            self._verdict.add_breach(f"{_label(submission)}: no final answer ({end})")

    def _check_count_and_latency(self, submission: MessageSubmitted, ends: list[SubmissionEnd]) -> None:
        if len(ends) > 1 and not submission.answer_by:
            self._verdict.add_breach(f"{_label(submission)}: expected one final answer, found {len(ends)}")
        limit_ms = self._answer_limit_ms(submission)
        latency_ms = ends[0].at_ms - submission.at_ms
        if latency_ms > limit_ms:
            self._verdict.add_breach(
                f"{_label(submission)}: answered {latency_ms - limit_ms:.0f} ms after its time limit"
            )

    def _check_answer(self, submission: MessageSubmitted, answer: SubmissionAnswered) -> None:
        message_id = submission.message_id
        first = self._first_answers.setdefault(self._traffic.message_at_process(submission), answer)
        if (first.kind, first.digest) != (answer.kind, answer.digest):
            self._verdict.add_breach(
                f"{_label(submission)}: answer {answer.kind} differs from the first answer, {first.kind}"
            )
        if answer.receipt not in VALID_RECEIPTS:
            self._verdict.add_breach(f"{message_id}: expected a valid receipt or none, found {answer.receipt}")
        if answer.kind == "delivered" and message_id not in self._messages_with_effect:
            self._verdict.add_breach(f"{message_id}: answered as delivered, but no partner recorded an effect")


def _label(submission: MessageSubmitted) -> str:
    """Return the text that identifies a submission in findings."""
    return f"{submission.message_id} submitted to {submission.relay}"


# -- effects -------------------------------------------------------------------------------------------------


class EffectRule:
    """No message takes effect twice, and none that may have run is retried or rejected."""

    def __init__(self, traffic: RecordedTraffic) -> None:
        self._traffic = traffic
        self._verdict = Verdict(
            "effects", "no message takes effect twice, and none that may have run is retried or rejected"
        )
        self._rejected_at_ms = self._find_rejections()

    def _find_rejections(self) -> dict[MessageAtProcess, float]:
        """Return when each rejected message was rejected."""
        submissions = self._traffic.submissions
        return {
            self._traffic.message_at_process(submissions[identifier]): ends[0].at_ms
            for identifier, ends in self._traffic.ends.items()
            if identifier in submissions and isinstance(ends[0], SubmissionAnswered) and ends[0].kind == "refused"
        }

    def check(self) -> Verdict:
        """Check each message at each relay process."""
        for message, attempts in self._traffic.attempts.items():
            self._verdict.checked_count += 1
            message_class = self._traffic.class_of(message.message_id)
            if message_class is not None and message_class.effect is not Effect.IDEMPOTENT:
                self._check_message(message, attempts, message_class)
        return self._verdict

    def _check_message(
        self, message: MessageAtProcess, attempts: list[AttemptRecord], message_class: MessageClass
    ) -> None:
        effects = len(self._traffic.effects.get(message, []))
        if effects > 1:
            self._verdict.add_breach(
                f"{message.message_id}: took effect {effects} times through {message.process}, expected at most once"
            )
        may_have_run = [attempt for attempt in attempts if not attempt.proves_no_effect]
        for attempt in attempts:
            self._check_retry(message, attempt, may_have_run, message_class)
        # A rejection tells the client that a retry is safe: every earlier attempt must be known to have had no effect.
        rejected_at_ms = self._rejected_at_ms.get(message)
        if rejected_at_ms is not None and any(attempt.start_ms < rejected_at_ms for attempt in may_have_run):
            self._verdict.add_breach(f"{message.message_id}: {message.process} rejected it although it may have run")

    def _check_retry(
        self,
        message: MessageAtProcess,
        attempt: AttemptRecord,
        may_have_run: list[AttemptRecord],
        message_class: MessageClass,
    ) -> None:
        earlier = [other for other in may_have_run if other.start_ms < attempt.start_ms]
        if not earlier:
            return
        label = f"{message.message_id}: {message.process} retried it"
        since_first_ms = attempt.start_ms - earlier[0].start_ms
        if message_class.effect is Effect.NON_IDEMPOTENT:
            self._verdict.add_breach(f"{label} although it may have run")
        elif since_first_ms > message_class.deduplication_window_ms + TRANSIT_MS:
            self._verdict.add_breach(f"{label} {since_first_ms:.0f} ms after the first attempt that may have run")


# -- attempts ------------------------------------------------------------------------------------------------


def check_one_attempt(traffic: RecordedTraffic) -> Verdict:
    """Check that a relay process has at most one attempt of a message in flight, and keeps the limit on attempts."""
    verdict = Verdict("one-out", "at most one attempt of a message in flight, and no more attempts than allowed")
    for message, attempts in traffic.attempts.items():
        verdict.checked_count += 1
        for earlier, later in pairwise(attempts):
            if _overlaps(earlier, later):
                verdict.add_breach(
                    f"{message.message_id}: {message.process} had two attempts in flight, "
                    f"at endpoints {earlier.endpoint} and {later.endpoint}"
                )
        # A client may submit a rejected message again; the limit on attempts applies to each submission.
        submission_count = max(1, traffic.submission_counts[message.message_id])
        if len(attempts) > traffic.facts.max_attempts * submission_count:
            verdict.add_breach(
                f"{message.message_id}: {message.process} made {len(attempts)} attempts, more than allowed"
            )
    return verdict


def _overlaps(earlier: AttemptRecord, later: AttemptRecord) -> bool:
    # A partner that reads slowly observes the end of an attempt late.
    is_end_unreliable = earlier.reads_slowly and not earlier.status
    return later.start_ms < earlier.end_ms - TRANSIT_MS and not is_end_unreliable


# -- order ---------------------------------------------------------------------------------------------------


def check_order(traffic: RecordedTraffic) -> Verdict:
    """Check that each message of an ordered class is sent after the end of its predecessor."""
    verdict = Verdict("order", "messages of an ordered class are sent one after the other")
    for process, submissions in _ordered_submissions(traffic):
        for earlier, later in pairwise(submissions):
            verdict.checked_count += 1
            if _is_sent_before_end(traffic, process, earlier, later):
                verdict.add_breach(
                    f"{later.message_id}: {process} sent it before the final answer to {earlier.message_id}"
                )
    return verdict


def _ordered_submissions(traffic: RecordedTraffic) -> list[tuple[str, list[MessageSubmitted]]]:
    """Return the submissions of ordered classes, with a queue for each relay process, sender and receiver."""
    queues: dict[tuple[str, str, str], list[MessageSubmitted]] = defaultdict(list)
    for submission in traffic.submissions.values():
        if traffic.facts.classes[submission.message_class].in_order and not submission.is_repeat:
            process = traffic.process_of(submission)
            queues[process, submission.sender, submission.receiver].append(submission)
    for queue in queues.values():
        queue.sort(key=lambda submission: submission.at_ms)
    return [(process, queue) for (process, _, _), queue in queues.items()]


def _is_sent_before_end(
    traffic: RecordedTraffic, process: str, earlier: MessageSubmitted, later: MessageSubmitted
) -> bool:
    ends = traffic.ends.get(earlier.submission, [])
    attempts = traffic.attempts.get(MessageAtProcess(later.message_id, process), [])
    sent = [attempt for attempt in attempts if attempt.start_ms >= later.at_ms]
    if not ends or not sent:
        return False
    # Submissions that are closer than the transit time may have arrived in either order.
    is_order_certain = earlier.at_ms + TRANSIT_MS < later.at_ms
    return is_order_certain and sent[0].start_ms < ends[0].at_ms - TRANSIT_MS
