"""Random legal events against the engine, watched by the checker; and the checker against each violation."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from linnetstile.engine.actions import Fail, Reject, Send, SetTimer
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

from .conftest import make_settings
from .invariant_checker import InvariantChecker, RuleViolationError

OUTCOMES = [o for o in Outcome if o is not Outcome.NOT_SENT]


@st.composite
def setups(draw: st.DrawFn) -> Settings:
    def cls(effect: Effect, scope: DeduplicationScope, ordered: bool) -> MessageClass:
        return MessageClass("c", effect, 400.0, 4000.0, 1.0, 0.5, 1200.0, scope, ordered)

    classes = draw(
        st.lists(
            st.builds(
                cls,
                st.sampled_from(Effect),
                st.sampled_from([DeduplicationScope.ALL, DeduplicationScope.ZONE]),
                st.booleans(),
            ),
            min_size=1,
            max_size=3,
        )
    )
    return make_settings(
        classes=tuple(classes),
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


@settings(max_examples=150)
@given(setups(), st.integers(0, 2**32))
def test_no_rule_breaks_under_legal_events(setup: Settings, seed: int) -> None:
    rng = random.Random(seed)
    relay, checker, now = DeliveryEngine(setup, 5), InvariantChecker(setup), 500.0
    out: dict[tuple[int, int], Send] = {}
    tries: dict[int, int] = {}
    timers: list[float] = []
    names = [(11, 1, 0), (12, 1, 1), (13, 2, 0)]
    listed = [Endpoint(e, harness, EndpointStatus.READY, 0, z, 20.0) for e, harness, z in names]
    events: list[Event] = [EndpointList(ListKind.CACHED, tuple(listed))]
    message_ids, mood = 0, 0.2
    for step in range(160):
        for event in events:
            checker.observe_event(now, event)
        for action in relay.handle(now, events):
            checker.observe_action(now, action)
            if isinstance(action, Reject):
                left = max(0.0, checker.messages[action.id].deadline - now)
                assert 0 <= action.retry_after_ms <= min(setup.max_retry_after_ms, left)
            if isinstance(action, Send):
                number = tries.get(action.id, 0)
                tries[action.id] = number + 1
                out[action.id, number] = action
            elif isinstance(action, SetTimer):
                timers.append(now + action.delay_ms)
        coming = [t for t in [*timers, *(send.timeout_at_ms for send in out.values())] if t > now]
        now = min(coming, default=now + 25.0) if rng.random() < 0.8 else now + 5.0
        events = [TimerFired(0)] if any(t <= now for t in timers) else []
        timers = [t for t in timers if t > now]
        if step % 20 == 0:
            mood = rng.choice([0.0, 0.2, 0.9])
        for (message_id, number), send in list(out.items()):
            if now >= send.timeout_at_ms or rng.random() < 0.15:
                outcome = rng.choice(OUTCOMES) if rng.random() < mood else Outcome.OK
                outcome = Outcome.TIMEOUT if now >= send.timeout_at_ms else outcome
                wait = rng.choice([0.0, 300.0]) if outcome is Outcome.REJECTED else 0.0
                finished = outcome is Outcome.OK or checker.messages[message_id].has_ended
                del out[message_id, number]
                report = (rng.random(), 20.0) if setup.load_report_fields else ()
                events.append(
                    AttemptEnded(message_id, number, send.endpoint, outcome, 80.0, finished, wait, load_report=report)
                )
        if rng.random() < 0.4 and step < 120:
            message_ids += 1
            events.append(
                Message(
                    message_ids,
                    rng.choice([1, 2, 3]),
                    rng.randrange(len(setup.classes)),
                    rng.choice([300.0, 2000.0, 4000.0]),
                    0,
                    rng.choice([0, 7, 8]),
                )
            )
        if rng.random() < 0.03:
            kind = rng.choice(list(ListKind))
            part = rng.sample(listed, 2)
            state = rng.choice(list(EndpointStatus)) if kind is ListKind.CHANGES else EndpointStatus.READY
            entries = tuple(Endpoint(e.id, e.destination, state, 0, e.zone, e.advertised_rate) for e in part)
            events.append(EndpointList(kind, () if kind is ListKind.FAILED else entries))
        if rng.random() < 0.02 and any(not seen.has_ended for seen in checker.messages.values()):
            message_id = next(i for i, seen in checker.messages.items() if not seen.has_ended)
            events.append(ClientCancelled(message_id))
            checker.messages[message_id].has_ended = True
        checker.check_deadlines(now - 60.0)  # a step may be longer than the slack


def observed_checker(**more: Any) -> InvariantChecker:
    classes = (
        MessageClass("u", Effect.NON_IDEMPOTENT, 400.0, 4000.0),
        MessageClass("k", Effect.DEDUPLICATED, 400.0, 4000.0, 1.0, 0.0, 1000.0, DeduplicationScope.ZONE),
        MessageClass("o", Effect.IDEMPOTENT, 400.0, 4000.0, in_order=True),
    )
    checker = InvariantChecker(make_settings(classes=classes, **more))
    checker.observe_event(
        0.0,
        EndpointList(
            ListKind.CACHED, tuple(Endpoint(e, 1, EndpointStatus.READY, 0, z, 2.0) for e, z in ((11, 0), (12, 1)))
        ),
    )
    for message_id, class_index in enumerate([0, 1, 2, 2]):
        checker.observe_event(0.0, Message(message_id, 1, class_index, 4000.0, 0, 7))
    return checker


def observe_outcome(checker: InvariantChecker, message_id: int, outcome: Outcome, at: float, wait: float = 0.0) -> None:
    number = len(checker.messages[message_id].attempts) - 1
    checker.observe_event(at, AttemptEnded(message_id, number, 11, outcome, 1.0, outcome is Outcome.OK, wait))


def send_and_reject(checker: InvariantChecker, send: Send, at: float, times: int) -> None:
    for _ in range(times):
        checker.observe_action(at, send)
        observe_outcome(checker, send.id, Outcome.REJECTED, at)


def test_the_checker_catches_a_violation_of_each_rule() -> None:
    send = Send(0, 11, 4000.0)
    checker = observed_checker()
    with pytest.raises(RuleViolationError, match="lost: no final"):
        checker.check_deadlines(4100.0)
    checker.observe_action(1.0, Fail(0))
    with pytest.raises(RuleViolationError, match="lost: sent after"):
        checker.observe_action(2.0, send)
    with pytest.raises(RuleViolationError, match="lost: a second"):
        checker.observe_action(2.0, Fail(0))
    checker = observed_checker()
    checker.observe_action(1.0, send)
    with pytest.raises(RuleViolationError, match="twice: two attempts"):
        checker.observe_action(2.0, send)
    observe_outcome(checker, 0, Outcome.TIMEOUT, 3.0)
    with pytest.raises(RuleViolationError, match="twice: unsafe"):
        checker.observe_action(4.0, send)
    with pytest.raises(RuleViolationError, match="twice: refused"):
        checker.observe_action(4.0, Reject(0))
    checker.observe_action(5.0, Send(1, 11, 4000.0))
    observe_outcome(checker, 1, Outcome.RESET, 6.0)
    with pytest.raises(RuleViolationError, match="twice: outside the key's zone"):
        checker.observe_action(7.0, Send(1, 12, 4000.0))
    with pytest.raises(RuleViolationError, match="twice: outside the key's window"):
        checker.observe_action(1100.0, Send(1, 11, 4000.0))
    with pytest.raises(RuleViolationError, match="order: an earlier"):
        checker.observe_action(8.0, Send(3, 11, 4000.0))
    checker.observe_action(8.0, Send(2, 11, 4000.0))
    observe_outcome(checker, 2, Outcome.TIMEOUT, 8.5)
    checker.observe_event(8.5, ClientCancelled(2))
    with pytest.raises(RuleViolationError, match="order: its key"):
        checker.observe_action(9.0, Send(3, 11, 4000.0))
    checker = observed_checker()
    checker.observe_action(1.0, send)
    observe_outcome(checker, 0, Outcome.REJECTED, 2.0, wait=500.0)
    with pytest.raises(RuleViolationError, match="wait"):
        checker.observe_action(400.0, send)
    checker.observe_event(500.0, EndpointList(ListKind.CHANGES, (Endpoint(11, 1, EndpointStatus.DRAINING),)))
    with pytest.raises(RuleViolationError, match="drain"):
        checker.observe_action(800.0, send)
    checker = observed_checker(max_attempts=20)
    for at in (1.0, 2.0, 3.0):
        checker.observe_action(at, send)
        observe_outcome(checker, 0, Outcome.CONNECT_FAILED, at)
    checker.observe_action(4.0, Send(2, 11, 4000.0))
    observe_outcome(checker, 2, Outcome.OK, 5.0)
    with pytest.raises(RuleViolationError, match="failback"):
        send_and_reject(checker, send, at=6.0, times=6)
