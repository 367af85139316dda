"""Stale connections: their resets are not failures, but then the last byte of non-idempotent messages is delayed."""

from __future__ import annotations

import pytest

from linnetstile.engine.events import Outcome

from ..conftest import IDEMPOTENT, NON_IDEMPOTENT, EngineHarness


@pytest.mark.parametrize(
    ("latency_ms", "connection_reused", "counts_as_failure"),
    [
        pytest.param(1.0, True, False, id="stale connection"),
        pytest.param(1.0, False, True, id="new connection"),
        pytest.param(90.0, True, True, id="reset during a call"),
    ],
)
def test_reset_of_a_stale_connection_does_not_raise_the_failure_score(
    latency_ms: float, connection_reused: bool, counts_as_failure: bool
) -> None:
    harness = EngineHarness()
    harness.list_endpoints((1, 1))
    harness.warm_up()
    before = harness.route().health.failure_score
    message_id = harness.submit(IDEMPOTENT)
    harness.end_attempt(message_id, Outcome.RESET, latency_ms=latency_ms, connection_reused=connection_reused)
    assert (harness.route().health.failure_score > before) == counts_as_failure


def last_byte_delay(harness: EngineHarness, class_index: int) -> float:
    """Submit a message, which stays in flight, and return the delay of its last byte in ms."""
    return harness.last_send(harness.submit(class_index))[1].last_byte_delay_ms


def test_last_byte_of_non_idempotent_messages_is_delayed_while_stale_connections_are_found() -> None:
    harness = EngineHarness()
    harness.list_endpoints((1, 1), advertised_rate=1000.0)
    harness.warm_up()
    assert last_byte_delay(harness, NON_IDEMPOTENT) == 0
    harness.end_attempt(harness.last_id)
    harness.end_attempt(harness.submit(IDEMPOTENT), Outcome.RESET, latency_ms=1.0, connection_reused=True)
    harness.advance(400)
    harness.end_attempt(harness.last_id)
    assert last_byte_delay(harness, IDEMPOTENT) == 0
    harness.end_attempt(harness.last_id)
    assert last_byte_delay(harness, NON_IDEMPOTENT) > 0
    harness.end_attempt(harness.last_id)
    for _ in range(40):
        message_id = harness.submit(IDEMPOTENT)
        harness.advance(30)
        harness.end_attempt(message_id, connection_reused=True)
    assert last_byte_delay(harness, NON_IDEMPOTENT) == 0
