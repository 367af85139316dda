"""Shares of a room: what is fair, what is lent and given back, and that the trees add up whatever comes."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from linnetstile.engine.fair_share import BORROWING_LIMIT, AdmissionDecision, FairShare, Reservation


def ask(
    shares: FairShare,
    sender: str,
    partner: str,
    size: float,
    now: float = 0.0,
    wait: float = 1000.0,
    token: object = None,
    tenant: str = "",
) -> tuple[AdmissionDecision, Reservation]:
    return shares.request(now, ((tenant, "host", sender), (partner,)), size, wait, token or object())


def fill(shares: FairShare, sender: str, partner: str, size: float = 1.0, most: int = 10_000) -> list[Reservation]:
    got: list[Reservation] = []
    for _ in range(most):
        say, charge = ask(shares, sender, partner, size)
        if say is not AdmissionDecision.GRANTED:
            shares.release(0.0, charge)
            break
        got.append(charge)
    return got


def test_a_party_alone_has_the_whole_room() -> None:
    shares = FairShare((100, 1000))
    assert len(fill(shares, "a", "p")) == 93  # but for the last part, which is for small ones
    assert len(fill(shares, "b", "q", 0.09)) == 77


def test_what_one_lent_leaves_room_for_the_others_and_is_given_back() -> None:
    shares = FairShare((100, 1000))
    ask(shares, "b", "q", 1)  # another is there: from now on more than the half is borrowed
    lent = fill(shares, "a", "p")
    assert len(lent) == BORROWING_LIMIT * 100 - 1
    owed = fill(shares, "b", "q")  # below its fair part: the rest is its own at once
    assert len(owed) == 18
    waits: list[Reservation] = []
    for token in ("b1", "b2"):
        say, charge = ask(shares, "b", "q", 1, token=token)
        assert say is AdmissionDecision.QUEUED  # the room is full, yet it is still owed
        waits.append(charge)
    say, _ = ask(shares, "a", "p", 1, token="a1")
    assert say is AdmissionDecision.QUEUED
    for charge in lent[:3]:
        shares.release(0.0, charge)
    good, late = shares.grant_waiting(0.0)
    assert good == ["b1", "b2"] and late == []  # not a1, though there is room for one more
    shares.verify_invariants()


def test_weights_part_the_room_between_tenants() -> None:
    shares = FairShare((120, 1000))
    shares.set_weight("from", "big", 3.0)
    for tenant, partner in (("big", "p"), ("small", "q")):
        ask(shares, "s", partner, 1, tenant=tenant)
    big, small = shares.trees["from"].children["big"], shares.trees["from"].children["small"]
    assert shares.fair_part(big, 0) == 90 and shares.fair_part(small, 0) == 30


def test_many_names_of_one_tenant_have_one_tenants_part() -> None:
    """Names cost nothing: a client that invents a sender for each message gets no more than its host's part."""
    shares = FairShare((100, 1000))
    ask(shares, "honest", "q", 1, tenant="t")
    got = 0
    for n in range(200):
        say, charge = ask(shares, f"name{n}", "p", 1, tenant="other")
        if say is not AdmissionDecision.GRANTED:
            shares.release(0.0, charge)
            break
        got += 1
    assert got == BORROWING_LIMIT * 100 - 1
    assert len(fill(shares, "honest", "q")) == 18


def test_a_crawling_office_borrows_less_once_it_is_known_to_be_slow() -> None:
    shares = FairShare((100, 1000))
    ask(shares, "a", "quick", 1)
    ask(shares, "a", "slow", 1)
    before = shares.fair_part(shares.trees["to"].children["slow"], 0)
    shares.set_weight("to", "slow", 0.25)
    assert shares.fair_part(shares.trees["to"].children["slow"], 0) == 20 < before
    assert shares.fair_part(shares.trees["to"].children["quick"], 0) == 80
    shares.verify_invariants()


