"""Data structures for the deadlines and the transfer rates of many connections, compared with the plain ones.

    python -m benchmarks.timers [--connections 50000] [--seconds 60] [--json FILE]

Each connection has a deadline ten seconds after its last touch. Touches fall on random connections, in each second 0.6
times as many as there are connections. One connection in a hundred is never touched and expires, as do some others that
were not drawn in time. The structures are compared by processor time for the same simulated minute, with a check for
expired deadlines four times a second. They expire the same connections at the same checks; the exception is
`LoopTimers`. A second comparison measures the rate of each connection over a window, with a meter of two numbers, with
a ring of ten counters, and with a list of all reads. One process, no I/O.
"""

from __future__ import annotations

import asyncio
import heapq
import random
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, ClassVar, NamedTuple, Protocol

from benchmarks.common import argument_parser, print_result
from linnetstile.engine.minimum_rate import MinimumRateMeter

TIMEOUT_S = 10.0
STEP_S = 0.25
"""Simulated time between two steps; each has touches, then a check for expired deadlines."""
TOUCHED_SHARE = 0.6
"""Number of touches a second, as a share of the connections."""
UNTOUCHED_INTERVAL = 100
"""One connection in this many is never touched."""

WINDOW_MS = 5000
MINIMUM_BYTES_PER_S = 1024.0
RING_SLOTS = 10
SLOT_MS = 500
MINIMUM_BYTES = 1024 * 5
"""Number of bytes in a window below which a connection is too slow."""
RATE_STEPS = 40
RATE_STEP_MS = 250.0
STEP_BYTES = 300
READS_IN_WINDOW = 20
"""Number of reads in a window, with one read in each step of `RATE_STEP_MS`."""
FLOAT_BYTES = 24
"""Size of the time in each read; the byte count is one object that all reads share."""


class LinearScan:
    """Checks the deadline of every connection in each step, as net/server.py does."""

    result_name: ClassVar[str] = "plain"

    def __init__(self, count: int) -> None:
        """Start with `count` connections, all touched at time 0."""
        self.deadlines = dict.fromkeys(range(count), TIMEOUT_S)

    def touch(self, connection: int, now: float) -> None:
        """Move a deadline, if the connection has not expired."""
        if connection in self.deadlines:
            self.deadlines[connection] = now + TIMEOUT_S

    def expire(self, now: float) -> list[int]:
        """Remove and return the connections whose deadline has passed."""
        expired = [connection for connection, due in self.deadlines.items() if due <= now]
        for connection in expired:
            del self.deadlines[connection]
        return expired


class DeadlineHeap(LinearScan):
    """A heap with one entry per connection; a moved deadline is noticed when its entry reaches the top."""

    result_name = "heap"

    def __init__(self, count: int) -> None:
        super().__init__(count)
        self.heap = [(TIMEOUT_S, connection) for connection in range(count)]

    def expire(self, now: float) -> list[int]:
        """Remove and return the connections whose deadline has passed."""
        expired = []
        while self.heap and self.heap[0][0] <= now:
            connection = self.heap[0][1]
            due = self.deadlines[connection]
            if due > now:
                heapq.heapreplace(self.heap, (due, connection))
            else:
                heapq.heappop(self.heap)
                del self.deadlines[connection]
                expired.append(connection)
        return expired


