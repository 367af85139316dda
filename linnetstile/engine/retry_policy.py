"""Retry rules: whether and until when a message may be sent, and the backoff before a retry.

The rules cover the number of attempts, the effect of a message, its deduplication window, its order, Retry-After and
its deadline. After an unclear outcome, a message that its destination deduplicates may be repeated within the window. A
non-idempotent message is sent again only after proof that it had no effect. No other module decides whether a message
may be sent.
"""

from __future__ import annotations

import random

from .actions import Action, CancelIfUnsent
from .events import Endpoint, Outcome
from .latency import OVERDUE_DEVIATIONS, FleetLatency
from .message_queues import MessageQueues
from .pending_message import PendingMessage
from .route_state import EndpointState, RouteState
from .settings import DeduplicationScope, Effect, Settings
from .time_points import NEVER

DEADLINE_MARGIN_MS = 20.0  # a message gets its final answer at least this long before its deadline
BACKOFF_MS = 120.0  # delay before the first retry, about one round trip; doubles with each attempt
MAX_BACKOFF_MS = 4000.0  # a retry after a longer backoff would miss the latency objective anyway
BACKOFF_JITTER = (0.7, 1.3)  # range of the random factor on each backoff
MIN_LATENCY_DIVISOR = 4  # no attempt starts with less time left than the mean latency divided by this
# Outcomes after which the destination may still be working on the message.
LINGERING_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class RetryPolicy:
    """Decides whether and until when a message may be sent, and when it is retried.

    Attributes:
        ordering_pauses: End of the pause of each ordering key that is paused.
        shutdown_at: When this process ends; infinite until a shutdown has started.
    """

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        *,
        queues: MessageQueues,
        routes: dict[int, dict[int, RouteState]],
        endpoints: dict[int, EndpointState],
        fleet_latency: FleetLatency,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.queues = queues
        self.routes = routes
        self.endpoints = endpoints
        self.fleet_latency = fleet_latency
        self.ordering_pauses: dict[int, float] = {}
        self.shutdown_at = float("inf")

    def may_send(self, now: float, pending: PendingMessage, endpoint: EndpointState) -> bool:
        """Return whether a message may be sent to an endpoint now."""
        route = endpoint.route
        if pending.call is not None or endpoint.listed.id not in self.endpoints:
            return False
        if now >= min(pending.latest_send_at, self.retry_allowed_until(pending)):
            return False
        if pending.message_class.effect is Effect.NON_IDEMPOTENT and self._may_outlast_process(now, route):
            return False  # left to the next process
        allowed_at = max(route.retry_after_until, pending.not_before, self.ordering_allowed_at(pending))
        return now >= allowed_at and self.is_deduplicated_at(pending, endpoint.listed)

    def _may_outlast_process(self, now: float, route: RouteState) -> bool:
        """Return whether a call that starts now may still be in flight when the process ends."""
        answer_due_at = now + route.latency.mean_ms + OVERDUE_DEVIATIONS * route.latency.deviation_ms
        return answer_due_at > self.shutdown_at

    def may_reject(self, pending: PendingMessage) -> bool:
        """Return whether a message may be rejected, which promises that submitting it again is harmless.

        After an unclear attempt, only an idempotent message may be rejected. Deduplication is not enough: a client may
        submit the message again after the window has closed, and to any relay.
        """
        return pending.first_unclear_at is None or pending.message_class.effect is Effect.IDEMPOTENT

    def is_deduplicated_at(self, pending: PendingMessage, endpoint: Endpoint) -> bool:
        """Return whether an endpoint would deduplicate a message; also true if the message does not depend on it."""
        unclear_endpoint = pending.unclear_endpoint
        message_class = pending.message_class
        if unclear_endpoint is None or message_class.effect is not Effect.DEDUPLICATED:
            return True
        scope = message_class.deduplication_scope
        if scope is DeduplicationScope.ALL or endpoint.id == unclear_endpoint.id:
            return True
        return scope is DeduplicationScope.ZONE and endpoint.zone == unclear_endpoint.zone

    def ordering_allowed_at(self, pending: PendingMessage) -> float:
        """Return the earliest time at which its ordering key allows a message to be sent.

        Only the first message of a key may be sent, and only after the pause of the key.
        """
        key = pending.ordering_key
        if not key:
            return 0.0
        is_first = self.queues.ordered_ids[key][0] == pending.message.id
        return self.ordering_pauses.get(key, 0.0) if is_first else float("inf")

    def retry_allowed_until(self, pending: PendingMessage) -> float:
        """Return until when another attempt is allowed; NEVER if none is left or the message could run twice."""
        if pending.attempts >= self.settings.max_attempts:
            return NEVER
        return self.last_byte_allowed_until(pending)

    def last_byte_allowed_until(self, pending: PendingMessage) -> float:
        """Return until when the last byte of an attempt may be written.

        Connecting may take long, so only the code that writes the last byte can enforce this limit.
        """
        effect = pending.message_class.effect
        if pending.first_unclear_at is None or effect is Effect.IDEMPOTENT:
            return pending.deadline
        if effect is Effect.NON_IDEMPOTENT:
            return NEVER
        window_end = pending.first_unclear_at + pending.message_class.deduplication_window_ms
        # A destination may look up the deduplication key as late as just before it answers.
        return window_end - self.settings.tick_ms - self.fleet_latency.mean_ms

    def latest_send_at(self, pending: PendingMessage) -> float:
        """Return the latest time at which an attempt may start; NEVER if no further attempt is possible.

        With NEVER the message gets its final answer at once. Otherwise it stays pending until that time, waiting for
        its turn in the order, for tokens, for the recovery of its destination or for an endpoint to be listed.
        """
        routes = [route for route in self.routes.get(pending.message.destination, {}).values() if route.endpoints]
        closing_at = pending.deadline - DEADLINE_MARGIN_MS - 2 * self.settings.tick_ms
        latest = min(self.retry_allowed_until(pending), closing_at)
        usable = self._usable_routes(pending, routes)
        if not usable:
            return NEVER if routes and self._depends_on_one_endpoint(pending) else latest
        min_latency_ms = min(route.latency.mean_ms for route in usable) / MIN_LATENCY_DIVISOR
        latest = min(latest, pending.deadline - min_latency_ms)
        retry_after_until = min(route.retry_after_until for route in usable)
        ordering_pause_until = self.ordering_pauses.get(pending.ordering_key, 0.0)
        allowed_at = max(pending.not_before, retry_after_until, ordering_pause_until)
        return latest if allowed_at < latest else NEVER

    def _usable_routes(self, pending: PendingMessage, routes: list[RouteState]) -> list[RouteState]:
        """Return the routes that may get the message: if it may have run, only those that would deduplicate it."""
        if pending.unclear_endpoint is None:
            return routes
        return [
            route
            for route in routes
            if any(self.is_deduplicated_at(pending, endpoint.listed) for endpoint in route.endpoints.values())
        ]

    @staticmethod
    def _depends_on_one_endpoint(pending: PendingMessage) -> bool:
        """Return whether a retry is deduplicated only by the endpoint where the message may have run."""
        message_class = pending.message_class
        return (
            pending.unclear_endpoint is not None
            and message_class.effect is Effect.DEDUPLICATED
            and message_class.deduplication_scope is DeduplicationScope.ENDPOINT
        )

    def record_attempt(self, now: float, pending: PendingMessage, endpoint: EndpointState, outcome: Outcome) -> None:
        """Record where a message may have run, and pause its ordering key if the destination may still run it."""
        if not outcome.proves_no_effect and pending.first_unclear_at is None:
            pending.first_unclear_at = pending.sent_at
            pending.unclear_endpoint = endpoint.listed
        if outcome in LINGERING_OUTCOMES and pending.ordering_key:
            self.ordering_pauses = {key: until for key, until in self.ordering_pauses.items() if until > now}
            pause_ms = self.settings.safety.ordering_pause_ms
            self.ordering_pauses[pending.ordering_key] = now + pause_ms + self.settings.tick_ms

    def back_off(self, now: float, pending: PendingMessage) -> None:
        """Delay the next attempt by an exponential backoff with jitter."""
        backoff_ms = min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** (pending.attempts - 1))
        pending.not_before = now + backoff_ms * self.rng.uniform(*BACKOFF_JITTER)

    def recovery_delay_ms(self) -> float:
        """Return a random delay for a message that was in flight at a restart, to spread these messages over time."""
        return BACKOFF_MS * self.rng.uniform(0.0, 1.0)

    def apply_retry_after(
        self, now: float, route: RouteState, destination: int, until: float, actions: list[Action]
    ) -> None:
        """Apply a Retry-After to all messages of a route, and expire those whose deadline comes before it ends."""
        route.retry_after_until = max(route.retry_after_until, until)
        self.cancel_unsent(actions, list(route.endpoints.values()))
        for other in self.queues.queues.get(destination, {}).values():
            if self.latest_send_at(other) == NEVER:
                self.queues.schedule_expiry(other.message.id, now)

    @staticmethod
    def cancel_unsent(actions: list[Action], endpoints: list[EndpointState]) -> None:
        """Cancel the calls to these endpoints that still wait for a connection, as they must not be sent any more."""
        for endpoint in endpoints:
            for call in endpoint.route.calls:
                if call.endpoint is endpoint:
                    in_flight = [pending for pending in call.messages if pending.call is call]
                    actions += [CancelIfUnsent(pending.message.id) for pending in in_flight]
