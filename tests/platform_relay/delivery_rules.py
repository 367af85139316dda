"""Checks of the delivery rules, by the calls that endpoints received and the notices of results."""

from __future__ import annotations

from itertools import pairwise

from .faulty_endpoint import ReceivedCall

DEDUPLICATION_WINDOW_S = 4.0
"""Deduplication window of the class "order" in the testbed's settings."""

NoticeList = list[tuple[str, str]]
"""Submission id and result of each notice."""


def find_breaches(class_name: str, calls: list[ReceivedCall], notices: NoticeList, is_one_process: bool) -> list[str]:
    """Return the breaches of the rules. Calls with the same body belong to one message, also if it was submitted again.

    Args:
        class_name: Class of all messages.
        calls: Calls in the order in which they were received.
        notices: All notices.
        is_one_process: Whether one relay made all calls. If not, calls of a killed relay and the next may overlap.
    """
    breaches = []
    for body in {call.body for call in calls}:
        calls_of_message = [call for call in calls if call.body == body]
        if is_one_process:
            breaches += find_overlapping_calls(calls_of_message)
        breaches += find_forbidden_retries(class_name, calls_of_message)
        breaches += find_wrong_notices(class_name, calls_of_message, notices)
    return breaches


def find_overlapping_calls(calls: list[ReceivedCall]) -> list[str]:
    return [
        f"two calls of {call.submission_id} at once"
        for call, next_call in pairwise(calls)
        if call.ended_at is None or next_call.received_at < call.ended_at
    ]


def find_forbidden_retries(class_name: str, calls: list[ReceivedCall]) -> list[str]:
    """Return a breach for each call that the class forbids after an earlier call that may have run."""
    first_effect = find_first_effect(calls)
    if first_effect is None:
        return []
    breaches = []
    for call in calls[calls.index(first_effect) + 1 :]:
        delay_s = call.received_at - first_effect.received_at
        if class_name == "pay" or (class_name == "order" and delay_s > DEDUPLICATION_WINDOW_S):
            breaches.append(f"{call.submission_id} was sent again {delay_s:.3f} s after it may have run")
    return breaches


def find_wrong_notices(class_name: str, calls: list[ReceivedCall], notices: NoticeList) -> list[str]:
    first_effect = find_first_effect(calls)
    if first_effect is None or class_name == "state" or (first_effect.submission_id, "bounced") not in notices:
        return []
    return [f"{first_effect.submission_id} may have run, but its notice says that it may be submitted again"]


def find_first_effect(calls: list[ReceivedCall]) -> ReceivedCall | None:
    """Return the first call that may have run."""
    return next((call for call in calls if call.may_have_run), None)


def find_wrong_result_count(submission_id: str, calls: list[ReceivedCall], notices: NoticeList) -> list[str]:
    """Return a breach unless a message has exactly one result: it was either delivered or notified once."""
    notice_count = sum(notified_id == submission_id for notified_id, _ in notices)
    is_delivered = any(call.is_delivered for call in calls if call.submission_id == submission_id)
    if notice_count + is_delivered == 1:
        return []
    return [
        f"{submission_id}: expected one notice or a delivery, found {notice_count} notices, delivered: {is_delivered}"
    ]
