"""What a fresh relay takes from others, and how far it believes it. No I/O, no clock: ages and times come in.

A claim is what one relay knows of one lane (a destination, or a route where routes are apart). It is believed by age
and by agreement; docs/design/knowledge.md argues the figures:

- Evidence of health fades by half each `HALF_MS`, the module's measure of late evidence; a claim under `LEAST` of
  its weight is stale. Latency, which changes slowly, fades by `PACE_HALF_MS`.
- Out, cold and waiting are cautions: one credible peer is enough, unless `CLEAR` others that know better contradict it.
- A clearance is never taken: that a lane answers others only takes a caution's force away. The first own answer counts.
- A told wait binds this relay where it was told to this relay (its own snapshot); told to another it is a caution.
- Whoever learns of an outage takes the smallest part of the cold budget, that of one of all relays: it can't know how
  many learned it besides, and all of them together must stay within the budget.
- What this relay has seen itself since it started always wins; only lanes without own evidence are touched.
- A peer that cautions of more than `ALARM` of what it knows, alone against others who know them too, is doubted as
  a whole: one that is wrong on purpose, or whose own network is the trouble, must not stop a fleet.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

HEALTH_HALF_LIFE_MS = (
    10_000.0  # the module's FADE_MS: evidence of so long ago counts no more there, here it counts half
)
LATENCY_HALF_LIFE_MS = 600_000.0  # ten minutes: latency follows the load of a day and the releases of a partner
MIN_EVIDENCE_WEIGHT = 0.25  # two halves: 20 s for health, 20 min for latency
CLEARANCE_QUORUM = 2  # so many who have seen an answer since outweigh one who says out
DISTRUST_THRESHOLD = 0.5  # part of a peer's lanes: above it, alone, it is doubted
MAX_OUTAGE_MS = 3_600_000.0  # no outage is taken to have begun longer ago than an hour
MAX_RETRY_AFTER_MS = 60_000.0  # a wait told to another binds no longer than a minute
OWN_OBSERVATION_WINS = "own observation wins"
PLAUSIBLE_LATENCY_MS = (0.1, 120_000.0)  # outside it a figure is an error


@dataclass(frozen=True, slots=True)
class RouteClaim:
    """One relay's knowledge of one lane. Ages and lengths in ms; None = never, or not so.

    Lanes are named by partner and route (an endpoint's id, or -1); `endpoints` says which ones it was learned from: an
    id given to another partner since, or none in common, makes it a claim about somebody else."""

    partner: str
    route: int
    endpoints: tuple[int, ...]
    answered_age: float | None = None  # the latest answer
    failed_age: float | None = None  # the latest failure that no limit explains
    out_age: float | None = None  # the first failure of the outage that lasts
    cold_age: float | None = None  # its return
    wait_ms: float = 0.0  # left of a told wait
    mean_ms: float = 0.0
    dev_ms: float = 0.0
    answers: int = 0
    knowers: float = 1.0  # relays that may know of the outage, those told included
    pace: float = 0.0  # calls a second that refusals hold it to now; 0 = none do

    @property
    def seen_age(self) -> float:
        """Of the youngest piece of it."""
        ages = [age for age in (self.answered_age, self.failed_age, self.cold_age) if age is not None]
        return min(ages, default=float("inf"))

    def aged(self, ms: float) -> RouteClaim:
        """The same, so much later: ages travel and not times of day."""

        def add(age: float | None) -> float | None:
            return None if age is None else age + ms

        return replace(
            self,
            answered_age=add(self.answered_age),
            failed_age=add(self.failed_age),
            out_age=add(self.out_age),
            cold_age=add(self.cold_age),
            wait_ms=max(0.0, self.wait_ms - ms),
        )


@dataclass(frozen=True, slots=True)
class ClaimSource:
    """Whose claims: a name, whether it is this relay's own snapshot, and the claims at their present age."""

    name: str
    own: bool
    claims: tuple[RouteClaim, ...]


@dataclass(frozen=True, slots=True)
class MergedRoute:
    """What is taken for one lane, in the words of `Learned`."""

    partner: str
    route: int
    outage_age_ms: float | None = None  # since when it is out
    slow_start_age_ms: float | None = None  # since when it is back
    retry_after_ms: float = 0.0
    latency_mean_ms: float = 0.0  # 0 = not taken
    latency_deviation_ms: float = 0.0
    answers: int = 0
    aware_relays: float = 1.0
    rate: float = 0.0
    sources: tuple[str, ...] = ()  # who spoke of this lane, for people
    age_ms: float = 0.0  # of the youngest of it


@dataclass(frozen=True, slots=True)
class RejectedClaim:
    """What was not taken, of whom, and why."""

    source: str
    partner: str
    reason: str


def evidence_weight(age: float | None, half: float = HEALTH_HALF_LIFE_MS) -> float:
    """1 for now, half of it each `half` ms; 0 for never, and for ages that no clock can tell."""
    if age is None or not age >= 0:
        return 0.0
    return float(0.5 ** min(age / half, 1000.0))


def claims_outage(claim: RouteClaim) -> bool:
    """Says that the lane is out now."""
    return claim.out_age is not None and (claim.answered_age is None or claim.answered_age >= claim.out_age)


def is_plausible(claim: RouteClaim) -> bool:
    ages = (claim.answered_age, claim.failed_age, claim.out_age, claim.cold_age)
    figures = [*(age for age in ages if age is not None), claim.wait_ms, claim.dev_ms, claim.knowers, claim.pace]
    return all(0 <= figure < float("inf") for figure in figures) and 0 <= claim.mean_ms <= PLAUSIBLE_LATENCY_MS[1]


def distrusted_sources(sources: list[ClaimSource]) -> set[str]:
    """Peers that cry alarm alone: most of what they know is out, and most of that is contradicted by others."""
    found: set[str] = set()
    for source in sources:
        fresh = [claim for claim in source.claims if evidence_weight(claim.seen_age) >= MIN_EVIDENCE_WEIGHT]
        alarms = [claim for claim in fresh if claims_outage(claim)]
        if not fresh or len(alarms) <= DISTRUST_THRESHOLD * len(fresh) or len(alarms) < 2:
            continue
        denied = sum(
            any(contradicts(other, claim) for peer in sources if peer.name != source.name for other in peer.claims)
            for claim in alarms
        )
        if denied > len(alarms) / 2:
            found.add(source.name)
    return found


def contradicts(other: RouteClaim, claim: RouteClaim) -> bool:
    """Saw an answer of the same lane after the outage is said to have begun, and lately."""
    same = (other.partner, other.route) == (claim.partner, claim.route)
    return (
        same
        and other.answered_age is not None
        and evidence_weight(other.answered_age) >= MIN_EVIDENCE_WEIGHT
        and (claim.failed_age is None or other.answered_age < claim.failed_age)
    )


def merge_claims(
    sources: list[ClaimSource], endpoints: dict[tuple[str, int], set[int]], seen: set[tuple[str, int]], relays: int
) -> tuple[list[MergedRoute], list[RejectedClaim]]:
    """What to take for each lane that exists (`endpoints`: its ids now) and was not `seen` by this relay itself."""
    doubts: list[RejectedClaim] = []
    alarmists = distrusted_sources(sources)
    by_lane: dict[tuple[str, int], list[tuple[ClaimSource, RouteClaim]]] = {}
    for source in sources:
        for claim in source.claims:
            route = claim.partner, claim.route
            if route not in endpoints:
                doubts.append(RejectedClaim(source.name, claim.partner, "no such partner or route now"))
            elif not is_plausible(claim):
                doubts.append(RejectedClaim(source.name, claim.partner, "ages or figures that can't be"))
            elif not endpoints[route] & set(claim.endpoints):
                doubts.append(
                    RejectedClaim(source.name, claim.partner, "learned from endpoints that are not its own now")
                )
            elif route in seen:
                doubts.append(RejectedClaim(source.name, claim.partner, OWN_OBSERVATION_WINS))
            else:
                by_lane.setdefault(route, []).append((source, claim))
    found = []
    for route, claims in sorted(by_lane.items()):
        lesson = merge_route(route, claims, alarmists, relays, doubts)
        if lesson != MergedRoute(*route):
            ages = [claim.seen_age for _, claim in claims]
            found.append(replace(lesson, sources=tuple(source.name for source, _ in claims), age_ms=min(ages)))
    return found, doubts


def merge_route(
    route: tuple[str, int],
    claims: list[tuple[ClaimSource, RouteClaim]],
    alarmists: set[str],
    relays: int,
    doubts: list[RejectedClaim],
) -> MergedRoute:
    """One lane: cautions by the rules above, latency as the weighted median of those who know it."""
    outs, colds, waits = list[float](), list[float](), [0.0]
    for source, claim in claims:
        others = [other for peer, other in claims if peer.name != source.name]
        if claim.wait_ms > 0:
            # Told to this relay it binds to its end; told to another it is a caution, and bounded as one.
            waits.append(claim.wait_ms if source.own else min(claim.wait_ms, MAX_RETRY_AFTER_MS))
        if claims_outage(claim):
            if evidence_weight(claim.failed_age) < MIN_EVIDENCE_WEIGHT:
                doubts.append(RejectedClaim(source.name, route[0], "says out, too long ago"))
            elif source.name in alarmists:
                doubts.append(RejectedClaim(source.name, route[0], "says most are out, others say not"))
            elif sum(contradicts(other, claim) for other in others) >= CLEARANCE_QUORUM:
                doubts.append(RejectedClaim(source.name, route[0], "says out, others have had answers since"))
            else:
                outs.append(min(claim.out_age or 0.0, MAX_OUTAGE_MS))
        elif claim.cold_age is not None:
            colds.append(claim.cold_age)
    mean, dev, answers = merge_latency(claims)
    # An outage that one saw end while another saw it go on: it is back for somebody, so it is cold and not out.
    back = min(colds, default=None)
    since = max(outs, default=None)
    if since is not None and back is not None and all(back < age for age in outs):
        since = None
    return MergedRoute(
        *route,
        since,
        back if since is None else None,
        max(waits),
        mean,
        dev,
        answers,
        float(relays) if outs or colds else 1.0,
        lower_median(
            [
                claim.pace
                for _, claim in claims
                if claim.pace > 0 and evidence_weight(claim.seen_age) >= MIN_EVIDENCE_WEIGHT
            ]
        ),
    )


def lower_median(values: list[float]) -> float:
    """The lower one in the middle, 0 of none: among three, one that is wrong, however far, decides nothing."""
    return sorted(values)[(len(values) - 1) // 2] if values else 0.0


def merge_connection_limits(peers: list[dict[str, float]]) -> dict[str, float]:
    """By kind: the part of answers that followed a missed connection, the middle of those who know the kind."""
    kinds = {kind for peer in peers for kind in peer}
    return {
        kind: lower_median([peer[kind] for peer in peers if 0 <= peer.get(kind, -1.0) <= 1]) for kind in sorted(kinds)
    }


def merge_latency(claims: list[tuple[ClaimSource, RouteClaim]]) -> tuple[float, float, int]:
    """Mean and deviation of the peer in the middle by weight: one that is wrong, however far, moves it by one place."""
    known = sorted(
        (claim.mean_ms, claim.dev_ms, evidence_weight(claim.answered_age, LATENCY_HALF_LIFE_MS))
        for _, claim in claims
        if claim.answers >= 3
        and claim.mean_ms >= PLAUSIBLE_LATENCY_MS[0]
        and evidence_weight(claim.answered_age, LATENCY_HALF_LIFE_MS) >= MIN_EVIDENCE_WEIGHT
    )
    total, passed = sum(each[2] for each in known), 0.0
    for mean, dev, part in known:
        passed += part
        if passed >= total / 2:
            return mean, max(dev, mean / 4), 3  # as after three answers: the next own ones soon outweigh it
    return 0.0, 0.0, 0
