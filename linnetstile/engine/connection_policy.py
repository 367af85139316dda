"""Connections to endpoints: which are stale, which are scarce, and which idle ones to close. No I/O and no clock."""

from __future__ import annotations

from collections import defaultdict

from .actions import Action, CloseIdle
from .connection_scarcity import ConnectionScarcity
from .events import AttemptEnded, Outcome
from .rate_limiter import MAX_LIMIT_SPAN_MS
from .route_state import EVIDENCE_TTL_MS, EndpointState, RouteState
from .settings import Effect, MessageClass
from .time_points import NEVER

CALL_WEIGHT = 0.05  # weight of one call in what is known of a kind of destination: some twenty calls
LIMITED_THRESHOLD = 0.04  # part of answers after a failed connect above which idle ones are closed: one in CALL_WEIGHT
# A connection counts as closed by its peer after this part of the idle time: the peer's clock may be ahead.
IDLE_REUSE_FRACTION = 0.9
# A reused connection that is reset within this part of a usual answer had been closed before.
STALE_RESET_FRACTION = 0.3
# Part of the calls on reused connections that met a closed one, above which calls that must not run twice wait.
STALE_THRESHOLD = 0.02


class ConnectionPolicy:
    """What the relay has met on connections, by kind of destination."""

    def __init__(self) -> None:
        self.scarcity: defaultdict[int, ConnectionScarcity] = defaultdict(ConnectionScarcity)
        self.limited: dict[int, float] = {}  # kind -> part of its answers that followed a failed connect
        self.surplus: list[EndpointState] = []  # endpoints whose idle connections are closed at the end of the turn
        self.stale_ratio = 0.0  # part of the calls on reused connections that met a closed one

    def record_reuse(self, route: RouteState, event: AttemptEnded) -> bool:
        """Return whether a call met a connection that its peer, or something between, had closed before.

        Such an outcome says nothing of the destination.
        """
        is_sudden = event.outcome is Outcome.RESET and event.latency_ms < STALE_RESET_FRACTION * route.latency.mean_ms
        is_stale = event.connection_reused and (is_sudden or event.outcome is Outcome.CONNECT_FAILED)
        if event.connection_reused:
            self.stale_ratio += CALL_WEIGHT * (is_stale - self.stale_ratio)
        return is_stale

    def explains_rejection(self, now: float, route: RouteState, event: AttemptEnded) -> bool:
        """Return whether a rejection comes from too few connections, so that no limit was met."""
        scarcity = self.scarcity[route.kind]
        if event.outcome is not Outcome.REJECTED or now - route.health.last_success_at >= MAX_LIMIT_SPAN_MS:
            return False
        return scarcity.explains_rejection(event.connection_reused, event.retry_after_ms > 0)

    def record_answer(self, now: float, endpoint: EndpointState, event: AttemptEnded) -> None:
        """Count an answer of any kind by the connection that it came on."""
        is_rejected = event.outcome is Outcome.REJECTED
        scarcity = self.scarcity[endpoint.route.kind]
        scarcity.record(event.connection_reused, is_rejected, event.retry_after_ms > 0)
        endpoint.rejected_at = now if is_rejected and not event.connection_reused else NEVER

    def record_success(self, now: float, route: RouteState) -> None:
        """Count a success: soon after a failed connect it shows no outage, but an endpoint that accepts few."""
        health = route.health
        known = self.limited.get(route.kind, 0.0)
        is_soon = now - (health.outage_since or NEVER) < EVIDENCE_TTL_MS
        self.limited[route.kind] = known + CALL_WEIGHT * ((health.last_failure_was_connect and is_soon) - known)

    def adopt_limited(self, kind: int, part: float) -> None:
        """Take over what other relays know of a kind, unless this one knows it itself."""
        self.limited.setdefault(kind, part)

    def note_surplus(self, endpoint: EndpointState) -> None:
        """Mark the endpoint's idle connections for closing where connections are scarce."""
        kind = endpoint.route.kind
        if self.scarcity[kind].is_scarce or self.limited.get(kind, 0.0) > LIMITED_THRESHOLD:
            self.surplus.append(endpoint)

    def close_surplus(self, actions: list[Action]) -> None:
        """Close marked idle connections, unless the next call has gone out on them: they use up the few there are."""
        for endpoint in self.surplus:
            if endpoint.idle_connections:
                endpoint.idle_connections = []
                actions.append(CloseIdle(endpoint.info.id))
        self.surplus = []

    def last_byte_delay_ms(self, route: RouteState, message_class: MessageClass) -> float:
        """Return how long the last byte of a call is held back.

        Guards messages that must not run twice against a reset that leaves open whether they ran: where closed
        connections were met, the last byte waits until one would have shown itself.
        """
        if message_class.effect is Effect.NON_IDEMPOTENT and self.stale_ratio > STALE_THRESHOLD:
            return STALE_RESET_FRACTION * route.latency.mean_ms
        return 0.0
