"""What other relays, or this one's own snapshot, said of routes: taken over where the relay has no own evidence."""

from __future__ import annotations

from .actions import Action
from .connection_policy import ConnectionPolicy
from .destinations import RoutingTable
from .events import GossipReceived, GossipSent, RouteFacts
from .outlier_detection import OutlierDetector
from .rate_limiter import RateLimiter
from .retry_policy import RetryPolicy
from .route_state import RouteState
from .settings import Settings
from .time_points import NEVER


class GossipImporter:
    """Guards destinations from relays that start anew: own evidence always wins over gossip."""

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
        for destination, route_id in event.routes:
            route = self.routing_table.open(now, destination).get(route_id)
            if route is not None:
                route.health.notified_relays += 1

    def apply(self, now: float, event: GossipReceived, actions: list[Action]) -> None:
        """Take over what was said of each route that exists."""
        for kind, part in event.connection_limited:
            self.connections.adopt_limited(kind, part)
        for facts in event.facts:
            route = self.routing_table.open(now, facts.destination).get(facts.route)
            if route is not None:
                self._apply_facts(now, route, facts, actions)

    def _apply_facts(self, now: float, route: RouteState, facts: RouteFacts, actions: list[Action]) -> None:
        health = route.health
        if facts.retry_after_ms > 0:
            until = now + facts.retry_after_ms
            self.retry_policy.apply_retry_after(now, route, facts.destination, until, actions)
        if facts.answers and not route.latency.answers:
            route.latency.mean_ms = facts.latency_mean_ms
            route.latency.deviation_ms = facts.latency_deviation_ms
            route.latency.answers = facts.answers
        has_answered = health.last_success_at > NEVER
        if 0 < facts.rate < route.rate.own_rate and not has_answered and not route.rate.throttle_ms:
            self.rate_limiter.adopt_rate(now, route.rate, facts.rate)
        has_own_failure = health.failed_at > NEVER and not health.from_gossip
        if has_answered or has_own_failure:
            return
        if facts.outage_age_ms is not None:
            self.outliers.adopt_outage(now, route, facts.outage_age_ms, facts.aware_relays)
        elif facts.slow_start_age_ms is not None and facts.slow_start_age_ms < self.settings.safety.slow_start_ms:
            self.outliers.adopt_slow_start(now, route, facts.slow_start_age_ms, facts.aware_relays)
