"""An independent watch over the six rules: sees what a relay is told and what it does, nothing inside."""

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


class Breach(AssertionError):
    """A rule was broken; the first word names it."""


@dataclass
class Seen:
    msg: Message
    due: float
    attempts: list[tuple[float, int, Outcome | None]] = field(default_factory=list)
    over: bool = False


@dataclass
class Checker:
    settings: Settings
    seen: dict[int, Seen] = field(default_factory=dict)
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    drained: dict[int, float] = field(default_factory=dict)
    waits: dict[int, float] = field(default_factory=dict)
    rests: dict[int, float] = field(default_factory=dict)
    streak: dict[int, int] = field(default_factory=dict)  # lane -> connections failed in a row
    cold: dict[int, float] = field(default_factory=dict)  # lane -> end of the cold time after an outage
    sends: dict[int, list[float]] = field(default_factory=dict)

    def lane(self, endpoint: int) -> int:
        entry = self.endpoints[endpoint]
        return -1 - endpoint if self.settings.kinds[entry.kind].separate_routes else entry.destination

    def event(self, now: float, event: Event) -> None:
        match event:
            case Message():
                self.seen[event.id] = Seen(event, now + event.remaining_ms)
            case EndpointList(kind, entries) if kind is not ListKind.FAILED:
                named = {e.id for e in entries if e.status is EndpointStatus.READY}
                known = {e.id for e in entries} if kind is ListKind.CHANGES else set(self.endpoints)
                gone = known - named
                for entry in entries:
                    self.endpoints.setdefault(entry.id, entry)
                for ident in gone:
                    self.drained.setdefault(ident, now)
                for ident in named:
                    self.drained.pop(ident, None)
            case ClientCancelled(ident):
                self.seen[ident].over = True
            case AttemptEnded():
                seen = self.seen[event.id]
                sent, endpoint, _ = seen.attempts[event.attempt]
                seen.attempts[event.attempt] = (sent, endpoint, event.outcome)
                seen.over |= event.is_final
                route = self.lane(endpoint)
                if event.outcome is Outcome.CONNECT_FAILED:
                    self.streak[route] = self.streak.get(route, 0) + 1
                elif event.outcome is Outcome.OK:
                    if self.streak.get(route, 0) >= 3:
                        self.cold[route] = now
                    self.streak[route] = 0
                if event.retry_after_ms:
                    self.waits[route] = max(self.waits.get(route, 0.0), now + event.retry_after_ms)
                lingers = event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
                if lingers and self.settings.classes[seen.msg.class_index].in_order:
                    self.rests[seen.msg.ordering_key] = now + self.settings.safety.ordering_pause_ms

    def risks(self, seen: Seen) -> list[tuple[float, int]]:
        return [(at, e) for at, e, out in seen.attempts if out is None or not out.proves_no_effect]

    def action(self, now: float, action: Action) -> None:
        match action:
            case Send(ident, endpoint, _):
                self.send(now, self.seen[ident], endpoint)
            case Reject(ident) | Fail(ident):
                seen = self.seen[ident]
                if seen.over:
                    raise Breach("lost: a second final answer")
                effect = self.settings.classes[seen.msg.class_index].effect
                if isinstance(action, Reject) and self.risks(seen) and effect is not Effect.IDEMPOTENT:
                    raise Breach("twice: refused though it may have run")
                seen.over = True

    def send(self, now: float, seen: Seen, endpoint: int) -> None:
        message_class = self.settings.classes[seen.msg.class_index]
        entry = self.endpoints[endpoint]
        if seen.over:
            raise Breach("lost: sent after its end")
        if entry.destination != seen.msg.destination:
            raise Breach("fault: not an endpoint of its destination")
        if any(out is None for _, _, out in seen.attempts):
            raise Breach("twice: two attempts out at once")
        if len(seen.attempts) >= self.settings.max_attempts:
            raise Breach("fault: too many attempts")
        for at, other in self.risks(seen):
            if message_class.effect is Effect.NON_IDEMPOTENT:
                raise Breach("twice: unsafe message may have run")
            if message_class.effect is Effect.DEDUPLICATED:
                zones = self.endpoints[other].zone == entry.zone
                if now - at > message_class.deduplication_window_ms:
                    raise Breach("twice: outside the key's window")
                if message_class.deduplication_scope is DeduplicationScope.ZONE and not zones:
                    raise Breach("twice: outside the key's zone")
        if endpoint in self.drained and now > self.drained[endpoint] + self.settings.safety.drain_grace_ms:
            raise Breach("drain: sent to a draining endpoint")
        if now < self.waits.get(self.lane(endpoint), 0.0):
            raise Breach("wait: sent before a told wait was over")
        if message_class.in_order and seen.msg.ordering_key:
            for other_id, earlier in self.seen.items():
                if other_id == seen.msg.id:
                    break
                same = (
                    earlier.msg.ordering_key == seen.msg.ordering_key
                    and self.settings.classes[earlier.msg.class_index].in_order
                )
                if same and (not earlier.over or any(out is None for _, _, out in earlier.attempts)):
                    raise Breach("order: an earlier message of its key is open")
            if not seen.attempts and now < self.rests.get(seen.msg.ordering_key, 0.0):
                raise Breach("order: its key must rest")
        self.spend(now, self.lane(endpoint), entry.advertised_rate)
        seen.attempts.append((now, endpoint, None))

    def spend(self, now: float, route: int, rate: float) -> None:
        """The own part of the budget at a destination that was down, and three calls of slack."""
        safety = self.settings.safety
        sends = self.sends.setdefault(route, [])
        sends.append(now)
        if route in self.cold and now < self.cold[route] + safety.slow_start_ms:
            warm = (now - self.cold[route]) / safety.slow_start_ms
            share = safety.slow_start_fraction + (1 - safety.slow_start_fraction) * warm
            budget = (
                safety.overload_multiple * share * rate / self.settings.relay_count * safety.overload_window_ms / 1000
            )
            recent = [at for at in sends if at > max(self.cold[route], now - safety.overload_window_ms)]
            if len(recent) > budget + 3:
                raise Breach("failback: over the budget of a cold destination")

    def end_of(self, now: float) -> None:
        for seen in self.seen.values():
            if not seen.over and now > seen.due + self.settings.safety.answer_slack_ms:
                raise Breach("lost: no final answer in time")
