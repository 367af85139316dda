"""Endpoint selection: which endpoint of a route a message goes to."""

from __future__ import annotations

from .connection_policy import IDLE_REUSE_FRACTION, ConnectionPolicy
from .pending_message import PendingMessage
from .retry_policy import RetryPolicy
from .route_state import EVIDENCE_TTL_MS, EndpointState, RouteState
from .settings import Settings

RECENT_REJECTION_MS = 4000.0  # an endpoint that rejected a new connection is avoided for so long
# Costs of an endpoint, in calls in flight: a failure of the message's own class counts most.
SAME_CLASS_FAILURE_COST = 8.0
CLASS_FAILURE_COST = 2.0
CONNECTION_REJECTED_COST = 2.0
NEW_CONNECTION_COST = 0.9
FEE_COST = 1.5


class EndpointSelector:
    """Chooses by recent failures, load, idle connections and fees; equal endpoints by chance.

    Were it not for chance, all relays would use the same one of several equal endpoints.
    """

    def __init__(self, settings: Settings, retry_policy: RetryPolicy, connections: ConnectionPolicy) -> None:
        self.settings = settings
        self.retry_policy = retry_policy
        self.connections = connections

    def choose(self, now: float, pending: PendingMessage, route: RouteState) -> EndpointState | None:
        """Return the endpoint to use, or None if the message may be sent to none of them now."""
        is_scarce = self.connections.scarcity[route.kind].is_scarce
        usable = [
            endpoint for endpoint in route.endpoints.values() if self.retry_policy.may_send(now, pending, endpoint)
        ]
        if not usable:
            return None
        class_index = pending.message.class_index
        return min(usable, key=lambda endpoint: self._cost(now, class_index, endpoint, is_scarce))

    def _cost(
        self, now: float, class_index: int, endpoint: EndpointState, is_scarce: bool
    ) -> tuple[float, float, float]:
        settings = self.settings
        zone = endpoint.info.zone
        fee = settings.route_fees[zone] if zone < len(settings.route_fees) else 0.0
        fee += settings.cross_zone_price * (zone != settings.zone)
        reusable_ms = settings.idle_timeout_ms * IDLE_REUSE_FRACTION
        endpoint.idle_connections = [at for at in endpoint.idle_connections if now - at < reusable_ms]
        failing = [index for index, at in endpoint.class_failures.items() if now - at < EVIDENCE_TTL_MS]
        cost = endpoint.in_flight + SAME_CLASS_FAILURE_COST * (class_index in failing)
        cost += CLASS_FAILURE_COST * len(failing)
        cost += CONNECTION_REJECTED_COST * (is_scarce and now - endpoint.rejected_at < RECENT_REJECTION_MS)
        cost += NEW_CONNECTION_COST * (not endpoint.idle_connections)
        return cost + FEE_COST * (fee > 0), fee, endpoint.tie_breaker
