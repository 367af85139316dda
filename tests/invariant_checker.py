"""An independent checker of the six delivery rules. It sees only the events and actions of an engine, not its state."""

from __future__ import annotations

from dataclasses import dataclass, field

from linnetstile.engine.actions import Action, Fail, Reject, Send
from linnetstile.engine.events import (
    AttemptEnded,
    ClientCancelled,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    ListKind,
    Message,
    Outcome,
)
from linnetstile.engine.settings import DeduplicationScope, Effect, MessageClass, Settings

CONNECT_FAILURES_OF_AN_OUTAGE = 3  # consecutive failed connects that count as an outage
SLOW_START_SLACK_CALLS = 3  # calls above its slow-start budget that one relay may send
OUTCOMES_WITH_POSSIBLE_ONGOING_WORK = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)


class RuleViolationError(AssertionError):
    """The engine broke a delivery rule; the first word of the message names the rule."""


@dataclass
class ObservedAttempt:
    """An attempt of a message; `outcome` is None while it is in flight."""

    sent_at: float
    endpoint: int
    outcome: Outcome | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether the message may have had its effect through this attempt."""
        return self.outcome is None or not self.outcome.proves_no_effect


@dataclass
class ObservedMessage:
    """A message with its attempts so far."""

    message: Message
    deadline: float
    attempts: list[ObservedAttempt] = field(default_factory=list)
    has_ended: bool = False

    @property
    def is_in_flight(self) -> bool:
        """Whether an attempt has no outcome yet."""
        return any(attempt.outcome is None for attempt in self.attempts)

    @property
    def unclear_attempts(self) -> list[ObservedAttempt]:
        """The attempts that may have run."""
        return [attempt for attempt in self.attempts if attempt.may_have_run]


@dataclass
class InvariantChecker:
    """Raises `RuleViolationError` for the first action that breaks a rule.

    Attributes:
        settings: The settings of the engine.
        messages: All messages by id, in the order of their submission.
        endpoints: Each endpoint that was ever listed, by id.
        not_ready_since: Since when an endpoint is no longer listed as ready, by id.
        retry_after_until: End of the latest Retry-After, by route.
        ordering_pauses: End of the pause of each ordering key.
        connect_failures: Number of consecutive failed connects, by route.
        slow_start_since: When a route recovered from its latest outage, by route.
        send_times: Times of all calls, by route.
    """

    settings: Settings
    messages: dict[int, ObservedMessage] = field(default_factory=dict)
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    not_ready_since: dict[int, float] = field(default_factory=dict)
    retry_after_until: dict[int, float] = field(default_factory=dict)
    ordering_pauses: dict[int, float] = field(default_factory=dict)
    connect_failures: dict[int, int] = field(default_factory=dict)
    slow_start_since: dict[int, float] = field(default_factory=dict)
    send_times: dict[int, list[float]] = field(default_factory=dict)

    def route_of(self, endpoint_id: int) -> int:
        """Return the route of an endpoint: its destination, or a negative number if the endpoint has its own route."""
        endpoint = self.endpoints[endpoint_id]
        has_own_route = self.settings.kinds[endpoint.kind].separate_routes
        return -1 - endpoint_id if has_own_route else endpoint.destination

    def class_of(self, observed: ObservedMessage) -> MessageClass:
        """Return the class of a message."""
        return self.settings.classes[observed.message.class_index]

    def observe_event(self, now: float, event: Event) -> None:
        """Record an event before the engine handles it."""
        match event:
            case Message():
                self.messages[event.id] = ObservedMessage(event, now + event.remaining_ms)
            case EndpointList(kind, entries) if kind is not ListKind.FAILED:
                self._observe_list(now, kind, entries)
            case ClientCancelled(message_id):
                self.messages[message_id].has_ended = True
            case AttemptEnded():
                self._observe_outcome(now, event)

    def _observe_list(self, now: float, kind: ListKind, entries: tuple[Endpoint, ...]) -> None:
        ready = {entry.id for entry in entries if entry.status is EndpointStatus.READY}
        covered = {entry.id for entry in entries} if kind is ListKind.CHANGES else set(self.endpoints)
        for entry in entries:
            self.endpoints.setdefault(entry.id, entry)
        for endpoint_id in covered - ready:
            self.not_ready_since.setdefault(endpoint_id, now)
        for endpoint_id in ready:
            self.not_ready_since.pop(endpoint_id, None)

    def _observe_outcome(self, now: float, event: AttemptEnded) -> None:
        observed = self.messages[event.id]
        attempt = observed.attempts[event.attempt]
        attempt.outcome = event.outcome
        observed.has_ended |= event.is_final
        route = self.route_of(attempt.endpoint)
        self._observe_health(now, route, event.outcome)
        if event.retry_after_ms:
            until = now + event.retry_after_ms
            self.retry_after_until[route] = max(self.retry_after_until.get(route, 0.0), until)
        if event.outcome in OUTCOMES_WITH_POSSIBLE_ONGOING_WORK and self.class_of(observed).in_order:
            self.ordering_pauses[observed.message.ordering_key] = now + self.settings.safety.ordering_pause_ms

    def _observe_health(self, now: float, route: int, outcome: Outcome) -> None:
        failures = self.connect_failures.get(route, 0)
        if outcome is Outcome.CONNECT_FAILED:
            self.connect_failures[route] = failures + 1
        elif outcome is Outcome.OK:
            if failures >= CONNECT_FAILURES_OF_AN_OUTAGE:
                self.slow_start_since[route] = now
            self.connect_failures[route] = 0

    def observe_action(self, now: float, action: Action) -> None:
        """Check an action of the engine, and record it."""
        match action:
            case Send(message_id, endpoint_id, _):
                self._observe_send(now, self.messages[message_id], endpoint_id)
            case Reject(message_id) | Fail(message_id):
                self._observe_final_answer(self.messages[message_id], isinstance(action, Reject))

    def _observe_final_answer(self, observed: ObservedMessage, is_rejection: bool) -> None:
        if observed.has_ended:
            raise RuleViolationError("lost: a second final answer")
        effect = self.class_of(observed).effect
        if is_rejection and observed.unclear_attempts and effect is not Effect.IDEMPOTENT:
            raise RuleViolationError("twice: rejected though it may have run")
        observed.has_ended = True

    def _observe_send(self, now: float, observed: ObservedMessage, endpoint_id: int) -> None:
        self._check_attempt_is_permitted(observed, endpoint_id)
        self._check_effect(now, observed, endpoint_id)
        self._check_endpoint(now, endpoint_id)
        self._check_order(now, observed)
        self._check_slow_start_budget(now, endpoint_id)
        observed.attempts.append(ObservedAttempt(now, endpoint_id))

    def _check_attempt_is_permitted(self, observed: ObservedMessage, endpoint_id: int) -> None:
        if observed.has_ended:
            raise RuleViolationError("lost: sent after the message had ended")
        if self.endpoints[endpoint_id].destination != observed.message.destination:
            raise RuleViolationError("fault: sent to an endpoint of another destination")
        if observed.is_in_flight:
            raise RuleViolationError("twice: two attempts in flight at once")
        if len(observed.attempts) >= self.settings.max_attempts:
            raise RuleViolationError("fault: more attempts than the settings allow")

    def _check_effect(self, now: float, observed: ObservedMessage, endpoint_id: int) -> None:
        message_class = self.class_of(observed)
        zone = self.endpoints[endpoint_id].zone
        for attempt in observed.unclear_attempts:
            if message_class.effect is Effect.NON_IDEMPOTENT:
                raise RuleViolationError("twice: non-idempotent message retried though it may have run")
            if message_class.effect is Effect.DEDUPLICATED:
                if now - attempt.sent_at > message_class.deduplication_window_ms:
                    raise RuleViolationError("twice: outside the deduplication window of an unclear attempt")
                is_same_zone = self.endpoints[attempt.endpoint].zone == zone
                if message_class.deduplication_scope is DeduplicationScope.ZONE and not is_same_zone:
                    raise RuleViolationError("twice: outside the zone of the deduplication key")

    def _check_endpoint(self, now: float, endpoint_id: int) -> None:
        not_ready_since = self.not_ready_since.get(endpoint_id)
        if not_ready_since is not None and now > not_ready_since + self.settings.safety.drain_grace_ms:
            raise RuleViolationError(
                "drain: sent to an endpoint that was draining or gone for longer than the grace time"
            )
        if now < self.retry_after_until.get(self.route_of(endpoint_id), 0.0):
            raise RuleViolationError("wait: sent before the end of a Retry-After")

    def _check_order(self, now: float, observed: ObservedMessage) -> None:
        ordering_key = observed.message.ordering_key
        if not self.class_of(observed).in_order or not ordering_key:
            return
        for message_id, earlier in self.messages.items():
            if message_id == observed.message.id:
                break
            is_same_key = earlier.message.ordering_key == ordering_key and self.class_of(earlier).in_order
            if is_same_key and (not earlier.has_ended or earlier.is_in_flight):
                raise RuleViolationError("order: an earlier message of its key has not ended or is in flight")
        if not observed.attempts and now < self.ordering_pauses.get(ordering_key, 0.0):
            raise RuleViolationError("order: its key is paused after an unclear attempt")

    def _check_slow_start_budget(self, now: float, endpoint_id: int) -> None:
        """Check this relay's share of the slow-start budget of a destination, plus `SLOW_START_SLACK_CALLS`."""
        safety = self.settings.safety
        route = self.route_of(endpoint_id)
        sends = self.send_times.setdefault(route, [])
        sends.append(now)
        since = self.slow_start_since.get(route)
        if since is None or now >= since + safety.slow_start_ms:
            return
        progress = (now - since) / safety.slow_start_ms
        capacity = safety.slow_start_fraction + (1 - safety.slow_start_fraction) * progress
        fleet_rate = safety.overload_multiple * capacity * self.endpoints[endpoint_id].advertised_rate
        budget = fleet_rate / self.settings.relay_count * safety.overload_window_ms / 1000
        recent = [sent_at for sent_at in sends if sent_at > max(since, now - safety.overload_window_ms)]
        if len(recent) > budget + SLOW_START_SLACK_CALLS:
            raise RuleViolationError("failback: more calls than the slow-start budget of the destination allows")

    def check_deadlines(self, now: float) -> None:
        """Check that each message whose deadline has passed has its final answer."""
        for observed in self.messages.values():
            if not observed.has_ended and now > observed.deadline + self.settings.safety.answer_slack_ms:
                raise RuleViolationError("lost: no final answer in time")
