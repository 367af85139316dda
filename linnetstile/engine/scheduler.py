"""Schedules the in-flight slots: picks the next message, and delays slow destinations when slots are scarce."""

from __future__ import annotations

from typing import NamedTuple

from . import latency
from .actions import Action, Send
from .connection_policy import ConnectionPolicy
from .destinations import RoutingTable
from .endpoint_selection import EndpointSelector
from .latency import FleetLatency
from .message_queues import MessageQueues
from .outlier_detection import OutlierDetector, is_suspected, is_trusted
from .pending_message import PendingMessage
from .rate_limiter import RateLimiter
from .retry_policy import BACKOFF_MS, DEADLINE_MARGIN_MS, RetryPolicy
from .route_state import EVIDENCE_TTL_MS, EndpointState, InFlightCall, RouteState
from .send_order import urgency
from .settings import Effect, Settings
from .time_points import NEVER

MAX_QUEUE_WAIT_MS = 500.0  # longest time until a queue without a sendable message is checked again
LAST_ATTEMPT_FACTOR = 3.0  # factor on the time-out of a message's last attempt: a late answer still counts
SLOW_FACTOR = 8.0  # a destination is slow if its calls take more than this multiple of the harmonic mean latency
# Limits on slots, as divisors of `max_in_flight`: 4 stands for a quarter of all slots.
SUSPECTED_SLOT_DIVISOR = 4  # part of the slots that a suspected route may occupy
ROUTE_SLOT_DIVISOR = 2  # part that a healthy route may occupy while several destinations have messages
SCARCE_SLOT_DIVISOR = 4  # slots are scarce if no more than this part is free
SLOW_SLOT_DIVISOR = 8  # part that all slow routes together may occupy while slots are scarce


class Candidate(NamedTuple):
    """The message that a queue should send next.

    Attributes:
        value: Urgency of the message (see `send_order.urgency`) for each ms of expected slot time.
        pending: The message.
        endpoint: The endpoint to send it to.
    """

    value: float
    pending: PendingMessage
    endpoint: EndpointState


class RouteSchedule(NamedTuple):
    """When a route may get messages, and how long each is expected to occupy a slot.

    Attributes:
        paced_at: Earliest time of a message within the rate limit.
        urgent_at: Earliest time of an urgent message, which may exceed the rate limit.
        non_idempotent_at: Earliest time at which the health of the route permits a non-idempotent message.
        answer_at: When a call that starts now is expected to be answered.
        slot_ms: Expected slot time of one delivery.
    """

    paced_at: float
    urgent_at: float
    non_idempotent_at: float
    answer_at: float
    slot_ms: float


