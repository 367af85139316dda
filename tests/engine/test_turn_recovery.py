"""How a relay goes on after failed turns: its messages are resumed once, and end if the engine soon fails again."""

from __future__ import annotations

from linnetstile.engine.turn_recovery import MAX_BACKOFF_MS, PROBATION_MS, TurnRecoveryPlan, TurnRecoveryPolicy

RESUME = TurnRecoveryPlan(resumes_messages=True, backoff_ms=0.0)


def test_messages_are_resumed_unless_the_engine_failed_a_short_time_before() -> None:
    policy = TurnRecoveryPolicy()
    assert policy.record_failure(1000.0) == RESUME
    assert not policy.record_failure(1000.0 + PROBATION_MS / 2).resumes_messages
    assert policy.record_failure(1000.0 + 2 * PROBATION_MS) == RESUME


def test_backoff_grows_with_repeated_failures_up_to_its_bound() -> None:
    policy = TurnRecoveryPolicy()
    backoffs = [policy.record_failure(1000.0 + number).backoff_ms for number in range(40)]
    assert backoffs == sorted(backoffs)
    assert 0.0 < backoffs[1] < backoffs[3]
    assert backoffs[-1] == MAX_BACKOFF_MS
