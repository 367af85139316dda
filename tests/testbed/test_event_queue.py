"""The queue of events on a simulated clock."""

from __future__ import annotations

from linnetstile.testbed.scale.event_queue import EventQueue


def test_events_come_in_the_order_of_their_times_and_then_of_their_addition() -> None:
    queue: EventQueue[str] = EventQueue()
    for at_ms, event in ((2.0, "late"), (1.0, "first"), (1.0, "second")):
        queue.add(at_ms, event)
    popped = [queue.pop_before(10.0) for _ in range(3)]
    assert [(due.at_ms, due.serial, due.event) for due in popped if due] == [
        (1.0, 2, "first"),
        (1.0, 3, "second"),
        (2.0, 1, "late"),
    ]
    assert queue.pop_before(10.0) is None


def test_an_event_at_the_end_stays_in_the_queue() -> None:
    queue: EventQueue[str] = EventQueue()
    queue.add(5.0, "end")
    assert queue.pop_before(5.0) is None
    due = queue.pop_before(5.1)
    assert due is not None
    assert due.event == "end"


def test_a_cleared_queue_is_empty_and_goes_on_counting() -> None:
    queue: EventQueue[str] = EventQueue()
    queue.add(1.0, "dropped")
    queue.clear()
    assert queue.pop_before(2.0) is None
    queue.add(1.0, "kept")
    due = queue.pop_before(2.0)
    assert due is not None
    assert due.serial == 2
