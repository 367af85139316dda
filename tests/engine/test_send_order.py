"""Which message is shed when the relay is full: by its expected time of sending, not by the length of its queue."""

from dataclasses import replace

from linnetstile.engine.events import Message
from linnetstile.engine.pending_message import PendingMessage
from linnetstile.engine.send_order import expected_send_times, urgency
from linnetstile.engine.settings import Effect, MessageClass, Tenant, ValueDecay

from ..conftest import EngineHarness, make_settings

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


def pending(message_id: int, message_class: MessageClass) -> PendingMessage:
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
    queue = [pending(1, SLOW), pending(2, SLOW), pending(3, QUICK), pending(4, replace(SLOW, priority_weight=2.0))]
    assert expected_send_times(queue, 1000.0, 500.0, ValueDecay.HALF_LIFE) == {
        3: 1500.0,
        4: 2000.0,
        1: 2500.0,
        2: 3000.0,
    }
    assert expected_send_times([], 0.0, 500.0, ValueDecay.LINEAR) == {}


def test_among_equal_values_the_one_that_waiting_costs_most_comes_first() -> None:
    same = replace(QUICK, priority_weight=SLOW.priority_weight)
    assert urgency(pending(1, same), 1400.0, ValueDecay.HALF_LIFE) > urgency(
        pending(2, SLOW), 1400.0, ValueDecay.HALF_LIFE
    )


def rate_limited(**settings: object) -> EngineHarness:
    """Destination 1 is paced at a call a second, and has been called."""
    harness = EngineHarness(
        make_settings(classes=(SLOW, QUICK), value_decay=ValueDecay.HALF_LIFE, clients_mark_retries=True, **settings)
    )
    harness.list_endpoints((11, 1), advertised_rate=2.0)
    harness.warm_up()
    return harness


def test_a_message_that_goes_next_is_not_shed_for_the_length_of_its_queue() -> None:
    harness = rate_limited(max_pending_messages=14)
    slow = [harness.submit(0, remaining_ms=16000.0) for _ in range(11)]
    assert not set(slow) & set(harness.final_answers)
    assert len(harness.engine.queues.queues[1]) > 8
    quick = harness.submit(
        1, remaining_ms=8000.0
    )  # the queue takes longer than this to drain, but this one is sent first
    assert quick not in harness.final_answers
    assert len(set(slow) & set(harness.final_answers)) == 1
    harness.advance(2500)
    assert harness.attempts.get(quick) == 1


def test_a_retry_is_not_charged_to_its_tenant_again() -> None:
    """Clients come again for what was refused, several times while destinations are shut: their first tries have been
    charged, and new messages of the tenant are inside its share still."""
    tenants = (Tenant("a", 4.0), Tenant("b", 4.0))
    harness = rate_limited(max_pending_messages=100, tenants=tenants, over_quota_value_factor=0.1)
    harness.advance(3000)
    for again, dead in ((True, False), (False, True), (True, False), (True, False), (True, False)):
        harness.last_id += 1
        harness.handle(Message(harness.last_id, 1, 0, 9000.0, 0, is_retry=again, from_dead_relay=dead))
    new = harness.submit(0, remaining_ms=16000.0)
    assert harness.engine.queues.messages[new].priority_weight == SLOW.priority_weight
    more = [harness.submit(0, remaining_ms=16000.0) for _ in range(4)]  # new ones are charged
    assert [harness.engine.queues.messages[message_id].priority_weight for message_id in more] == [1.0, 1.0, 1.0, 0.1]


def test_a_quota_of_less_than_half_a_message_a_second_still_admits_messages() -> None:
    """Of many relays each has a small part of it. Two seconds of that were saved up at most: less than one message, so
    that every message of the tenant counted as over its share."""
    harness = rate_limited(
        max_pending_messages=100, relay_count=200, tenants=(Tenant("small", 40.0),), over_quota_value_factor=0.1
    )
    harness.advance(20_000, 1000)
    weights = []
    for _ in range(4):  # one in 5 s is inside a share of 0.2 a second
        weights += [
            harness.engine.queues.messages[harness.submit(0, remaining_ms=16000.0)].priority_weight for _ in range(2)
        ]
        harness.advance(5100, 100)
    assert weights == [1.0, 0.1] * 4
