"""The scheduler of in-flight slots: which message goes next, and which destinations yield."""

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

MAX_QUEUE_WAIT_MS = 500.0  # a queue that waits for something is looked at again at least so often
LAST_ATTEMPT_FACTOR = 3.0  # the last attempt of a message waits so many times longer: a late answer still saves it
SLOW_FACTOR = 8.0  # a call takes so many times as long as a usual answer (harmonic mean): its destination is slow
SUSPECTED_SLOT_DIVISOR = 4  # a suspected route may hold this part of all slots,
ROUTE_SLOT_DIVISOR = 2  # and any other one this part, while several destinations have messages
SCARCE_SLOT_DIVISOR = 4  # while no more than this part of all slots is free,
SLOW_SLOT_DIVISOR = 8  # slow destinations together may hold this part of them


class Candidate(NamedTuple):
    """The message of a queue that should go next.

    Attributes:
        value: Value still to win for each ms of slot time.
        pending: The message.
        endpoint: Where it would go.
    """

    value: float
    pending: PendingMessage
    endpoint: EndpointState


class Scheduler:
    """Gives the slots of the relay to messages; owns the count of calls in flight."""

    def __init__(
        self,
        settings: Settings,
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
        """Send what has most value per slot time while there are free slots; reads only queues that are due."""
        max_in_flight = self.settings.max_in_flight
        candidates: dict[int, Candidate] = {}
        due = self.queues.due_destinations(now) if self.in_flight < max_in_flight else []
        while self.in_flight < max_in_flight:
            for destination in due:
                if destination not in self.queues.queues:
                    continue
                candidate = self.pick(now, destination)
                if candidate is not None:
                    candidates[destination] = candidate
            if not candidates:
                return
            destination = max(candidates, key=lambda found: candidates[found].value)
            _, pending, endpoint = candidates.pop(destination)
            self._send(now, pending, endpoint, actions)
            due = [destination]

    def release(self, now: float, call: InFlightCall) -> None:
        """Free the slot of a call whose last message has its outcome."""
        self.in_flight -= 1
        call.endpoint.in_flight -= 1
        route = call.endpoint.route
        route.calls.remove(call)
        latency.record_call_time(route.latency, now - call.started_at)

    def pick(self, now: float, destination: int) -> Candidate | None:
        """Return the message of a queue with most value still to win per slot time, if any may be sent now."""
        best: Candidate | None = None
        look_again_at = now + MAX_QUEUE_WAIT_MS
        decay = self.settings.value_decay
        ordering_allowed_at = self.retry_policy.ordering_allowed_at
        for route in self.routing_table.routes.get(destination, {}).values():
            is_down = is_suspected(route, now)
            if self._has_its_slots(route, is_down) or self._must_yield(now, route):
                continue
            next_call = self.rate_limiter.next_call(now, route, is_down)
            cost_ms = self._slot_time_ms(route)
            is_risky = is_down or not is_trusted(route)
            is_barred = is_risky and not route.health.last_failure_had_no_effect
            answer_at = now + route.latency.mean_ms
            for pending in self.queues.queues[destination].values():
                at = max(
                    pending.not_before,
                    route.retry_after_until,
                    next_call.overdraw_at if self._is_urgent(pending) else next_call.at,
                    ordering_allowed_at(pending),
                )
                if is_barred and pending.message_class.effect is Effect.NON_IDEMPOTENT:
                    at = max(at, route.health.failed_at + EVIDENCE_TTL_MS)  # an unclear outcome would be final
                if at > now:
                    look_again_at = min(look_again_at, at)
                    continue
                value = urgency(pending, answer_at, decay) / cost_ms
                if best is None or value > best.value:
                    endpoint = self.selector.choose(now, pending, route)
                    if endpoint is not None:
                        best = Candidate(value, pending, endpoint)
        self.queues.schedule(destination, look_again_at if best is None else 0.0)
        return best

    def _is_urgent(self, pending: PendingMessage) -> bool:
        """Return whether a message may overdraw the tokens, as the rate is a guess.

        That is so for a client that will not wait, and for a message that others of its ordering key wait for.
        """
        objective_at = pending.submitted_at + pending.message_class.latency_objective_ms
        return pending.deadline < objective_at or self.queues.blocks_successor(pending)

    @staticmethod
    def _slot_time_ms(route: RouteState) -> float:
        """Return the slot time for one delivery, failed calls counted: destinations that answer get scarce slots."""
        score = route.health.failure_score
        return route.latency.mean_ms + score * latency.timeout_ms(route.latency) / (1 - score)

    def _has_its_slots(self, route: RouteState, is_down: bool) -> bool:
        divisor = SUSPECTED_SLOT_DIVISOR if is_down else ROUTE_SLOT_DIVISOR
        most = max(1, self.settings.max_in_flight // divisor)
        return len(route.calls) >= most and (is_down or len(self.queues.queues) > 1)

    def _is_slow(self, now: float, route: RouteState) -> bool:
        longest_ms = now - route.calls[0].started_at if route.calls else 0.0
        return max(route.latency.mean_call_ms, longest_ms) * self.fleet_latency.mean_inverse > SLOW_FACTOR

    def _must_yield(self, now: float, route: RouteState) -> bool:
        """Return whether a slow route has to leave the last free slots to quick ones.

        Slots are weighed by time: guards quick destinations, however many are slow.
        """
        max_in_flight = self.settings.max_in_flight
        if self.routing_table.index.destination_count <= 1:
            return False
        if max_in_flight - self.in_flight > max_in_flight // SCARCE_SLOT_DIVISOR or not self._is_slow(now, route):
            return False
        busy = (other for routes in self.routing_table.routes.values() for other in routes.values() if other.calls)
        slow_calls = sum(len(other.calls) for other in busy if self._is_slow(now, other))
        return slow_calls >= max(1, max_in_flight // SLOW_SLOT_DIVISOR)

    def _send(self, now: float, pending: PendingMessage, endpoint: EndpointState, actions: list[Action]) -> None:
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
        call = InFlightCall(endpoint, now, messages, len(messages))
        route.calls.append(call)
        endpoint.in_flight += 1
        route.rate.tokens -= 1
        self.in_flight += 1
        for member in messages:
            self.queues.dequeue(member)
            member.start_attempt(now, call)
            actions.append(
                Send(
                    member.message.id,
                    endpoint.info.id,
                    min(timeout_at, member.deadline - DEADLINE_MARGIN_MS),
                    last_byte_delay_ms,
                    self.retry_policy.last_byte_allowed_until(member),
                )
            )

    def _timeout_at(self, now: float, pending: PendingMessage, route: RouteState) -> float:
        """Return when the call is given up: by its time-out, and before the message's deadline.

        An answer that crosses the deadline may count or not, and an end that is owed would come late. A time-out is no
        shorter than the pause before a retry: guards quick destinations, as a stall of some ms is no outcome.
        """
        timeout_at = pending.deadline - DEADLINE_MARGIN_MS
        timeout_ms = max(BACKOFF_MS, latency.timeout_ms(route.latency)) * route.latency.timeout_multiplier
        is_last = self._is_last_attempt(now, pending, timeout_ms)
        if is_last or now + 2 * timeout_ms < pending.deadline:
            timeout_at = min(timeout_at, now + timeout_ms * (LAST_ATTEMPT_FACTOR if is_last else 1.0))
        return timeout_at

    def _is_last_attempt(self, now: float, pending: PendingMessage, timeout_ms: float) -> bool:
        message_class = pending.message_class
        if pending.attempts + 1 >= self.settings.max_attempts or message_class.effect is Effect.NON_IDEMPOTENT:
            return True
        if message_class.effect is not Effect.DEDUPLICATED:
            return False
        first_unclear_at = pending.first_unclear_at if pending.first_unclear_at is not None else now
        retry_at: float = now + timeout_ms + BACKOFF_MS * 2**pending.attempts
        return retry_at > first_unclear_at + message_class.deduplication_window_ms

    def _batch_companions(self, now: float, pending: PendingMessage, endpoint: EndpointState) -> list[PendingMessage]:
        """Return further messages for the same call: one slot, and one call of the limit, for a backlog."""
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
