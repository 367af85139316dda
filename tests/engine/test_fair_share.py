"""Fair shares of a capacity, borrowing, and sums of the trees that agree after any sequence of calls."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from linnetstile.engine.fair_share import (
    BORROWING_LIMIT,
    BYTES,
    AdmissionDecision,
    AdmissionResult,
    FairShare,
    Reservation,
)


def request(
    shares: FairShare,
    sender: str,
    partner: str,
    size: float,
    now: float = 0.0,
    max_wait_ms: float = 1000.0,
    token: object = None,
    tenant: str = "",
) -> AdmissionResult:
    """Request a reservation of some bytes and one message for a sender and a partner."""
    return shares.request(now, ((tenant, "host", sender), (partner,)), size, max_wait_ms, token or object())


def fill(shares: FairShare, sender: str, partner: str, size: float = 1.0) -> list[Reservation]:
    """Reserve until a request is not granted; return the reservations."""
    granted: list[Reservation] = []
    for _ in range(10_000):
        decision, reservation = request(shares, sender, partner, size)
        if decision is not AdmissionDecision.GRANTED:
            shares.release(0.0, reservation)
            break
        granted.append(reservation)
    return granted


def test_single_claimant_gets_all_but_the_reserve() -> None:
    shares = FairShare((100, 1000))
    assert len(fill(shares, "a", "p")) == 93  # the reserve is for small messages
    assert len(fill(shares, "b", "q", 0.09)) == 77


def test_borrowed_capacity_returns_first_to_claimants_below_their_share() -> None:
    shares = FairShare((100, 1000))
    request(shares, "b", "q", 1)  # a second claimant: from now on anything above half of the capacity is borrowed
    borrowed = fill(shares, "a", "p")
    assert len(borrowed) == BORROWING_LIMIT * 100 - 1
    below_share = fill(shares, "b", "q")  # the rest is granted to it at once
    assert len(below_share) == 18
    waiting: list[Reservation] = []
    for token in ("b1", "b2"):
        decision, reservation = request(shares, "b", "q", 1, token=token)
        assert decision is AdmissionDecision.QUEUED  # the capacity is used up, though the claimant is below its share
        waiting.append(reservation)
    decision, _ = request(shares, "a", "p", 1, token="a1")
    assert decision is AdmissionDecision.QUEUED
    for reservation in borrowed[:3]:
        shares.release(0.0, reservation)
    granted, expired = shares.grant_waiting(0.0)
    assert granted == ["b1", "b2"]  # not a1, though there is capacity for one more
    assert expired == []
    shares.verify_invariants()


def test_weights_divide_the_capacity_between_tenants() -> None:
    shares = FairShare((120, 1000))
    shares.set_weight("from", "big", 3.0)
    for tenant, partner in (("big", "p"), ("small", "q")):
        request(shares, "s", partner, 1, tenant=tenant)
    big, small = shares.trees["from"].children["big"], shares.trees["from"].children["small"]
    assert shares.fair_share(big, BYTES) == 90
    assert shares.fair_share(small, BYTES) == 30


def test_many_senders_of_one_tenant_get_the_share_of_one_tenant() -> None:
    """A client that invents a sender for each message gets no more than the share of its tenant."""
    shares = FairShare((100, 1000))
    request(shares, "honest", "q", 1, tenant="t")
    granted = 0
    for number in range(200):
        decision, reservation = request(shares, f"name{number}", "p", 1, tenant="other")
        if decision is not AdmissionDecision.GRANTED:
            shares.release(0.0, reservation)
            break
        granted += 1
    assert granted == BORROWING_LIMIT * 100 - 1
    assert len(fill(shares, "honest", "q")) == 18


def test_slow_partner_gets_a_smaller_share() -> None:
    shares = FairShare((100, 1000))
    request(shares, "a", "quick", 1)
    request(shares, "a", "slow", 1)
    partners = shares.trees["to"].children
    before = shares.fair_share(partners["slow"], BYTES)
    shares.set_weight("to", "slow", 0.25)
    assert shares.fair_share(partners["slow"], BYTES) == 20 < before
    assert shares.fair_share(partners["quick"], BYTES) == 80
    shares.verify_invariants()


def test_oversized_message_is_admitted_beside_small_ones_and_never_above_the_capacity() -> None:
    shares = FairShare((100, 1000))
    request(shares, "b", "q", 4)
    decision, big = request(shares, "a", "p", 88)
    assert decision is AdmissionDecision.GRANTED
    decision, _ = request(shares, "c", "q", 1)
    assert decision is AdmissionDecision.GRANTED  # small messages are still admitted beside it
    assert request(shares, "d", "p", 60, token="big")[0] is AdmissionDecision.QUEUED  # one oversized message at a time
    assert shares.grant_waiting(1.0) == ([], [])
    shares.release(1.0, big)
    assert shares.grant_waiting(1.0)[0] == ["big"]
    assert request(shares, "e", "p", 30)[0] is AdmissionDecision.QUEUED
    shares.verify_invariants()
    shares = FairShare((100, 1000))
    assert request(shares, "a", "p", 101)[0] is AdmissionDecision.TOO_LARGE
    shares.verify_invariants()
    assert not shares.trees["from"].children  # nodes without a reservation are removed
    assert not shares.trees["to"].children


def test_waiting_claimants_are_served_in_rotation() -> None:
    shares = FairShare((10, 1000))
    granted = fill(shares, "x", "p")
    for number in range(5):
        request(shares, "many", "p", 1, token=f"m{number}")
    request(shares, "one", "p", 1, token="o")
    for reservation in granted[:2]:
        shares.release(0.0, reservation)
    assert set(shares.grant_waiting(0.0)[0]) == {"m0", "o"}


def test_waiting_request_expires_once() -> None:
    shares = FairShare((10, 1000))
    fill(shares, "x", "p")
    _, reservation = request(shares, "y", "q", 1, now=0.0, max_wait_ms=100.0, token="y")
    assert shares.next_expiry() == 100.0
    assert shares.grant_waiting(99.0) == ([], [])
    assert shares.grant_waiting(100.0) == ([], ["y"])
    assert shares.grant_waiting(101.0) == ([], [])
    shares.release(101.0, reservation)
    shares.verify_invariants()


def test_retry_after_follows_the_release_rate() -> None:
    shares = FairShare((1000, 1000))
    granted = fill(shares, "a", "p", 10)
    assert shares.retry_after_ms(0.0, 500, 30_000) == 30_000  # nothing was released yet
    for number, reservation in enumerate(granted[:50]):
        shares.release(number * 20.0, reservation)
    quick, large = shares.retry_after_ms(1000.0, 100, 30_000), shares.retry_after_ms(1000.0, 500, 30_000)
    assert 1000 <= quick < large < 30_000


@dataclass
class RandomClients:
    """Makes random calls of a `FairShare`, and records what it has granted and queued.

    Attributes:
        shares: The shares under test.
        rng: The source of all choices.
        now: The clock, in ms.
        granted: Reservations that may be released or extended.
        waiting: Queued reservations by their token.
    """

    shares: FairShare
    rng: random.Random
    now: float = 0.0
    granted: list[Reservation] = field(default_factory=list)
    waiting: dict[object, Reservation] = field(default_factory=dict)

    def step(self) -> None:
        """Advance the clock by a random time and make one call."""
        self.now += self.rng.random() * 10
        choice = self.rng.random()
        if choice < 0.5:
            self._request()
        elif choice < 0.6 and self.granted:
            self._extend()
        elif choice < 0.8 and self.granted:
            self.shares.release(self.now, self.granted.pop(self.rng.randrange(len(self.granted))))
        elif choice < 0.85 and self.waiting:
            self._disconnect_while_queued()
        elif choice < 0.9:
            self.shares.set_weight("to", f"p{self.rng.randrange(4)}", self.rng.choice((0.25, 1.0)))
        else:
            self._grant_waiting()

    def release_all(self) -> None:
        """Release all reservations that are granted or queued."""
        for reservation in [*self.granted, *self.waiting.values()]:
            self.shares.release(self.now, reservation)

    def _request(self) -> None:
        token = object()
        decision, reservation = request(
            self.shares,
            sender=f"s{self.rng.randrange(6)}",
            partner=f"p{self.rng.randrange(4)}",
            size=self.rng.choice((1, 5, 40)),
            now=self.now,
            max_wait_ms=self.rng.choice((5.0, 500.0)),
            token=token,
            tenant=self.rng.choice("tu"),
        )
        if decision is AdmissionDecision.GRANTED:
            self.granted.append(reservation)
        elif decision is AdmissionDecision.QUEUED:
            self.waiting[token] = reservation

    def _extend(self) -> None:
        """Extend a granted reservation, unless an extension of it is queued already."""
        reservation = self.rng.choice(self.granted)
        if any(queued.reservation is reservation for queued in reservation.leaves[0].queue):
            return
        token = object()
        if self.shares.extend(self.now, reservation, 3, 50.0, token) is AdmissionDecision.QUEUED:
            self.granted.remove(reservation)
            self.waiting[token] = reservation

    def _disconnect_while_queued(self) -> None:
        self.shares.release(self.now, self.waiting.pop(self.rng.choice(list(self.waiting))))

    def _grant_waiting(self) -> None:
        result = self.shares.grant_waiting(self.now)
        self.granted += [self.waiting.pop(token) for token in result.granted]
        for token in result.expired:
            self.shares.release(self.now, self.waiting.pop(token))


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_sums_of_the_trees_agree_after_any_sequence_of_calls(seed: int) -> None:
    rng = random.Random(seed)
    shares = FairShare((rng.choice((50, 1000)), rng.choice((5, 200))))
    clients = RandomClients(shares, rng)
    for _ in range(300):
        clients.step()
        shares.verify_invariants()
    clients.release_all()
    assert shares.used == [0.0, 0.0]
    assert not shares.rotation
    assert not any(root.children for root in shares.trees.values())
