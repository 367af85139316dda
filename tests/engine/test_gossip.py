"""Gossip: how claims of other relays are merged, bounded and rejected, and what merged claims do in the engine."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from linnetstile.engine import gossip_export
from linnetstile.engine.actions import CloseIdle
from linnetstile.engine.events import ConnectionLimit, GossipReceived, GossipSent, Outcome, RouteFacts, RouteKey
from linnetstile.engine.gossip import (
    ClaimSource,
    MergedRoute,
    PartnerRoute,
    RejectedClaim,
    RouteClaim,
    evidence_weight,
    merge_claims,
    merge_connection_limits,
)
from linnetstile.engine.slow_start import count_aware_relays
from tests.conftest import IDEMPOTENT, NON_IDEMPOTENT, EngineHarness, make_settings

ROUTES = {PartnerRoute("p", -1): {11, 12}}


def healthy_claim(age: float = 100.0, mean: float = 100.0) -> RouteClaim:
    return RouteClaim("p", -1, (11, 12), answer_age_ms=age, latency_mean_ms=mean, latency_deviation_ms=30.0, answers=9)


def outage_claim(age: float = 100.0, since: float = 3000.0) -> RouteClaim:
    return RouteClaim(
        "p",
        -1,
        (11, 12),
        answer_age_ms=since + 500,
        failure_age_ms=age,
        outage_age_ms=since,
        latency_mean_ms=100,
        latency_deviation_ms=30,
        answers=9,
        aware_relays=2.0,
    )


def merge(*claims: RouteClaim, own: bool = False, relays: int = 10) -> tuple[MergedRoute | None, list[RejectedClaim]]:
    """Merge claims of one route, each from a different peer."""
    sources = [ClaimSource(f"peer{number}", own, (claim,)) for number, claim in enumerate(claims)]
    merged, rejected = merge_claims(sources, ROUTES, set(), relays)
    return (merged[0] if merged else None), rejected


def test_outage_that_one_peer_claims_is_accepted_and_all_relays_count_as_aware() -> None:
    route, _ = merge(outage_claim())
    assert route is not None
    assert route.outage_age_ms == 3000
    assert route.aware_relays == 10.0
    route, _ = merge(outage_claim(), healthy_claim(50))
    assert route is not None
    assert route.outage_age_ms == 3000  # one contradiction is below the quorum


def test_two_peers_with_later_answers_outweigh_a_claimed_outage() -> None:
    route, rejected = merge(outage_claim(age=500), healthy_claim(50), healthy_claim(60))
    assert route is not None
    assert route.outage_age_ms is None
    assert "answers since" in rejected[0].reason
    # Answers from before the last failure do not contradict the outage.
    route, _ = merge(outage_claim(age=50), healthy_claim(500), healthy_claim(600))
    assert route is not None
    assert route.outage_age_ms == 3000


@pytest.mark.parametrize(("age", "is_accepted"), [(19_900, True), (20_100, False), (3_600_000, False)])
def test_stale_outage_is_rejected(age: float, is_accepted: bool) -> None:
    route, rejected = merge(outage_claim(age, since=age + 100))
    assert (route is not None and route.outage_age_ms is not None) == is_accepted
    assert bool(rejected) != is_accepted


def test_route_that_recovered_for_one_peer_is_in_slow_start_and_not_ejected() -> None:
    recovered_claim = RouteClaim(
        "p", -1, (11,), answer_age_ms=300, slow_start_age_ms=900, answers=1, latency_mean_ms=100, aware_relays=4.0
    )
    route, _ = merge(outage_claim(age=1200, since=5000), recovered_claim)
    assert route is not None
    assert (route.outage_age_ms, route.slow_start_age_ms, route.aware_relays) == (None, 900, 10.0)


@pytest.mark.parametrize(("own", "merged_retry_after_ms"), [(True, 500_000), (False, 60_000)])
def test_retry_after_of_another_relay_is_bounded_and_the_own_one_is_not(
    own: bool, merged_retry_after_ms: float
) -> None:
    route, _ = merge(RouteClaim("p", -1, (11,), retry_after_ms=500_000), own=own)
    assert route is not None
    assert route.retry_after_ms == merged_retry_after_ms


@pytest.mark.parametrize(
    ("claim", "reason"),
    [
        (RouteClaim("p", -1, (99,), failure_age_ms=1, outage_age_ms=1), "not its own"),
        (RouteClaim("q", -1, (11,), failure_age_ms=1, outage_age_ms=1), "no such partner"),
        (RouteClaim("p", -1, (11,), failure_age_ms=float("nan"), outage_age_ms=1), "implausible"),
        (RouteClaim("p", -1, (11,), failure_age_ms=-5, outage_age_ms=1), "implausible"),
    ],
    ids=["unknown endpoint", "unknown partner", "age is no number", "negative age"],
)
def test_claim_with_unknown_names_or_impossible_ages_is_rejected(claim: RouteClaim, reason: str) -> None:
    route, rejected = merge(claim)
    assert route is None
    assert reason in rejected[0].reason


def test_own_observation_wins() -> None:
    merged, rejected = merge_claims([ClaimSource("a", False, (outage_claim(),))], ROUTES, {PartnerRoute("p", -1)}, 10)
    assert merged == []
    assert rejected[0].reason == "own observation wins"


def source_of_ten_routes(name: str, claims_outages: bool) -> ClaimSource:
    """Return a peer that claims outages of ten routes, or recent answers of them."""
    claims = (
        RouteClaim(
            f"p{number}",
            -1,
            (number,),
            answer_age_ms=4000 if claims_outages else 50,
            failure_age_ms=100 if claims_outages else None,
            outage_age_ms=3000 if claims_outages else None,
        )
        for number in range(10)
    )
    return ClaimSource(name, False, tuple(claims))


def merge_ten_routes(*sources: ClaimSource) -> tuple[int, list[RejectedClaim]]:
    """Return how many of the ten routes have a merged outage, and the rejected claims."""
    routes = {PartnerRoute(f"p{number}", -1): {number} for number in range(10)}
    merged, rejected = merge_claims(list(sources), routes, set(), 10)
    return len([route for route in merged if route.outage_age_ms is not None]), rejected


def test_peer_that_alone_claims_most_outages_is_distrusted() -> None:
    outages, rejected = merge_ten_routes(source_of_ten_routes("liar", True), source_of_ten_routes("b", False))
    assert outages == 0
    assert {claim.source for claim in rejected} == {"liar"}


def test_outages_of_most_routes_that_no_peer_contradicts_are_accepted() -> None:
    assert merge_ten_routes(source_of_ten_routes("a", True), source_of_ten_routes("b", True))[0] == 10
    assert merge_ten_routes(source_of_ten_routes("only", True))[0] == 10


def test_one_wrong_latency_does_not_move_the_merged_latency_beyond_the_others() -> None:
    route, _ = merge(healthy_claim(mean=100), healthy_claim(mean=120), healthy_claim(mean=100_000))
    assert route is not None
    assert route.latency_mean_ms == 120
    route, _ = merge(healthy_claim(mean=0.2), healthy_claim(mean=120), healthy_claim(mean=130))
    assert route is not None
    assert route.latency_mean_ms == 120
    assert merge(healthy_claim(age=2_000_000))[0] is None  # evidence that is half an hour old is stale


AGES = st.one_of(st.none(), st.floats(-10, 1e7), st.just(float("nan")), st.just(float("inf")))


@given(
    st.lists(
        st.builds(
            RouteClaim,
            partner=st.just("p"),
            route=st.just(-1),
            endpoints=st.just((11,)),
            answer_age_ms=AGES,
            failure_age_ms=AGES,
            outage_age_ms=AGES,
            slow_start_age_ms=AGES,
            retry_after_ms=st.floats(-1, 1e12),
            latency_mean_ms=st.floats(0, 1e6),
            latency_deviation_ms=st.floats(0, 1e6),
            answers=st.integers(0, 9),
            aware_relays=st.floats(0, 1e6),
            rate=st.floats(0, 1e9),
        ),
        max_size=5,
    ),
    st.booleans(),
)
def test_merged_values_stay_within_bounds_for_any_claims(claims: list[RouteClaim], own: bool) -> None:
    route, _ = merge(*claims, own=own, relays=7)
    if route is not None:
        assert route.outage_age_ms is None or 0 <= route.outage_age_ms <= 3_600_000
        assert route.outage_age_ms is None or route.slow_start_age_ms is None
        assert 0 <= route.retry_after_ms <= (1e12 if own else 60_000)
        assert 1 <= route.aware_relays <= 7
        assert 0 <= route.latency_mean_ms <= 120_000


def throttled_claim(rate: float, age: float = 100.0) -> RouteClaim:
    return RouteClaim("p", -1, (11,), answer_age_ms=age, rate=rate)


@pytest.mark.parametrize(
    ("rates", "merged_rate"),
    [((3.0,), 3.0), ((3.0, 0.001, 4.0), 3.0), ((3.0, 9e8, 4.0), 4.0), ((0.0, 0.0), 0.0)],
)
def test_merged_rate_is_the_median_of_the_claims(rates: tuple[float, ...], merged_rate: float) -> None:
    route, _ = merge(*(throttled_claim(rate) for rate in rates))
    assert (route.rate if route else 0.0) == merged_rate


def test_rate_of_a_relay_whose_rejections_are_long_ago_is_not_merged() -> None:
    assert merge(throttled_claim(3.0, age=30_000))[0] is None


def test_merged_connection_limits_are_medians_without_impossible_values() -> None:
    assert merge_connection_limits([{"a": 0.5, "b": 0.1}, {"a": 0.0}, {"a": 7.0}]) == {"a": 0.0, "b": 0.1}


def sends_of_a_fresh_relay(rate: float) -> int:
    """Return how many of 20 messages a fresh relay sends in 900 ms, given the rate that others were throttled to."""
    harness = fresh_relay(rate=rate)
    for _ in range(20):
        harness.submit(IDEMPOTENT)
    harness.advance(900)
    return len(harness.sends)


def test_merged_rate_throttles_a_fresh_relay() -> None:
    assert sends_of_a_fresh_relay(rate=1.0) < sends_of_a_fresh_relay(rate=0.0)


def test_merged_connection_limit_closes_the_idle_connection_of_a_fresh_relay() -> None:
    harness = fresh_relay()
    harness.handle(GossipReceived((), connection_limits=(ConnectionLimit(0, 0.5),)))
    message_id = harness.submit(IDEMPOTENT)
    harness.advance(50)
    assert any(isinstance(action, CloseIdle) for action in harness.end_attempt(message_id))


def test_impossible_ages_have_no_weight() -> None:
    assert [evidence_weight(age) for age in (None, -1.0, float("nan"), 0.0, 10_000.0)] == [0, 0, 0, 1, 0.5]


# -- in the engine ---------------------------------------------------------------------------------------


def fresh_relay(relay_count: int = 4, **facts: Any) -> EngineHarness:
    """Return a relay that has made no call; facts, if given, are received by gossip and about its destination."""
    harness = EngineHarness(make_settings(relay_count=relay_count))
    harness.list_endpoints((11, 1))
    if facts:
        harness.handle(GossipReceived((RouteFacts(1, **facts),)))
    return harness


def sends_in_three_seconds(harness: EngineHarness) -> int:
    """Return how many calls are made in 3 s with 30 messages, each call answered within 100 ms."""
    for _ in range(30):
        harness.submit(IDEMPOTENT)
        harness.advance(100)
        harness.end_attempts_in_flight()
    return len(harness.sends)


def test_fresh_relay_that_received_gossip_of_an_outage_sends_trials_within_the_slow_start_budget() -> None:
    assert sends_in_three_seconds(fresh_relay()) == 30
    # The slow-start budget (20 a second, times a fifth, times two) over 3 s and four relays is 6 calls, and it grows.
    assert sends_in_three_seconds(fresh_relay(outage_age_ms=4000.0, aware_relays=4.0)) <= 10


def test_larger_count_of_aware_relays_is_adopted() -> None:
    harness = fresh_relay(relay_count=4, outage_age_ms=4000.0, aware_relays=40.0)
    assert known_aware_relays(harness) == 40.0
    harness = fresh_relay(relay_count=4)
    assert known_aware_relays(harness) <= 4.0


def known_aware_relays(harness: EngineHarness) -> float:
    return count_aware_relays(
        harness.now, harness.engine.routing_table.open(harness.now, 1)[-1], harness.settings.relay_count
    )


def test_non_idempotent_messages_wait_where_others_claim_an_outage() -> None:
    harness = fresh_relay(outage_age_ms=4000.0, aware_relays=4.0)
    message_id = harness.submit(NON_IDEMPOTENT)
    harness.advance(4000, 20)
    assert message_id not in harness.attempts
    harness.advance(3000, 20)
    assert message_id in harness.attempts


def test_merged_retry_after_applies() -> None:
    harness = fresh_relay(retry_after_ms=2000.0)
    message_id = harness.submit(IDEMPOTENT)
    harness.advance(1990)
    assert message_id not in harness.attempts
    harness.advance(1000)
    assert message_id in harness.attempts


def test_merged_claims_neither_overrule_own_evidence_nor_are_exported() -> None:
    harness = fresh_relay()
    harness.warm_up()
    harness.handle(GossipReceived((RouteFacts(1, outage_age_ms=100.0), RouteFacts(9, outage_age_ms=1.0))))
    assert not harness.engine.routes[1][-1].health.ejected
    (claim,) = gossip_export.export_claims(harness.engine, harness.now, {1: "p"})
    assert claim.answers > 3
    assert claim.outage_age_ms is None
    assert claim.endpoints == (11,)
    other = fresh_relay(outage_age_ms=4000.0)
    assert gossip_export.export_claims(other.engine, other.now, {1: "p"}) == []
    assert gossip_export.route_inventory(other.engine, {1: "p"})[1] == set()


def test_notified_relays_count_as_aware() -> None:
    harness = fresh_relay(relay_count=50)
    harness.warm_up()
    for _ in range(2):
        message_id = harness.submit(IDEMPOTENT)
        harness.advance(600, 20)
        if message_id in harness.in_flight:
            harness.end_attempt(message_id, Outcome.CONNECT_FAILED)
    before = gossip_export.export_claims(harness.engine, harness.now, {1: "p"})[0].aware_relays
    for _ in range(5):
        harness.handle(GossipSent((RouteKey(1, -1), RouteKey(7, -1))))
    assert gossip_export.export_claims(harness.engine, harness.now, {1: "p"})[0].aware_relays == pytest.approx(
        before + 5
    )
