"""Admission control: tenant quotas, shedding load when the relay is full, and final answers with Retry-After advice."""

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


class SheddableMessage(NamedTuple):
    """A message that may be rejected to make room.

    Attributes:
        loss: What is lost by that, by its expected time of sending.
        pending: The message.
    """

    loss: float
    pending: PendingMessage


class AdmissionController:
    """Decides what a message is worth, and what is given up when the relay is full."""

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
        """Count a message against its tenant's quota; return the factor on its value."""
        if message.tenant >= len(self.tenant_buckets):
            return 1.0
        bucket = self.tenant_buckets[message.tenant]
        quota_per_s = self.settings.tenants[message.tenant].quota_per_s / self.settings.relay_count
        most = max(1.0, 2 * quota_per_s)  # a message fits, if late, however small the quota
        tokens = min(most, bucket.tokens + quota_per_s * (now - bucket.updated_at) / MS_PER_SECOND)
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
        """Before the relay is full, reject what will be worth least once its turn to be sent comes.

        All queues are read once a turn, and after a rejection only the queue that it changed: the others' send times
        stay. Guards a relay that falls behind, whose turns have many messages to reject each.
        """
        excess = len(self.queues.messages) - int(SHED_THRESHOLD * self.settings.max_pending_messages)
        if excess <= 0:
            return
        candidates = {destination: self._sheddable(now, destination) for destination in self.queues.queues}
        for _ in range(excess):
            least = self._least_loss(now, itertools.chain.from_iterable(candidates.values()))
            if least is None:
                return
            destination = least.pending.message.destination
            self.give_up(now, least.pending, actions)
            candidates[destination] = self._sheddable(now, destination)

    def _least_loss(self, now: float, candidates: Iterable[SheddableMessage]) -> SheddableMessage | None:
        """Return the first of those that lose least; of equal ones, of those that lose least by their value now."""
        equal: list[SheddableMessage] = []
        for candidate in candidates:
            if not equal or candidate.loss < equal[0].loss:
                equal = [candidate]
            elif candidate.loss == equal[0].loss:
                equal.append(candidate)
        if len(equal) <= 1:
            return equal[0] if equal else None
        return min(equal, key=lambda candidate: self._loss(candidate.pending, now, now))

    def _sheddable(self, now: float, destination: int) -> list[SheddableMessage]:
        """Return the messages of a queue that may be rejected, in its order; one found untried is owed an attempt."""
        queue = self.queues.queues.get(destination)
        if not queue:
            return []
        gap_ms = MS_PER_SECOND / self._expected_rate(now, destination)
        send_times = expected_send_times(queue.values(), now, gap_ms, self.settings.value_decay)
        may_reject = self.retry_policy.may_reject
        return [
            SheddableMessage(self._loss(pending, now, send_times[pending.message.id]), pending)
            for pending in queue.values()
            if may_reject(pending) and (pending.attempts or not pending.recovered_untried)
        ]

    def _loss(self, pending: PendingMessage, now: float, delivered_at: float) -> float:
        """Return what is lost if a message is rejected now that would else be delivered at `delivered_at`.

        What arrives while there is no room is rejected at once, at no cost, unless it is worth more than what an early
        return of another costs.
        """
        accepted_at = pending.accepted_at
        early_until = accepted_at + EARLY_RETURN_FRACTION * (pending.deadline - accepted_at)
        cost = EARLY_RETURN_COST * pending.priority_weight if accepted_at < now < early_until else 0.0
        return pending.value_at(delivered_at, self.settings.value_decay) + cost

    def _expected_rate(self, now: float, destination: int) -> float:
        """Return the calls a second that this relay may expect to send to a destination."""
        routes = self.routes.get(destination, {}).values()
        rates = [self.rate_limiter.allowance(now, route, is_suspected(route, now)).calls_per_s for route in routes]
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
        queue_ms = MS_PER_SECOND * waiting / self._expected_rate(now, destination)
        delay_ms = max(retry_after_until - now, queue_ms) * self.rng.uniform(*ADVICE_JITTER)
        return max(0.0, min(delay_ms, longest_ms, deadline - now - DEADLINE_MARGIN_MS))
