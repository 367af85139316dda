"""Connections to endpoints: which are stale, which are scarce, and which idle ones to close. No I/O and no clock."""

from __future__ import annotations

from collections import defaultdict

from .actions import Action, CloseIdle
from .connection_scarcity import ConnectionScarcity
from .events import AttemptEnded, ConnectionLimit, Outcome
from .rate_limiter import MAX_LIMIT_SPAN_MS
from .route_state import EVIDENCE_TTL_MS, EndpointState, RouteState
from .settings import Effect, MessageClass
from .time_points import NEVER

CALL_WEIGHT = 0.05  # weight of one call in the moving means: the latest twenty or so count
LIMITED_THRESHOLD = 0.04  # ratio of `limited` above which idle connections are closed: one answer is enough
# An idle connection is reused within this fraction of the idle time-out only: the peer's clock may be ahead.
IDLE_REUSE_FRACTION = 0.9
# A reused connection that is reset within this fraction of the mean latency had been closed before the call.
STALE_RESET_FRACTION = 0.3
# Stale ratio above which the last byte of calls that must not run twice is delayed.
STALE_THRESHOLD = 0.02


class ConnectionPolicy:
    """Learns from the outcomes of calls which connections can be used, by kind of destination.

    Attributes:
        scarcity: By kind, whether its endpoints accept too few connections.
        limited: By kind, the fraction of its answers that followed a failed connect.
        surplus: Endpoints whose idle connections are closed once all events are handled.
        stale_ratio: Fraction of the calls on reused connections that met one that had been closed.
    """

    def __init__(self) -> None:
        self.scarcity: defaultdict[int, ConnectionScarcity] = defaultdict(ConnectionScarcity)
        self.limited: dict[int, float] = {}
        self.surplus: list[EndpointState] = []
        self.stale_ratio = 0.0

    def record_reuse(self, route: RouteState, event: AttemptEnded) -> bool:
        """Count a call on a reused connection; return whether that had been closed before the call.

        Such an outcome says nothing about the destination.
        """
        is_early = event.latency_ms < STALE_RESET_FRACTION * route.latency.mean_ms
        is_early_reset = event.outcome is Outcome.RESET and is_early
        is_stale = event.connection_reused and (is_early_reset or event.outcome is Outcome.CONNECT_FAILED)
        if event.connection_reused:
            self.stale_ratio += CALL_WEIGHT * (is_stale - self.stale_ratio)
        return is_stale

    def explains_rejection(self, now: float, route: RouteState, event: AttemptEnded) -> bool:
        """Return whether a rejection is due to too few connections, and not to a rate limit."""
        scarcity = self.scarcity[route.kind]
        was_answered_lately = now - route.health.last_success_at < MAX_LIMIT_SPAN_MS
        if event.outcome is not Outcome.REJECTED or not was_answered_lately:
            return False
        return scarcity.explains_rejection(event.connection_reused, event.retry_after_ms > 0)

    def record_answer(self, now: float, endpoint: EndpointState, event: AttemptEnded) -> None:
        """Count an answer, be it a rejection, by whether its connection was reused."""
        is_rejected = event.outcome is Outcome.REJECTED
        scarcity = self.scarcity[endpoint.route.kind]
        scarcity.record(event.connection_reused, is_rejected, event.retry_after_ms > 0)
        endpoint.rejected_at = now if is_rejected and not event.connection_reused else NEVER

    def record_success(self, now: float, route: RouteState) -> None:
        """Count a success: soon after a failed connect it shows a limit of connections rather than an outage."""
        health = route.health
        is_soon_after_failure = now - (health.outage_since or NEVER) < EVIDENCE_TTL_MS
        shows_limit = health.last_failure_was_connect and is_soon_after_failure
        ratio = self.limited.get(route.kind, 0.0)
        self.limited[route.kind] = ratio + CALL_WEIGHT * (shows_limit - ratio)

    def adopt_limited(self, limit: ConnectionLimit) -> None:
        """Adopt what other relays know of a kind, unless this one has evidence of its own."""
        self.limited.setdefault(limit.kind, limit.ratio)

    def note_surplus(self, endpoint: EndpointState) -> None:
        """Mark the endpoint's idle connections for closing where connections are scarce."""
        kind = endpoint.route.kind
        if self.scarcity[kind].is_scarce or self.limited.get(kind, 0.0) > LIMITED_THRESHOLD:
            self.surplus.append(endpoint)

    def close_surplus(self, actions: list[Action]) -> None:
        """Close the idle connections that were marked and are not in use again, so that other relays can connect."""
        for endpoint in self.surplus:
            if endpoint.idle_connections:
                endpoint.idle_connections = []
                actions.append(CloseIdle(endpoint.info.id))
        self.surplus = []

    def last_byte_delay_ms(self, route: RouteState, message_class: MessageClass) -> float:
        """Return how long the last byte of a call is delayed.

        A reset after the last byte leaves open whether a message has run. For one that must not run twice, where stale
        connections were met, the last byte is delayed until a stale connection would have been reset.
        """
        if message_class.effect is Effect.NON_IDEMPOTENT and self.stale_ratio > STALE_THRESHOLD:
            return STALE_RESET_FRACTION * route.latency.mean_ms
        return 0.0
