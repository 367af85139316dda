"""The delivery rules under random legal events, verified by the invariant checker."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from linnetstile.engine.actions import Action, Reject, Send, SetTimer
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import (
    AttemptEnded,
    ClientCancelled,
    EndpointList,
    EndpointStatus,
    Event,
    ListKind,
    Message,
    Outcome,
    TimerFired,
)
from linnetstile.engine.settings import (
    DeduplicationScope,
    DestinationKind,
    Effect,
    MessageClass,
    RateTrust,
    Settings,
    ValueDecay,
)

from .conftest import make_endpoint, make_message_class, make_settings
from .invariant_checker import InvariantChecker

OUTCOMES = [outcome for outcome in Outcome if outcome is not Outcome.NOT_SENT]
ENDPOINTS = (make_endpoint(11, 1, zone=0), make_endpoint(12, 1, zone=1), make_endpoint(13, 2, zone=0))
DESTINATIONS = [1, 2, 3]  # no endpoint serves the last one
STEPS = 160
STEPS_WITH_NEW_MESSAGES = 120
STEPS_PER_FAILURE_RATE = 20
FAILURE_RATES = [0.0, 0.2, 0.9]
LONGEST_STEP_MS = 60.0  # allowed delay of a final answer beyond its slack, as the clock advances in steps


def random_class(effect: Effect, scope: DeduplicationScope, in_order: bool) -> MessageClass:
    return make_message_class(
        effect,
        latency_objective_ms=400.0,
        deadline_ms=4000.0,
        deduplication_window_ms=1200.0,
        deduplication_scope=scope,
        in_order=in_order,
    )


@st.composite
def engine_settings(draw: st.DrawFn) -> Settings:
    scopes = st.sampled_from([DeduplicationScope.ALL, DeduplicationScope.ZONE])
    classes = st.builds(random_class, st.sampled_from(Effect), scopes, st.booleans())
    return make_settings(
        classes=tuple(draw(st.lists(classes, min_size=1, max_size=3))),
        kinds=(DestinationKind("k", draw(st.integers(1, 3)), draw(st.booleans())),),
        max_retry_after_ms=draw(st.sampled_from([0.0, 2000.0])),
        load_report_fields=draw(st.sampled_from([None, (0, 1)])),
        max_in_flight=draw(st.integers(1, 6)),
        max_pending_messages=draw(st.integers(5, 30)),
        max_attempts=draw(st.integers(1, 5)),
        polls_for_list=draw(st.booleans()),
        rate_trust=draw(st.sampled_from(RateTrust)),
        value_decay=draw(st.sampled_from(ValueDecay)),
        clients_mark_retries=draw(st.booleans()),
    )


@dataclass
class RandomHost:
    """Carries out the actions of an engine, and generates random legal events in response.

    Attributes:
        settings: The settings of the engine.
        rng: The source of all random choices.
        checker: The checker, which knows the messages.
        now: The clock, in ms.
        failure_rate: Fraction of the attempts that have a random outcome.
        in_flight: Sends without an outcome, by message and number of the attempt.
        attempts: Number of attempts of each message.
        timers: Times at which the timers fire.
        last_id: Id of the latest message.
    """

    settings: Settings
    rng: random.Random
    checker: InvariantChecker
    now: float = 500.0
    failure_rate: float = 0.2
    in_flight: dict[tuple[int, int], Send] = field(default_factory=dict)
    attempts: dict[int, int] = field(default_factory=dict)
    timers: list[float] = field(default_factory=list)
    last_id: int = 0

    def carry_out(self, action: Action) -> None:
        """Start an attempt or set a timer."""
        if isinstance(action, Send):
            number = self.attempts.get(action.id, 0)
            self.attempts[action.id] = number + 1
            self.in_flight[action.id, number] = action
        elif isinstance(action, SetTimer):
            self.timers.append(self.now + action.delay_ms)

    def next_events(self, step: int) -> list[Event]:
        """Advance the clock, and return the events up to the new time."""
        self._advance()
        events: list[Event] = [TimerFired(0)] if any(fires_at <= self.now for fires_at in self.timers) else []
        self.timers = [fires_at for fires_at in self.timers if fires_at > self.now]
        if step % STEPS_PER_FAILURE_RATE == 0:
            self.failure_rate = self.rng.choice(FAILURE_RATES)
        events += self._ended_attempts()
        if self.rng.random() < 0.4 and step < STEPS_WITH_NEW_MESSAGES:
            events.append(self._new_message())
        if self.rng.random() < 0.03:
            events.append(self._new_list())
        if self.rng.random() < 0.02:
            events += self._cancellations()
        return events

    def _advance(self) -> None:
        """Advance the clock, mostly to the next timer or time-out."""
        timeouts = (send.timeout_at_ms for send in self.in_flight.values())
        upcoming = [time_ms for time_ms in (*self.timers, *timeouts) if time_ms > self.now]
        next_time = min(upcoming, default=self.now + 25.0)
        self.now = next_time if self.rng.random() < 0.8 else self.now + 5.0

    def _ended_attempts(self) -> list[Event]:
        events: list[Event] = []
        for (message_id, number), send in list(self.in_flight.items()):
            if self.now >= send.timeout_at_ms or self.rng.random() < 0.15:
                del self.in_flight[message_id, number]
                events.append(self._ended_attempt(message_id, number, send))
        return events

    def _ended_attempt(self, message_id: int, number: int, send: Send) -> AttemptEnded:
        outcome = self.rng.choice(OUTCOMES) if self.rng.random() < self.failure_rate else Outcome.OK
        if self.now >= send.timeout_at_ms:
            outcome = Outcome.TIMEOUT
        retry_after_ms = self.rng.choice([0.0, 300.0]) if outcome is Outcome.REJECTED else 0.0
        load_report = (self.rng.random(), 20.0) if self.settings.load_report_fields else ()
        return AttemptEnded(
            message_id,
            number,
            send.endpoint,
            outcome,
            latency_ms=80.0,
            is_final=outcome is Outcome.OK or self.checker.messages[message_id].has_ended,
            retry_after_ms=retry_after_ms,
            load_report=load_report,
        )

    def _new_message(self) -> Message:
        self.last_id += 1
        return Message(
            self.last_id,
            destination=self.rng.choice(DESTINATIONS),
            class_index=self.rng.randrange(len(self.settings.classes)),
            remaining_ms=self.rng.choice([300.0, 2000.0, 4000.0]),
            ordering_key=self.rng.choice([0, 7, 8]),
        )

    def _new_list(self) -> EndpointList:
        kind = self.rng.choice(list(ListKind))
        listed = self.rng.sample(ENDPOINTS, 2)
        status = self.rng.choice(list(EndpointStatus)) if kind is ListKind.CHANGES else EndpointStatus.READY
        entries = tuple(
            make_endpoint(endpoint.id, endpoint.destination, status, zone=endpoint.zone) for endpoint in listed
        )
        return EndpointList(kind, () if kind is ListKind.FAILED else entries)

    def _cancellations(self) -> list[Event]:
        """Cancel the oldest message that has not ended, if there is one."""
        for message_id, observed in self.checker.messages.items():
            if not observed.has_ended:
                observed.has_ended = True
                return [ClientCancelled(message_id)]
        return []


def assert_retry_after_is_bounded(checker: InvariantChecker, now: float, rejection: Reject) -> None:
    remaining_ms = max(0.0, checker.messages[rejection.id].deadline - now)
    assert 0 <= rejection.retry_after_ms <= min(checker.settings.max_retry_after_ms, remaining_ms)


@settings(max_examples=150)
@given(engine_settings(), st.integers(0, 2**32))
def test_engine_keeps_each_delivery_rule_under_legal_events(settings: Settings, seed: int) -> None:
    engine, checker = DeliveryEngine(settings, 5), InvariantChecker(settings)
    host = RandomHost(settings, random.Random(seed), checker)
    events: list[Event] = [EndpointList(ListKind.CACHED, ENDPOINTS)]
    for step in range(STEPS):
        for event in events:
            checker.observe_event(host.now, event)
        for action in engine.handle(host.now, events):
            checker.observe_action(host.now, action)
            if isinstance(action, Reject):
                assert_retry_after_is_bounded(checker, host.now, action)
            host.carry_out(action)
        events = host.next_events(step)
        checker.check_deadlines(host.now - LONGEST_STEP_MS)
