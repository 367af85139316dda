"""The invariant checker detects a violation of each delivery rule."""

from __future__ import annotations

from typing import Any

import pytest

from linnetstile.engine.actions import Fail, Reject, Send
from linnetstile.engine.events import (
    AttemptEnded,
    ClientCancelled,
    Endpoint,
    EndpointList,
    EndpointStatus,
    ListKind,
    Message,
    Outcome,
)
from linnetstile.engine.settings import DeduplicationScope, Effect, MessageClass

from .conftest import make_endpoint, make_list_changes, make_settings
from .invariant_checker import InvariantChecker, RuleViolationError

NON_IDEMPOTENT, DEDUPLICATED, FIRST_IN_ORDER, SECOND_IN_ORDER = range(4)  # ids of the messages of `make_checker`
SEND = Send(NON_IDEMPOTENT, 11, 4000.0)


def make_checker(**overrides: Any) -> InvariantChecker:
    """Return a checker that has observed four messages of three classes for one destination with two endpoints."""
    classes = (
        MessageClass("non-idempotent", Effect.NON_IDEMPOTENT, 400.0, 4000.0),
        MessageClass(
            "deduplicated",
            Effect.DEDUPLICATED,
            400.0,
            4000.0,
            deduplication_window_ms=1000.0,
            deduplication_scope=DeduplicationScope.ZONE,
        ),
        MessageClass("in order", Effect.IDEMPOTENT, 400.0, 4000.0, in_order=True),
    )
    checker = InvariantChecker(make_settings(classes=classes, **overrides))
    endpoints = (make_endpoint(11, 1, zone=0, advertised_rate=2.0), make_endpoint(12, 1, zone=1, advertised_rate=2.0))
    checker.observe_event(0.0, EndpointList(ListKind.CACHED, endpoints))
    for message_id, class_index in enumerate([0, 1, 2, 2]):
        checker.observe_event(0.0, Message(message_id, 1, class_index, 4000.0, ordering_key=7))
    return checker


@pytest.fixture
def checker() -> InvariantChecker:
    return make_checker()


def observe_outcome(
    checker: InvariantChecker, message_id: int, outcome: Outcome, now: float, retry_after_ms: float = 0.0
) -> None:
    number = len(checker.messages[message_id].attempts) - 1
    is_final = outcome is Outcome.OK
    checker.observe_event(now, AttemptEnded(message_id, number, 11, outcome, 1.0, is_final, retry_after_ms))


def observe_attempt(checker: InvariantChecker, message_id: int, outcome: Outcome, sent_at: float) -> None:
    """Have the checker observe a send to endpoint 11 and its outcome 1 ms later."""
    checker.observe_action(sent_at, Send(message_id, 11, 4000.0))
    observe_outcome(checker, message_id, outcome, sent_at + 1.0)


def test_checker_catches_a_missing_final_answer(checker: InvariantChecker) -> None:
    with pytest.raises(RuleViolationError, match="lost: no final"):
        checker.check_deadlines(4100.0)


def test_checker_catches_a_send_and_a_second_answer_after_the_end(checker: InvariantChecker) -> None:
    checker.observe_action(1.0, Fail(NON_IDEMPOTENT))
    with pytest.raises(RuleViolationError, match="lost: sent after"):
        checker.observe_action(2.0, SEND)
    with pytest.raises(RuleViolationError, match="lost: a second"):
        checker.observe_action(2.0, Fail(NON_IDEMPOTENT))


def test_checker_catches_two_attempts_in_flight_at_once(checker: InvariantChecker) -> None:
    checker.observe_action(1.0, SEND)
    with pytest.raises(RuleViolationError, match="twice: two attempts"):
        checker.observe_action(2.0, SEND)


def test_checker_catches_a_retry_and_a_rejection_of_a_message_that_may_have_run(checker: InvariantChecker) -> None:
    observe_attempt(checker, NON_IDEMPOTENT, Outcome.TIMEOUT, sent_at=1.0)
    with pytest.raises(RuleViolationError, match="twice: non-idempotent"):
        checker.observe_action(4.0, SEND)
    with pytest.raises(RuleViolationError, match="twice: rejected"):
        checker.observe_action(4.0, Reject(NON_IDEMPOTENT))


def test_checker_catches_a_retry_outside_the_zone_or_the_window_of_a_key(checker: InvariantChecker) -> None:
    observe_attempt(checker, DEDUPLICATED, Outcome.RESET, sent_at=5.0)
    with pytest.raises(RuleViolationError, match="twice: outside the zone"):
        checker.observe_action(7.0, Send(DEDUPLICATED, 12, 4000.0))
    with pytest.raises(RuleViolationError, match="twice: outside the deduplication window"):
        checker.observe_action(1100.0, Send(DEDUPLICATED, 11, 4000.0))


def test_checker_catches_a_send_before_an_earlier_message_of_its_key_or_in_the_pause(
    checker: InvariantChecker,
) -> None:
    later = Send(SECOND_IN_ORDER, 11, 4000.0)
    with pytest.raises(RuleViolationError, match="order: an earlier"):
        checker.observe_action(8.0, later)
    observe_attempt(checker, FIRST_IN_ORDER, Outcome.TIMEOUT, sent_at=8.0)
    checker.observe_event(9.0, ClientCancelled(FIRST_IN_ORDER))
    with pytest.raises(RuleViolationError, match="order: its key"):
        checker.observe_action(9.0, later)


def test_checker_catches_a_send_before_the_end_of_a_retry_after(checker: InvariantChecker) -> None:
    checker.observe_action(1.0, SEND)
    observe_outcome(checker, NON_IDEMPOTENT, Outcome.REJECTED, 2.0, retry_after_ms=500.0)
    with pytest.raises(RuleViolationError, match="wait"):
        checker.observe_action(400.0, SEND)


def test_checker_catches_a_send_to_a_draining_endpoint(checker: InvariantChecker) -> None:
    checker.observe_event(500.0, make_list_changes(Endpoint(11, 1, EndpointStatus.DRAINING)))
    with pytest.raises(RuleViolationError, match="drain"):
        checker.observe_action(800.0, SEND)


def test_checker_catches_more_calls_than_the_slow_start_budget() -> None:
    checker = make_checker(max_attempts=20)
    for now in (1.0, 2.0, 3.0):
        checker.observe_action(now, SEND)
        observe_outcome(checker, NON_IDEMPOTENT, Outcome.CONNECT_FAILED, now)
    checker.observe_action(4.0, Send(FIRST_IN_ORDER, 11, 4000.0))
    observe_outcome(checker, FIRST_IN_ORDER, Outcome.OK, 5.0)

    def send_and_reject() -> None:
        for _ in range(6):
            checker.observe_action(6.0, SEND)
            observe_outcome(checker, NON_IDEMPOTENT, Outcome.REJECTED, 6.0)

    with pytest.raises(RuleViolationError, match="failback"):
        send_and_reject()
