"""Batching: the slot and the outcomes of a call with several messages, and which messages may share a call."""

from __future__ import annotations

from linnetstile.engine.events import ClientCancelled, Outcome
from linnetstile.engine.settings import DestinationKind

from ..conftest import IDEMPOTENT, NON_IDEMPOTENT, EngineHarness, make_settings

BATCHING_KIND = DestinationKind("k", max_batch=4)


def batching_harness(max_in_flight: int) -> EngineHarness:
    """Return a harness of one of 100 relays, with two destinations that accept up to four messages a call."""
    settings = make_settings(kinds=(BATCHING_KIND,), relay_count=100, max_in_flight=max_in_flight)
    harness = EngineHarness(settings)
    harness.list_endpoints((11, 1), (12, 2), advertised_rate=10.0)
    return harness


def test_messages_for_one_endpoint_share_a_call_and_a_slot() -> None:
    harness = batching_harness(max_in_flight=2)
    blocking = [harness.submit(destination=2), harness.submit(destination=2)]
    waiting = {harness.submit() for _ in range(6)}
    assert not waiting & set(harness.attempts)  # both slots are occupied
    harness.end_attempt(blocking[0])
    batch = waiting & set(harness.in_flight)
    assert len(batch) == 4
    late = harness.submit(destination=2)
    first, *others = sorted(batch)
    harness.end_attempt(first)
    assert late not in harness.attempts
    assert not (waiting - batch) & set(harness.attempts)
    for message_id in others:
        harness.end_attempt(message_id)
    assert len(waiting & set(harness.attempts)) == 6  # the slot is free after the last outcome of the batch


def test_failed_call_with_several_messages_counts_as_one_failure() -> None:
    harness = batching_harness(max_in_flight=1)
    for _ in range(3):
        message_id = harness.submit()
        harness.advance(100)
        harness.end_attempt(message_id)
        harness.advance(3000, 500)
    blocking = harness.submit(destination=2)
    batch = [harness.submit() for _ in range(4)]
    harness.end_attempt(blocking)
    assert set(batch) <= set(harness.in_flight)
    for message_id in batch:
        harness.end_attempt(message_id, Outcome.RESET)
    later = harness.submit()
    harness.advance(300)
    assert later in harness.attempts  # four failures would eject the destination and delay the message


def test_non_idempotent_message_does_not_join_a_call_to_a_failing_destination() -> None:
    harness = batching_harness(max_in_flight=1)
    failed = harness.submit()
    harness.end_attempt(failed, Outcome.ERROR)
    harness.handle(ClientCancelled(failed))
    blocking = harness.submit(destination=2)
    non_idempotent = harness.submit(NON_IDEMPOTENT)
    harness.submit(IDEMPOTENT)
    harness.end_attempt(blocking)
    harness.advance(200)
    assert non_idempotent not in harness.attempts


def two_messages_in_one_call() -> tuple[EngineHarness, int, int]:
    """Return a harness and two messages to destination 1 that are in flight in one call."""
    harness = EngineHarness(make_settings(kinds=(BATCHING_KIND,), max_in_flight=4))
    harness.list_endpoints((11, 1), (12, 2), (13, 3))
    blocking = [harness.submit(destination=destination) for destination in (2, 2, 3, 3)]
    first, second = harness.submit(), harness.submit()
    harness.end_attempt(blocking[0])
    harness.end_attempt(blocking[2])
    assert {first, second} <= set(harness.in_flight)
    return harness, first, second


def test_retry_after_for_one_message_of_a_call_applies_despite_the_success_of_another() -> None:
    harness, first, second = two_messages_in_one_call()
    harness.end_attempt(first)
    harness.end_attempt(second, Outcome.REJECTED, retry_after_ms=3000.0)
    start = len(harness.sends)
    harness.submit()
    harness.advance(2900)
    assert not [send for send in harness.sends_since(start) if send.endpoint == 11]


def test_messages_of_one_call_may_end_at_different_times() -> None:
    harness, first, second = two_messages_in_one_call()
    harness.end_attempt(first, Outcome.REJECTED)
    harness.advance(2000, 20)
    assert first in harness.in_flight
    harness.end_attempt(first)
    harness.end_attempt(second)  # it still belongs to the first call
    assert not harness.in_flight.keys() & {first, second}
    assert harness.engine.in_flight == len(harness.in_flight)
