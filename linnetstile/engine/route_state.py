"""What a relay remembers of a route that is in use: its endpoints, calls, rate, health and latency."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .events import Endpoint
from .pending_message import PendingMessage
from .time_points import NEVER


@dataclass(slots=True)
class DecayingCounter:
    """A count of events in which older ones weigh less and less."""

    total: float = 0.0
    updated_at: float = 0.0

    def count(self, now: float, fade_ms: float) -> float:
        return self.total * math.exp((self.updated_at - now) / fade_ms)

    def add(self, now: float, fade_ms: float) -> None:
        self.total, self.updated_at = self.count(now, fade_ms) + 1, now


@dataclass(slots=True)
class EndpointState:
    """One endpoint as this relay sees it."""

    info: Endpoint
    route: RouteState
    in_flight: int = 0
    class_failures: dict[int, float] = field(default_factory=dict)  # class -> latest failure, if none answered since
    idle_connections: list[float] = field(default_factory=list)  # when each idle connection was last used
    tie_breaker: float = 0.0  # drawn by chance: which of two alike is used first
    rejected_at: float = NEVER  # latest refusal on a new connection, if none was taken since


@dataclass(slots=True, eq=False)  # told apart by identity: two calls may be alike
class InFlightCall:
    """One call that is out, with one message or several."""

    endpoint: EndpointState
    started_at: float
    messages: list[PendingMessage]  # its messages
    unresolved: int  # those without an outcome
    counted: bool = False  # an outcome of it was counted


@dataclass(slots=True)
class RouteState:
    """One destination (or route apart) while it is in use: pace, health, latency."""

    latency_mean: float
    latency_deviation: float
    fleet_rate: float  # calls a second of all relays together
    rate: float
    tokens: float
    tokens_at: float
    max_batch: int = 1  # messages that one call takes
    kind: int = 0
    initial_tokens: float = 0.0  # drawn by chance: part of a call saved up where nothing else is
    endpoints: dict[int, EndpointState] = field(default_factory=dict)
    calls: list[InFlightCall] = field(default_factory=list)
    rate_advertised: bool = True  # the total comes from the list or a report, not from a guess
    answer_counter: DecayingCounter = field(default_factory=DecayingCounter)  # answers
    answers: int = 0
    mean_call_ms: float = 0.0  # mean time of a call, whatever came of it; 0 = none has ended
    last_success_at: float = NEVER
    timeout_multiplier: float = 1.0  # of the time-out
    throttle_ms: float = 0.0  # how long the latest refusal paces it
    throttled_until: float = NEVER  # a refusal paces it until then
    retry_after_until: float = NEVER
    failure_score: float = 0.0
    ejected: bool = False
    failed_at: float = NEVER
    last_failure_had_no_effect: bool = False  # the latest failure proved no effect
    last_failure_was_connect: bool = False  # the latest failure was a connection that was not made
    outage_since: float | None = None  # send of the first call that failed since the last answer
    slow_start_since: float = NEVER
    endpoints_left_at: float = NEVER  # when its last endpoint left
    aware_relays: float = 1.0  # relays that may know of the latest outage
    notified_relays: float = 0.0  # relays that this one told of it, or that were told before it
    from_gossip: bool = False  # out or cold by what others say, until it is called
    next_trial_at: float = 0.0
