"""The pending messages of a relay: by id, queued by destination, in order by ordering key, and with their expiry."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from .pending_message import PendingMessage


class QueueCheck(NamedTuple):
    """The time at which a queue is to be checked for messages that may be sent."""

    at: float
    destination: int


class MessageExpiry(NamedTuple):
    """The time at which a message expires, unless it is in flight then."""

    at: float
    message_id: int


class MessageQueues:
    """Owns all pending messages, and knows when a queue is due to be checked and when a message expires.

    Attributes:
        messages: All pending messages by id.
        queues: Destination -> its queued messages by id, in the order in which they were enqueued.
        due_at: Destination -> when its queue is checked next; 0 = with the next batch of events.
        creation_order: Destination -> sequence number of its queue, counted from 0 in the order of creation.
        due_now: Destinations whose queue is checked with the next batch of events.
        due_heap: Heap of later queue checks; an entry that differs from `due_at` is obsolete.
        ordered_ids: Ordering key -> ids of its messages in the order of arrival.
        expiry_heap: Heap of message expiries; the entry of a message that has ended is obsolete.
    """

    def __init__(self) -> None:
        self.messages: dict[int, PendingMessage] = {}
        self.queues: dict[int, dict[int, PendingMessage]] = {}
        self.due_at: dict[int, float] = {}
        self.creation_order: dict[int, int] = {}
        self.due_now: set[int] = set()
        self.due_heap: list[QueueCheck] = []
        self.ordered_ids: dict[int, list[int]] = {}
        self.expiry_heap: list[MessageExpiry] = []
        self._queues_created = 0

    def add(self, pending: PendingMessage) -> None:
        """Add a message without enqueueing it."""
        self.messages[pending.message.id] = pending
        if pending.ordering_key:
            self.ordered_ids.setdefault(pending.ordering_key, []).append(pending.message.id)

    def enqueue(self, pending: PendingMessage) -> None:
        """Append a message to the queue of its destination, where it waits to be sent until its `latest_send_at`."""
        self.schedule_expiry(pending.message.id, pending.latest_send_at)
        destination = pending.message.destination
        if destination not in self.queues:
            self.queues[destination] = {}
            self.creation_order[destination] = self._queues_created
            self._queues_created += 1
        self.queues[destination][pending.message.id] = pending
        self.schedule(destination)

    def dequeue(self, pending: PendingMessage) -> None:
        """Remove a message from its queue, if it is queued."""
        destination = pending.message.destination
        queue = self.queues.get(destination, {})
        queue.pop(pending.message.id, None)
        if not queue and destination in self.queues:
            del self.queues[destination]
            del self.creation_order[destination]
            self.due_at.pop(destination, None)
            self.due_now.discard(destination)

    def remove(self, pending: PendingMessage) -> None:
        """Remove a message that has ended; the next message of its ordering key may then be sent."""
        del self.messages[pending.message.id]
        self.dequeue(pending)
        if not pending.ordering_key:
            return
        ids = self.ordered_ids[pending.ordering_key]
        ids.remove(pending.message.id)
        if ids:
            self.schedule(self.messages[ids[0]].message.destination)
        else:
            del self.ordered_ids[pending.ordering_key]

    def blocks_successor(self, pending: PendingMessage) -> bool:
        """Return whether other messages of the same ordering key wait until this one has ended."""
        key = pending.ordering_key
        return key != 0 and len(self.ordered_ids[key]) > 1

    def schedule(self, destination: int, at: float = 0.0) -> None:
        """Schedule the next check of a destination's queue, if it has one; 0 = with the next batch of events."""
        if destination not in self.queues:
            return
        self.due_at[destination] = at
        if at:
            self.due_now.discard(destination)
            heapq.heappush(self.due_heap, QueueCheck(at, destination))
        else:
            self.due_now.add(destination)

    def due_destinations(self, now: float) -> list[int]:
        """Return the destinations whose queue is due, the oldest queue first. Queues that are not due cost no work."""
        self._collect_due(now)
        return sorted(self.due_now, key=self.creation_order.__getitem__)

    def next_due_at(self, now: float) -> float | None:
        """Return when the next of the queues that are not due yet becomes due; None if there is none."""
        self._collect_due(now)
        return self.due_heap[0].at if self.due_heap else None

    def _collect_due(self, now: float) -> None:
        """Move checks whose time has come to `due_now`, and drop obsolete entries from the head of the heap."""
        while self.due_heap:
            check = self.due_heap[0]
            is_valid = self.due_at.get(check.destination) == check.at
            if is_valid and check.at > now:
                return
            heapq.heappop(self.due_heap)
            if is_valid:
                self.due_now.add(check.destination)

    def schedule_expiry(self, message_id: int, at: float) -> None:
        """Schedule the expiry of a message, which applies unless the message has ended or is in flight then."""
        heapq.heappush(self.expiry_heap, MessageExpiry(at, message_id))

    def pop_expired(self, now: float) -> Iterator[PendingMessage]:
        """Yield the messages that have expired; a message in flight is left out, as its outcome is still to come."""
        while self.expiry_heap and self.expiry_heap[0].at <= now:
            expiry = heapq.heappop(self.expiry_heap)
            pending = self.messages.get(expiry.message_id)
            if pending is not None and pending.call is None:
                yield pending

    def next_expiry_at(self) -> float | None:
        """Return when the next message may expire; None if no expiry is scheduled."""
        return self.expiry_heap[0].at if self.expiry_heap else None
