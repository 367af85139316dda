"""The operators' document of the gossip: its members, what was merged and what was rejected.

Its JSON names are read by `linnetstile knowledge learned` and do not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from ..engine.gossip import MergedRoute, RejectedClaim
from ..engine.membership import Peer

MAX_SHOWN_AGE_MS = 1e12  # shown for longer and infinite ages, because JSON has no infinity


@dataclass(frozen=True, slots=True)
class MergeRecord:
    """The latest merge of one route, for operators."""

    route: MergedRoute
    merged_at_ms: float

    def to_json(self, now_ms: float) -> dict[str, Any]:
        """Return the record under the names of the operators' document, in its order."""
        route = self.route
        return {
            "partner": route.partner,
            "route": route.route,
            "out_ms": route.outage_age_ms,
            "cold_ms": route.slow_start_age_ms,
            "wait_ms": route.retry_after_ms,
            "mean_ms": route.latency_mean_ms,
            "dev_ms": route.latency_deviation_ms,
            "answers": route.answers,
            "knowers": route.aware_relays,
            "pace": route.rate,
            "sources": route.sources,
            "age_ms": min(route.age_ms, MAX_SHOWN_AGE_MS),
            "taken_at": self.merged_at_ms,
            "taken_ms_ago": round(now_ms - self.merged_at_ms),
        }


def rejection_to_json(claim: RejectedClaim, times: int) -> dict[str, Any]:
    """Return a rejected claim, and how often it was rejected."""
    return {"source": claim.source, "partner": claim.partner, "why": claim.reason, "times": times}


def peer_to_json(peer: Peer, now_ms: float) -> dict[str, Any]:
    """Return what is known of another relay as a member of the gossip."""
    return {
        "address": peer.address,
        "standing": peer.status.value,
        "fails": peer.failures,
        "heard_ms_ago": round(now_ms - peer.last_answer_at) if peer.incarnation else None,
    }


def restriction_fields(route: MergedRoute) -> dict[str, Any]:
    """Return the log fields of a merged route that is down, in slow start or has a Retry-After."""
    return {
        "partner": route.partner,
        "route": route.route,
        "out_ms": route.outage_age_ms,
        "cold_ms": route.slow_start_age_ms,
        "wait_ms": route.retry_after_ms,
        "sources": route.sources,
        "age_ms": round(route.age_ms) if route.age_ms < MAX_SHOWN_AGE_MS else None,
    }
