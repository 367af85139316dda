"""State of a route that is in use: its endpoints, calls, latency, rate and health.

A destination has one route, or one for each of its endpoints where the settings say so. Each record below is written
by the module that its docstring names; others only read it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .events import Endpoint, Outcome
from .pending_message import PendingMessage
from .time_points import NEVER

EVIDENCE_TTL_MS = 10000.0  # an older answer or failure is no longer evidence


@dataclass(slots=True)
class DecayingCounter:
    """A count of events in which older ones weigh exponentially less."""

    total: float = 0.0
    updated_at: float = 0.0

    def count(self, now: float, decay_ms: float) -> float:
        """Return the count as of `now`; an event of `decay_ms` ago weighs 1/e."""
        return self.total * math.exp((self.updated_at - now) / decay_ms)

    def add(self, now: float, decay_ms: float) -> None:
        """Count one event."""
        self.total = self.count(now, decay_ms) + 1
        self.updated_at = now


@dataclass(slots=True)
class LatencyEstimate:
    """Latency of one route; written by `latency`, and by `gossip_import` where nothing is known yet.

    Attributes:
        mean_ms: Moving mean of the latency of answers.
        deviation_ms: Moving mean of the deviation from it.
        answers: Number of answers; the first ones weigh more.
        timeout_multiplier: Factor on the time-out, above 1 while calls time out.
        mean_call_ms: Moving mean of the time that a call occupies its slot, whatever its outcome; 0 = none has ended.
    """

    mean_ms: float
    deviation_ms: float
    answers: int = 0
    timeout_multiplier: float = 1.0
    mean_call_ms: float = 0.0


@dataclass(slots=True)
class RateState:
    """Rate of one route; written by `rate_limiter`, and by `slow_start` when a destination has recovered.

    Attributes:
        fleet_rate: Calls a second that all relays together may send.
        own_rate: Calls a second that this relay may send, as learned.
        tokens: Tokens of the bucket: calls that may be sent now.
        tokens_at: When `tokens` was last brought up to date.
        initial_tokens: Random part of one token, which a relay starts with where it should not send a burst.
        is_advertised: Whether `fleet_rate` comes from the list or a load report rather than from a guess.
        answer_counter: Answers of this route.
        throttle_ms: How long the latest rejection throttles the route.
        throttled_until: When that ends.
    """

    fleet_rate: float
    own_rate: float
    tokens: float
    tokens_at: float
    initial_tokens: float = 0.0
    is_advertised: bool = True
    answer_counter: DecayingCounter = field(default_factory=DecayingCounter)
    throttle_ms: float = 0.0
    throttled_until: float = NEVER

    def relax_throttle(self) -> None:
        """Halve the time for which the next rejection will throttle."""
        self.throttle_ms = self.throttle_ms / 2


@dataclass(slots=True)
class HealthState:
    """Health of one route; written by `outlier_detection`, `slow_start` and `gossip_import`.

    Attributes:
        last_success_at: Time of the latest answer.
        failure_score: 0 for healthy to 1; rises with each failure and falls with each answer.
        ejected: Whether the route is ejected: it gets single trial calls only.
        failed_at: Time of the latest failure that no rate limit explains.
        last_failure_had_no_effect: Whether the latest failure proved that the message had no effect.
        last_failure_was_connect: Whether the latest failure was a connection that could not be made.
        outage_since: Start of the first call that failed since the last answer; None = no outage.
        slow_start_since: When the route recovered from its latest outage.
        endpoints_left_at: When its last endpoint left the list.
        aware_relays: Relays that may know of the latest outage.
        notified_relays: Relays that learned of it by gossip.
        from_gossip: Whether its state was learned by gossip, and this relay has no outcome of its own yet.
        next_trial_at: When an ejected route may get its next trial call.
    """

    last_success_at: float = NEVER
    failure_score: float = 0.0
    ejected: bool = False
    failed_at: float = NEVER
    last_failure_had_no_effect: bool = False
    last_failure_was_connect: bool = False
    outage_since: float | None = None
    slow_start_since: float = NEVER
    endpoints_left_at: float = NEVER
    aware_relays: float = 1.0
    notified_relays: float = 0.0
    from_gossip: bool = False
    next_trial_at: float = 0.0

    def start_outage(self, at: float) -> None:
        """Record that an outage began, unless one goes on already."""
        if self.outage_since is None:
            self.outage_since = at


@dataclass(slots=True)
class EndpointState:
    """One endpoint in use, as this relay sees it.

    Attributes:
        info: Its latest entry in the endpoint list.
        route: The route that it belongs to.
        in_flight: Calls that are in flight to it.
        class_failures: By message class, the time of the latest failure, if no call of the class was answered since.
        idle_connections: For each idle connection to it, when it was last used.
        tie_breaker: A random number: of two equal endpoints the lower one is used.
        rejected_at: Time of the latest rejection on a new connection, if none was accepted since.
    """

    info: Endpoint
    route: RouteState
    in_flight: int = 0
    class_failures: dict[int, float] = field(default_factory=dict)
    idle_connections: list[float] = field(default_factory=list)
    tie_breaker: float = 0.0
    rejected_at: float = NEVER

    def record_connection(self, now: float, outcome: Outcome) -> None:
        """Record an idle connection if a call was answered; if not, no idle connection is trusted any more."""
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            self.idle_connections.append(now)
        else:
            self.idle_connections = []


@dataclass(slots=True, eq=False)  # compared by identity: two calls may be alike
class InFlightCall:
    """One call without an outcome yet, with one message or several.

    Attributes:
        endpoint: Where it went.
        started_at: When it was sent.
        messages: Its messages.
        unresolved: Messages without an outcome.
        counted: Whether an outcome of it has counted as evidence, as only the first one of a call does.
    """

    endpoint: EndpointState
    started_at: float
    messages: list[PendingMessage]
    unresolved: int
    counted: bool = False

    def resolve_one(self) -> bool:
        """Record the outcome of one message; return whether it is the first, which counts as evidence."""
        is_first = not self.counted
        self.counted = True
        self.unresolved -= 1
        return is_first


@dataclass(slots=True)
class RouteState:
    """One route while it is in use.

    Attributes:
        latency: Latency estimate.
        rate: Rate limit.
        health: Outlier detection.
        max_batch: Messages that one call may carry.
        kind: Index of the destination's kind in the settings.
        retry_after_until: End of the latest Retry-After that a destination sent.
        endpoints: Its endpoints by id.
        calls: Its calls in flight.
    """

    latency: LatencyEstimate
    rate: RateState
    health: HealthState = field(default_factory=HealthState)
    max_batch: int = 1
    kind: int = 0
    retry_after_until: float = NEVER
    endpoints: dict[int, EndpointState] = field(default_factory=dict)
    calls: list[InFlightCall] = field(default_factory=list)
