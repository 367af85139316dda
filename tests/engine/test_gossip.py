"""What is believed of others: by age, by agreement, never against own evidence; and whom to ask when."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.engine import gossip_export
from linnetstile.engine.actions import CloseIdle
from linnetstile.engine.events import GossipReceived, GossipSent, Outcome, RouteFacts
from linnetstile.engine.gossip import (
    ClaimSource,
    MergedRoute,
    RejectedClaim,
    RouteClaim,
    evidence_weight,
    merge_claims,
    merge_connection_limits,
)
from linnetstile.engine.membership import (
    BOOTSTRAP_GAP_MS,
    BOOTSTRAP_PEERS,
    FIRST_POLL_JITTER_MS,
    MAX_PEERS,
    Membership,
    PeerStatus,
)
from linnetstile.engine.slow_start import count_aware_relays
from tests.conftest import SAFE, UNSAFE, Driver, make_settings

LANE = {("p", -1): {11, 12}}


def well(age: float = 100.0, mean: float = 100.0) -> RouteClaim:
    return RouteClaim("p", -1, (11, 12), answered_age=age, mean_ms=mean, dev_ms=30.0, answers=9)


def down(age: float = 100.0, since: float = 3000.0) -> RouteClaim:
    return RouteClaim(
        "p",
        -1,
        (11, 12),
        answered_age=since + 500,
        failed_age=age,
        out_age=since,
        mean_ms=100,
        dev_ms=30,
        answers=9,
        knowers=2.0,
    )


def learn(*claims: RouteClaim, own: bool = False, relays: int = 10) -> tuple[MergedRoute | None, list[RejectedClaim]]:
    sources = [ClaimSource(f"peer{n}", own, (claim,)) for n, claim in enumerate(claims)]
    found, doubts = merge_claims(sources, LANE, set(), relays)
    return (found[0] if found else None), doubts


def test_one_credible_peer_is_enough_for_a_caution_and_all_may_have_learned_it() -> None:
    found, _ = learn(down())
    assert found is not None and found.outage_age_ms == 3000 and found.aware_relays == 10.0
    found, _ = learn(down(), well(50))
    assert found is not None and found.outage_age_ms == 3000  # one contradiction is not agreement


def test_two_that_had_answers_since_outweigh_it() -> None:
    found, doubts = learn(down(age=500), well(50), well(60))
    assert found is not None and found.outage_age_ms is None and "answers since" in doubts[0].reason
    found, _ = learn(down(age=50), well(500), well(600))  # they know less than it does
    assert found is not None and found.outage_age_ms == 3000


@pytest.mark.parametrize(("age", "taken"), [(19_900, True), (20_100, False), (3_600_000, False)])
def test_a_caution_fades(age: float, taken: bool) -> None:
    found, doubts = learn(down(age, since=age + 100))
    assert (found is not None and found.outage_age_ms is not None) == taken and bool(doubts) != taken


def test_a_return_that_one_saw_makes_it_cold_and_not_out() -> None:
    back = RouteClaim("p", -1, (11,), answered_age=300, cold_age=900, answers=1, mean_ms=100, knowers=4.0)
    found, _ = learn(down(age=1200, since=5000), back)
    assert found is not None and (found.outage_age_ms, found.slow_start_age_ms, found.aware_relays) == (None, 900, 10.0)


def test_waits_bind_where_they_were_told_and_caution_where_not() -> None:
    long = RouteClaim("p", -1, (11,), wait_ms=500_000)
    for own, expected in [(True, 500_000), (False, 60_000)]:
        found, _ = learn(long, own=own)
        assert found is not None and found.retry_after_ms == expected


def test_what_was_learned_from_others_endpoints_is_about_somebody_else() -> None:
    for claim, reason in [
        (RouteClaim("p", -1, (99,), failed_age=1, out_age=1), "not its own"),
        (RouteClaim("q", -1, (11,), failed_age=1, out_age=1), "no such partner"),
        (RouteClaim("p", -1, (11,), failed_age=float("nan"), out_age=1), "can't be"),
        (RouteClaim("p", -1, (11,), failed_age=-5, out_age=1), "can't be"),
    ]:
        found, doubts = learn(claim)
        assert found is None and reason in doubts[0].reason


def test_own_observation_wins() -> None:
    found, doubts = merge_claims([ClaimSource("a", False, (down(),))], LANE, {("p", -1)}, 10)
    assert found == [] and doubts[0].reason == "own observation wins"


def test_a_peer_that_cries_alarm_alone_is_doubted_as_a_whole() -> None:
    routes = {(f"p{n}", -1): {n} for n in range(10)}

    def all_(name: str, out: bool) -> ClaimSource:
        return ClaimSource(
            name,
            False,
            tuple(
                RouteClaim(
                    f"p{n}",
                    -1,
                    (n,),
                    answered_age=4000 if out else 50,
                    failed_age=100 if out else None,
                    out_age=3000 if out else None,
                )
                for n in range(10)
            ),
        )

    found, doubts = merge_claims([all_("liar", True), all_("b", False)], routes, set(), 10)
    assert not [each for each in found if each.outage_age_ms is not None] and {d.source for d in doubts} == {"liar"}
    found, _ = merge_claims([all_("a", True), all_("b", True)], routes, set(), 10)
    assert len([each for each in found if each.outage_age_ms is not None]) == 10  # nobody denies it: then it is so
    found, _ = merge_claims([all_("alone", True)], routes, set(), 10)
    assert len([each for each in found if each.outage_age_ms is not None]) == 10  # nobody else to ask: careful


def test_one_wrong_latency_moves_it_by_one_place() -> None:
    found, _ = learn(well(mean=100), well(mean=120), well(mean=100_000))
    assert found is not None and found.latency_mean_ms == 120
    found, _ = learn(well(mean=0.2), well(mean=120), well(mean=130))
    assert found is not None and found.latency_mean_ms == 120
    assert learn(well(age=2_000_000))[0] is None  # half an hour old


ages = st.one_of(st.none(), st.floats(-10, 1e7), st.just(float("nan")), st.just(float("inf")))


@given(
    st.lists(
        st.builds(
            RouteClaim,
            st.just("p"),
            st.just(-1),
            st.just((11,)),
            ages,
            ages,
            ages,
            ages,
            st.floats(-1, 1e12),
            st.floats(0, 1e6),
            st.floats(0, 1e6),
            st.integers(0, 9),
            st.floats(0, 1e6),
            st.floats(0, 1e9),
        ),
        max_size=5,
    ),
    st.booleans(),
)
def test_nothing_that_peers_say_breaks_the_bounds(claims: list[RouteClaim], own: bool) -> None:
    found, _ = learn(*claims, own=own, relays=7)
    if found is not None:
        assert found.outage_age_ms is None or 0 <= found.outage_age_ms <= 3_600_000
        assert found.outage_age_ms is None or found.slow_start_age_ms is None
        assert 0 <= found.retry_after_ms <= (1e12 if own else 60_000) and 1 <= found.aware_relays <= 7
        assert 0 <= found.latency_mean_ms <= 120_000


def test_a_pace_and_few_connections_come_from_the_one_in_the_middle() -> None:
    def held(pace: float, age: float = 100.0) -> RouteClaim:
        return RouteClaim("p", -1, (11,), answered_age=age, pace=pace)

    for paces, expected in [((3.0,), 3.0), ((3.0, 0.001, 4.0), 3.0), ((3.0, 9e8, 4.0), 4.0), ((0.0, 0.0), 0.0)]:
        found, _ = learn(*(held(pace) for pace in paces))
        assert (found.rate if found else 0.0) == expected
    assert learn(held(3.0, age=30_000))[0] is None  # the refusals were too long ago
    assert merge_connection_limits([{"a": 0.5, "b": 0.1}, {"a": 0.0}, {"a": 7.0}]) == {"a": 0.0, "b": 0.1}


def test_a_learned_pace_holds_a_fresh_relay_until_its_own_refusals_or_answers_say_more() -> None:
    sends = []
    for pace in (0.0, 1.0):
        d = fresh(rate=pace)
        for _ in range(20):
            d.message(SAFE)
        d.pass_time(900)
        sends.append(len(d.sent))
    assert sends[1] < sends[0]
    d = fresh()
    d.feed(GossipReceived((), connection_limited=((0, 0.5),)))
    ident = d.message(SAFE)
    d.pass_time(50)
    assert any(isinstance(act, CloseIdle) for act in d.answer(ident))


def test_weight_knows_no_age_that_no_clock_can_tell() -> None:
    assert [evidence_weight(age) for age in (None, -1.0, float("nan"), 0.0, 10_000.0)] == [0, 0, 0, 1, 0.5]


# -- in the module ---------------------------------------------------------------------------------------


def fresh(relays: int = 4, **fact: Any) -> Driver:
    d = Driver(make_settings(relay_count=relays))
    d.listed((11, 1))
    if fact:
        d.feed(GossipReceived((RouteFacts(1, **fact),)))
    return d


def test_a_fresh_relay_that_learned_of_an_outage_calls_at_a_trickle_and_returns_within_the_budget() -> None:
    sends = []
    facts: list[dict[str, Any]] = [{}, {"outage_age_ms": 4000.0, "aware_relays": 4.0}]
    for fact in facts:
        d = fresh(**fact)
        for _ in range(30):
            d.message(SAFE)
            d.pass_time(100)
            for ident in list(d.out):
                d.answer(ident)
        sends.append(len(d.sent))
    assert sends[0] == 30
    # 3 s of the cold budget (20 a second, a fifth, twice), shared by four: 6 calls, warming meanwhile.
    assert sends[1] <= 10


def test_a_relay_that_believes_in_too_few_relays_takes_the_part_that_others_know_of() -> None:
    d = fresh(relays=4, outage_age_ms=4000.0, aware_relays=40.0)
    assert recall_knowers(d) == 40.0
    d = fresh(relays=4)
    assert recall_knowers(d) <= 4.0


def recall_knowers(d: Driver) -> float:
    return count_aware_relays(d.now, d.relay.routing_table.open(d.now, 1)[-1], d.settings.relay_count)


def test_unsafe_messages_wait_where_others_say_out() -> None:
    d = fresh(outage_age_ms=4000.0, aware_relays=4.0)
    ident = d.message(UNSAFE)
    d.pass_time(4000, 20)
    assert ident not in d.tries
    d.pass_time(3000, 20)
    assert ident in d.tries


def test_a_learned_wait_binds() -> None:
    d = fresh(retry_after_ms=2000.0)
    ident = d.message(SAFE)
    d.pass_time(1990)
    assert ident not in d.tries
    d.pass_time(1000)
    assert ident in d.tries


def test_own_evidence_is_not_overruled_and_hearsay_is_not_passed_on() -> None:
    d = fresh()
    d.warm_up()
    d.feed(GossipReceived((RouteFacts(1, outage_age_ms=100.0), RouteFacts(9, outage_age_ms=1.0))))
    assert not d.relay.routes[1][-1].health.ejected
    (claim,) = gossip_export.export_claims(d.relay, d.now, {1: "p"})
    assert claim.answers > 3 and claim.out_age is None and claim.endpoints == (11,)
    other = fresh(outage_age_ms=4000.0)
    assert (
        gossip_export.export_claims(other.relay, other.now, {1: "p"}) == []
        and gossip_export.known_routes(other.relay, {1: "p"})[1] == set()
    )


def test_relays_that_were_told_are_knowers() -> None:
    d = fresh(relays=50)
    d.warm_up()
    for _ in range(2):
        ident = d.message(SAFE)
        d.pass_time(600, 20)
        if ident in d.out:
            d.answer(ident, Outcome.CONNECT_FAILED)
    before = gossip_export.export_claims(d.relay, d.now, {1: "p"})[0].knowers
    for _ in range(5):
        d.feed(GossipSent(((1, -1), (7, -1))))
    assert gossip_export.export_claims(d.relay, d.now, {1: "p"})[0].knowers == pytest.approx(before + 5)


# -- membership ------------------------------------------------------------------------------------------


def test_a_fresh_relay_hears_a_few_peers_one_at_a_time_then_seldom() -> None:
    members, asks, now = Membership("a", ["a", *(f"p{n}" for n in range(20))], 0.0, 1), list[float](), 0.0
    assert "a" not in members.peers
    while now < 60_000:
        peer = members.next_peer(now)
        if peer:
            asks.append(now)
            assert members.next_peer(now) is None
            members.poll_answered(now + 5, peer, "run", [])
        now += 10
    assert asks[0] <= FIRST_POLL_JITTER_MS + 10 and len([at for at in asks if at < 5000]) == BOOTSTRAP_PEERS
    assert (
        all(b - a >= BOOTSTRAP_GAP_MS for a, b in zip(asks, asks[1:], strict=False))
        and len(asks) <= BOOTSTRAP_PEERS + 7
    )


def test_three_hundred_relays_at_once_make_no_storm() -> None:
    """All fresh within the same moment, as after a restart of 95% within 23 s at the worst."""
    names = [f"r{n}" for n in range(300)]
    fleet = [Membership(name, names, 0.0, n) for n, name in enumerate(names)]
    load: dict[str, int] = {}
    worst = 0
    for tick in range(0, 3000, 10):
        window: dict[str, int] = {}
        for member in fleet:
            if peer := member.next_peer(float(tick)):
                load[peer] = load.get(peer, 0) + 1
                window[peer] = window.get(peer, 0) + 1
                member.poll_answered(tick + 5.0, peer, "run", [])
        worst = max(worst, *window.values(), 0)
    assert sum(load.values()) == 300 * BOOTSTRAP_PEERS and max(load.values()) <= 15 and worst <= 5


def test_standings_follow_what_was_heard_itself() -> None:
    members = Membership("a", ["b"], 0.0, 1)
    members.poll_answered(0, "b", "run1", ["c", "a"])
    assert members.alive_peers() == ["b"] and members.peers["c"].status is PeerStatus.UNKNOWN
    assert members.poll_answered(1, "b", "run2", []) and not members.poll_answered(2, "b", "run2", [])
    members.poll_failed(3, "b")
    assert members.peers["b"].status.value == "suspected" and members.alive_peers() == []
    for _ in range(5):
        members.poll_failed(4, "c") if "c" in members.peers else None
    assert "c" not in members.peers  # hearsay that never answered is forgotten
    for _ in range(5):
        members.poll_failed(5, "b")
    assert members.peers["b"].status is PeerStatus.LEFT  # listed: asked again, ever more seldom
    members.poll_answered(6, "b", "run3", [f"x{n}" for n in range(5000)])
    assert members.alive_peers() == ["b"] and len(members.peers) <= MAX_PEERS


def test_peers_that_flap_are_asked_ever_more_seldom() -> None:
    members, asks, rng = Membership("a", ["b"], 0.0, 1), 0, random.Random(1)
    for now in range(0, 300_000, 50):
        if peer := members.next_peer(now):
            asks += 1
            members.poll_answered(now, peer, "run", []) if rng.random() < 0.2 else members.poll_failed(now, peer)
    assert asks < 45
