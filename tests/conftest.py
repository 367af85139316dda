"""Settings and a harness for tests that drive a `DeliveryEngine` by hand; no servers are played."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from hypothesis import settings as hypothesis_settings

from linnetstile.engine.actions import Action, Fail, Reject, Send
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import (
    AttemptEnded,
    Endpoint,
    EndpointList,
    EndpointStatus,
    Event,
    ListKind,
    Message,
    Outcome,
    TimerFired,
)
from linnetstile.engine.settings import DestinationKind, Effect, MessageClass, RateTrust, SafetyLimits, Settings

hypothesis_settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
hypothesis_settings.load_profile("fixed")

CLASSES = tuple(MessageClass(effect.value, effect, 1000.0, 10000.0, 1.0, 0.5, 3000.0) for effect in Effect)
IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT = range(3)
UNCLEAR_OUTCOMES = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)


def make_settings(**more: Any) -> Settings:
    values: dict[str, Any] = {
        "classes": CLASSES,
        "kinds": (DestinationKind("k"),),
        "max_in_flight": 8,
        "max_pending_messages": 40,
        "max_attempts": 5,
        "relay_count": 2,
        "rate_trust": RateTrust.NOMINAL,
        "idle_timeout_ms": 10000.0,
        "tick_ms": 5.0,
        "safety": SafetyLimits(20.0, 250.0, 0.2, 9000.0, 2.0, 1500.0, 10000.0, 100.0),
    }
    return Settings(**{**values, **more})


@dataclass
class EngineHarness:
    """Drives one engine by hand: a clock, what it has sent and answered so far; no servers are played.

    Attributes:
        settings: What the engine was told.
        now: The clock, in ms.
        seed: Seed of the engine.
        sends: Each send with its time.
        final_answers: The final answer of each message that has ended, by id.
        other_actions: All other actions with their time.
        attempts: Attempts of each message, by id.
        last_id: Id of the message submitted last.
        in_flight: Sends without an outcome, by message id.
    """

    settings: Settings = field(default_factory=make_settings)
    now: float = 1000.0
    seed: int = 1
    sends: list[tuple[float, Send]] = field(default_factory=list)
    final_answers: dict[int, Action] = field(default_factory=dict)
    other_actions: list[tuple[float, Action]] = field(default_factory=list)
    attempts: dict[int, int] = field(default_factory=dict)
    last_id: int = 0
    in_flight: dict[int, Send] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.engine = DeliveryEngine(self.settings, self.seed)

    def handle(self, *events: Event) -> list[Action]:
        """Feed events at the present time; return the actions, which are kept as well."""
        actions = self.engine.handle(self.now, list(events))
        for action in actions:
            if isinstance(action, Send):
                self.sends.append((self.now, action))
                self.attempts[action.id] = self.attempts.get(action.id, 0) + 1
                self.in_flight[action.id] = action
            elif isinstance(action, Reject | Fail):
                assert action.id not in self.final_answers, "a message ended twice"
                self.final_answers[action.id] = action
            else:
                self.other_actions.append((self.now, action))
        return actions

    def list_endpoints(self, *endpoints: tuple[int, int], advertised_rate: float = 20.0, kind: int = 0) -> None:
        self.handle(
            EndpointList(
                ListKind.CACHED,
                tuple(
                    Endpoint(endpoint_id, destination, EndpointStatus.READY, kind, 0, advertised_rate)
                    for endpoint_id, destination in endpoints
                ),
            )
        )

    def submit(
        self,
        class_index: int = IDEMPOTENT,
        destination: int = 1,
        remaining_ms: float = 1e4,
        ordering_key: int = 0,
        tenant: int = 0,
    ) -> int:
        self.last_id += 1
        self.handle(Message(self.last_id, destination, class_index, remaining_ms, tenant, ordering_key))
        return self.last_id

    def advance(self, duration_ms: float, step_ms: float = 5.0) -> None:
        """Let time pass, with a timer event each step."""
        end = self.now + duration_ms
        while self.now < end:
            self.now += step_ms
            self.handle(TimerFired(0))

    def last_send(self, message_id: int) -> tuple[float, Send]:
        """Return the latest send of a message, with its time."""
        return [entry for entry in self.sends if entry[1].id == message_id][-1]

    def end_attempt(
        self,
        message_id: int,
        outcome: Outcome = Outcome.OK,
        retry_after_ms: float = 0.0,
        latency_ms: float = 100.0,
        load_report: tuple[float, ...] = (),
    ) -> list[Action]:
        send = self.in_flight.pop(message_id)
        return self.handle(
            AttemptEnded(
                message_id,
                self.attempts[message_id] - 1,
                send.endpoint,
                outcome,
                latency_ms,
                outcome is Outcome.OK,
                retry_after_ms,
                load_report=load_report,
            )
        )

    def warm_up(self, destination: int = 1, calls: int = 6) -> None:
        """Some quick answers, so that the destination is known and well."""
        for _ in range(calls):
            message_id = self.submit(IDEMPOTENT, destination)
            while not self.attempts.get(message_id):
                self.advance(20)
            self.advance(100)
            self.end_attempt(message_id)
