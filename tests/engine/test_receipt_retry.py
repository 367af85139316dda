"""Delivery attempts of a receipt: their backoff and their maximum number."""

from __future__ import annotations

from linnetstile.engine.receipt_retry import MAX_ATTEMPTS, next_backoff_ms


def test_receipt_is_retried_until_it_is_delivered_or_its_attempts_are_used_up() -> None:
    assert next_backoff_ms(1, delivered=True) is None
    backoffs = [next_backoff_ms(attempts, delivered=False) for attempts in range(1, MAX_ATTEMPTS + 1)]
    assert backoffs[-1] is None
    assert backoffs[:-1] == sorted(backoff for backoff in backoffs if backoff)
