"""Least rates that forgive a stall, offices that become slow and are trusted again, and whom a full listener drops."""

from __future__ import annotations

import pytest

from linnetstile.engine.connection_eviction import IdleConnection, connections_to_evict
from linnetstile.engine.minimum_rate import MinimumRateMeter
from linnetstile.engine.slow_partners import MIN_STATE_MS, SlowPartnerDetector


@pytest.mark.parametrize(
    ("rate", "pattern", "lasts"),
    [
        (1000, lambda ms: 250, True),  # exactly the least rate
        (1000, lambda ms: 1, False),  # some bytes a second
        (1000, lambda ms: 0, False),
        (1000, lambda ms: 3000 if ms % 1000 == 0 else 0, True),  # 900 ms of stall in each second, and quick between
        (1000, lambda ms: 300 if ms % 1000 == 0 else 0, False),  # the same stalls, and slow between
        (0, lambda ms: 0, True),  # no rate asked for
    ],
)
def test_a_peer_is_let_go_by_its_mean_rate_and_not_by_a_stall(rate: float, pattern: object, lasts: bool) -> None:
    meter = MinimumRateMeter(rate, 5000.0)
    assert callable(pattern)
    late = [ms for ms in range(0, 60_000, 250) if meter.tick(float(ms), pattern(ms))]
    assert (not late) == lasts
    if late:
        assert late[0] >= 5000  # never before the stall that is forgiven


def test_running_ahead_saves_up_nothing_and_a_clock_that_stands_costs_nothing() -> None:
    meter = MinimumRateMeter(1000, 5000.0)
    meter.tick(0.0, 10**9)
    assert not meter.tick(4900.0, 0)
    meter.last_tick_at = None  # our turn: it waits for room
    assert not meter.tick(60_000.0, 0)
    assert meter.tick(60_200.0, 0)  # and what was spent before it counts on


def feed(offices: SlowPartnerDetector, now: float, name: str, took: float, times: int = 5) -> None:
    for n in range(times):
        offices.attempt_started(now - took, name, n)
        offices.attempt_ended(now, name, n)


def test_an_office_is_slow_by_slot_time_and_is_trusted_again_by_quick_attempts_alone() -> None:
    offices = SlowPartnerDetector()
    for name in ("a", "b", "c"):
        feed(offices, 1000.0, name, 100.0)
    feed(offices, 1000.0, "crawls", 3000.0)
    assert [o.name for o in offices.update(1000.0)] == ["crawls"]
    assert not offices.update(60_000.0) and offices.partners["crawls"].slow_since is not None  # silence proves nothing
    feed(offices, 60_000.0, "crawls", 100.0, 20)
    assert not offices.update(60_000.0)
    assert not offices.update(60_000.0 + MIN_STATE_MS - 1)
    assert [o.name for o in offices.update(60_000.0 + MIN_STATE_MS)] == ["crawls"]
    assert offices.partners["crawls"].slow_since is None


def test_attempts_under_way_are_evidence_before_any_has_ended() -> None:
    offices = SlowPartnerDetector()
    for name in ("a", "b", "c"):
        feed(offices, 0.0, name, 100.0)
    for token in range(3):
        offices.attempt_started(0.0, "hangs", token)
    assert not offices.update(1000.0)
    assert [o.name for o in offices.update(6000.0)] == ["hangs"]


def test_an_office_between_the_bounds_does_not_flap() -> None:
    """900 ms of stall a second: some attempts quick, some slow, the mean between leaving and entering."""
    offices = SlowPartnerDetector()
    for name in ("a", "b", "c"):
        feed(offices, 0.0, name, 150.0)
    changes = 0
    for second in range(1, 120):
        now = second * 1000.0
        for name in ("a", "b", "c"):
            feed(offices, now, name, 150.0)
        feed(offices, now, "stalls", 950.0 if second % 2 else 200.0, 3)
        changes += len(offices.update(now))
    assert changes <= 1


def test_when_all_are_slow_none_is() -> None:
    offices = SlowPartnerDetector()
    for name in ("a", "b", "c"):
        feed(offices, 0.0, name, 5000.0)
    assert offices.update(0.0) == []


def test_a_full_listener_lets_go_what_proved_nothing_first() -> None:
    hosts = {"many": 90, "few": 2}
    rows: list[tuple[str, bool, bool, float, float, str]] = [
        ("few", True, False, 9.0, 0.0, "kept of few"),
        ("many", True, False, 9.0, 0.0, "kept of many"),
        ("many", False, False, 10**6, 1.0, "upload"),
        ("many", False, False, 1.0, 5.0, "drips"),
        ("many", False, False, 0.0, 7.0, "silent"),
        ("many", False, False, 0.0, 6.0, "silent for longer"),
        ("few", False, False, 0.0, 1.0, "silent of few"),
        ("many", False, True, 0.0, 8.0, "new"),
    ]
    places = [IdleConnection(*row) for row in rows]
    order = [place.token for place in connections_to_evict(hosts, places, 10)[::-1]]
    assert order == [
        "silent for longer",
        "silent",
        "drips",
        "upload",
        "silent of few",
        "new",
        "kept of many",
        "kept of few",
    ]
    assert [place.token for place in connections_to_evict(hosts, places, 1)] == ["silent for longer"]
