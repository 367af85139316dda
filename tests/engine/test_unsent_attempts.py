"""Attempts that have not been sent yet: until when they may be sent, and which events cancel them."""

from __future__ import annotations

import pytest

from linnetstile.engine.actions import Action, CancelIfUnsent
from linnetstile.engine.events import Endpoint, EndpointStatus, Outcome
from linnetstile.engine.time_points import NEVER

from ..conftest import CLASSES, DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT, EngineHarness

DEADLINE_MS = 10_000.0


@pytest.mark.parametrize(
    ("class_index", "retry_count", "retry_limit_ms"),
    [
        pytest.param(IDEMPOTENT, 1, DEADLINE_MS, id="idempotent"),
        pytest.param(DEDUPLICATED, 1, CLASSES[DEDUPLICATED].deduplication_window_ms, id="deduplicated"),
        pytest.param(NON_IDEMPOTENT, 0, 0.0, id="non-idempotent"),
    ],
)
def test_last_byte_of_a_retry_leaves_within_the_deduplication_window_or_not_at_all(
    class_index: int, retry_count: int, retry_limit_ms: float
) -> None:
    harness = EngineHarness()
    harness.list_endpoints((1, 1))
    harness.warm_up()
    message_id = harness.submit(class_index)
    first_sent_at, first = harness.last_send(message_id)
    assert first.send_before_ms == harness.now + DEADLINE_MS  # no attempt has run, so only the deadline limits it
    harness.end_attempt(message_id, Outcome.RESET)
    harness.advance(400)
    retries = [send for _, send in harness.sends_of(message_id)][1:]
    assert len(retries) == retry_count
    for retry in retries:
        assert first_sent_at < retry.send_before_ms <= first_sent_at + retry_limit_ms


def cancelled_if_unsent(actions: list[Action]) -> list[int]:
    return [action.id for action in actions if isinstance(action, CancelIfUnsent)]


def test_retry_after_and_draining_endpoints_cancel_unsent_attempts() -> None:
    """Connecting may take a second, and by then the message may no longer be sent."""
    harness = EngineHarness()
    harness.list_endpoints((1, 1), (2, 1), (3, 2), advertised_rate=1000.0)
    harness.warm_up()
    first, second, third = (harness.submit(IDEMPOTENT) for _ in range(3))
    elsewhere = harness.submit(IDEMPOTENT, 2)
    assert cancelled_if_unsent(harness.end_attempt(first, Outcome.REJECTED)) == []
    rejection = harness.end_attempt(second, Outcome.REJECTED, retry_after_ms=900.0)
    assert cancelled_if_unsent(rejection) == [third]
    drained = harness.change_endpoints(
        Endpoint(harness.in_flight[third].endpoint, 1, EndpointStatus.DRAINING),
        Endpoint(3, 2, EndpointStatus.DRAINING),
    )
    assert cancelled_if_unsent(drained) == [third, elsewhere]
    assert cancelled_if_unsent(harness.end_attempt(elsewhere, Outcome.NOT_SENT)) == []
    assert harness.route(2).health.failed_at == NEVER  # a call that was not sent is no failure of its destination
