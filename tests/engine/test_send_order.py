"""Who is refused when the hold fills: by the turn that each message would have, not by the length of its queue."""

from dataclasses import replace

from linnetstile.engine.events import Message
from linnetstile.engine.pending_message import PendingMessage
from linnetstile.engine.send_order import expected_send_times, urgency
from linnetstile.engine.settings import Effect, MessageClass, Tenant, ValueDecay

from ..conftest import Driver, make_settings

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


def held(ident: int, message_class: MessageClass) -> PendingMessage:
    return PendingMessage(
        Message(ident, 1, 0, message_class.deadline_ms),
        message_class,
        0.0,
        message_class.deadline_ms,
        message_class.priority_weight,
        0.0,
        0.0,
    )


def test_the_turn_goes_by_what_is_sent_first() -> None:
    queue = [held(1, SLOW), held(2, SLOW), held(3, QUICK), held(4, replace(SLOW, priority_weight=2.0))]
    assert expected_send_times(queue, 1000.0, 500.0, ValueDecay.HALF_LIFE) == {
        3: 1500.0,
        4: 2000.0,
        1: 2500.0,
        2: 3000.0,
    }
    assert expected_send_times([], 0.0, 500.0, ValueDecay.LINEAR) == {}


def test_what_waiting_costs_most_comes_first_among_equal_worth() -> None:
    same = replace(QUICK, priority_weight=SLOW.priority_weight)
    assert urgency(held(1, same), 1400.0, ValueDecay.HALF_LIFE) > urgency(held(2, SLOW), 1400.0, ValueDecay.HALF_LIFE)


def paced(**settings: object) -> Driver:
    """Destination 1 is paced at a call a second, and has been called."""
    d = Driver(
        make_settings(classes=(SLOW, QUICK), value_decay=ValueDecay.HALF_LIFE, clients_mark_retries=True, **settings)
    )
    d.listed((11, 1), rate=2.0)
    d.warm_up()
    return d


def test_a_message_that_goes_next_is_not_refused_for_the_length_of_its_queue() -> None:
    d = paced(max_pending_messages=14)
    slow = [d.message(0, left=16000.0) for _ in range(11)]
    assert not set(slow) & set(d.ended) and len(d.relay.queues.queues[1]) > 8
    quick = d.message(1, left=8000.0)  # the queue takes longer than this to drain, but this one is sent first
    assert quick not in d.ended and len(set(slow) & set(d.ended)) == 1
    d.pass_time(2500)
    assert d.tries.get(quick) == 1


def test_a_repeat_is_not_charged_to_its_tenant_again() -> None:
    """Clients come again for what was refused, several times while destinations are shut: their first tries have been
    charged, and new messages of the tenant are inside its share still."""
    tenants = (Tenant("a", 4.0), Tenant("b", 4.0))
    d = paced(max_pending_messages=100, tenants=tenants, over_quota_value_factor=0.1)
    d.pass_time(3000)
    for again, dead in ((True, False), (False, True), (True, False), (True, False), (True, False)):
        d.ids += 1
        d.feed(Message(d.ids, 1, 0, 9000.0, 0, is_retry=again, from_dead_relay=dead))
    new = d.message(0, left=16000.0)
    assert d.relay.queues.messages[new].priority_weight == SLOW.priority_weight
    more = [d.message(0, left=16000.0) for _ in range(4)]  # new ones are charged
    assert [d.relay.queues.messages[ident].priority_weight for ident in more] == [1.0, 1.0, 1.0, 0.1]


def test_a_share_of_less_than_half_a_message_a_second_is_a_share_still() -> None:
    """Of many relays each has a small part of it. Two seconds of that were saved up at most: less than one message, so
    that every message of the tenant counted as over its share."""
    d = paced(max_pending_messages=100, relay_count=200, tenants=(Tenant("small", 40.0),), over_quota_value_factor=0.1)
    d.pass_time(20_000, 1000)
    worth = []
    for _ in range(4):  # one in 5 s is inside a share of 0.2 a second
        worth += [d.relay.queues.messages[d.message(0, left=16000.0)].priority_weight for _ in range(2)]
        d.pass_time(5100, 100)
    assert worth == [1.0, 0.1] * 4