class TimingWheel(LinearScan):
    """A hierarchical timing wheel (Varghese and Lauck, 1987): slots of one step, 64 slots a level, three levels.

    A moved deadline is noticed when its slot is due.
    """

    result_name = "wheel"
    SIZE = 64
    LEVELS = 3

    def __init__(self, count: int) -> None:
        super().__init__(count)
        self.tick = 0
        self.slots: list[list[list[int]]] = [[[] for _ in range(self.SIZE)] for _ in range(self.LEVELS)]
        for connection in range(count):
            self._put(connection, TIMEOUT_S)

    def _put(self, connection: int, due: float) -> None:
        ticks_ahead = max(1, int(-(-due // STEP_S)) - self.tick)
        for level in range(self.LEVELS):
            span = self.SIZE ** (level + 1)
            if ticks_ahead < span or level == self.LEVELS - 1:
                slot = (self.tick + min(ticks_ahead, span - 1)) // self.SIZE**level % self.SIZE
                self.slots[level][slot].append(connection)
                return

    def expire(self, now: float) -> list[int]:
        """Remove and return the connections whose deadline has passed."""
        expired = []
        last_tick = int(now / STEP_S)
        while self.tick < last_tick:
            self.tick += 1
            self._cascade()
            slot = self.tick % self.SIZE
            due_now = self.slots[0][slot]
            self.slots[0][slot] = []
            for connection in due_now:
                due = self.deadlines[connection]
                if due > now:
                    self._put(connection, due)
                else:
                    del self.deadlines[connection]
                    expired.append(connection)
        return expired

    def _cascade(self) -> None:
        """Move the connections in due slots of the upper levels to lower levels."""
        for level in range(1, self.LEVELS):
            if self.tick % self.SIZE**level == 0:
                slot = self.tick // self.SIZE**level % self.SIZE
                moved = self.slots[level][slot]
                self.slots[level][slot] = []
                for connection in moved:
                    self._put(connection, self.deadlines[connection])


class LoopTimers(LinearScan):
    """A timer of the event loop for each connection, cancelled and created again at each touch.

    Expired connections are collected only once a second, so some that the other structures have expired at once are
    touched before that and stay.
    """

    result_name = "handles"

    def __init__(self, count: int) -> None:
        super().__init__(count)
        # The loop does not run: `expire` does the upkeep of its private timer queue, so that it is timed.
        self.loop: Any = asyncio.new_event_loop()
        self.handles = {connection: self.loop.call_at(TIMEOUT_S, int) for connection in range(count)}

    def touch(self, connection: int, now: float) -> None:
        """Move a deadline, if the connection has not expired."""
        if connection in self.deadlines:
            super().touch(connection, now)
            self.handles[connection].cancel()
            self.handles[connection] = self.loop.call_at(now + TIMEOUT_S, int)

    def expire(self, now: float) -> list[int]:
        """Remove and return the connections whose deadline has passed."""
        # The event loop removes cancelled timers if there are more than 100 timers and over half of them are cancelled.
        # Here only the second condition is checked.
        heap: list[Any] = self.loop._scheduled  # noqa: SLF001 (see __init__)
        if self.loop._timer_cancelled_count * 2 > len(heap):  # noqa: SLF001 (see __init__)
            scheduled = [handle for handle in heap if not handle._cancelled]  # noqa: SLF001 (as the loop does it)
            heapq.heapify(scheduled)
            self.loop._scheduled = scheduled  # noqa: SLF001 (see __init__)
            self.loop._timer_cancelled_count = 0  # noqa: SLF001 (see __init__)
        while heap and heap[0]._when <= now:  # noqa: SLF001 (as the loop does it)
            heapq.heappop(heap)
        expired = [connection for connection, due in self.deadlines.items() if due <= now] if now % 1 == 0 else []
        for connection in expired:
            del self.deadlines[connection]
        return expired


class Touches(NamedTuple):
    """The connections that are touched in one step, and the time of the step in seconds."""

    now: float
    connections: list[int]


def touch_plan(count: int, seconds: float) -> Iterator[Touches]:
    """Generate the touches of all steps."""
    rng = random.Random(1)
    now = 0.0
    touches = int(count * TOUCHED_SHARE * STEP_S)
    while now < seconds:
        now += STEP_S
        drawn = (rng.randrange(count) for _ in range(touches))
        yield Touches(now, [connection for connection in drawn if connection % UNTOUCHED_INTERVAL])


@dataclass(frozen=True, slots=True)
class DeadlineCost:
    """Cost of a plan of touches with one structure.

    Attributes:
        cpu_s: Total processor time.
        expired: Connections whose deadline passed.
        longest_expire_s: Processor time of the longest check for expired deadlines.
    """

    cpu_s: float
    expired: int
    longest_expire_s: float


def apply_touches(structure: LinearScan, plan: list[Touches]) -> DeadlineCost:
    """Touch connections as planned, and expire those whose deadline passes."""
    expired = 0
    longest_expire_s = 0.0
    began = time.process_time()
    for step in plan:
        for connection in step.connections:
            structure.touch(connection, step.now)
        expire_began = time.process_time()
        expired += len(structure.expire(step.now))
        longest_expire_s = max(longest_expire_s, time.process_time() - expire_began)
    return DeadlineCost(time.process_time() - began, expired, longest_expire_s)


def compare_deadlines(count: int, seconds: float) -> list[dict[str, Any]]:
    """Processor time of each structure for the same touches."""
    plan = list(touch_plan(count, seconds))
    kinds = (LinearScan, DeadlineHeap, TimingWheel, LoopTimers)
    costs = {kind.result_name: apply_touches(kind(count), plan) for kind in kinds}
    plain_cpu_s = costs[LinearScan.result_name].cpu_s
    return [
        {
            "structure": name,
            "cpu_s": round(cost.cpu_s, 3),
            "let_go": cost.expired,
            "longest_look_ms": round(1000 * cost.longest_expire_s, 2),
            "against_plain": round(cost.cpu_s / plain_cpu_s, 2),
        }
        for name, cost in costs.items()
    ]


class RateEstimator(Protocol):
    """Decides whether a connection is slower than the minimum rate."""

    def tick(self, now_ms: float, moved_bytes: int) -> bool:
        """Count the bytes since the last tick; returns whether the rate is too low."""
        ...


class CounterRing:
    """The bytes of a window in a ring of counters."""

    def __init__(self) -> None:
        self.slots = [0] * RING_SLOTS
        self.current_slot = 0

    def tick(self, now_ms: float, moved_bytes: int) -> bool:
        """Count the bytes since the last tick; returns whether the rate is too low."""
        slot = int(now_ms / SLOT_MS)
        for passed in range(self.current_slot + 1, min(slot, self.current_slot + RING_SLOTS) + 1):
            self.slots[passed % RING_SLOTS] = 0
        self.current_slot = slot
        self.slots[slot % RING_SLOTS] += moved_bytes
        return sum(self.slots) < MINIMUM_BYTES


class ReadList:
    """A list of all reads in a window."""

    def __init__(self) -> None:
        self.reads: deque[tuple[float, int]] = deque()

    def tick(self, now_ms: float, moved_bytes: int) -> bool:
        """Count the bytes since the last tick; returns whether the rate is too low."""
        self.reads.append((now_ms, moved_bytes))
        while self.reads[0][0] < now_ms - WINDOW_MS:
            self.reads.popleft()
        return sum(size for _, size in self.reads) < MINIMUM_BYTES


def estimator_bytes(estimator: Any) -> int:
    """Memory of an estimator, including the objects that it refers to."""
    size = sys.getsizeof(estimator)
    if isinstance(estimator, CounterRing):
        size += sys.getsizeof(estimator.slots)
    if isinstance(estimator, ReadList):
        read_bytes = sys.getsizeof((0.0, 0)) + FLOAT_BYTES
        size += sys.getsizeof(estimator.reads) + READS_IN_WINDOW * read_bytes
    return size


def compare_rates(count: int) -> list[dict[str, Any]]:
    """Processor time and memory of each estimator."""
    rows = []
    kinds: tuple[tuple[str, Callable[[], Any]], ...] = (
        ("meter", lambda: MinimumRateMeter(MINIMUM_BYTES_PER_S, float(WINDOW_MS))),
        ("ring", CounterRing),
        ("reads", ReadList),
    )
    for name, create in kinds:
        estimators: list[RateEstimator] = [create() for _ in range(count)]
        began = time.process_time()
        for step in range(RATE_STEPS):
            for estimator in estimators:
                estimator.tick(step * RATE_STEP_MS, STEP_BYTES)
        elapsed_s = time.process_time() - began
        rows.append(
            {
                "estimator": name,
                "ns_a_tick": round(1e9 * elapsed_s / (RATE_STEPS * count)),
                "bytes": estimator_bytes(estimators[0]),
            }
        )
    return rows


def main() -> None:
    """Run both comparisons."""
    parser = argument_parser(__doc__)
    parser.add_argument("--connections", type=int, default=50_000)
    parser.add_argument("--seconds", type=float, default=60.0)
    args = parser.parse_args()
    result = {
        "connections": args.connections,
        "deadlines": compare_deadlines(args.connections, args.seconds),
        "rates": compare_rates(args.connections // 10),
    }
    print_result(result, args.json)


if __name__ == "__main__":
    main()
