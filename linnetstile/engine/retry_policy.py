"""The one gate of every send: attempts, effect, deduplication window, order, Retry-After, deadlines; and the backoff.

A message is repeated under its own key after an unclear outcome, and sent again under no key only after proof that it
had no effect. Nothing else in the package decides whether a message may be sent.
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

DEADLINE_MARGIN_MS = 20.0  # messages are closed so long before their deadline
BACKOFF_MS = 120.0  # first pause before a retry: about one round trip; doubles from attempt to attempt
MAX_BACKOFF_MS = 4000.0  # no pause is longer: beyond it the latency objective is lost anyway
BACKOFF_JITTER = (0.7, 1.3)
# Outcomes after which the destination may still be working on the message.
LINGERING_OUTCOMES = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class RetryPolicy:
    """Decides whether and until when a message may be sent, and when it may be tried again."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
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
        self.ordering_pauses: dict[int, float] = {}  # ordering key -> end of its pause
        self.shutdown_at = float("inf")  # of this process

    def may_send(self, now: float, pending: PendingMessage, endpoint: EndpointState) -> bool:
        """Return whether a message may be sent to an endpoint now."""
        route = endpoint.route
        if pending.call is not None or endpoint.info.id not in self.endpoints:
            return False
        if now >= min(pending.latest_send_at, self.retry_allowed_until(pending)):
            return False
        if pending.message_class.effect is Effect.NON_IDEMPOTENT:
            answer_due_at = now + route.latency.mean_ms + OVERDUE_DEVIATIONS * route.latency.deviation_ms
            if answer_due_at > self.shutdown_at:
                return False  # it would be in flight when the process ends: the next process sends it
        allowed_at = max(route.retry_after_until, pending.not_before, self.ordering_allowed_at(pending))
        return now >= allowed_at and self.is_deduplicated_at(pending, endpoint.info)

    def may_reject(self, pending: PendingMessage) -> bool:
        """Return whether a message may be rejected, which promises that submitting it again is harmless.

        After an unclear attempt that depends on the effect alone. A key is not enough: a client may come back once the
        deduplication window has closed, and to any relay.
        """
        return pending.first_unclear_at is None or pending.message_class.effect is Effect.IDEMPOTENT

    def is_deduplicated_at(self, pending: PendingMessage, endpoint: Endpoint) -> bool:
        """Return whether an endpoint shares the memory of keys with the one where the message may have run."""
        unclear_at = pending.unclear_endpoint
        message_class = pending.message_class
        if unclear_at is None or message_class.effect is not Effect.DEDUPLICATED:
            return True
        if message_class.deduplication_scope is DeduplicationScope.ALL or endpoint.id == unclear_at.id:
            return True
        return message_class.deduplication_scope is DeduplicationScope.ZONE and endpoint.zone == unclear_at.zone

    def ordering_allowed_at(self, pending: PendingMessage) -> float:
        """Return when a message may go by the order of its key: as the first of its key, after the key's pause."""
        key = pending.ordering_key
        if key and self.queues.ordered_ids[key][0] != pending.message.id:
            return float("inf")
        return self.ordering_pauses.get(key, 0.0)

    def retry_allowed_until(self, pending: PendingMessage) -> float:
        """Return until when another attempt is allowed: not past the attempts, nor where it could run twice."""
        if pending.attempts >= self.settings.max_attempts:
            return NEVER
        return self.last_byte_allowed_until(pending)

    def last_byte_allowed_until(self, pending: PendingMessage) -> float:
        """Return until when the last byte of an attempt may leave.

        A connection may take long to be made, and what was decided in time would leave too late: only the writer of
        that byte can keep to it.
        """
        effect = pending.message_class.effect
        if pending.first_unclear_at is None or effect is Effect.IDEMPOTENT:
            return pending.deadline
        if effect is Effect.NON_IDEMPOTENT:
            return NEVER
        window_end = pending.first_unclear_at + pending.message_class.deduplication_window_ms
        # Leaves room for the way: a destination may look its keys up as late as it usually answers.
        return window_end - self.settings.tick_ms - self.fleet_latency.mean_ms

    def latest_send_at(self, pending: PendingMessage) -> float:
        """Return the last moment at which an attempt may start; NEVER once none can be made.

        With NEVER the final answer goes out at once. Until then the message is kept on purpose: for its order, for
        tokens, for the return of a destination or for an endpoint to be listed.
        """
        routes = [route for route in self.routes.get(pending.message.destination, {}).values() if route.endpoints]
        usable = [
            route
            for route in routes
            if any(self.is_deduplicated_at(pending, endpoint.info) for endpoint in route.endpoints.values())
        ]
        closing_at = pending.deadline - DEADLINE_MARGIN_MS - 2 * self.settings.tick_ms
        latest = min(self.retry_allowed_until(pending), closing_at)
        if usable:
            latest = min(latest, pending.deadline - min(route.latency.mean_ms for route in usable) / 4)
            retry_after_until = min(route.retry_after_until for route in usable)
            ordering_pause_until = self.ordering_pauses.get(pending.ordering_key, 0.0)
            allowed_at = max(pending.not_before, retry_after_until, ordering_pause_until)
            return latest if allowed_at < latest else NEVER
        message_class = pending.message_class
        unclear_endpoint_is_gone = (
            pending.unclear_endpoint is not None
            and message_class.deduplication_scope is DeduplicationScope.ENDPOINT
            and bool(routes)
        )
        return NEVER if unclear_endpoint_is_gone and message_class.effect is Effect.DEDUPLICATED else latest

    def record_attempt(self, now: float, pending: PendingMessage, endpoint: EndpointState, outcome: Outcome) -> None:
        """Note where a message may have run, and pause its ordering key if the destination may still work on it."""
        if not outcome.proves_no_effect and pending.first_unclear_at is None:
            pending.first_unclear_at = pending.sent_at
            pending.unclear_endpoint = endpoint.info
        if outcome in LINGERING_OUTCOMES and pending.ordering_key:
            self.ordering_pauses = {key: until for key, until in self.ordering_pauses.items() if until > now}
            pause_ms = self.settings.safety.ordering_pause_ms
            self.ordering_pauses[pending.ordering_key] = now + pause_ms + self.settings.tick_ms

    def back_off(self, now: float, pending: PendingMessage) -> None:
        """Delay the next attempt by a growing, jittered pause."""
        pause_ms = min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** (pending.attempts - 1)) * self.rng.uniform(*BACKOFF_JITTER)
        pending.not_before = now + pause_ms

    def recovery_delay_ms(self) -> float:
        """Return the delay of a message that was in flight before a restart: drawn, as all would come at once."""
        return BACKOFF_MS * self.rng.uniform(0.0, 1.0)

    def apply_retry_after(
        self, now: float, route: RouteState, destination: int, until: float, actions: list[Action]
    ) -> None:
        """Bind all messages of a route to a Retry-After, and close those that it outlasts."""
        route.retry_after_until = max(route.retry_after_until, until)
        self.cancel_unsent(actions, list(route.endpoints.values()))
        for other in self.queues.queues.get(destination, {}).values():
            if self.latest_send_at(other) == NEVER:
                self.queues.schedule_expiry(other.message.id, now)

    @staticmethod
    def cancel_unsent(actions: list[Action], endpoints: list[EndpointState]) -> None:
        """Take back what was sent to these endpoints and may still wait for its connection: the gate has closed."""
        actions += [
            CancelIfUnsent(pending.message.id)
            for endpoint in endpoints
            for call in endpoint.route.calls
            if call.endpoint is endpoint
            for pending in call.messages
            if pending.call is call
        ]
