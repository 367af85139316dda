"""Messages that a restarted relay recovers are sent again, rejected or failed, depending on their earlier attempts."""

from __future__ import annotations

import pytest

from linnetstile.engine.actions import Fail, Reject
from linnetstile.engine.events import Message, MessageRecovered

from ..conftest import CLASSES, DEDUPLICATED, IDEMPOTENT, NON_IDEMPOTENT, EngineHarness

DEDUPLICATION_WINDOW_MS = CLASSES[DEDUPLICATED].deduplication_window_ms


def recover(
    harness: EngineHarness, class_index: int, attempts: int, unclear_age_ms: float | None, remaining_ms: float = 5000.0
) -> int:
    """Report a recovered message that was submitted 5 s ago; return its id."""
    harness.last_id += 1
    harness.attempts[harness.last_id] = attempts
    message = Message(harness.last_id, 1, class_index, remaining_ms)
    harness.handle(MessageRecovered(message, age_ms=5000.0, attempts=attempts, unclear_age_ms=unclear_age_ms))
    return harness.last_id


@pytest.mark.parametrize(
    ("class_index", "attempts", "unclear_age_ms", "is_sent", "answer_type"),
    [
        pytest.param(IDEMPOTENT, 1, 500.0, True, None, id="idempotent"),
        pytest.param(DEDUPLICATED, 1, 500.0, True, None, id="deduplicated within the window"),
        pytest.param(DEDUPLICATED, 1, DEDUPLICATION_WINDOW_MS, False, Fail, id="deduplicated after the window"),
        pytest.param(NON_IDEMPOTENT, 1, 500.0, False, Fail, id="non-idempotent that may have run"),
        pytest.param(NON_IDEMPOTENT, 1, None, True, None, id="non-idempotent whose attempt proved no effect"),
        pytest.param(NON_IDEMPOTENT, 0, None, True, None, id="non-idempotent without an attempt"),
        pytest.param(IDEMPOTENT, 5, 500.0, False, Reject, id="no attempt left, may have run"),
        pytest.param(IDEMPOTENT, 5, None, False, Reject, id="no attempt left, has not run"),
    ],
)
def test_recovered_message_is_sent_or_ended_by_class_window_and_attempts(
    class_index: int, attempts: int, unclear_age_ms: float | None, is_sent: bool, answer_type: type | None
) -> None:
    harness = EngineHarness()
    harness.list_endpoints((1, 1))
    message_id = recover(harness, class_index, attempts, unclear_age_ms)
    harness.advance(400)
    assert bool(harness.sends) == is_sent
    answer = harness.final_answers.get(message_id)
    assert (type(answer) if answer else None) is answer_type


def test_recovered_message_without_an_endpoint_is_rejected_at_its_deadline() -> None:
    harness = EngineHarness()
    message_id = recover(harness, IDEMPOTENT, attempts=0, unclear_age_ms=None, remaining_ms=300.0)
    harness.advance(300)
    assert isinstance(harness.final_answers[message_id], Reject)
