"""Adopts what other relays, or this one's own snapshot, know of routes that this relay has no evidence of."""

from __future__ import annotations

from .actions import Action
from .connection_policy import ConnectionPolicy
from .destinations import RoutingTable
from .events import GossipReceived, GossipSent, RouteFacts
from .outlier_detection import OutlierDetector
from .rate_limiter import RateLimiter
from .retry_policy import RetryPolicy
from .route_state import LatencyEstimate, RouteState
from .settings import Settings
from .time_points import NEVER


class GossipImporter:
    """Adopts the cautions of other relays, so that a restarted one does not overload a destination.

    Own evidence always wins over gossip.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        routing_table: RoutingTable,
        retry_policy: RetryPolicy,
        rate_limiter: RateLimiter,
        outliers: OutlierDetector,
        connections: ConnectionPolicy,
    ) -> None:
        self.settings = settings
        self.routing_table = routing_table
        self.retry_policy = retry_policy
        self.rate_limiter = rate_limiter
        self.outliers = outliers
        self.connections = connections

    def record_sent(self, now: float, event: GossipSent) -> None:
        """Count another relay as aware of the outages of these routes."""
        for key in event.routes:
            route = self.routing_table.open(now, key.destination).get(key.route_id)
            if route is not None:
                route.health.notified_relays += 1

    def apply(self, now: float, event: GossipReceived, actions: list[Action]) -> None:
        """Adopt the received facts of each route that exists; facts of other routes are ignored."""
        for limit in event.connection_limits:
            self.connections.adopt_connection_limit(limit)
        for facts in event.facts:
            route = self.routing_table.open(now, facts.destination).get(facts.route)
            if route is not None:
                self._apply_facts(now, route, facts, actions)

    def _apply_facts(self, now: float, route: RouteState, facts: RouteFacts, actions: list[Action]) -> None:
        if facts.retry_after_ms > 0:
            until = now + facts.retry_after_ms
            self.retry_policy.apply_retry_after(now, route, facts.destination, until, actions)
        self._adopt_latency(route.latency, facts)
        self._adopt_rate(now, route, facts)
        self._adopt_health(now, route, facts)

    @staticmethod
    def _adopt_latency(latency: LatencyEstimate, facts: RouteFacts) -> None:
        if facts.answers and not latency.answers:
            latency.mean_ms = facts.latency_mean_ms
            latency.deviation_ms = facts.latency_deviation_ms
            latency.answers = facts.answers

    def _adopt_rate(self, now: float, route: RouteState, facts: RouteFacts) -> None:
        has_own_evidence = route.health.last_success_at > NEVER or bool(route.rate.throttle_ms)
        if 0 < facts.rate < route.rate.own_rate and not has_own_evidence:
            self.rate_limiter.adopt_rate(now, route.rate, facts.rate)

    def _adopt_health(self, now: float, route: RouteState, facts: RouteFacts) -> None:
        health = route.health
        has_own_failure = health.failed_at > NEVER and not health.from_gossip
        if health.last_success_at > NEVER or has_own_failure:
            return
        if facts.outage_age_ms is not None:
            self.outliers.adopt_outage(now, route, facts.outage_age_ms, facts.aware_relays)
            return
        slow_start_age_ms = facts.slow_start_age_ms
        if slow_start_age_ms is not None and slow_start_age_ms < self.settings.safety.slow_start_ms:
            self.outliers.adopt_slow_start(now, route, slow_start_age_ms, facts.aware_relays)
