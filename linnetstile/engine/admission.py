"""Admission control: tenant quotas, shedding load when the relay is full, and final answers with Retry-After advice."""

from __future__ import annotations

import random
from dataclasses import dataclass

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
from .time_points import NEVER

SHED_THRESHOLD = 0.85  # part of the pending messages from which the least valuable is rejected to make room
# A message given back within the first part of its time costs the second part of its value more.
EARLY_RETURN_FRACTION = 0.7
EARLY_RETURN_COST = 0.3
ADVICE_JITTER = (1.0, 1.5)  # clients do not come back in step
MIN_RATE_PER_S = 0.01  # what a destination without any route is taken for


@dataclass(slots=True)
class TenantBucket:
    """Tokens of one tenant at this relay.

    Attributes:
        tokens: Messages that it may submit within its quota; at the start as many as may be saved up.
        updated_at: When that was brought up to date.
    """

    tokens: float = float("inf")
    updated_at: float = 0.0


class AdmissionController:
    """Decides what a message is worth, and what is given up when the relay is full."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
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
        """Count a message against its tenant's quota; return the factor on its value."""
        if message.tenant >= len(self.tenant_buckets):
            return 1.0
        bucket = self.tenant_buckets[message.tenant]
        quota_per_s = self.settings.tenants[message.tenant].quota_per_s / self.settings.relay_count
        most = max(1.0, 2 * quota_per_s)  # a message fits, if late, however small the quota
        tokens = min(most, bucket.tokens + quota_per_s * (now - bucket.updated_at) / 1000)
        is_within_quota = tokens >= 1
        is_charged = not (message.is_retry or message.from_dead_relay)  # a retry belongs to its first submission
        bucket.tokens = tokens - (is_charged and is_within_quota)
        bucket.updated_at = now
        return 1.0 if is_within_quota else self.settings.over_quota_value_factor

    def give_up(self, now: float, pending: PendingMessage, actions: list[Action]) -> None:
        """Give a message its final answer: rejected if submitting it again is harmless, else failed."""
        message = pending.message
        if self.retry_policy.may_reject(pending):
            actions.append(Reject(message.id, self._retry_after_ms(now, message.destination, pending.deadline)))
        else:
            actions.append(Fail(message.id))
        self.queues.remove(pending)

    def expire(self, now: float, actions: list[Action]) -> None:
        """Give up the messages that can no longer be delivered in time."""
        for pending in self.queues.pop_expired(now):
            self.give_up(now, pending, actions)

    def shed_load(self, now: float, actions: list[Action]) -> None:
        """Before the relay is full, reject what will be worth least once its turn to be sent comes."""
        excess = len(self.queues.messages) - int(SHED_THRESHOLD * self.settings.max_pending_messages)
        for _ in range(excess):
            pending = self._least_valuable(now)
            if pending is not None:
                self.give_up(now, pending, actions)

    def _least_valuable(self, now: float) -> PendingMessage | None:
        send_times: dict[int, float] = {}
        sheddable: list[PendingMessage] = []
        for destination, queue in self.queues.queues.items():
            gap_ms = 1000 / self._expected_rate(now, destination)
            send_times.update(expected_send_times(queue.values(), now, gap_ms, self.settings.value_decay))
            sheddable += [pending for pending in queue.values() if self._may_shed(pending)]

        def loss(pending: PendingMessage) -> list[float]:
            return [self._loss(pending, now, at) for at in (send_times[pending.message.id], now)]

        return min(sheddable, key=loss, default=None)

    def _may_shed(self, pending: PendingMessage) -> bool:
        is_owed_an_attempt = pending.recovered_untried and not pending.attempts
        return self.retry_policy.may_reject(pending) and not is_owed_an_attempt

    def _loss(self, pending: PendingMessage, now: float, delivered_at: float) -> float:
        """Return what is lost if a message is rejected now that would else be delivered at `delivered_at`.

        What arrives while there is no room is rejected at once, at no cost, unless it is worth more than what an early
        return of another costs.
        """
        lifetime_ms = pending.deadline - pending.accepted_at
        is_early = pending.accepted_at < now < pending.accepted_at + EARLY_RETURN_FRACTION * lifetime_ms
        cost = EARLY_RETURN_COST * pending.priority_weight if is_early else 0.0
        return pending.value_at(delivered_at, self.settings.value_decay) + cost

    def _expected_rate(self, now: float, destination: int) -> float:
        """Return the calls a second that this relay may expect to send to a destination."""
        routes = self.routes.get(destination, {}).values()
        rates = [self.rate_limiter.allowance(now, route, is_suspected(route, now))[0] for route in routes]
        return sum(rates) or MIN_RATE_PER_S

    def _retry_after_ms(self, now: float, destination: int, deadline: float) -> float:
        """Return when there may be room: after the destination's Retry-After and after what else waits for it.

        No longer than clients heed it, nor than the message has left.
        """
        longest_ms = self.settings.max_retry_after_ms
        if longest_ms == 0:
            return 0.0
        routes = self.routes.get(destination, {}).values()
        retry_after_until = min((route.retry_after_until for route in routes), default=NEVER)
        waiting = len(self.queues.queues.get(destination, ()))
        queue_ms = 1000 * waiting / self._expected_rate(now, destination)
        delay_ms = max(retry_after_until - now, queue_ms) * self.rng.uniform(*ADVICE_JITTER)
        return max(0.0, min(delay_ms, longest_ms, deadline - now - DEADLINE_MARGIN_MS))
