"""Detection of slow partners, whose slot time is compared with that of the others, and their recovery."""

from __future__ import annotations

import pytest

from linnetstile.engine.slow_partners import MIN_STATE_MS, SlowPartnerDetector

QUICK_PARTNERS = ("a", "b", "c")


def run_attempts(detector: SlowPartnerDetector, now: float, name: str, slot_ms: float, times: int = 5) -> None:
    for token in range(times):
        detector.attempt_started(now - slot_ms, name, token)
        detector.attempt_ended(now, name, token)


def run_quick_partners(detector: SlowPartnerDetector, now: float, slot_ms: float) -> None:
    for name in QUICK_PARTNERS:
        run_attempts(detector, now, name, slot_ms)


@pytest.fixture
def detector() -> SlowPartnerDetector:
    return SlowPartnerDetector()


def test_partner_is_slow_by_slot_time_and_recovers_by_quick_attempts_alone(detector: SlowPartnerDetector) -> None:
    run_quick_partners(detector, 1000.0, 100.0)
    run_attempts(detector, 1000.0, "slow", 3000.0)
    assert [partner.name for partner in detector.update(1000.0)] == ["slow"]
    assert not detector.update(60_000.0)
    assert detector.partners["slow"].slow_since is not None  # without attempts there is no evidence of recovery
    run_attempts(detector, 60_000.0, "slow", 100.0, 20)
    assert not detector.update(60_000.0)
    assert not detector.update(60_000.0 + MIN_STATE_MS - 1)
    assert [partner.name for partner in detector.update(60_000.0 + MIN_STATE_MS)] == ["slow"]
    assert detector.partners["slow"].slow_since is None


def test_partner_is_slow_by_attempts_in_flight_before_any_has_ended(detector: SlowPartnerDetector) -> None:
    run_quick_partners(detector, 0.0, 100.0)
    for token in range(3):
        detector.attempt_started(0.0, "hangs", token)
    assert not detector.update(1000.0)
    assert [partner.name for partner in detector.update(6000.0)] == ["hangs"]


def test_partner_between_the_bounds_does_not_flap(detector: SlowPartnerDetector) -> None:
    """A partner that stalls for 900 ms of each second does not change its state with each attempt.

    Some of its attempts are quick and some slow, and their mean is between the exit and the entry bound.
    """
    run_quick_partners(detector, 0.0, 150.0)
    changes = 0
    for second in range(1, 120):
        now = second * 1000.0
        run_quick_partners(detector, now, 150.0)
        run_attempts(detector, now, "stalls", 950.0 if second % 2 else 200.0, 3)
        changes += len(detector.update(now))
    assert changes <= 1


def test_no_partner_is_slow_where_all_are(detector: SlowPartnerDetector) -> None:
    run_quick_partners(detector, 0.0, 5000.0)
    assert detector.update(0.0) == []
