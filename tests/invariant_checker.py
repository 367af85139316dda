"""An independent check of the six delivery rules: sees the events and actions of an engine, nothing inside."""

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
from linnetstile.engine.settings import DeduplicationScope, Effect, Settings


class RuleViolationError(AssertionError):
    """A rule was broken; the first word names it."""


@dataclass
class ObservedMessage:
    message: Message
    deadline: float
    attempts: list[tuple[float, int, Outcome | None]] = field(default_factory=list)
    has_ended: bool = False


@dataclass
class InvariantChecker:
    settings: Settings
    messages: dict[int, ObservedMessage] = field(default_factory=dict)
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    drained_since: dict[int, float] = field(default_factory=dict)
    retry_after_until: dict[int, float] = field(default_factory=dict)
    ordering_pauses: dict[int, float] = field(default_factory=dict)
    connect_failures: dict[int, int] = field(default_factory=dict)  # route -> connections failed in a row
    slow_start_until: dict[int, float] = field(default_factory=dict)  # route -> end of the slow start after an outage
    send_times: dict[int, list[float]] = field(default_factory=dict)

    def route(self, endpoint: int) -> int:
        entry = self.endpoints[endpoint]
        return -1 - endpoint if self.settings.kinds[entry.kind].separate_routes else entry.destination

    def observe_event(self, now: float, event: Event) -> None:
        match event:
            case Message():
                self.messages[event.id] = ObservedMessage(event, now + event.remaining_ms)
            case EndpointList(kind, entries) if kind is not ListKind.FAILED:
                named = {e.id for e in entries if e.status is EndpointStatus.READY}
                known = {e.id for e in entries} if kind is ListKind.CHANGES else set(self.endpoints)
                gone = known - named
                for entry in entries:
                    self.endpoints.setdefault(entry.id, entry)
                for message_id in gone:
                    self.drained_since.setdefault(message_id, now)
                for message_id in named:
                    self.drained_since.pop(message_id, None)
            case ClientCancelled(message_id):
                self.messages[message_id].has_ended = True
            case AttemptEnded():
                seen = self.messages[event.id]
                sent, endpoint, _ = seen.attempts[event.attempt]
                seen.attempts[event.attempt] = (sent, endpoint, event.outcome)
                seen.has_ended |= event.is_final
                route = self.route(endpoint)
                if event.outcome is Outcome.CONNECT_FAILED:
                    self.connect_failures[route] = self.connect_failures.get(route, 0) + 1
                elif event.outcome is Outcome.OK:
                    if self.connect_failures.get(route, 0) >= 3:
                        self.slow_start_until[route] = now
                    self.connect_failures[route] = 0
                if event.retry_after_ms:
                    self.retry_after_until[route] = max(
                        self.retry_after_until.get(route, 0.0), now + event.retry_after_ms
                    )
                lingers = event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
                if lingers and self.settings.classes[seen.message.class_index].in_order:
                    self.ordering_pauses[seen.message.ordering_key] = now + self.settings.safety.ordering_pause_ms

    def unclear_attempts(self, seen: ObservedMessage) -> list[tuple[float, int]]:
        return [(at, e) for at, e, out in seen.attempts if out is None or not out.proves_no_effect]

    def observe_action(self, now: float, action: Action) -> None:
        match action:
            case Send(message_id, endpoint, _):
                self.observe_send(now, self.messages[message_id], endpoint)
            case Reject(message_id) | Fail(message_id):
                seen = self.messages[message_id]
                if seen.has_ended:
                    raise RuleViolationError("lost: a second final answer")
                effect = self.settings.classes[seen.message.class_index].effect
                if isinstance(action, Reject) and self.unclear_attempts(seen) and effect is not Effect.IDEMPOTENT:
                    raise RuleViolationError("twice: refused though it may have run")
                seen.has_ended = True

    def observe_send(self, now: float, seen: ObservedMessage, endpoint: int) -> None:
        message_class = self.settings.classes[seen.message.class_index]
        entry = self.endpoints[endpoint]
        if seen.has_ended:
            raise RuleViolationError("lost: sent after its end")
        if entry.destination != seen.message.destination:
            raise RuleViolationError("fault: not an endpoint of its destination")
        if any(out is None for _, _, out in seen.attempts):
            raise RuleViolationError("twice: two attempts out at once")
        if len(seen.attempts) >= self.settings.max_attempts:
            raise RuleViolationError("fault: too many attempts")
        for at, other in self.unclear_attempts(seen):
            if message_class.effect is Effect.NON_IDEMPOTENT:
                raise RuleViolationError("twice: unsafe message may have run")
            if message_class.effect is Effect.DEDUPLICATED:
                zones = self.endpoints[other].zone == entry.zone
                if now - at > message_class.deduplication_window_ms:
                    raise RuleViolationError("twice: outside the key's window")
                if message_class.deduplication_scope is DeduplicationScope.ZONE and not zones:
                    raise RuleViolationError("twice: outside the key's zone")
        if endpoint in self.drained_since and now > self.drained_since[endpoint] + self.settings.safety.drain_grace_ms:
            raise RuleViolationError("drain: sent to a draining endpoint")
        if now < self.retry_after_until.get(self.route(endpoint), 0.0):
            raise RuleViolationError("wait: sent before a Retry-After was over")
        if message_class.in_order and seen.message.ordering_key:
            for other_id, earlier in self.messages.items():
                if other_id == seen.message.id:
                    break
                same = (
                    earlier.message.ordering_key == seen.message.ordering_key
                    and self.settings.classes[earlier.message.class_index].in_order
                )
                if same and (not earlier.has_ended or any(out is None for _, _, out in earlier.attempts)):
                    raise RuleViolationError("order: an earlier message of its key is open")
            if not seen.attempts and now < self.ordering_pauses.get(seen.message.ordering_key, 0.0):
                raise RuleViolationError("order: its key must rest")
        self.check_slow_start_budget(now, self.route(endpoint), entry.advertised_rate)
        seen.attempts.append((now, endpoint, None))

    def check_slow_start_budget(self, now: float, route: int, rate: float) -> None:
        """The own part of the budget at a destination that was down, and three calls of slack."""
        safety = self.settings.safety
        sends = self.send_times.setdefault(route, [])
        sends.append(now)
        if route in self.slow_start_until and now < self.slow_start_until[route] + safety.slow_start_ms:
            warm = (now - self.slow_start_until[route]) / safety.slow_start_ms
            share = safety.slow_start_fraction + (1 - safety.slow_start_fraction) * warm
            budget = (
                safety.overload_multiple * share * rate / self.settings.relay_count * safety.overload_window_ms / 1000
            )
            recent = [at for at in sends if at > max(self.slow_start_until[route], now - safety.overload_window_ms)]
            if len(recent) > budget + 3:
                raise RuleViolationError("failback: over the budget of a cold destination")

    def check_deadlines(self, now: float) -> None:
        for seen in self.messages.values():
            if not seen.has_ended and now > seen.deadline + self.settings.safety.answer_slack_ms:
                raise RuleViolationError("lost: no final answer in time")
