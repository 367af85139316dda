"""Timeouts of attempts: long enough for stalls and for slow or new destinations, and shorter than the deadline."""

from __future__ import annotations

from linnetstile.engine.events import Outcome

from ..conftest import DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT, EngineHarness


def test_attempt_times_out_well_before_the_deadline_of_its_message() -> None:
    """A lost answer must not occupy a slot until the deadline."""
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.warm_up(calls=20)
    message_id = harness.submit(NON_IDEMPOTENT)
    harness.advance(50)
    sent_at, send = harness.last_send(message_id)
    assert sent_at < send.timeout_at_ms < sent_at + 5000.0  # its deadline is 10 s away


def test_retry_after_a_timeout_comes_soon_and_has_twice_the_timeout() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    harness.warm_up()
    message_id = harness.submit(IDEMPOTENT)
    first_timeout_ms = harness.in_flight[message_id].timeout_at_ms - harness.now
    harness.advance(600)
    harness.end_attempt(message_id, Outcome.TIMEOUT)
    harness.advance(1000)
    retried_at, retry = harness.last_send(message_id)
    assert retry.timeout_at_ms - retried_at >= 2 * first_timeout_ms  # the destination may be slow rather than down


def test_short_stall_of_a_quick_destination_does_not_time_out() -> None:
    """Calls to a partner that answers within 1 ms timed out after 3 ms, and each cost the time of a backoff."""
    harness = EngineHarness()
    harness.list_endpoints((11, 1))
    for _ in range(40):
        message_id = harness.submit(NON_IDEMPOTENT)
        harness.advance(60)
        harness.end_attempt(message_id, latency_ms=1.0)
    for class_index in (IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT):
        message_id = harness.submit(class_index)
        harness.advance(60)
        sent_at, send = harness.last_send(message_id)
        assert send.timeout_at_ms - sent_at >= 120.0
        harness.end_attempt(message_id, latency_ms=60.0)


def first_timeout_of_a_new_destination(calls_elsewhere: int) -> float:
    """Return the timeout, in ms, of the first call to a destination after quick answers of another destination."""
    harness = EngineHarness()
    harness.list_endpoints((11, 1), (21, 2))
    if calls_elsewhere:
        harness.warm_up(1, calls_elsewhere)
    start = harness.now
    message_id = harness.submit(IDEMPOTENT, destination=2, remaining_ms=9000.0)
    return harness.last_send(message_id)[1].timeout_at_ms - start


def test_first_timeout_of_a_new_destination_is_independent_of_quick_others() -> None:
    """Other destinations do not predict its latency: a first call once timed out after a tenth of the right time."""
    assert first_timeout_of_a_new_destination(0) == first_timeout_of_a_new_destination(40) >= 2000.0
