"""Messages that can no longer be delivered end at once: failed if they may have run, else rejected."""

from __future__ import annotations

from linnetstile.engine.actions import Action, Fail, Reject
from linnetstile.engine.events import EndpointStatus, Outcome
from linnetstile.engine.settings import DeduplicationScope, Effect

from ..conftest import DEDUPLICATED, NON_IDEMPOTENT, EngineHarness, make_endpoint, make_message_class, make_settings


def answer_type(actions: list[Action], message_id: int) -> type | None:
    """Return the type of the final answer to a message among some actions, or None if there is none."""
    for action in actions:
        if isinstance(action, Reject | Fail) and action.id == message_id:
            return type(action)
    return None


def test_retry_after_longer_than_the_deadline_rejects_the_message_and_those_queued_after_it() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1), advertised_rate=0.5)
    short = {harness.submit(remaining_ms=3000.0), harness.submit(remaining_ms=3000.0)}
    long = harness.submit(remaining_ms=9000.0)
    sent = next(iter(harness.in_flight))
    waiting = {*short, long} - set(harness.in_flight)
    actions = harness.end_attempt(sent, Outcome.REJECTED, retry_after_ms=5000.0)
    assert answer_type(actions, sent) is Reject
    for message_id in waiting - {long}:
        assert answer_type(actions, message_id) is Reject
    assert long not in harness.final_answers


def test_last_permitted_attempt_gives_the_message_its_final_answer() -> None:
    harness = EngineHarness(make_settings(max_attempts=1))
    harness.list_endpoints((11, 1), (12, 2))
    rejected = harness.submit(DEDUPLICATED)
    assert answer_type(harness.end_attempt(rejected, Outcome.REJECTED), rejected) is Reject
    unclear = harness.submit(NON_IDEMPOTENT, 2)
    assert answer_type(harness.end_attempt(unclear, Outcome.RESET), unclear) is Fail


def test_message_fails_when_its_deduplication_window_is_too_short_for_a_retry() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    message_id = harness.submit(DEDUPLICATED)
    harness.advance(2980)  # the window is 3 s
    actions = harness.end_attempt(message_id, Outcome.RESET)
    assert answer_type(actions, message_id) is Fail  # it may have run, and a client could resubmit it after the window


def test_message_fails_when_the_only_endpoint_that_knows_its_deduplication_key_is_gone() -> None:
    message_class = make_message_class(
        Effect.DEDUPLICATED, deduplication_window_ms=6000.0, deduplication_scope=DeduplicationScope.ENDPOINT
    )
    harness = EngineHarness(make_settings(classes=(message_class,)))
    harness.list_endpoints((11, 1), (12, 1))
    message_id = harness.submit(0)
    harness.change_endpoints(make_endpoint(harness.in_flight[message_id].endpoint, 1, EndpointStatus.GONE))
    assert answer_type(harness.end_attempt(message_id, Outcome.RESET), message_id) is Fail


def test_message_with_less_time_than_an_answer_takes_is_rejected_without_an_attempt() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    for _ in range(12):
        message_id = harness.submit()
        harness.advance(400)
        harness.end_attempt(message_id, latency_ms=400.0)
    start = len(harness.sends)
    message_id = harness.submit(remaining_ms=80.0)
    assert isinstance(harness.final_answers[message_id], Reject)
    assert len(harness.sends) == start


def test_retry_is_sent_early_enough_to_arrive_within_the_deduplication_window() -> None:
    """A retry that left 29 ms before the end of the window was looked up after it, and took effect twice."""
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    message_id = harness.submit(DEDUPLICATED)
    first_sent_at = harness.last_send(message_id)[0]
    harness.advance(2700)  # the window is 3 s, and a usual answer takes 0.5 s
    harness.end_attempt(message_id, Outcome.RESET)
    harness.advance(1000)
    assert message_id in harness.final_answers
    assert all(sent_at - first_sent_at <= 2500 for sent_at, _ in harness.sends_of(message_id))
