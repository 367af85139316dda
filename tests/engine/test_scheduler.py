"""The scheduler: which destinations get slots when slots are scarce."""

from __future__ import annotations

from linnetstile.engine.events import ClientCancelled, Outcome

from ..conftest import IDEMPOTENT, EngineHarness, make_settings


def test_ejected_destination_occupies_at_most_half_of_the_slots() -> None:
    harness = EngineHarness()
    harness.list_endpoints((11, 1), (12, 2), advertised_rate=200.0)
    harness.warm_up(1)
    harness.warm_up(2)
    harness.submit(IDEMPOTENT, 1)
    harness.advance(2000)
    for _ in range(20):
        harness.submit(IDEMPOTENT, 1)
    harness.submit(IDEMPOTENT, 2)
    harness.advance(3000)
    assert len([send for send in harness.in_flight.values() if send.endpoint == 11]) <= 4
    assert any(send.endpoint == 12 for _, send in harness.sends[-20:])


def test_scarce_slots_go_to_the_destination_that_answers() -> None:
    harness = EngineHarness(make_settings(max_in_flight=4))
    harness.list_endpoints((11, 1), (12, 2), (13, 3), advertised_rate=200.0)
    for destination in (1, 2, 3):
        harness.warm_up(destination)
    message_id = harness.submit(IDEMPOTENT, 1)
    harness.advance(50)
    harness.end_attempt(message_id, Outcome.ERROR)  # a single failed call does not eject destination 1
    harness.handle(ClientCancelled(message_id))
    blocking = [harness.submit(IDEMPOTENT, 3) for _ in range(4)]
    for_failing, for_healthy = harness.submit(IDEMPOTENT, 1), harness.submit(IDEMPOTENT, 2)
    harness.advance(50)
    harness.end_attempt(blocking[0])
    assert harness.attempts.get(for_healthy) == 1
    assert for_failing not in harness.attempts


SLOW_DESTINATIONS = range(1, 7)
QUICK_DESTINATION = 9


def relay_with_slow_destinations() -> EngineHarness:
    """Return a relay of 16 slots that has seen six destinations answer in 2 s and one in 20 ms."""
    harness = EngineHarness(make_settings(max_in_flight=16, max_pending_messages=400))
    destinations = (*SLOW_DESTINATIONS, QUICK_DESTINATION)
    harness.list_endpoints(*((10 + destination, destination) for destination in destinations), advertised_rate=1000.0)
    for destination in SLOW_DESTINATIONS:
        harness.warm_up(destination, 3)
    harness.warm_up(QUICK_DESTINATION, 40)
    for _ in range(4):
        message_ids = [harness.submit(IDEMPOTENT, destination) for destination in SLOW_DESTINATIONS]
        harness.advance(2000)
        for message_id in message_ids:
            if message_id in harness.in_flight:
                harness.end_attempt(message_id, latency_ms=2000.0)
        for _ in range(10):
            message_id = harness.submit(IDEMPOTENT, QUICK_DESTINATION)
            harness.advance(20)
            if message_id in harness.in_flight:
                harness.end_attempt(message_id, latency_ms=20.0)
    return harness


def test_slow_destinations_leave_the_last_slots_to_quick_ones() -> None:
    """The limit holds for all slow destinations together: each alone may still occupy half of the slots."""
    harness = relay_with_slow_destinations()
    for _ in range(8):
        for destination in SLOW_DESTINATIONS:
            harness.submit(IDEMPOTENT, destination)
    for _ in range(20):
        harness.advance(50)
    slow_in_flight = sum(send.endpoint != 10 + QUICK_DESTINATION for send in harness.in_flight.values())
    assert 8 <= slow_in_flight <= 12  # slow calls use the free slots, except for the last quarter
    for number in range(4):
        message_id = harness.submit(IDEMPOTENT, QUICK_DESTINATION)
        assert message_id in harness.in_flight, f"quick message {number} found no slot"
