"""Connections to endpoints: detects stale and scarce ones, and closes idle ones. No I/O and no clock."""

from __future__ import annotations

from collections import defaultdict

from .actions import Action, CloseIdle
from .connection_scarcity import ConnectionScarcity
from .events import AttemptEnded, ConnectionLimit, Outcome
from .rate_limiter import MAX_RATE_LIMIT_WINDOW_MS
from .route_state import EVIDENCE_TTL_MS, EndpointState, RouteState
from .settings import Effect, MessageClass
from .time_points import NEVER

CALL_WEIGHT = 0.05  # weight of one call in the moving means, which cover about the latest 20 calls
# Ratio in `connection_limit_ratios` above which idle connections are closed; one success soon after a failed connect
# exceeds it.
LIMITED_THRESHOLD = 0.04
# Fraction of the idle time-out within which an idle connection is reused; below 1, as the peer's clock may be ahead.
IDLE_REUSE_FRACTION = 0.9
# Time for which a connection is idle before it is reused: a second copy right behind a response arrives within it. The
# platform allows as much for every time that is measured on sockets.
MIN_IDLE_MS = 50.0
# A reused connection that is reset within this fraction of the mean latency was already closed before the call.
STALE_RESET_FRACTION = 0.3
# Stale ratio above which the last byte of non-idempotent messages is delayed.
STALE_THRESHOLD = 0.02


class ConnectionPolicy:
    """Learns from outcomes which kinds of destination limit their connections, and how often a reused one is stale.

    Attributes:
        scarcity: By kind, whether its endpoints accept too few connections for all relays.
        connection_limit_ratios: By kind, the fraction of its successes that came soon after a failed connect.
        surplus: Endpoints whose idle connections are to be closed after the present batch of events.
        stale_ratio: Fraction of the calls on reused connections for which the connection was already closed.
    """

    def __init__(self) -> None:
        self.scarcity: defaultdict[int, ConnectionScarcity] = defaultdict(ConnectionScarcity)
        self.connection_limit_ratios: dict[int, float] = {}
        self.surplus: list[EndpointState] = []
        self.stale_ratio = 0.0

    def record_reuse(self, route: RouteState, event: AttemptEnded) -> bool:
        """Count a call on a reused connection; return whether the connection was already closed before the call.

        The outcome of such a call says nothing about the health of the destination.
        """
        is_early = event.latency_ms < STALE_RESET_FRACTION * route.latency.mean_ms
        is_early_reset = event.outcome is Outcome.RESET and is_early
        is_stale = event.connection_reused and (is_early_reset or event.outcome is Outcome.CONNECT_FAILED)
        if event.connection_reused:
            self.stale_ratio += CALL_WEIGHT * (is_stale - self.stale_ratio)
        return is_stale

    def is_scarcity_rejection(self, now: float, route: RouteState, event: AttemptEnded) -> bool:
        """Return whether an outcome is a rejection that is due to scarce connections rather than to a rate limit."""
        scarcity = self.scarcity[route.kind]
        was_answered_recently = now - route.health.last_success_at < MAX_RATE_LIMIT_WINDOW_MS
        if event.outcome is not Outcome.REJECTED or not was_answered_recently:
            return False
        return scarcity.is_scarcity_rejection(event.connection_reused, event.retry_after_ms > 0)

    def record_answer(self, now: float, endpoint: EndpointState, event: AttemptEnded) -> None:
        """Count an answered call, which may be a rejection, for new or for reused connections."""
        is_rejected = event.outcome is Outcome.REJECTED
        scarcity = self.scarcity[endpoint.route.kind]
        scarcity.record(event.connection_reused, is_rejected, event.retry_after_ms > 0)
        endpoint.rejected_at = now if is_rejected and not event.connection_reused else NEVER

    def record_success(self, now: float, route: RouteState) -> None:
        """Count a success; soon after a failed connect, it shows a limit on connections rather than an outage."""
        health = route.health
        is_soon_after_failure = now - (health.outage_since or NEVER) < EVIDENCE_TTL_MS
        shows_limit = health.last_failure_was_connect and is_soon_after_failure
        ratio = self.connection_limit_ratios.get(route.kind, 0.0)
        self.connection_limit_ratios[route.kind] = ratio + CALL_WEIGHT * (shows_limit - ratio)

    def adopt_connection_limit(self, limit: ConnectionLimit) -> None:
        """Adopt the ratio that other relays found for a kind, unless this relay already has one."""
        self.connection_limit_ratios.setdefault(limit.kind, limit.ratio)

    def mark_idle_for_closing(self, endpoint: EndpointState) -> None:
        """Mark the idle connections of an endpoint for closing if connections of its kind are scarce or limited."""
        kind = endpoint.route.kind
        if self.scarcity[kind].is_scarce or self.connection_limit_ratios.get(kind, 0.0) > LIMITED_THRESHOLD:
            self.surplus.append(endpoint)

    def close_marked_idle(self, actions: list[Action]) -> None:
        """Close the marked connections that are still idle, so that other relays can connect."""
        for endpoint in self.surplus:
            if endpoint.idle_connections:
                endpoint.idle_connections = []
                actions.append(CloseIdle(endpoint.listed.id))
        self.surplus = []

    def last_byte_delay_ms(self, route: RouteState, message_class: MessageClass) -> float:
        """Return how long the last byte of a call is delayed.

        After a reset that follows the last byte, it is unclear whether the message has run. If stale connections were
        found, the last byte of a non-idempotent message is therefore delayed until a stale connection would have been
        reset.
        """
        if message_class.effect is Effect.NON_IDEMPOTENT and self.stale_ratio > STALE_THRESHOLD:
            return STALE_RESET_FRACTION * route.latency.mean_ms
        return 0.0
