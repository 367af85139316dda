"""Admission control: which messages a full relay rejects, and the Retry-After of a rejection."""

from __future__ import annotations

import pytest

from linnetstile.engine.actions import Reject
from linnetstile.engine.events import Outcome

from ..conftest import DEDUPLICATED, IDEMPOTENT, EngineHarness, make_settings


@pytest.fixture
def full_relay() -> EngineHarness:
    """Return a relay with room for 20 messages, a healthy destination 2 and an ejected destination 1."""
    harness = EngineHarness(make_settings(max_pending_messages=20))
    harness.list_endpoints((11, 1), (12, 2))
    harness.warm_up(1)
    harness.warm_up(2)
    for _ in range(2):
        message_id = harness.submit(IDEMPOTENT, 1)
        harness.advance(400)
        harness.end_attempt(message_id, Outcome.CONNECT_FAILED)
    return harness


def test_messages_of_an_ejected_destination_are_shed_first(full_relay: EngineHarness) -> None:
    for_ejected = {full_relay.submit(DEDUPLICATED, 1) for _ in range(14)}
    for_healthy = {full_relay.submit(IDEMPOTENT, 2) for _ in range(8)}
    shed = set(full_relay.final_answers)
    assert not for_healthy & shed
    assert for_ejected & shed
    assert all(isinstance(full_relay.final_answers[message_id], Reject) for message_id in for_ejected & shed)


def test_full_relay_rejects_new_messages_of_no_higher_value_than_the_accepted_ones(full_relay: EngineHarness) -> None:
    submitted = [full_relay.submit(DEDUPLICATED, 1) for _ in range(17)]
    full_relay.advance(100)
    accepted = {message_id for message_id in submitted if message_id not in full_relay.final_answers}
    surplus = [full_relay.submit(DEDUPLICATED, 1) for _ in range(5)]
    assert not accepted & set(full_relay.final_answers)
    assert all(isinstance(full_relay.final_answers[message_id], Reject) for message_id in surplus)
    full_relay.advance(7500)  # past 70% of their time, so that rejecting them is no longer early and costs no more
    for _ in range(5):
        full_relay.submit(DEDUPLICATED, 1)
    assert accepted & set(full_relay.final_answers)


def test_new_message_with_a_short_deadline_does_not_count_as_a_late_one() -> None:
    harness = EngineHarness(make_settings(clients_mark_retries=True))
    harness.list_endpoints((11, 1), advertised_rate=1.0)
    harness.warm_up()
    late = harness.submit(IDEMPOTENT, remaining_ms=9000.0)
    harness.advance(1200)  # past its latency objective, whether it was sent or waits for a token
    urgent = harness.submit(IDEMPOTENT, remaining_ms=800.0)
    harness.advance(400)
    assert harness.attempts.get(urgent) == 1
    assert late not in harness.final_answers


@pytest.mark.parametrize(
    ("max_retry_after_ms", "received_retry_after_ms"), [(0.0, 5000.0), (2000.0, 5000.0), (8000.0, 3000.0)]
)
def test_retry_after_of_a_rejection_is_bounded_by_the_setting_and_the_deadline(
    max_retry_after_ms: float, received_retry_after_ms: float
) -> None:
    harness = EngineHarness(make_settings(max_retry_after_ms=max_retry_after_ms))
    harness.list_endpoints((11, 1))
    message_id = harness.submit(remaining_ms=2500.0)
    harness.end_attempt(message_id, Outcome.REJECTED, retry_after_ms=received_retry_after_ms)
    answer = harness.final_answers[message_id]
    assert isinstance(answer, Reject)
    if max_retry_after_ms == 0:
        assert answer.retry_after_ms == 0.0
    else:
        assert 1000.0 < answer.retry_after_ms <= min(max_retry_after_ms, 2500.0)
