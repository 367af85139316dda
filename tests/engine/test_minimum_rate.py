"""The minimum rate of a peer: it is judged by its mean rate, and a limited stall is tolerated."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from linnetstile.engine.minimum_rate import MinimumRateMeter

TICK_MS = 250


@pytest.mark.parametrize(
    ("rate", "bytes_at", "is_fast_enough"),
    [
        (1000, lambda ms: 250, True),  # exactly the minimum rate
        (1000, lambda ms: 1, False),  # some bytes a second
        (1000, lambda ms: 0, False),
        (1000, lambda ms: 3000 if ms % 1000 == 0 else 0, True),  # 900 ms of stall in each second, and fast between
        (1000, lambda ms: 300 if ms % 1000 == 0 else 0, False),  # the same stalls, and slow between
        (0, lambda ms: 0, True),  # no minimum rate
    ],
)
def test_peer_is_too_slow_by_its_mean_rate_and_not_by_a_stall(
    rate: float, bytes_at: Callable[[int], int], is_fast_enough: bool
) -> None:
    meter = MinimumRateMeter(rate, 5000.0)
    too_slow_at = [ms for ms in range(0, 60_000, TICK_MS) if meter.tick(float(ms), bytes_at(ms))]
    assert (not too_slow_at) == is_fast_enough
    if too_slow_at:
        assert too_slow_at[0] >= 5000  # never before the tolerated stall has ended


def test_fast_start_gains_no_credit_and_a_pause_adds_no_lag() -> None:
    meter = MinimumRateMeter(1000, 5000.0)
    meter.tick(0.0, 10**9)
    assert not meter.tick(4900.0, 0)
    meter.last_tick_at = None  # this side has to act: the peer waits
    assert not meter.tick(60_000.0, 0)
    assert meter.tick(60_200.0, 0)  # the lag from before the pause still counts
