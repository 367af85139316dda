"""Queues of pending messages: when each queue is due, and in which order."""

from __future__ import annotations

import random

from linnetstile.engine.message_queues import MessageQueues


def test_due_queues_come_in_the_order_of_their_creation() -> None:
    rng, queues = random.Random(5), MessageQueues()
    due_at: dict[int, float] = {}  # by destination, in the order of creation
    for destination in rng.sample(range(50), 50):
        queues.queues[destination], queues.creation_order[destination] = {}, len(due_at)
        due_at[destination] = 0.0
        queues.schedule(destination)
    for now in range(1, 400):
        assert queues.due_destinations(float(now)) == [
            destination for destination, time_ms in due_at.items() if time_ms <= now
        ]
        later = [time_ms for time_ms in due_at.values() if time_ms > now]
        assert queues.next_due_at(float(now)) == (min(later) if later else None)
        for destination in rng.sample(list(due_at), 9):
            due_at[destination] = rng.choice((0.0, now + rng.randrange(1, 30)))
            queues.schedule(destination, due_at[destination])
