"""Admission control: tenant quotas, load shedding when the relay is full, and final answers without a delivery."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from .actions import Action, Fail, Reject
from .events import Message
from .message_queues import MessageQueues
from .outlier_detection import is_suspected
from .pending_message import PendingMessage
from .rate_limiter import RateLimiter
from .retry_policy import DEADLINE_MARGIN_MS, RetryPolicy
from .route_state import RouteState
from .send_order import expected_send_times
from .settings import Settings
from .time_points import MS_PER_SECOND, NEVER

SHED_THRESHOLD = 0.85  # fraction of `max_pending_messages` above which the least valuable messages are rejected
EARLY_REJECTION_FRACTION = 0.7  # the rejection of an accepted message within this fraction of its time is early
EARLY_REJECTION_COST = 0.3  # extra cost of an early rejection, as a fraction of the full value of the message
RETRY_AFTER_JITTER = (1.0, 1.5)  # range of the random factor on a Retry-After: clients do not return in step
QUOTA_BURST_S = 2  # capacity of a tenant's token bucket, in seconds of its quota
MIN_RATE_PER_S = 0.01  # calls a second that are assumed for a destination without a route


@dataclass(slots=True)
class TenantBucket:
    """Token bucket of one tenant for the part of its quota that belongs to this relay.

    Attributes:
        tokens: Messages that the tenant may submit within its quota; infinite until the first refill fills the bucket.
        updated_at: When `tokens` was last brought up to date.
    """

    tokens: float = float("inf")
    updated_at: float = 0.0

    def refill(self, now: float, quota_per_s: float) -> None:
        """Add the tokens since the last update."""
        # Below 1, a tenant with a small quota would never have a whole token.
        capacity = max(1.0, QUOTA_BURST_S * quota_per_s)
        self.tokens = min(capacity, self.tokens + quota_per_s * (now - self.updated_at) / MS_PER_SECOND)
        self.updated_at = now


class SheddableMessage(NamedTuple):
    """A message that may be rejected when the relay is full.

    Attributes:
        loss: Value that a rejection would lose, given the expected time of sending.
        pending: The message.
    """

    loss: float
    pending: PendingMessage


class AdmissionController:
    """Lowers the value of messages above a tenant's quota, and rejects the least valuable messages under overload."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        *,
        queues: MessageQueues,
        routes: dict[int, dict[int, RouteState]],
        retry_policy: RetryPolicy,
        rate_limiter: RateLimiter,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.queues = queues
        self.routes = routes
        self.retry_policy = retry_policy
        self.rate_limiter = rate_limiter
        self.tenant_buckets = [TenantBucket() for _ in settings.tenants]

    def charge_tenant(self, now: float, message: Message) -> float:
        """Charge a message to its tenant's quota, and return the factor on its value."""
        if message.tenant >= len(self.tenant_buckets):
            return 1.0
        bucket = self.tenant_buckets[message.tenant]
        bucket.refill(now, self.settings.tenants[message.tenant].quota_per_s / self.settings.relay_count)
        if bucket.tokens < 1:
            return self.settings.over_quota_value_factor
        was_charged_before = message.is_retry or message.from_dead_relay
        if not was_charged_before:
            bucket.tokens -= 1
        return 1.0

    def end_undelivered(self, now: float, pending: PendingMessage, actions: list[Action]) -> None:
        """End a message without a delivery: rejected if submitting it again is harmless, else failed."""
        message = pending.message
        if self.retry_policy.may_reject(pending):
            retry_after_ms = self._retry_after_ms(now, message.destination, pending.deadline)
            actions.append(Reject(message.id, retry_after_ms))
        else:
            actions.append(Fail(message.id))
        self.queues.remove(pending)

    def expire(self, now: float, actions: list[Action]) -> None:
        """End the messages that can no longer be delivered in time."""
        for pending in self.queues.pop_expired(now):
            self.end_undelivered(now, pending, actions)

    def shed_load(self, now: float, actions: list[Action]) -> None:
        """When the relay is nearly full, reject the messages with the least value at their expected time of sending.

        An overloaded relay may have many messages to reject in one batch of events. All queues are therefore read only
        once, and after a rejection only the queue that it changed: the expected times of the others stay the same.
        """
        excess = len(self.queues.messages) - int(SHED_THRESHOLD * self.settings.max_pending_messages)
        if excess <= 0:
            return
        by_destination = {destination: self._sheddable(now, destination) for destination in self.queues.queues}
        for _ in range(excess):
            least = self._least_loss(now, itertools.chain.from_iterable(by_destination.values()))
            if least is None:
                return
            destination = least.pending.message.destination
            self.end_undelivered(now, least.pending, actions)
            by_destination[destination] = self._sheddable(now, destination)

    def _least_loss(self, now: float, candidates: Iterable[SheddableMessage]) -> SheddableMessage | None:
        """Return the candidate with the least loss; among equals, the first with the least loss by present value."""
        least: list[SheddableMessage] = []  # the candidates with the least loss so far
        for candidate in candidates:
            if not least or candidate.loss < least[0].loss:
                least = [candidate]
            elif candidate.loss == least[0].loss:
                least.append(candidate)
        if len(least) <= 1:
            return least[0] if least else None
        return min(least, key=lambda candidate: self._loss(candidate.pending, now, now))

    def _sheddable(self, now: float, destination: int) -> list[SheddableMessage]:
        """Return the messages of a queue that may be rejected, in the order of the queue.

        A message that was recovered without an attempt is not shed before it has had one.
        """
        queue = self.queues.queues.get(destination)
        if not queue:
            return []
        gap_ms = MS_PER_SECOND / self._expected_rate(now, destination)
        send_times = expected_send_times(queue.values(), now, gap_ms, self.settings.value_decay)
        may_reject = self.retry_policy.may_reject
        return [
            SheddableMessage(self._loss(pending, now, send_times[pending.message.id]), pending)
            for pending in queue.values()
            if may_reject(pending) and (pending.attempts or not pending.recovered_without_attempt)
        ]

    def _loss(self, pending: PendingMessage, now: float, delivered_at: float) -> float:
        """Return the loss if a message is rejected now that would otherwise be delivered at `delivered_at`.

        Rejecting a message on arrival has no cost of an early rejection. So a new message is rejected before accepted
        ones, unless its value exceeds the value of an accepted one plus the cost of rejecting that one early.
        """
        accepted_at = pending.accepted_at
        early_until = accepted_at + EARLY_REJECTION_FRACTION * (pending.deadline - accepted_at)
        is_early = accepted_at < now < early_until
        cost = EARLY_REJECTION_COST * pending.priority_weight if is_early else 0.0
        return pending.value_at(delivered_at, self.settings.value_decay) + cost

    def _expected_rate(self, now: float, destination: int) -> float:
        """Return the calls a second that this relay can expect to send to a destination."""
        routes = self.routes.get(destination, {}).values()
        rates = [self.rate_limiter.allowance(now, route, is_suspected(route, now)).calls_per_s for route in routes]
        return sum(rates) or MIN_RATE_PER_S

    def _retry_after_ms(self, now: float, destination: int, deadline: float) -> float:
        """Return the time until there may be capacity, after the destination's Retry-After and its queued messages.

        It is at most the longest Retry-After that clients heed, and the time that the message has left.
        """
        max_ms = self.settings.max_retry_after_ms
        if max_ms == 0:
            return 0.0
        routes = self.routes.get(destination, {}).values()
        retry_after_until = min((route.retry_after_until for route in routes), default=NEVER)
        queue_length = len(self.queues.queues.get(destination, ()))
        queue_ms = MS_PER_SECOND * queue_length / self._expected_rate(now, destination)
        delay_ms = max(retry_after_until - now, queue_ms) * self.rng.uniform(*RETRY_AFTER_JITTER)
        remaining_ms = deadline - now - DEADLINE_MARGIN_MS
        return max(0.0, min(delay_ms, max_ms, remaining_ms))
