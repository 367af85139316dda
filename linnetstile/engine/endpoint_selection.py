"""Endpoint selection: chooses the endpoint of a route to which a message is sent."""

from __future__ import annotations

from typing import NamedTuple

from .connection_policy import IDLE_REUSE_FRACTION, ConnectionPolicy
from .pending_message import PendingMessage
from .retry_policy import RetryPolicy
from .route_state import EVIDENCE_TTL_MS, EndpointState, RouteState
from .settings import Settings

RECENT_REJECTION_MS = 4000.0  # time for which an endpoint is avoided after it rejected a new connection
# Costs of using an endpoint, in the unit of one call in flight to it.
SAME_CLASS_FAILURE_COST = 8.0  # if the latest call of the message's own class failed
CLASS_FAILURE_COST = 2.0  # for each class whose latest call failed
CONNECTION_REJECTED_COST = 2.0  # if the endpoint rejected a new connection and connections are scarce
NEW_CONNECTION_COST = 0.9  # if no idle connection can be reused
FEE_COST = 1.5  # if the call costs a fee


class EndpointCost(NamedTuple):
    """Cost of sending a message to one endpoint; costs are compared field by field in this order.

    Attributes:
        calls: Load and risks of the endpoint, in the unit of one call in flight.
        fee: Fee of the call.
        tie_breaker: Random number of the endpoint.
    """

    calls: float
    fee: float
    tie_breaker: float


class EndpointSelector:
    """Chooses endpoints by recent failures, load, idle connections and fees, and at random between equal ones.

    Without the random choice, all relays would use the same one of several equal endpoints.
    """

    def __init__(self, settings: Settings, retry_policy: RetryPolicy, connections: ConnectionPolicy) -> None:
        self.settings = settings
        self.retry_policy = retry_policy
        self.connections = connections

    def choose(self, now: float, pending: PendingMessage, route: RouteState) -> EndpointState | None:
        """Return the endpoint to use, or None if the message may not be sent to any of them now."""
        is_scarce = self.connections.scarcity[route.kind].is_scarce
        usable = [
            endpoint for endpoint in route.endpoints.values() if self.retry_policy.may_send(now, pending, endpoint)
        ]
        if not usable:
            return None
        class_index = pending.message.class_index
        return min(usable, key=lambda endpoint: self._cost(now, class_index, endpoint, is_scarce))

    def _cost(self, now: float, class_index: int, endpoint: EndpointState, is_scarce: bool) -> EndpointCost:
        # The endpoint may already have closed connections that were idle for longer.
        reusable_ms = self.settings.idle_timeout_ms * IDLE_REUSE_FRACTION
        endpoint.idle_connections = [used_at for used_at in endpoint.idle_connections if now - used_at < reusable_ms]
        failing_classes = [index for index, at in endpoint.class_failures.items() if now - at < EVIDENCE_TTL_MS]
        was_rejected_recently = now - endpoint.rejected_at < RECENT_REJECTION_MS
        fee = self._fee(endpoint.listed.zone)
        cost = endpoint.in_flight + SAME_CLASS_FAILURE_COST * (class_index in failing_classes)
        cost += CLASS_FAILURE_COST * len(failing_classes)
        cost += CONNECTION_REJECTED_COST * (is_scarce and was_rejected_recently)
        cost += NEW_CONNECTION_COST * (not endpoint.idle_connections)
        cost += FEE_COST * (fee > 0)
        return EndpointCost(cost, fee, endpoint.tie_breaker)

    def _fee(self, zone: int) -> float:
        """Return the fee of a call to an endpoint in a zone."""
        settings = self.settings
        fee = settings.route_fees[zone] if zone < len(settings.route_fees) else 0.0
        return fee + settings.cross_zone_price * (zone != settings.zone)