class Scheduler:
    """Assigns the slots of the relay to messages, and counts the calls in flight."""

    def __init__(
        self,
        settings: Settings,
        *,
        queues: MessageQueues,
        routing_table: RoutingTable,
        fleet_latency: FleetLatency,
        retry_policy: RetryPolicy,
        rate_limiter: RateLimiter,
        outliers: OutlierDetector,
        connections: ConnectionPolicy,
    ) -> None:
        self.settings = settings
        self.queues = queues
        self.routing_table = routing_table
        self.fleet_latency = fleet_latency
        self.retry_policy = retry_policy
        self.rate_limiter = rate_limiter
        self.outliers = outliers
        self.connections = connections
        self.selector = EndpointSelector(settings, retry_policy, connections)
        self.in_flight = 0

    def dispatch(self, now: float, actions: list[Action]) -> None:
        """Send messages while slots are free, the most value per slot time first; reads only queues that are due."""
        max_in_flight = self.settings.max_in_flight
        if self.in_flight >= max_in_flight:
            return
        candidates: dict[int, Candidate] = {}
        due = self.queues.due_destinations(now)
        while self.in_flight < max_in_flight:
            self._pick_candidates(now, due, candidates)
            if not candidates:
                return
            destination = max(candidates, key=lambda candidate: candidates[candidate].value)
            best = candidates.pop(destination)
            self._send(now, best.pending, best.endpoint, actions)
            due = [destination]  # only its queue has changed

    def _pick_candidates(self, now: float, destinations: list[int], candidates: dict[int, Candidate]) -> None:
        """Add the candidates of these destinations to `candidates`; a destination may have none."""
        for destination in destinations:
            if destination not in self.queues.queues:
                continue
            candidate = self.pick_candidate(now, destination)
            if candidate is not None:
                candidates[destination] = candidate

    def release(self, now: float, call: InFlightCall) -> None:
        """Free the slot of a call after the outcome of its last message."""
        self.in_flight -= 1
        call.endpoint.in_flight -= 1
        route = call.endpoint.route
        route.calls.remove(call)
        latency.record_call_time(route.latency, now - call.started_at)

    def pick_candidate(self, now: float, destination: int) -> Candidate | None:
        """Return the sendable message of a queue with the most value per slot time, or None if none may be sent now.

        With None, the queue is checked again when one of its messages may be sent, or after `MAX_QUEUE_WAIT_MS`.
        """
        best: Candidate | None = None
        next_check_at = now + MAX_QUEUE_WAIT_MS
        decay = self.settings.value_decay
        for route in self.routing_table.routes.get(destination, {}).values():
            schedule = self._schedule(now, route)
            if schedule is None:
                continue
            for pending in self.queues.queues[destination].values():
                allowed_at = self._allowed_at(pending, route, schedule)
                if allowed_at > now:
                    next_check_at = min(next_check_at, allowed_at)
                    continue
                value = urgency(pending, schedule.answer_at, decay) / schedule.slot_ms
                if best is not None and value <= best.value:
                    continue
                endpoint = self.selector.choose(now, pending, route)
                if endpoint is not None:
                    best = Candidate(value, pending, endpoint)
        self.queues.schedule(destination, next_check_at if best is None else 0.0)
        return best

    def _schedule(self, now: float, route: RouteState) -> RouteSchedule | None:
        """Return when a route may get messages, or None if it may not occupy another slot now."""
        is_down = is_suspected(route, now)
        if self._has_reached_slot_limit(route, is_down) or self._must_wait_for_quick_routes(now, route):
            return None
        next_call = self.rate_limiter.next_call(now, route, is_down)
        health = route.health
        is_at_risk = is_down or not is_trusted(route)
        may_end_unclear = is_at_risk and not health.last_failure_had_no_effect
        return RouteSchedule(
            next_call.at,
            next_call.overdraw_at,
            health.failed_at + EVIDENCE_TTL_MS if may_end_unclear else NEVER,
            now + route.latency.mean_ms,
            self._slot_time_ms(route),
        )

    def _allowed_at(self, pending: PendingMessage, route: RouteState, schedule: RouteSchedule) -> float:
        """Return the earliest time at which a message may be sent to a route."""
        ordering_allowed_at = 0.0
        # The rate is an estimate, so a message may exceed it if its client gives up early or if it blocks others.
        is_urgent = pending.expires_early
        if pending.ordering_key:
            ordering_allowed_at = self.retry_policy.ordering_allowed_at(pending)
            is_urgent = is_urgent or self.queues.blocks_successor(pending)
        rate_allowed_at = schedule.urgent_at if is_urgent else schedule.paced_at
        allowed_at = max(pending.not_before, route.retry_after_until, rate_allowed_at, ordering_allowed_at)
        if pending.message_class.effect is Effect.NON_IDEMPOTENT:  # it could not be retried after an unclear outcome
            return max(allowed_at, schedule.non_idempotent_at)
        return allowed_at

    @staticmethod
    def _slot_time_ms(route: RouteState) -> float:
        """Return the expected slot time of one delivery, including failed calls before it."""
        failure_score = route.health.failure_score
        return route.latency.mean_ms + failure_score * latency.timeout_ms(route.latency) / (1 - failure_score)

    def _has_reached_slot_limit(self, route: RouteState, is_down: bool) -> bool:
        """Return whether a route has reached its slot limit, which a healthy one has only while other queues wait."""
        divisor = SUSPECTED_SLOT_DIVISOR if is_down else ROUTE_SLOT_DIVISOR
        if len(route.calls) < max(1, self.settings.max_in_flight // divisor):
            return False
        others_are_waiting = len(self.queues.queues) > 1
        return is_down or others_are_waiting

    def _is_slow(self, now: float, route: RouteState) -> bool:
        oldest_call_ms = now - route.calls[0].started_at if route.calls else 0.0
        call_ms = max(route.latency.mean_call_ms, oldest_call_ms)
        return call_ms * self.fleet_latency.mean_inverse > SLOW_FACTOR

    def _must_wait_for_quick_routes(self, now: float, route: RouteState) -> bool:
        """Return whether a slow route has to leave the last free slots to quick ones.

        One limit holds for all slow routes together, so that quick destinations get slots even if many are slow.
        """
        if self.routing_table.index.destination_count <= 1:
            return False
        max_in_flight = self.settings.max_in_flight
        slots_are_scarce = max_in_flight - self.in_flight <= max_in_flight // SCARCE_SLOT_DIVISOR
        if not slots_are_scarce or not self._is_slow(now, route):
            return False
        return self._count_slow_calls(now) >= max(1, max_in_flight // SLOW_SLOT_DIVISOR)

    def _count_slow_calls(self, now: float) -> int:
        """Return how many slots all slow routes together occupy."""
        all_routes = (route for routes in self.routing_table.routes.values() for route in routes.values())
        return sum(len(route.calls) for route in all_routes if route.calls and self._is_slow(now, route))

    def _send(self, now: float, pending: PendingMessage, endpoint: EndpointState, actions: list[Action]) -> None:
        """Start a call with a message, adding others of its queue if the destination accepts batches."""
        route = endpoint.route
        timeout_at = self._timeout_at(now, pending, route)
        last_byte_delay_ms = self.connections.last_byte_delay_ms(route, pending.message_class)
        if endpoint.idle_connections:
            endpoint.idle_connections.pop()
        messages = [pending]
        if is_suspected(route, now):
            self.outliers.schedule_trial(now, route)
        elif route.max_batch > 1:
            messages += self._batch_companions(now, pending, endpoint)
        call = self._start_call(now, endpoint, messages)
        for member in messages:
            self.queues.dequeue(member)
            member.start_attempt(now, call)
            send = Send(
                id=member.message.id,
                endpoint=endpoint.listed.id,
                timeout_at_ms=min(timeout_at, member.deadline - DEADLINE_MARGIN_MS),
                last_byte_delay_ms=last_byte_delay_ms,
                send_before_ms=self.retry_policy.last_byte_allowed_until(member),
            )
            actions.append(send)

    def _start_call(self, now: float, endpoint: EndpointState, messages: list[PendingMessage]) -> InFlightCall:
        """Record a new call, which occupies a slot and takes a token."""
        call = InFlightCall(endpoint, now, messages, len(messages))
        endpoint.route.calls.append(call)
        endpoint.in_flight += 1
        endpoint.route.rate.tokens -= 1
        self.in_flight += 1
        return call

    def _timeout_at(self, now: float, pending: PendingMessage, route: RouteState) -> float:
        """Return when the call times out, which is always before the message's deadline.

        An answer just before the deadline might not count, and the final answer to the client would be late. A time-out
        is never shorter than the first backoff, so that a short stall of a quick destination is no failure.
        """
        latest = pending.deadline - DEADLINE_MARGIN_MS
        timeout_ms = max(BACKOFF_MS, latency.timeout_ms(route.latency)) * route.latency.timeout_multiplier
        if self._is_last_attempt(now, pending, timeout_ms):
            return min(latest, now + timeout_ms * LAST_ATTEMPT_FACTOR)
        has_time_for_retry = now + 2 * timeout_ms < pending.deadline
        return min(latest, now + timeout_ms) if has_time_for_retry else latest

    def _is_last_attempt(self, now: float, pending: PendingMessage, timeout_ms: float) -> bool:
        """Return whether no further attempt is allowed if this one times out."""
        message_class = pending.message_class
        if pending.attempts + 1 >= self.settings.max_attempts or message_class.effect is Effect.NON_IDEMPOTENT:
            return True
        if message_class.effect is not Effect.DEDUPLICATED:
            return False
        first_unclear_at = now if pending.first_unclear_at is None else pending.first_unclear_at
        retry_at: float = now + timeout_ms + BACKOFF_MS * 2**pending.attempts
        return retry_at > first_unclear_at + message_class.deduplication_window_ms

    def _batch_companions(self, now: float, pending: PendingMessage, endpoint: EndpointState) -> list[PendingMessage]:
        """Return further messages to send in the same call, which takes one slot and one token in total."""
        route = endpoint.route
        trusted = is_trusted(route)
        companions = [
            other
            for other in self.queues.queues[pending.message.destination].values()
            if other is not pending
            and self.retry_policy.may_send(now, other, endpoint)
            and (trusted or other.message_class.effect is not Effect.NON_IDEMPOTENT)
        ]
        return companions[: route.max_batch - 1]
