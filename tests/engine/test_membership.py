"""Which peers a relay polls, when, and what it concludes from their answers."""

from __future__ import annotations

import random
from itertools import pairwise

from linnetstile.engine.membership import (
    BOOTSTRAP_GAP_MS,
    BOOTSTRAP_PEERS,
    FIRST_POLL_JITTER_MS,
    MAX_PEERS,
    Membership,
    PeerStatus,
)

SEED = 1


def test_fresh_relay_polls_some_peers_one_at_a_time_and_then_rarely() -> None:
    membership = Membership("a", ["a", *(f"p{number}" for number in range(20))], 0.0, SEED)
    polled_at: list[float] = []
    now = 0.0
    assert "a" not in membership.peers
    while now < 60_000:
        peer = membership.next_peer(now)
        if peer:
            polled_at.append(now)
            assert membership.next_peer(now) is None
            membership.poll_answered(now + 5, peer, "run", [])
        now += 10
    assert polled_at[0] <= FIRST_POLL_JITTER_MS + 10
    assert len([time_ms for time_ms in polled_at if time_ms < 5000]) == BOOTSTRAP_PEERS
    assert all(later - earlier >= BOOTSTRAP_GAP_MS for earlier, later in pairwise(polled_at))
    assert len(polled_at) <= BOOTSTRAP_PEERS + 7


def test_polls_of_300_relays_that_start_at_once_are_spread() -> None:
    """Starts all relays at once, which is harder than the worst restart that happens: 95% of them within 23 s."""
    names = [f"r{number}" for number in range(300)]
    fleet = [Membership(name, names, 0.0, seed) for seed, name in enumerate(names)]
    polls: dict[str, int] = {}
    max_polls_at_once = 0
    for tick in range(0, 3000, 10):
        polls_at_once: dict[str, int] = {}
        for membership in fleet:
            if peer := membership.next_peer(float(tick)):
                polls[peer] = polls.get(peer, 0) + 1
                polls_at_once[peer] = polls_at_once.get(peer, 0) + 1
                membership.poll_answered(tick + 5.0, peer, "run", [])
        max_polls_at_once = max(max_polls_at_once, *polls_at_once.values(), 0)
    assert sum(polls.values()) == 300 * BOOTSTRAP_PEERS
    assert max(polls.values()) <= 15
    assert max_polls_at_once <= 5


def test_answered_poll_makes_a_peer_alive_and_its_advertised_peers_known() -> None:
    membership = Membership("a", ["b"], 0.0, SEED)
    membership.poll_answered(0, "b", "run1", ["c", "a"])
    assert membership.alive_peers() == ["b"]
    assert membership.peers["c"].status is PeerStatus.UNKNOWN


def test_answered_poll_reveals_the_restart_of_a_peer_once() -> None:
    membership = Membership("a", ["b"], 0.0, SEED)
    membership.poll_answered(0, "b", "run1", ["c", "a"])
    assert membership.poll_answered(1, "b", "run2", [])
    assert not membership.poll_answered(2, "b", "run2", [])


def test_configured_peer_is_suspected_after_a_failed_poll_left_after_several_and_alive_again_after_an_answer() -> None:
    membership = Membership("a", ["b"], 0.0, SEED)
    membership.poll_answered(0, "b", "run1", [])
    membership.poll_failed(3, "b")
    assert membership.peers["b"].status.value == "suspected"
    assert membership.alive_peers() == []
    for _ in range(5):
        membership.poll_failed(5, "b")
    assert membership.peers["b"].status is PeerStatus.LEFT  # it is polled again, with a growing backoff
    membership.poll_answered(6, "b", "run2", [])
    assert membership.alive_peers() == ["b"]


def test_advertised_peer_that_never_answered_is_forgotten() -> None:
    membership = Membership("a", ["b"], 0.0, SEED)
    membership.poll_answered(0, "b", "run1", ["c"])
    assert "c" in membership.peers
    for _ in range(5):
        if "c" in membership.peers:
            membership.poll_failed(4, "c")
    assert "c" not in membership.peers


def test_advertised_peers_are_bounded_and_not_alive() -> None:
    membership = Membership("a", ["b"], 0.0, SEED)
    membership.poll_answered(6, "b", "run1", [f"x{number}" for number in range(5000)])
    assert membership.alive_peers() == ["b"]
    assert len(membership.peers) <= MAX_PEERS


def test_flapping_peer_is_polled_with_a_growing_backoff() -> None:
    membership = Membership("a", ["b"], 0.0, SEED)
    rng = random.Random(1)
    polls = 0
    for now in range(0, 300_000, 50):
        peer = membership.next_peer(now)
        if not peer:
            continue
        polls += 1
        if rng.random() < 0.2:
            membership.poll_answered(now, peer, "run", [])
        else:
            membership.poll_failed(now, peer)
    assert polls < 45
