"""Merges the claims that a relay receives by gossip after its start, and rejects those that are not credible.

No I/O and no clock: claims have ages instead of times.

A claim is what one relay knows of one route (a destination, or one endpoint of it where routes are separate). How far
it is trusted depends on its age and on the claims of others. docs/design/knowledge.md explains the figures:

- Evidence of health loses half of its weight every `HEALTH_HALF_LIFE_MS`. Latency changes slowly, so its evidence
  loses half of its weight every `LATENCY_HALF_LIFE_MS`. A claim with less weight than `MIN_EVIDENCE_WEIGHT` is stale.
- Outages, slow starts and Retry-After are cautions: one credible peer is enough to adopt one, unless
  `CLEARANCE_QUORUM` others with later evidence contradict it.
- Health is never adopted: a claim that a route answers another relay can only cancel a caution. Only an answer to this
  relay shows that the route is healthy.
- A Retry-After that this relay received itself, and has read back from its snapshot, is binding. One that another relay
  received is a caution.
- A relay that learns of an outage uses the smallest part of the slow-start budget, its share among all relays: it can't
  know how many others learned of the outage, and all of them together have to stay within the budget.
- What this relay has observed since it started takes precedence: claims are merged only for routes of which it has no
  evidence of its own.
- A peer that claims outages of more than `DISTRUST_THRESHOLD` of the routes that it knows is distrusted as a whole if
  other peers contradict most of these claims: a peer that lies, or whose own network is faulty, must not stop a fleet.
"""

from __future__ import annotations

from collections.abc import Mapping, Set
from dataclasses import dataclass, replace
from typing import NamedTuple

from .route_claims import (
    MIN_EVIDENCE_WEIGHT,
    MIN_LATENCY_MS,
    AttributedClaim,
    ClaimSource,
    PartnerRoute,
    RouteClaim,
    evidence_weight,
)

__all__ = [
    "OWN_OBSERVATION_WINS",
    "ClaimSource",
    "MergeResult",
    "MergedRoute",
    "PartnerRoute",
    "RejectedClaim",
    "RouteClaim",
    "evidence_weight",
    "lower_median",
    "merge_claims",
    "merge_connection_limits",
]

CLEARANCE_QUORUM = 2  # sources with a later answer that outweigh one that claims an outage
DISTRUST_THRESHOLD = 0.5  # fraction of a peer's routes with claimed outages above which it may be distrusted
MIN_OUTAGES_TO_DISTRUST = 2  # a peer that claims a single outage is not distrusted as a whole
MAX_OUTAGE_MS = 3_600_000.0  # upper bound of the age of an outage: an hour
MAX_RETRY_AFTER_MS = 60_000.0  # a Retry-After that another relay received binds for at most a minute
MIN_LATENCY_ANSWERS = 3  # a latency from fewer answers is not adopted
MERGED_LATENCY_ANSWERS = 3  # answers that a merged latency counts as: few, so that own answers soon outweigh it
MIN_DEVIATION_FRACTION = 0.25  # lower bound of the deviation of a merged latency, as a fraction of its mean

# Reasons for rejecting a claim, as shown to operators.
OWN_OBSERVATION_WINS = "own observation wins"
UNKNOWN_ROUTE = "no such partner or route now"
IMPLAUSIBLE = "implausible ages or figures"
OTHER_ENDPOINTS = "learned from endpoints that are not its own now"
STALE_OUTAGE = "claims an outage, but too long ago"
DISTRUSTED_SOURCE = "claims outages of most of its routes, which other peers contradict"
CONTRADICTED_OUTAGE = "claims an outage, but others have had answers since"


@dataclass(frozen=True, slots=True)
class MergedRoute:
    """What is adopted for one route, as in the event `GossipReceived`.

    Attributes:
        partner: The partner.
        route: An endpoint's id where routes are separate, else -1.
        outage_age_ms: Age of the outage; None without one.
        slow_start_age_ms: Time since the route returned from an outage; None if it did not.
        retry_after_ms: Remaining time of a Retry-After.
        latency_mean_ms: Mean latency; 0 if none is adopted.
        latency_deviation_ms: Deviation of the latency.
        answers: Number of answers that the latency counts as.
        aware_relays: Relays that may know of the outage.
        rate: Requests a second to which rejections throttle the route; 0 if it is not throttled.
        sources: Names of the sources with claims of this route, for operators.
        age_ms: Age of the youngest evidence.
    """

    partner: str
    route: int
    outage_age_ms: float | None = None
    slow_start_age_ms: float | None = None
    retry_after_ms: float = 0.0
    latency_mean_ms: float = 0.0
    latency_deviation_ms: float = 0.0
    answers: int = 0
    aware_relays: float = 1.0
    rate: float = 0.0
    sources: tuple[str, ...] = ()
    age_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class RejectedClaim:
    """A claim, or a part of one, that was not adopted.

    Attributes:
        source: Name of its source.
        partner: The partner that the claim is about.
        reason: Why it was not adopted, for operators.
    """

    source: str
    partner: str
    reason: str


