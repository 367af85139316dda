"""Merges the claims of peers and of the snapshot, and posts the result to the engine.

`engine/gossip.py` decides which claims are believed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence

from ..engine import gossip_export
from ..engine.engine import DeliveryEngine
from ..engine.events import ConnectionLimit, Event, GossipReceived, RouteFacts
from ..engine.gossip import (
    OWN_OBSERVATION_WINS,
    ClaimSource,
    MergedRoute,
    RejectedClaim,
    lower_median,
    merge_claims,
    merge_connection_limits,
)
from ..telemetry import log_events
from ..telemetry.log import Logger
from .gossip_polling import PeerKnowledge
from .gossip_snapshot import LoadedSnapshot
from .gossip_state import MergeRecord, restriction_fields

MAX_RECORDS = 200  # limit of the merged routes, and of the rejected claims, that are kept for operators
MAX_LOGGED_ROUTES = 20
SNAPSHOT_SOURCE = "snapshot"


class GossipMerger:
    """Merges what peers and the snapshot claim.

    Attributes:
        snapshot: What this relay knew before its restart; None if there is no snapshot that can be used.
        merged: The latest merge of each route, for operators.
        rejected: How often each claim was rejected, for operators.
    """

    def __init__(
        self,
        engine: DeliveryEngine,
        partner_numbers: Mapping[str, int],
        peers: Mapping[str, PeerKnowledge],
        post_event: Callable[[Event], None],
        counts: dict[str, int],
        log: Logger,
    ) -> None:
        """Create a merger that has merged nothing yet.

        Args:
            engine: The delivery engine, which knows the routes.
            partner_numbers: Number of each partner in the engine; kept by the registry client.
            peers: What each peer reported, by address; kept by the peer poller.
            post_event: Takes events for the delivery engine.
            counts: Counters of the gossip service.
            log: Logger of the relay.
        """
        self.engine = engine
        self.partner_numbers = partner_numbers
        self.peers = peers
        self.post_event = post_event
        self.counts = counts
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.snapshot: LoadedSnapshot | None = None
        self.merged: dict[tuple[str, int], MergeRecord] = {}
        self.rejected: dict[RejectedClaim, int] = {}

    @property
    def now_ms(self) -> float:
        """The loop's time in ms."""
        return self.loop.time() * 1000

    def merge(self) -> None:
        """Merge all sources again and post the result; called after each answer and each endpoint list."""
        sources = self._sources()
        partner_names = {number: name for name, number in self.partner_numbers.items()}
        inventory = gossip_export.route_inventory(self.engine, partner_names)
        if not inventory.endpoints or not sources:
            return
        result = merge_claims(sources, inventory.endpoints, inventory.observed, self._relay_count())
        self._record_rejected(result.rejected)
        connection_limits = self._merged_connection_limits()
        if not result.routes and not connection_limits:
            return
        self._record_merged(sources, result.routes)
        facts = tuple(self._facts(route) for route in result.routes)
        self.post_event(GossipReceived(facts, connection_limits))

    def _sources(self) -> list[ClaimSource]:
        now_ms = self.now_ms
        sources = [
            ClaimSource(address, False, tuple(peer.claims_at(now_ms).values())) for address, peer in self.peers.items()
        ]
        if self.snapshot is not None:
            sources.append(ClaimSource(SNAPSHOT_SOURCE, True, self.snapshot.claims_at(now_ms)))
        return sources

    def _relay_count(self) -> int:
        """Return how many relays share a partner in slow start.

        A relay that assumes too few relays would take too large a share. The result is therefore the larger one of its
        own count and the lower median of the peers' counts.
        """
        relay_counts = [float(peer.relay_count) for peer in self.peers.values()]
        return max(self.engine.settings.relay_count, int(lower_median(relay_counts)))

    def _merged_connection_limits(self) -> tuple[ConnectionLimit, ...]:
        """Return the merged connection limits by number of the kind, for the kinds that the settings name."""
        by_source = {address: peer.connection_limits for address, peer in self.peers.items()}
        if self.snapshot is not None:
            by_source[SNAPSHOT_SOURCE] = self.snapshot.connection_limits
        merged = merge_connection_limits([by_source[source] for source in sorted(by_source)])
        kinds = [kind.name for kind in self.engine.settings.kinds]
        return tuple(ConnectionLimit(kinds.index(kind), ratio) for kind, ratio in merged.items() if kind in kinds)

    def _facts(self, route: MergedRoute) -> RouteFacts:
        return RouteFacts(
            destination=self.partner_numbers[route.partner],
            route=route.route,
            outage_age_ms=route.outage_age_ms,
            slow_start_age_ms=route.slow_start_age_ms,
            retry_after_ms=route.retry_after_ms,
            latency_mean_ms=route.latency_mean_ms,
            latency_deviation_ms=route.latency_deviation_ms,
            answers=route.answers,
            aware_relays=route.aware_relays,
            rate=route.rate,
        )

    def _record_rejected(self, rejected: Sequence[RejectedClaim]) -> None:
        for claim in rejected:
            if claim not in self.rejected and len(self.rejected) < MAX_RECORDS:
                self.counts["doubted"] += 1
                # A claim that yields to this relay's own observation is no fault of the peer: debug level is enough.
                log = self.log.debug if claim.reason == OWN_OBSERVATION_WINS else self.log.info
                log(log_events.GOSSIP_CLAIM_REJECTED, source=claim.source, partner=claim.partner, why=claim.reason)
            self.rejected[claim] = self.rejected.get(claim, 0) + 1

    def _record_merged(self, sources: Sequence[ClaimSource], routes: Sequence[MergedRoute]) -> None:
        self.counts["taken"] += len(routes)
        restricted_routes = [route for route in routes if _is_restricted(route)]
        if restricted_routes:
            self.log.info(
                log_events.GOSSIP_MERGED,
                sources=[source.name for source in sources],
                routes=len(routes),
                cautions=[restriction_fields(route) for route in restricted_routes[:MAX_LOGGED_ROUTES]],
            )
        now_ms = self.now_ms
        for route in routes:
            key = (route.partner, route.route)
            if len(self.merged) < MAX_RECORDS or key in self.merged:
                self.merged[key] = MergeRecord(route, now_ms)


def _is_restricted(route: MergedRoute) -> bool:
    """Return whether a route is down, in slow start, or has a Retry-After."""
    return route.outage_age_ms is not None or route.slow_start_age_ms is not None or bool(route.retry_after_ms)
