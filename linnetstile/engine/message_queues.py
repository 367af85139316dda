"""The messages of a relay: by id, those that wait by destination, and those in order by key."""

from __future__ import annotations

import heapq

from .pending_message import PendingMessage


class MessageQueues:
    """The messages held: by id, those that wait by destination, and those in order by key."""

    def __init__(self) -> None:
        self.messages: dict[int, PendingMessage] = {}
        self.queues: dict[int, dict[int, PendingMessage]] = {}
        self.due_at: dict[int, float] = {}  # destination -> when its queue is looked at again; 0 = as soon as may be
        self.creation_order: dict[int, int] = {}  # destination -> how many queues had been made before it
        self.due_now: set[int] = set()  # destinations to be looked at as soon as may be
        self.due_heap: list[tuple[float, int]] = []  # heap: looks to come, with such as no longer hold
        self.queues_created = 0
        self.ordered_ids: dict[int, list[int]] = {}

    def add(self, pending: PendingMessage) -> None:
        self.messages[pending.message.id] = pending
        if pending.ordering_key:
            self.ordered_ids.setdefault(pending.ordering_key, []).append(pending.message.id)

    def enqueue(self, pending: PendingMessage) -> None:
        destination = pending.message.destination
        if destination not in self.queues:
            self.queues[destination], self.creation_order[destination] = {}, self.queues_created
            self.queues_created += 1
        self.queues[destination][pending.message.id] = pending
        self.schedule(destination)

    def dequeue(self, pending: PendingMessage) -> None:
        destination = pending.message.destination
        queue = self.queues.get(destination, {})
        queue.pop(pending.message.id, None)
        if not queue and destination in self.queues:
            del self.queues[destination], self.creation_order[destination]
            self.due_at.pop(destination, None)
            self.due_now.discard(destination)

    def remove(self, pending: PendingMessage) -> None:
        del self.messages[pending.message.id]
        self.dequeue(pending)
        if pending.ordering_key:
            line = self.ordered_ids[pending.ordering_key]
            line.remove(pending.message.id)
            if line:
                self.schedule(self.messages[line[0]].message.destination)
            else:
                del self.ordered_ids[pending.ordering_key]

    def blocks_successor(self, pending: PendingMessage) -> bool:
        return bool(pending.ordering_key) and len(self.ordered_ids[pending.ordering_key]) > 1

    def schedule(self, destination: int, at: float = 0.0) -> None:
        """Its queue, if it has one, is to be looked at then."""
        if destination not in self.queues:
            return
        self.due_at[destination] = at
        if at:
            self.due_now.discard(destination)
            heapq.heappush(self.due_heap, (at, destination))
        else:
            self.due_now.add(destination)

    def _advance(self, now: float) -> None:
        """Looks whose time has come, and heads of the heap that no longer hold."""
        while self.due_heap:
            at, destination = self.due_heap[0]
            holds = self.due_at.get(destination) == at
            if holds and at > now:
                return
            heapq.heappop(self.due_heap)
            if holds:
                self.due_now.add(destination)

    def due_destinations(self, now: float) -> list[int]:
        """The destinations to be looked at, those first whose queue has stood longest. Costs what is due."""
        self._advance(now)
        return sorted(self.due_now, key=self.creation_order.__getitem__)

    def next_due_at(self, now: float) -> float | None:
        """When the next one will be due, of those that are not yet."""
        self._advance(now)
        return self.due_heap[0][0] if self.due_heap else None