class MergeResult(NamedTuple):
    """The routes with something to adopt, by partner and route, and the claims that were rejected."""

    routes: list[MergedRoute]
    rejected: list[RejectedClaim]


class MergedLatency(NamedTuple):
    """Latency (ms) to adopt, and the number of answers that it counts as; all 0 if there is none."""

    mean_ms: float
    deviation_ms: float
    answers: int


class _WeightedLatency(NamedTuple):
    """A claimed latency, ordered by its mean."""

    mean_ms: float
    deviation_ms: float
    weight: float


class _RouteHealth(NamedTuple):
    """Ages (ms) of the claimed outages of a route that are credible, and of its claimed slow starts."""

    outage_ages: list[float]
    slow_start_ages: list[float]


def distrusted_sources(sources: list[ClaimSource]) -> set[str]:
    """Return the names of sources that claim outages of most routes they know, mostly contradicted by others."""
    return {source.name for source in sources if _is_distrusted(source, sources)}


def _is_distrusted(source: ClaimSource, sources: list[ClaimSource]) -> bool:
    recent_claims = [claim for claim in source.claims if claim.is_recent]
    outages = [claim for claim in recent_claims if claim.reports_outage]
    if len(outages) < MIN_OUTAGES_TO_DISTRUST or len(outages) <= DISTRUST_THRESHOLD * len(recent_claims):
        return False
    claims_of_others = [claim for other in sources if other.name != source.name for claim in other.claims]
    contradicted = sum(any(claim.contradicts(outage) for claim in claims_of_others) for outage in outages)
    return contradicted > len(outages) / 2


def merge_claims(
    sources: list[ClaimSource],
    endpoints: Mapping[PartnerRoute, set[int]],
    observed: Set[PartnerRoute],
    relay_count: int,
) -> MergeResult:
    """Decide what to adopt for each route.

    Args:
        sources: Claims by source.
        endpoints: The routes that exist now, by partner and route, with the ids of their endpoints.
        observed: Routes of which this relay has evidence of its own.
        relay_count: Relays in the fleet.
    """
    rejected: list[RejectedClaim] = []
    distrusted = distrusted_sources(sources)
    merged = []
    for key, claims in sorted(_group_by_route(sources, endpoints, observed, rejected).items()):
        route = merge_route(key, claims, distrusted, relay_count, rejected)
        has_nothing_to_adopt = route == MergedRoute(key.partner, key.route)
        if has_nothing_to_adopt:
            continue
        names = tuple(source.name for source, _ in claims)
        age_ms = min(claim.latest_evidence_age_ms for _, claim in claims)
        merged.append(replace(route, sources=names, age_ms=age_ms))
    return MergeResult(merged, rejected)


def _group_by_route(
    sources: list[ClaimSource],
    endpoints: Mapping[PartnerRoute, set[int]],
    observed: Set[PartnerRoute],
    rejected: list[RejectedClaim],
) -> dict[PartnerRoute, list[AttributedClaim]]:
    """Return the usable claims by route; the others are added to `rejected`."""
    claims_by_route: dict[PartnerRoute, list[AttributedClaim]] = {}
    for source in sources:
        for claim in source.claims:
            reason = _rejection_reason(claim, endpoints, observed)
            if reason is None:
                claims_by_route.setdefault(claim.key, []).append(AttributedClaim(source, claim))
            else:
                rejected.append(RejectedClaim(source.name, claim.partner, reason))
    return claims_by_route


def _rejection_reason(
    claim: RouteClaim, endpoints: Mapping[PartnerRoute, set[int]], observed: Set[PartnerRoute]
) -> str | None:
    """Return why a claim is rejected as a whole, or None."""
    key = claim.key
    if key not in endpoints:
        return UNKNOWN_ROUTE
    if not claim.is_plausible:
        return IMPLAUSIBLE
    if not endpoints[key] & set(claim.endpoints):
        return OTHER_ENDPOINTS
    if key in observed:
        return OWN_OBSERVATION_WINS
    return None


