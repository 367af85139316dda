"""Claims: what one relay knows of one route, and the weight of that evidence by its age.

No I/O and no clock: claims hold ages instead of times, so that relays with different clocks can exchange them.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import NamedTuple

# In a claim, evidence of this age has half its weight. In the engine, a failure of this age no longer counts at all.
HEALTH_HALF_LIFE_MS = 10_000.0
LATENCY_HALF_LIFE_MS = 600_000.0  # ten minutes: latency follows the daily load and the releases of a partner
MIN_EVIDENCE_WEIGHT = 0.25  # evidence is stale after two half-lives: 20 s for health, 20 min for latency
MAX_HALF_LIVES = 1000.0  # limits the exponent, so that the weight stays above 0 and is defined for any age
MIN_LATENCY_MS = 0.1  # a lower latency is an error
MAX_LATENCY_MS = 120_000.0  # a higher latency is an error
NEVER_AGE_MS = float("inf")


class PartnerRoute(NamedTuple):
    """Identifies a route: the partner, and the endpoint's id where each endpoint has its own route, else -1."""

    partner: str
    route: int


@dataclass(frozen=True, slots=True)
class RouteClaim:
    """One relay's knowledge of one route. Ages and durations are in ms; an age is None if there was no such event."""

    partner: str
    route: int  # the endpoint's id where each endpoint has its own route, else -1
    # The endpoints that were observed. If none of them belongs to the route any more, the claim does not hold for it.
    endpoints: tuple[int, ...]
    answer_age_ms: float | None = None  # age of the latest answer
    failure_age_ms: float | None = None  # age of the latest failure that no rate limit explains
    outage_age_ms: float | None = None  # age of the first failure of the present outage
    slow_start_age_ms: float | None = None  # time since the route recovered from an outage
    retry_after_ms: float = 0.0  # remaining time of a Retry-After
    latency_mean_ms: float = 0.0
    latency_deviation_ms: float = 0.0  # mean deviation of the latency from its mean
    answers: int = 0  # number of answers in the latency estimate
    aware_relays: float = 1.0  # relays that may know of the outage, including those that were notified
    rate: float = 0.0  # requests a second to which rejections throttle the route now; 0 = not throttled

    @property
    def key(self) -> PartnerRoute:
        """Identifier of the route that the claim describes."""
        return PartnerRoute(self.partner, self.route)

    @property
    def latest_evidence_age_ms(self) -> float:
        """Age (ms) of the most recent evidence; infinite if there is none."""
        ages = (self.answer_age_ms, self.failure_age_ms, self.slow_start_age_ms)
        return min((age for age in ages if age is not None), default=NEVER_AGE_MS)

    @property
    def is_recent(self) -> bool:
        """Whether the most recent evidence is not stale yet."""
        return evidence_weight(self.latest_evidence_age_ms) >= MIN_EVIDENCE_WEIGHT

    @property
    def latency_weight(self) -> float:
        """Weight of the latency estimate, by the age of the latest answer."""
        return evidence_weight(self.answer_age_ms, LATENCY_HALF_LIFE_MS)

    @property
    def reports_outage(self) -> bool:
        """Whether the claim reports an ongoing outage: no answer came since the outage began."""
        if self.outage_age_ms is None:
            return False
        return self.answer_age_ms is None or self.answer_age_ms >= self.outage_age_ms

    @property
    def is_plausible(self) -> bool:
        """Whether all ages and figures are within their valid ranges."""
        ages = (self.answer_age_ms, self.failure_age_ms, self.outage_age_ms, self.slow_start_age_ms)
        figures = [
            *(age for age in ages if age is not None),
            self.retry_after_ms,
            self.latency_deviation_ms,
            self.aware_relays,
            self.rate,
        ]
        if not all(0 <= figure < float("inf") for figure in figures):
            return False
        return 0 <= self.latency_mean_ms <= MAX_LATENCY_MS

    def contradicts(self, claim: RouteClaim) -> bool:
        """Whether this claim has a recent answer of the same route after the latest failure of the other claim."""
        if self.partner != claim.partner or self.route != claim.route:
            return False
        if self.answer_age_ms is None or evidence_weight(self.answer_age_ms) < MIN_EVIDENCE_WEIGHT:
            return False
        return claim.failure_age_ms is None or self.answer_age_ms < claim.failure_age_ms

    def aged(self, ms: float) -> RouteClaim:
        """Return the claim as it will be after `ms`, with older ages and a shorter Retry-After."""

        def older(age: float | None) -> float | None:
            return None if age is None else age + ms

        return replace(
            self,
            answer_age_ms=older(self.answer_age_ms),
            failure_age_ms=older(self.failure_age_ms),
            outage_age_ms=older(self.outage_age_ms),
            slow_start_age_ms=older(self.slow_start_age_ms),
            retry_after_ms=max(0.0, self.retry_after_ms - ms),
        )


@dataclass(frozen=True, slots=True)
class ClaimSource:
    """The claims of one relay.

    Attributes:
        name: Name of the source, for operators.
        own: Whether it is this relay's own snapshot.
        claims: The claims, with their ages as of now.
    """

    name: str
    own: bool
    claims: tuple[RouteClaim, ...]


class AttributedClaim(NamedTuple):
    """A claim and its source."""

    source: ClaimSource
    claim: RouteClaim


def evidence_weight(age_ms: float | None, half_life_ms: float = HEALTH_HALF_LIFE_MS) -> float:
    """Return the weight of evidence by its age: 1 at age 0, halved after each half-life.

    The weight is 0 for None and for invalid ages (negative or not a number).
    """
    if age_ms is None or not age_ms >= 0:
        return 0.0
    return float(0.5 ** min(age_ms / half_life_ms, MAX_HALF_LIVES))
