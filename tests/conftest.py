"""Settings and a harness for tests that call a `DeliveryEngine` directly, without relays and servers."""

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
from linnetstile.engine.route_state import RouteState
from linnetstile.engine.settings import DestinationKind, Effect, MessageClass, RateTrust, SafetyLimits, Settings

hypothesis_settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
hypothesis_settings.load_profile("fixed")


def make_message_class(effect: Effect, **overrides: Any) -> MessageClass:
    """Make a message class with an objective of 1 s, a deadline of 10 s and a deduplication window of 3 s."""
    values: dict[str, Any] = {
        "name": effect.value,
        "effect": effect,
        "latency_objective_ms": 1000.0,
        "deadline_ms": 10000.0,
        "priority_weight": 1.0,
        "late_value_fraction": 0.5,
        "deduplication_window_ms": 3000.0,
    }
    return MessageClass(**{**values, **overrides})


CLASSES = tuple(make_message_class(effect) for effect in Effect)
IDEMPOTENT, DEDUPLICATED, NON_IDEMPOTENT = range(3)
UNCLEAR_OUTCOMES = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)
ADVERTISED_RATE = 20.0  # calls a second


def make_endpoint(
    endpoint_id: int, destination: int, status: EndpointStatus = EndpointStatus.READY, **overrides: Any
) -> Endpoint:
    """Make an entry of the endpoint list that advertises 20 calls a second."""
    return Endpoint(endpoint_id, destination, status, **{"advertised_rate": ADVERTISED_RATE, **overrides})


def make_list_changes(*endpoints: Endpoint) -> EndpointList:
    """Make the event that reports changes to entries of the endpoint list."""
    return EndpointList(ListKind.CHANGES, endpoints)


def make_settings(**overrides: Any) -> Settings:
    """Make engine settings for one of two relays, with 8 attempts in flight and 40 pending messages at most."""
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
        "safety": SafetyLimits(
            answer_slack_ms=20.0,
            drain_grace_ms=250.0,
            slow_start_fraction=0.2,
            slow_start_ms=9000.0,
            overload_multiple=2.0,
            overload_window_ms=1500.0,
            poll_within_ms=10000.0,
            ordering_pause_ms=100.0,
        ),
    }
    return Settings(**{**values, **overrides})


@dataclass
class EngineHarness:
    """Drives one engine with a simulated clock, and records its actions; no calls are made.

    Attributes:
        settings: The settings of the engine.
        now: Present time of the simulated clock (ms).
        seed: Seed of the engine.
        sends: All sends, each with its time.
        final_answers: Rejections and failures, by message id.
        other_actions: All other actions, each with its time.
        attempts: Number of attempts, by message id.
        last_id: Id of the message submitted last.
        in_flight: Sends whose outcome was not reported yet, by message id.
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
        """Pass events to the engine at the present time; record the actions and return them."""
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

    def list_endpoints(
        self, *endpoints: tuple[int, int], advertised_rate: float = ADVERTISED_RATE, kind: int = 0
    ) -> None:
        """Report a cached list with these endpoints, each given as its id and its destination."""
        entries = tuple(
            make_endpoint(endpoint_id, destination, kind=kind, advertised_rate=advertised_rate)
            for endpoint_id, destination in endpoints
        )
        self.handle(EndpointList(ListKind.CACHED, entries))

    def change_endpoints(self, *endpoints: Endpoint) -> list[Action]:
        """Report changes to entries of the endpoint list."""
        return self.handle(make_list_changes(*endpoints))

    def route(self, destination: int = 1) -> RouteState:
        """Return the resident route of a destination whose endpoints share one route."""
        return self.engine.routes[destination][-1]

    def submit(
        self,
        class_index: int = IDEMPOTENT,
        destination: int = 1,
        remaining_ms: float = 1e4,
        ordering_key: int = 0,
        tenant: int = 0,
    ) -> int:
        """Submit a new message; return its id."""
        self.last_id += 1
        self.handle(Message(self.last_id, destination, class_index, remaining_ms, tenant, ordering_key))
        return self.last_id

    def advance(self, duration_ms: float, step_ms: float = 5.0) -> None:
        """Advance the clock, with a timer event in each step."""
        end = self.now + duration_ms
        while self.now < end:
            self.now += step_ms
            self.handle(TimerFired(0))

    def last_send(self, message_id: int) -> tuple[float, Send]:
        """Return the latest send of a message, with its time."""
        return self.sends_of(message_id)[-1]

    def sends_of(self, message_id: int) -> list[tuple[float, Send]]:
        """Return each send of a message, with its time."""
        return [(sent_at, send) for sent_at, send in self.sends if send.id == message_id]

    def sends_since(self, start: int) -> list[Send]:
        """Return the sends after the first `start` ones."""
        return [send for _, send in self.sends[start:]]

    def end_attempt(
        self,
        message_id: int,
        outcome: Outcome = Outcome.OK,
        retry_after_ms: float = 0.0,
        latency_ms: float = 100.0,
        load_report: tuple[float, ...] = (),
        connection_reused: bool = False,
    ) -> list[Action]:
        """Report the outcome of a message's attempt in flight; a success ends the message."""
        send = self.in_flight.pop(message_id)
        return self.handle(
            AttemptEnded(
                message_id,
                self.attempts[message_id] - 1,
                send.endpoint,
                outcome,
                latency_ms,
                is_final=outcome is Outcome.OK,
                retry_after_ms=retry_after_ms,
                load_report=load_report,
                connection_reused=connection_reused,
            )
        )

    def end_attempts_in_flight(self, outcome: Outcome = Outcome.OK, load_report: tuple[float, ...] = ()) -> None:
        """Report the same outcome for all attempts in flight."""
        for message_id in list(self.in_flight):
            self.end_attempt(message_id, outcome, load_report=load_report)

    def warm_up(self, destination: int = 1, calls: int = 6) -> None:
        """Let a destination answer some calls after 100 ms each, so that it is known and healthy."""
        for _ in range(calls):
            message_id = self.submit(IDEMPOTENT, destination)
            while not self.attempts.get(message_id):
                self.advance(20)
            self.advance(100)
            self.end_attempt(message_id)