def merge_route(
    key: PartnerRoute,
    claims: list[AttributedClaim],
    distrusted: set[str],
    relay_count: int,
    rejected: list[RejectedClaim],
) -> MergedRoute:
    """Merge the claims of one route; outages that are not credible are added to `rejected`."""
    health = _merge_health(claims, distrusted, rejected)
    outage_age_ms = max(health.outage_ages, default=None)
    slow_start_age_ms = min(health.slow_start_ages, default=None)
    # A source that saw the route recover after all claimed outages began outweighs them: the route is in slow start.
    if slow_start_age_ms is not None and all(slow_start_age_ms < age for age in health.outage_ages):
        outage_age_ms = None
    has_outage_evidence = bool(health.outage_ages or health.slow_start_ages)
    latency = merge_latency(claims)
    return MergedRoute(
        key.partner,
        key.route,
        outage_age_ms=outage_age_ms,
        slow_start_age_ms=slow_start_age_ms if outage_age_ms is None else None,
        retry_after_ms=_merge_retry_after(claims),
        latency_mean_ms=latency.mean_ms,
        latency_deviation_ms=latency.deviation_ms,
        answers=latency.answers,
        aware_relays=float(relay_count) if has_outage_evidence else 1.0,
        rate=_merge_rate(claims),
    )


def _merge_health(claims: list[AttributedClaim], distrusted: set[str], rejected: list[RejectedClaim]) -> _RouteHealth:
    health = _RouteHealth(outage_ages=[], slow_start_ages=[])
    for source, claim in claims:
        if not claim.reports_outage:
            if claim.slow_start_age_ms is not None:
                health.slow_start_ages.append(claim.slow_start_age_ms)
            continue
        reason = _outage_rejection_reason(source, claim, claims, distrusted)
        if reason is None:
            health.outage_ages.append(min(claim.outage_age_ms or 0.0, MAX_OUTAGE_MS))
        else:
            rejected.append(RejectedClaim(source.name, claim.partner, reason))
    return health


def _outage_rejection_reason(
    source: ClaimSource, claim: RouteClaim, claims: list[AttributedClaim], distrusted: set[str]
) -> str | None:
    """Return why a claimed outage is not credible, or None."""
    if evidence_weight(claim.failure_age_ms) < MIN_EVIDENCE_WEIGHT:
        return STALE_OUTAGE
    if source.name in distrusted:
        return DISTRUSTED_SOURCE
    others = [other for peer, other in claims if peer.name != source.name]
    if sum(other.contradicts(claim) for other in others) >= CLEARANCE_QUORUM:
        return CONTRADICTED_OUTAGE
    return None


def _merge_retry_after(claims: list[AttributedClaim]) -> float:
    """Return the longest Retry-After (ms); one that another relay received is bounded."""
    longest = 0.0
    for source, claim in claims:
        retry_after_ms = claim.retry_after_ms if source.own else min(claim.retry_after_ms, MAX_RETRY_AFTER_MS)
        longest = max(longest, retry_after_ms)
    return longest


def _merge_rate(claims: list[AttributedClaim]) -> float:
    return lower_median([claim.rate for _, claim in claims if claim.rate > 0 and claim.is_recent])


def merge_latency(claims: list[AttributedClaim]) -> MergedLatency:
    """Return the weighted median of the claimed latencies: one that is wrong, by any amount, shifts it by one place."""
    latencies = sorted(
        _WeightedLatency(claim.latency_mean_ms, claim.latency_deviation_ms, claim.latency_weight)
        for _, claim in claims
        if claim.answers >= MIN_LATENCY_ANSWERS
        and claim.latency_mean_ms >= MIN_LATENCY_MS
        and claim.latency_weight >= MIN_EVIDENCE_WEIGHT
    )
    total_weight = sum(latency.weight for latency in latencies)
    weight_so_far = 0.0
    for latency in latencies:
        weight_so_far += latency.weight
        if weight_so_far >= total_weight / 2:
            deviation_ms = max(latency.deviation_ms, latency.mean_ms * MIN_DEVIATION_FRACTION)
            return MergedLatency(latency.mean_ms, deviation_ms, MERGED_LATENCY_ANSWERS)
    return MergedLatency(0.0, 0.0, 0)


def merge_connection_limits(peers: list[dict[str, float]]) -> dict[str, float]:
    """Merge the fractions of answers that followed a failed connect, by kind of destination.

    Args:
        peers: For each peer, the fraction of such answers by the name of the kind.

    Returns:
        By kind, the lower median of the valid fractions (0 to 1) of the peers.
    """
    kinds = {kind for peer in peers for kind in peer}
    return {
        kind: lower_median([peer[kind] for peer in peers if 0 <= peer.get(kind, -1.0) <= 1]) for kind in sorted(kinds)
    }


def lower_median(values: list[float]) -> float:
    """Return the lower median, or 0 without values. One of three values is never the result if it is far off."""
    return sorted(values)[(len(values) - 1) // 2] if values else 0.0