def test_a_message_over_the_part_that_is_lent_comes_in_beside_small_ones_and_one_over_the_room_never() -> None:
    shares = FairShare((100, 1000))
    say, small = ask(shares, "b", "q", 4)
    say, big = ask(shares, "a", "p", 88)
    assert say is AdmissionDecision.GRANTED
    say, other = ask(shares, "c", "q", 1)
    assert say is AdmissionDecision.GRANTED  # small ones go on beside it
    assert ask(shares, "d", "p", 60, token="big")[0] is AdmissionDecision.QUEUED  # one at a time
    assert shares.grant_waiting(1.0) == ([], [])
    shares.release(1.0, big)
    assert shares.grant_waiting(1.0)[0] == ["big"] and ask(shares, "e", "p", 30)[0] is AdmissionDecision.QUEUED
    shares.verify_invariants()
    shares = FairShare((100, 1000))
    assert ask(shares, "a", "p", 101)[0] is AdmissionDecision.TOO_LARGE
    shares.verify_invariants()
    assert not shares.trees["from"].children and not shares.trees["to"].children  # names are forgotten


def test_waiting_parties_take_turns_one_message_each() -> None:
    shares = FairShare((10, 1000))
    held = fill(shares, "x", "p")
    for n in range(5):
        ask(shares, "many", "p", 1, token=f"m{n}")
    ask(shares, "one", "p", 1, token="o")
    for charge in held[:2]:
        shares.release(0.0, charge)
    assert set(shares.grant_waiting(0.0)[0]) == {"m0", "o"}


def test_a_wait_ends_and_is_told_once() -> None:
    shares = FairShare((10, 1000))
    fill(shares, "x", "p")
    _, charge = ask(shares, "y", "q", 1, now=0.0, wait=100.0, token="y")
    assert shares.next_expiry() == 100.0
    assert (
        shares.grant_waiting(99.0) == ([], [])
        and shares.grant_waiting(100.0) == ([], ["y"])
        and shares.grant_waiting(101.0) == ([], [])
    )
    shares.release(101.0, charge)
    shares.verify_invariants()


def test_advice_follows_how_fast_room_comes_free() -> None:
    shares = FairShare((1000, 1000))
    held = fill(shares, "a", "p", 10)
    assert shares.retry_after_ms(0.0, 500, 30_000) == 30_000  # nothing came free yet
    for n, charge in enumerate(held[:50]):
        shares.release(n * 20.0, charge)
    quick, large = shares.retry_after_ms(1000.0, 100, 30_000), shares.retry_after_ms(1000.0, 500, 30_000)
    assert 1000 <= quick < large < 30_000


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_whatever_comes_the_trees_add_up_and_nothing_is_lost(seed: int) -> None:
    rng = random.Random(seed)
    shares = FairShare((rng.choice((50, 1000)), rng.choice((5, 200))))
    granted: list[Reservation] = []
    waiting: dict[object, Reservation] = {}
    now = 0.0
    for _ in range(300):
        now += rng.random() * 10
        what = rng.random()
        if what < 0.5:
            token = object()
            say, charge = ask(
                shares,
                f"s{rng.randrange(6)}",
                f"p{rng.randrange(4)}",
                rng.choice((1, 5, 40)),
                now,
                rng.choice((5.0, 500.0)),
                token,
                rng.choice("tu"),
            )
            if say is AdmissionDecision.GRANTED:
                granted.append(charge)
            elif say is AdmissionDecision.QUEUED:
                waiting[token] = charge
        elif what < 0.6 and granted:
            charge = rng.choice(granted)
            if charge.leaves[0].queue and any(a.reservation is charge for a in charge.leaves[0].queue):
                continue
            token = object()
            if shares.extend(now, charge, 3, 50.0, token) is AdmissionDecision.QUEUED:
                granted.remove(charge)
                waiting[token] = charge
        elif what < 0.8 and granted:
            shares.release(now, granted.pop(rng.randrange(len(granted))))
        elif what < 0.85 and waiting:  # a client that goes while it waits
            shares.release(now, waiting.pop(rng.choice(list(waiting))))
        elif what < 0.9:
            shares.set_weight("to", f"p{rng.randrange(4)}", rng.choice((0.25, 1.0)))
        else:
            good, late = shares.grant_waiting(now)
            granted += [waiting.pop(token) for token in good]
            for token in late:
                shares.release(now, waiting.pop(token))
        shares.verify_invariants()
    for charge in granted + list(waiting.values()):
        shares.release(now, charge)
    assert shares.used == [0.0, 0.0] and not shares.rotation and not any(t.children for t in shares.trees.values())
