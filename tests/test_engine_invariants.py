"""Random legal events against the engine, watched by the checker; and the checker against each violation."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetstile.engine.actions import Action, Fail, Reject, Send, SetTimer
from linnetstile.engine.engine import DeliveryEngine
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

from .conftest import make_endpoint, make_list_changes, make_message_class, make_settings
from .invariant_checker import InvariantChecker, RuleViolationError

OUTCOMES = [outcome for outcome in Outcome if outcome is not Outcome.NOT_SENT]
ENDPOINTS = (make_endpoint(11, 1, zone=0), make_endpoint(12, 1, zone=1), make_endpoint(13, 2, zone=0))
DESTINATIONS = [1, 2, 3]  # no endpoint serves the last one
STEPS = 160
STEPS_WITH_NEW_MESSAGES = 120
STEPS_PER_FAILURE_RATE = 20
FAILURE_RATES = [0.0, 0.2, 0.9]
LONGEST_STEP_MS = 60.0  # beyond the slack of a final answer


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
    """Carry out the actions of an engine, and make the legal events that may follow at random.

    Attributes:
        settings: The settings of the engine.
        rng: The source of all its choices.
        checker: The checker, which knows the messages.
        now: The clock, in ms.
        failure_rate: Part of the attempts that have a random outcome.
        in_flight: Sends without an outcome, by message and number of the attempt.
        attempts: Number of attempts of each message.
        timers: When the timers that are set fire.
        last_id: Id of the message submitted last.
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
        """Let some time pass, and return the events of that time."""
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
        """Go to the next timer or timeout most of the time."""
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
        """Cancel the oldest open message, if there is one."""
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
def test_engine_keeps_each_rule_under_legal_events(settings: Settings, seed: int) -> None:
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


# -- the checker ---------------------------------------------------------------------------------------------

NON_IDEMPOTENT, DEDUPLICATED, FIRST_IN_ORDER, SECOND_IN_ORDER = range(4)  # messages of the checker
SEND = Send(NON_IDEMPOTENT, 11, 4000.0)


def make_checker(**overrides: Any) -> InvariantChecker:
    """Return a checker that has seen four messages, of three classes, for a destination with two endpoints."""
    classes = (
        MessageClass("non-idempotent", Effect.NON_IDEMPOTENT, 400.0, 4000.0),
        MessageClass(
            "deduplicated",
            Effect.DEDUPLICATED,
            400.0,
            4000.0,
            deduplication_window_ms=1000.0,
            deduplication_scope=DeduplicationScope.ZONE,
        ),
        MessageClass("in order", Effect.IDEMPOTENT, 400.0, 4000.0, in_order=True),
    )
    checker = InvariantChecker(make_settings(classes=classes, **overrides))
    endpoints = (make_endpoint(11, 1, zone=0, advertised_rate=2.0), make_endpoint(12, 1, zone=1, advertised_rate=2.0))
    checker.observe_event(0.0, EndpointList(ListKind.CACHED, endpoints))
    for message_id, class_index in enumerate([0, 1, 2, 2]):
        checker.observe_event(0.0, Message(message_id, 1, class_index, 4000.0, ordering_key=7))
    return checker


@pytest.fixture
def checker() -> InvariantChecker:
    return make_checker()


def observe_outcome(
    checker: InvariantChecker, message_id: int, outcome: Outcome, now: float, retry_after_ms: float = 0.0
) -> None:
    number = len(checker.messages[message_id].attempts) - 1
    is_final = outcome is Outcome.OK
    checker.observe_event(now, AttemptEnded(message_id, number, 11, outcome, 1.0, is_final, retry_after_ms))


def observe_attempt(checker: InvariantChecker, message_id: int, outcome: Outcome, sent_at: float) -> None:
    """Let the checker see a send to endpoint 11 and, 1 ms later, its outcome."""
    checker.observe_action(sent_at, Send(message_id, 11, 4000.0))
    observe_outcome(checker, message_id, outcome, sent_at + 1.0)


