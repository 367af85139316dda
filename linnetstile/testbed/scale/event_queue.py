"""Priority queue of the events of a simulation, ordered by simulated time."""

from __future__ import annotations

import heapq
from typing import Generic, NamedTuple, TypeVar

E = TypeVar("E")


class DueEvent(NamedTuple, Generic[E]):
    """An event, its time in simulated ms, and its serial number in the order in which events were added."""

    at_ms: float
    serial: int
    event: E


class EventQueue(Generic[E]):
    """Events in order of their times; events at the same time in the order in which they were added."""

    def __init__(self) -> None:
        self._heap: list[DueEvent[E]] = []
        self._added = 0

    def add(self, at_ms: float, event: E) -> None:
        """Add an event that is due at `at_ms`."""
        self._added += 1
        heapq.heappush(self._heap, DueEvent(at_ms, self._added, event))

    def pop_before(self, end_ms: float) -> DueEvent[E] | None:
        """Remove and return the earliest event; None if no event is due before `end_ms`."""
        if not self._heap or self._heap[0].at_ms >= end_ms:
            return None
        return heapq.heappop(self._heap)

    def clear(self) -> None:
        """Remove all events; the serial numbers continue."""
        self._heap.clear()
