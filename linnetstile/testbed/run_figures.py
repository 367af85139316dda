"""Figures of a run: how many messages were delivered, and how much of their value."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, fields
from typing import Any

from ..emulators.traffic_events import MessageSubmitted, SubmissionAnswered
from ..engine.settings import Effect, MessageClass
from .recorded_traffic import RecordedTraffic

JSON_NAMES = {"value_by_class": "worth", "value_of_all": "worth_all"}
"""The JSON names of the attributes that are not written under their own name."""


@dataclass(frozen=True, slots=True)
class RunFigures:
    """Figures of a run.

    Attributes:
        messages: Messages that were submitted.
        by_answer: Number of messages by the kind of their answer.
        attempts: Attempts that reached a partner.
        refused_attempts: Attempts whose end proves that the message took no effect.
        unsafe_effects_twice: Non-idempotent messages that took effect more than once.
        value_by_class: Value delivered as a fraction of the value submitted, by message class.
        value_of_all: Value delivered as a fraction of the value submitted, for all classes together.
    """

    messages: int
    by_answer: dict[str, int]
    attempts: int
    refused_attempts: int
    unsafe_effects_twice: int
    value_by_class: dict[str, float]
    value_of_all: float

    def to_json(self) -> dict[str, Any]:
        """Return the figures by their names in the JSON of `linnetstile check`."""
        return {JSON_NAMES.get(figure.name, figure.name): getattr(self, figure.name) for figure in fields(self)}


def compute_figures(traffic: RecordedTraffic) -> RunFigures:
    """Compute the figures of a run."""
    first_submissions = _first_submissions(traffic)
    deliveries = _first_deliveries(traffic)
    submitted: dict[str, float] = defaultdict(float)
    delivered: dict[str, float] = defaultdict(float)
    for message_id, submission in first_submissions.items():
        message_class = traffic.facts.classes[submission.message_class]
        submitted[message_class.name] += message_class.priority_weight
        if message_id in deliveries:
            latency_ms = deliveries[message_id].at_ms - submission.at_ms
            delivered[message_class.name] += _value(message_class, latency_ms)
    attempts = [attempt for attempts in traffic.attempts.values() for attempt in attempts]
    return RunFigures(
        messages=len(first_submissions),
        by_answer=_count_answers(traffic, first_submissions, deliveries),
        attempts=len(attempts),
        refused_attempts=sum(attempt.proves_no_effect for attempt in attempts),
        unsafe_effects_twice=_count_repeated_effects(traffic),
        value_by_class={name: round(delivered[name] / submitted[name], 3) for name in sorted(submitted)},
        value_of_all=round(sum(delivered.values()) / (sum(submitted.values()) or 1), 3),
    )


def _first_submissions(traffic: RecordedTraffic) -> dict[str, MessageSubmitted]:
    first: dict[str, MessageSubmitted] = {}
    for submission in sorted(traffic.submissions.values(), key=lambda submission: submission.at_ms):
        first.setdefault(submission.message_id, submission)
    return first


def _first_deliveries(traffic: RecordedTraffic) -> dict[str, SubmissionAnswered]:
    """Return the earliest answer of the kind "delivered" to each message."""
    first: dict[str, SubmissionAnswered] = {}
    for identifier, ends in traffic.ends.items():
        submission = traffic.submissions.get(identifier)
        answer = ends[0]
        if submission and isinstance(answer, SubmissionAnswered) and answer.kind == "delivered":
            known = first.get(submission.message_id)
            first[submission.message_id] = answer if known is None or answer.at_ms < known.at_ms else known
    return first


def _value(message_class: MessageClass, latency_ms: float) -> float:
    """Return the value of a delivery: halved for each latency objective that it is late, down to the late value."""
    late_ms = latency_ms - message_class.latency_objective_ms
    if late_ms <= 0:
        return message_class.priority_weight
    decayed = float(0.5 ** (late_ms / message_class.latency_objective_ms))
    return message_class.priority_weight * max(message_class.late_value_fraction, decayed)


def _count_answers(
    traffic: RecordedTraffic,
    first_submissions: dict[str, MessageSubmitted],
    deliveries: dict[str, SubmissionAnswered],
) -> dict[str, int]:
    latest: dict[str, str] = {}
    for identifier, ends in traffic.ends.items():
        if identifier in traffic.submissions:
            end = ends[-1]
            kind = end.kind if isinstance(end, SubmissionAnswered) else ""
            latest[traffic.submissions[identifier].message_id] = kind or "connection lost"
    counts: dict[str, int] = defaultdict(int)
    for message_id in first_submissions:
        counts["delivered" if message_id in deliveries else latest.get(message_id, "unanswered")] += 1
    return dict(sorted(counts.items()))


def _count_repeated_effects(traffic: RecordedTraffic) -> int:
    """Count the non-idempotent messages that took effect more than once, over all relays together."""
    effects: dict[str, int] = defaultdict(int)
    for message, applied in traffic.effects.items():
        message_class = traffic.class_of(message.message_id)
        if message_class is not None and message_class.effect is Effect.NON_IDEMPOTENT:
            effects[message.message_id] += len(applied)
    return sum(count > 1 for count in effects.values())
