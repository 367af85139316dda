"""Load shedding by expected send time, value and tenant quota, and the order of sending that it depends on."""

from __future__ import annotations

from dataclasses import replace

import pytest

from linnetstile.engine.events import EndpointStatus, Message
from linnetstile.engine.pending_message import PendingMessage
from linnetstile.engine.send_order import expected_send_times, urgency
from linnetstile.engine.settings import Effect, MessageClass, Tenant, ValueDecay

from ..conftest import EngineHarness, make_endpoint, make_settings

SLOW = MessageClass(
    "slow", Effect.IDEMPOTENT, latency_objective_ms=4000.0, deadline_ms=16000.0, late_value_fraction=0.5
)
QUICK = MessageClass(
    "quick",
    Effect.IDEMPOTENT,
    latency_objective_ms=1500.0,
    deadline_ms=8000.0,
    priority_weight=4.0,
    late_value_fraction=0.1,
)


def make_pending(message_id: int, message_class: MessageClass) -> PendingMessage:
    """Return a message that was submitted just now."""
    return PendingMessage(
        Message(message_id, 1, 0, message_class.deadline_ms),
        message_class,
        0.0,
        message_class.deadline_ms,
        message_class.priority_weight,
        0.0,
        0.0,
    )


def test_expected_send_times_follow_the_order_of_sending() -> None:
    queue = [
        make_pending(1, SLOW),
        make_pending(2, SLOW),
        make_pending(3, QUICK),
        make_pending(4, replace(SLOW, priority_weight=2.0)),
    ]
    assert expected_send_times(queue, 1000.0, 500.0, ValueDecay.HALF_LIFE) == {
        3: 1500.0,
        4: 2000.0,
        1: 2500.0,
        2: 3000.0,
    }
    assert expected_send_times([], 0.0, 500.0, ValueDecay.LINEAR) == {}


def test_message_that_loses_its_value_sooner_is_more_urgent_among_equal_weights() -> None:
    quick_of_equal_weight = make_pending(1, replace(QUICK, priority_weight=SLOW.priority_weight))
    slow = make_pending(2, SLOW)
    assert urgency(quick_of_equal_weight, 1400.0, ValueDecay.HALF_LIFE) > urgency(slow, 1400.0, ValueDecay.HALF_LIFE)


def rate_limited_harness(**overrides: object) -> EngineHarness:
    """Return a harness whose destination 1 was called before and is limited to one call a second."""
    settings = make_settings(
        classes=(SLOW, QUICK), value_decay=ValueDecay.HALF_LIFE, clients_mark_retries=True, **overrides
    )
    harness = EngineHarness(settings)
    harness.list_endpoints((11, 1), advertised_rate=2.0)
    harness.warm_up()
    return harness


def priority_weight(harness: EngineHarness, message_id: int) -> float:
    """Return the weight of a pending message, which is lowered if its tenant exceeded its quota."""
    return harness.engine.queues.messages[message_id].priority_weight


def test_message_that_is_sent_next_is_not_shed_although_its_queue_is_long() -> None:
    harness = rate_limited_harness(max_pending_messages=14)
    slow = [harness.submit(0, remaining_ms=16000.0) for _ in range(11)]
    assert not set(slow) & set(harness.final_answers)
    assert len(harness.engine.queues.queues[1]) > 8
    # The whole queue takes longer than 8 s, but this message is sent first.
    quick = harness.submit(1, remaining_ms=8000.0)
    assert quick not in harness.final_answers
    assert len(set(slow) & set(harness.final_answers)) == 1
    harness.advance(2500)
    assert harness.attempts.get(quick) == 1


def test_retry_is_not_charged_to_its_tenant_again() -> None:
    """Clients may submit a rejected message again several times in an outage. Only its first submission is charged,
    and new messages of the tenant stay within its quota."""
    tenants = (Tenant("a", 4.0), Tenant("b", 4.0))
    harness = rate_limited_harness(max_pending_messages=100, tenants=tenants, over_quota_value_factor=0.1)
    harness.advance(3000)
    marks = [{"is_retry": True}, {"from_dead_relay": True}, *[{"is_retry": True}] * 3]
    for mark in marks:
        harness.last_id += 1
        harness.handle(Message(harness.last_id, 1, 0, 9000.0, **mark))
    new = harness.submit(0, remaining_ms=16000.0)
    assert priority_weight(harness, new) == SLOW.priority_weight
    later = [harness.submit(0, remaining_ms=16000.0) for _ in range(4)]  # new messages are charged
    assert [priority_weight(harness, message_id) for message_id in later] == [1.0, 1.0, 1.0, 0.1]


def test_quota_of_less_than_half_a_message_a_second_still_admits_messages() -> None:
    """Each of many relays has a small part of a quota. When the bucket held two seconds of that part, which is less
    than one message, every message of the tenant counted as over its quota."""
    harness = rate_limited_harness(
        max_pending_messages=100, relay_count=200, tenants=(Tenant("small", 40.0),), over_quota_value_factor=0.1
    )
    harness.advance(20_000, 1000)
    weights = []
    for _ in range(4):  # one in 5 s is within a quota of 0.2 a second
        weights += [priority_weight(harness, harness.submit(0, remaining_ms=16000.0)) for _ in range(2)]
        harness.advance(5100, 100)
    assert weights == [1.0, 0.1] * 4


@pytest.mark.parametrize("objective_ms", [1000.0, 400.0, 2000.0])
def test_message_with_more_time_than_its_class_keeps_the_late_value_after_the_deadline_of_its_class(
    objective_ms: float,
) -> None:
    # Guards against ZeroDivisionError in each turn where the objective of a class is its deadline.
    message_class = replace(SLOW, latency_objective_ms=objective_ms, deadline_ms=1000.0)
    harness = EngineHarness(make_settings(classes=(message_class,), clients_mark_retries=True))
    harness.list_endpoints((21, 2))
    harness.change_endpoints(make_endpoint(11, 1, EndpointStatus.DRAINING))
    waiting = harness.submit(remaining_ms=3000.0)
    pending = harness.engine.queues.messages[waiting]
    harness.advance(2400)
    other = harness.submit(destination=2, remaining_ms=1000.0)
    assert harness.attempts.get(other) == 1
    assert pending.value_at(harness.now, ValueDecay.LINEAR) == 0.5
    harness.change_endpoints(make_endpoint(11, 1))
    harness.advance(300)
    assert harness.attempts.get(waiting) == 1
