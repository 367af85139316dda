"""State of a route that is in use: its endpoints, calls, latency, rate and health.

A destination has one route, or one for each of its endpoints where the settings say so. Where the docstring of a record
below names modules, these decide its values. `idle_routes` restores the records of evicted routes.
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
        """Return the count as of `now`; an event that is `decay_ms` old weighs 1/e."""
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
        deviation_ms: Moving mean of the deviation of the latency from `mean_ms`.
        answers: Number of answers; the first answers have more weight in the means.
        timeout_multiplier: Factor on the time-out, above 1 while calls time out.
        mean_call_ms: Moving mean of the time that a call occupies its slot, for any outcome; 0 = no call has ended.
    """

    mean_ms: float
    deviation_ms: float
    answers: int = 0
    timeout_multiplier: float = 1.0
    mean_call_ms: float = 0.0


@dataclass(slots=True)
class RateState:
    """Rate of one route; written by `rate_limiter`, and by `slow_start` when a destination has recovered.

    `scheduler` and `engine` also change `tokens`, and `engine` calls `relax_throttle`.

    Attributes:
        fleet_rate: Calls a second that all relays together may send.
        own_rate: Calls a second that this relay may send, as learned from outcomes.
        tokens: Tokens in the bucket: calls that may be sent now.
        tokens_at: When `tokens` was last updated.
        initial_tokens: Random fraction of one token that a relay starts with where it should not send a burst.
        is_advertised: Whether `fleet_rate` comes from the list or a load report rather than from a guess.
        answer_counter: Count of the answers of this route.
        throttle_ms: How long the latest rejection throttles the route.
        throttled_until: When the throttling by the latest rejection ends.
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
    """Health of one route; written by `outlier_detection`, `slow_start`, `gossip_import` and `destinations`.

    Attributes:
        last_success_at: Time of the latest answer.
        failure_score: 0 for healthy, always below 1; rises with each failure and falls with each answer.
        ejected: Whether the route is ejected, which limits it to single trial calls.
        failed_at: Time of the latest failure that no rate limit explains.
        last_failure_had_no_effect: Whether the latest failure proved that the message had no effect.
        last_failure_was_connect: Whether the latest failure was a connection that could not be made.
        outage_since: Start of the first call that failed since the last answer; None = no outage.
        slow_start_since: When the route recovered from its latest outage.
        endpoints_left_at: When its last endpoint left the list.
        aware_relays: Number of relays that may know of the latest outage.
        notified_relays: Number of relays that learned of the latest outage by gossip.
        from_gossip: Whether its state was learned by gossip and this relay has not observed an outcome itself yet.
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
        """Record the start of an outage, unless one is already ongoing."""
        if self.outage_since is None:
            self.outage_since = at


@dataclass(slots=True)
class EndpointState:
    """One endpoint in use, as this relay sees it.

    Attributes:
        listed: Its latest entry in the endpoint list.
        route: The route that it belongs to.
        in_flight: Number of calls in flight to it.
        class_failures: Time of the latest failure by message class, for classes without an answered call since.
        idle_connections: For each idle connection to it, when the connection was last used.
        tie_breaker: Random number; of two endpoints of equal rank, the one with the lower number is used.
        rejected_at: Time of the latest rejection on a new connection, if no call was accepted since.
    """

    listed: Endpoint
    route: RouteState
    in_flight: int = 0
    class_failures: dict[int, float] = field(default_factory=dict)
    idle_connections: list[float] = field(default_factory=list)
    tie_breaker: float = 0.0
    rejected_at: float = NEVER

    def record_connection(self, now: float, outcome: Outcome) -> None:
        """Record an idle connection after an answered call; after any other outcome, trust none of the idle ones."""
        if outcome in (Outcome.OK, Outcome.ERROR, Outcome.REJECTED):
            self.idle_connections.append(now)
        else:
            self.idle_connections = []


@dataclass(slots=True, eq=False)  # compared by identity: the fields of two calls may be equal
class InFlightCall:
    """A call that has no outcome yet and carries one or more messages.

    Attributes:
        endpoint: The endpoint that is called.
        started_at: When it was sent.
        messages: The messages that it carries.
        unresolved: Number of its messages without an outcome.
        counted: Whether an outcome of the call was already counted as evidence; only the first one counts.
    """

    endpoint: EndpointState
    started_at: float
    messages: list[PendingMessage]
    unresolved: int
    counted: bool = False

    def resolve_one(self) -> bool:
        """Record the outcome of one message; return whether it is the first of the call, which counts as evidence."""
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
        health: State of outlier detection and slow start.
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
