"""Outlier detection: ejects failing routes, schedules their trial calls, and ends the ejection.

A failure score rises with each failure and falls with each answer. Above `EJECTION_THRESHOLD` a route is ejected
(half-open): it gets single trial calls only, within this relay's share of the slow-start budget. The first answer that
brings the score below the threshold ends the ejection and begins slow start.
"""

from __future__ import annotations

import random

from . import latency, slow_start
from .events import AttemptEnded, Outcome
from .pending_message import PendingMessage
from .rate_limiter import MAX_RATE_LIMIT_WINDOW_MS, RateLimiter
from .route_state import EVIDENCE_TTL_MS, EndpointState, HealthState, RouteState
from .settings import Settings
from .time_points import NEVER

FAILURE_WEIGHT = 0.3  # weight of one failure in the failure score: two in a row eject a route
EJECTION_THRESHOLD = 0.5  # failure score above which a route is ejected
UNCONTRADICTED_FAILURE_WEIGHT = EJECTION_THRESHOLD + 0.05  # a failure that no recent answer contradicts ejects at once
MAX_FAILURE_SCORE = 0.7  # upper bound of any failure score: one answer brings it below the ejection threshold
TRUST_THRESHOLD = 0.25  # failure score up to which a route may get non-idempotent messages
TRIAL_JITTER = (0.7, 1.3)  # range of the random factor on the time between trial calls: relays do not call in step


def is_suspected(route: RouteState, now: float) -> bool:
    """Return whether a route seems to be down.

    A route is suspected if it is ejected, or if a call to each of its endpoints is overdue and no call to the route was
    answered since those calls started.
    """
    health = route.health
    if health.ejected or not route.calls:
        return health.ejected
    overdue_before = now - latency.overdue_after_ms(route.latency) * route.latency.timeout_multiplier
    overdue = [call for call in route.calls if health.last_success_at <= call.started_at < overdue_before]
    return bool(overdue) and {call.endpoint.listed.id for call in overdue}.issuperset(route.endpoints)


def is_trusted(route: RouteState) -> bool:
    """Return whether the failures of a route permit sending it a non-idempotent message."""
    return route.health.failure_score <= TRUST_THRESHOLD or route.health.last_failure_had_no_effect


