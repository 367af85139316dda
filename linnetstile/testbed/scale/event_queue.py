"""The queue of events on a simulated clock."""

from __future__ import annotations

import heapq
from typing import Generic, NamedTuple, TypeVar

E = TypeVar("E")


class DueEvent(NamedTuple, Generic[E]):
    """An event, its time in simulated ms, and its number in the order in which the events were added."""

    at_ms: float
    serial: int
    event: E


class EventQueue(Generic[E]):
    """Events in the order of their times; those of one moment in the order in which they were added."""

    def __init__(self) -> None:
        self._heap: list[DueEvent[E]] = []
        self._added = 0

    def add(self, at_ms: float, event: E) -> None:
        """Add an event at a moment."""
        self._added += 1
        heapq.heappush(self._heap, DueEvent(at_ms, self._added, event))

    def pop_before(self, end_ms: float) -> DueEvent[E] | None:
        """Remove and return the next event; None if there is none before `end_ms`."""
        if not self._heap or self._heap[0].at_ms >= end_ms:
            return None
        return heapq.heappop(self._heap)

    def clear(self) -> None:
        """Drop all events."""
        self._heap.clear()