def test_checker_catches_a_missing_final_answer(checker: InvariantChecker) -> None:
    with pytest.raises(RuleViolationError, match="lost: no final"):
        checker.check_deadlines(4100.0)


def test_checker_catches_a_send_and_a_second_answer_after_the_end(checker: InvariantChecker) -> None:
    checker.observe_action(1.0, Fail(NON_IDEMPOTENT))
    with pytest.raises(RuleViolationError, match="lost: sent after"):
        checker.observe_action(2.0, SEND)
    with pytest.raises(RuleViolationError, match="lost: a second"):
        checker.observe_action(2.0, Fail(NON_IDEMPOTENT))


def test_checker_catches_two_attempts_in_flight_at_once(checker: InvariantChecker) -> None:
    checker.observe_action(1.0, SEND)
    with pytest.raises(RuleViolationError, match="twice: two attempts"):
        checker.observe_action(2.0, SEND)


def test_checker_catches_a_retry_and_a_rejection_of_what_may_have_run(checker: InvariantChecker) -> None:
    observe_attempt(checker, NON_IDEMPOTENT, Outcome.TIMEOUT, sent_at=1.0)
    with pytest.raises(RuleViolationError, match="twice: non-idempotent"):
        checker.observe_action(4.0, SEND)
    with pytest.raises(RuleViolationError, match="twice: rejected"):
        checker.observe_action(4.0, Reject(NON_IDEMPOTENT))


def test_checker_catches_a_retry_outside_the_zone_or_the_window_of_a_key(checker: InvariantChecker) -> None:
    observe_attempt(checker, DEDUPLICATED, Outcome.RESET, sent_at=5.0)
    with pytest.raises(RuleViolationError, match="twice: outside the zone"):
        checker.observe_action(7.0, Send(DEDUPLICATED, 12, 4000.0))
    with pytest.raises(RuleViolationError, match="twice: outside the deduplication window"):
        checker.observe_action(1100.0, Send(DEDUPLICATED, 11, 4000.0))


def test_checker_catches_a_send_before_an_earlier_message_of_its_key_or_in_the_pause(
    checker: InvariantChecker,
) -> None:
    later = Send(SECOND_IN_ORDER, 11, 4000.0)
    with pytest.raises(RuleViolationError, match="order: an earlier"):
        checker.observe_action(8.0, later)
    observe_attempt(checker, FIRST_IN_ORDER, Outcome.TIMEOUT, sent_at=8.0)
    checker.observe_event(9.0, ClientCancelled(FIRST_IN_ORDER))
    with pytest.raises(RuleViolationError, match="order: its key"):
        checker.observe_action(9.0, later)


def test_checker_catches_a_send_before_a_retry_after_is_over(checker: InvariantChecker) -> None:
    checker.observe_action(1.0, SEND)
    observe_outcome(checker, NON_IDEMPOTENT, Outcome.REJECTED, 2.0, retry_after_ms=500.0)
    with pytest.raises(RuleViolationError, match="wait"):
        checker.observe_action(400.0, SEND)


def test_checker_catches_a_send_to_a_draining_endpoint(checker: InvariantChecker) -> None:
    checker.observe_event(500.0, make_list_changes(Endpoint(11, 1, EndpointStatus.DRAINING)))
    with pytest.raises(RuleViolationError, match="drain"):
        checker.observe_action(800.0, SEND)


def test_checker_catches_more_calls_than_the_slow_start_budget() -> None:
    checker = make_checker(max_attempts=20)
    for now in (1.0, 2.0, 3.0):
        checker.observe_action(now, SEND)
        observe_outcome(checker, NON_IDEMPOTENT, Outcome.CONNECT_FAILED, now)
    checker.observe_action(4.0, Send(FIRST_IN_ORDER, 11, 4000.0))
    observe_outcome(checker, FIRST_IN_ORDER, Outcome.OK, 5.0)

    def send_and_reject() -> None:
        for _ in range(6):
            checker.observe_action(6.0, SEND)
            observe_outcome(checker, NON_IDEMPOTENT, Outcome.REJECTED, 6.0)

    with pytest.raises(RuleViolationError, match="failback"):
        send_and_reject()
