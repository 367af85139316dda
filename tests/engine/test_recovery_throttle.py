"""The throttle after a restart: messages that were queued before it show that their destination was rate-limited."""

from __future__ import annotations

from linnetstile.engine.events import Message, MessageRecovered
from linnetstile.engine.recovery_throttle import tokens_after_recovery

from ..conftest import IDEMPOTENT, EngineHarness, make_settings


def test_recovered_message_that_was_queued_without_an_attempt_removes_the_tokens() -> None:
    assert tokens_after_recovery(3.0, 0.4, 0, 4000.0) == 0.4
    assert tokens_after_recovery(-1.0, 0.4, 0, 4000.0) == -1.0
    assert tokens_after_recovery(3.0, 0.4, 1, 4000.0) == 3.0  # it had an attempt, so it may not have waited for tokens
    assert tokens_after_recovery(3.0, 0.4, 0, 900.0) == 3.0  # submitted just before the restart, so not held back


def restarted_relay(seed: int, age_ms: float) -> EngineHarness:
    """Return one of 200 relays that recovers six messages to a destination which accepts 80 calls a second in total."""
    harness = EngineHarness(make_settings(relay_count=200), seed=seed)
    harness.list_endpoints((11, 1), advertised_rate=80.0)
    harness.handle(
        *(MessageRecovered(Message(message_id, 1, IDEMPOTENT, 8000.0), age_ms) for message_id in range(1, 7))
    )
    harness.last_id = 6
    return harness


def test_queues_of_restarted_relays_are_not_sent_in_one_burst() -> None:
    """Without the throttle, the relays send three calls each, 600 at once, to a limit of 80 calls a second."""
    fleet = [restarted_relay(seed, 5000.0) for seed in range(200)]
    assert sum(len(harness.sends) for harness in fleet) <= 2
    for harness in fleet:
        harness.advance(2000, step_ms=50.0)
    send_times = sorted(sent_at for harness in fleet for sent_at, _ in harness.sends)
    per_second = [sum(start <= sent_at < start + 1000 for sent_at in send_times) for start in (1000, 2000)]
    assert all(60 <= count <= 140 for count in per_second), per_second  # unpaced, 200 relays send 100 a second together


def test_messages_submitted_just_before_a_restart_use_the_tokens() -> None:
    assert len(restarted_relay(1, 900.0).sends) == 3