class OutlierDetector:
    """Ejects routes, and ends their ejection, by the outcomes of their calls."""

    def __init__(self, settings: Settings, rng: random.Random, rate_limiter: RateLimiter) -> None:
        self.settings = settings
        self.rng = rng
        self.rate_limiter = rate_limiter

    def record_success(self, now: float, route: RouteState) -> None:
        """Lower the failure score; an answer to this relay discards what it learned of the route by gossip."""
        health = route.health
        if health.from_gossip:
            health.from_gossip = False
            health.failure_score = 0.0
            health.failed_at = NEVER
        health.last_success_at = now
        health.failure_score = health.failure_score * (1 - FAILURE_WEIGHT)

    def end_outage(self, now: float, route: RouteState) -> None:
        """End the outage of a route that answers; an ejected one begins slow start if its score is low enough."""
        health = route.health
        if health.ejected and health.failure_score < EJECTION_THRESHOLD:
            slow_start.begin_slow_start(now, route, self.settings.relay_count)
        health.outage_since = None

    def record_failure(self, now: float, endpoint: EndpointState, pending: PendingMessage, event: AttemptEnded) -> None:
        """Raise the failure score, and eject the route if the score exceeds the threshold.

        A rejection lowers the rate instead, and raises the score only if its Retry-After is longer than a limit
        explains.
        """
        route = endpoint.route
        exceeds_limit_span = event.retry_after_ms > MAX_RATE_LIMIT_WINDOW_MS
        self._record_outage(route.health, pending, event.outcome)
        if event.outcome is Outcome.REJECTED:
            self.rate_limiter.record_rejection(now, route.rate)
            if not exceeds_limit_span:
                return
        else:
            endpoint.class_failures[pending.message.class_index] = now
            route.health.failed_at = now
        if event.outcome is Outcome.TIMEOUT:
            latency.record_timeout(route.latency)
        ejects_alone = exceeds_limit_span or self._is_uncontradicted(now, route, pending, event.outcome)
        self._raise_score(now, route, UNCONTRADICTED_FAILURE_WEIGHT if ejects_alone else FAILURE_WEIGHT)
        if exceeds_limit_span:
            self._schedule_trial_after_retry_after(route)

    def _schedule_trial_after_retry_after(self, route: RouteState) -> None:
        """Set a random time for the first trial call after a Retry-After, as all relays may have got the same one."""
        interval_ms = self.rate_limiter.trial_interval_ms(route.retry_after_until, route)
        route.health.next_trial_at = route.retry_after_until + interval_ms * self.rng.random()

    @staticmethod
    def _record_outage(health: HealthState, pending: PendingMessage, outcome: Outcome) -> None:
        is_new_outage = health.outage_since is None
        if is_new_outage:
            health.notified_relays = 0.0
        health.from_gossip = False
        health.start_outage(pending.sent_at)
        health.last_failure_had_no_effect = outcome.proves_no_effect
        health.last_failure_was_connect = outcome is Outcome.CONNECT_FAILED

    @staticmethod
    def _is_uncontradicted(now: float, route: RouteState, pending: PendingMessage, outcome: Outcome) -> bool:
        """Return whether neither a recent answer nor an endpoint without failures contradicts an outage of the route.

        One failure is then enough to eject the route: a relay that seldom calls it would not see two in a row.
        """
        recent_since = pending.sent_at if outcome is Outcome.CONNECT_FAILED else now - EVIDENCE_TTL_MS
        has_recent_answer = route.health.last_success_at > recent_since
        return not has_recent_answer and all(endpoint.class_failures for endpoint in route.endpoints.values())

    @staticmethod
    def _raise_score(now: float, route: RouteState, weight: float) -> None:
        """Raise the failure score, which stays below 1: the expected slot time is divided by the rest.

        A route whose last endpoint has left is not ejected, but its score is bounded like that of any other.
        """
        health = route.health
        raised_score = health.failure_score + (1.0 - health.failure_score) * weight
        health.failure_score = min(raised_score, MAX_FAILURE_SCORE)
        if health.failure_score > EJECTION_THRESHOLD and route.endpoints:
            if not health.ejected:
                health.next_trial_at = now
            health.ejected = True

    def schedule_trial(self, now: float, route: RouteState) -> None:
        """Set the time of the next trial call, counted from one that starts now, with jitter."""
        interval_ms = self.rate_limiter.trial_interval_ms(now, route)
        route.health.next_trial_at = now + interval_ms * self.rng.uniform(*TRIAL_JITTER)

    def adopt_outage(self, now: float, route: RouteState, age_ms: float, aware_relays: float) -> None:
        """Eject a route that other relays report as down; this weighs less than a failure seen by this relay."""
        health = route.health
        if not health.ejected:
            health.outage_since = now - age_ms
            health.notified_relays = aware_relays
            # The first trial call gets a random time, as many relays may learn of the outage together.
            health.next_trial_at = now + self.rate_limiter.trial_interval_ms(now, route) * self.rng.random()
        health.ejected = True
        health.from_gossip = True
        # Dated back, so that non-idempotent messages wait half as long as after a failure seen by this relay.
        health.failed_at = now - EVIDENCE_TTL_MS / 2
        health.failure_score = UNCONTRADICTED_FAILURE_WEIGHT

    def adopt_slow_start(self, now: float, route: RouteState, age_ms: float, aware_relays: float) -> None:
        """Begin slow start on a route that other relays saw recover `age_ms` ago."""
        health = route.health
        health.notified_relays = aware_relays
        slow_start.begin_slow_start(now, route, self.settings.relay_count)
        health.slow_start_since = now - age_ms
        health.from_gossip = True
        health.failure_score = 0.0
