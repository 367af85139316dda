"""Deadlines of many connections, and rates of many: structures made for it against the plain ones.

    python -m benchmarks.timers [--connections 50000] [--seconds 60] [--json FILE]

Each connection has a deadline ten seconds after it was last touched; each second as many touches as six tenths of them
fall on connections at random, a hundredth of which is never touched (those expire, and some that chance passed by).
Compared: processor time for the same simulated minute, looked at four times a second, with the same connections
expired at the same looks. Then the rate of each connection over a window, by a meter of two numbers, by a ring of ten
counters, and by a list of all reads. One process, no I/O.
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
"""Simulated time between two steps: touches, then a look for expired deadlines."""
TOUCHED_SHARE = 0.6
"""Touches a second, as a share of the connections."""
NEVER_TOUCHED = 100
"""One connection of so many is never touched."""

WINDOW_MS = 5000
MINIMUM_BYTES_PER_S = 1024.0
RING_SLOTS = 10
SLOT_MS = 500
MINIMUM_BYTES = 1024 * 5
"""Bytes of a window below which a connection is too slow."""
RATE_STEPS = 40
RATE_STEP_MS = 250.0
STEP_BYTES = 300
READS_IN_WINDOW = 20
"""At the steps of this benchmark."""
INT_BYTES = 24
"""Of the number in each read; the other is shared."""


class LinearScan:
    """Looks at every connection each time: what net/server.py does."""

    result_name: ClassVar[str] = "plain"

    def __init__(self, count: int) -> None:
        """So many connections, all touched at time 0."""
        self.deadlines = dict.fromkeys(range(count), TIMEOUT_S)

    def touch(self, connection: int, now: float) -> None:
        """Move a deadline, if the connection has not expired."""
        if connection in self.deadlines:
            self.deadlines[connection] = now + TIMEOUT_S

    def expire(self, now: float) -> list[int]:
        """Remove and return the connections whose deadline is over."""
        expired = [connection for connection, due in self.deadlines.items() if due <= now]
        for connection in expired:
            del self.deadlines[connection]
        return expired


class DeadlineHeap(LinearScan):
    """One heap entry a connection; moved deadlines are found out when the entry comes up."""

    result_name = "heap"

    def __init__(self, count: int) -> None:
        super().__init__(count)
        self.heap = [(TIMEOUT_S, connection) for connection in range(count)]

    def expire(self, now: float) -> list[int]:
        """Remove and return the connections whose deadline is over."""
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
    """A hierarchical timing wheel (Varghese and Lauck, 1987): slots of a step, rounds of 64, three levels.

    A moved deadline is found out when its slot comes up.
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
        ahead = max(1, int(-(-due // STEP_S)) - self.tick)
        for level in range(self.LEVELS):
            span = self.SIZE ** (level + 1)
            if ahead < span or level == self.LEVELS - 1:
                slot = (self.tick + min(ahead, span - 1)) // self.SIZE**level % self.SIZE
                self.slots[level][slot].append(connection)
                return

    def expire(self, now: float) -> list[int]:
        """Remove and return the connections whose deadline is over."""
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
        """Move the slots of the upper levels that have come up to lower ones."""
        for level in range(1, self.LEVELS):
            if self.tick % self.SIZE**level == 0:
                slot = self.tick // self.SIZE**level % self.SIZE
                moved = self.slots[level][slot]
                self.slots[level][slot] = []
                for connection in moved:
                    self._put(connection, self.deadlines[connection])


class LoopTimers(LinearScan):
    """A timer of the event loop for each, cancelled and made anew at each touch.

    Expired connections are collected once a second, so some that the others expire at once are touched in time.
    """

    result_name = "handles"

    def __init__(self, count: int) -> None:
        super().__init__(count)
        # The loop does not run: its own upkeep is done by `expire`, on its private queue, to be timed.
        self.loop: Any = asyncio.new_event_loop()
        self.handles = {connection: self.loop.call_at(TIMEOUT_S, int) for connection in range(count)}

    def touch(self, connection: int, now: float) -> None:
        """Move a deadline, if the connection has not expired."""
        if connection in self.deadlines:
            super().touch(connection, now)
            self.handles[connection].cancel()
            self.handles[connection] = self.loop.call_at(now + TIMEOUT_S, int)

    def expire(self, now: float) -> list[int]:
        """Remove and return the connections whose deadline is over."""
        # Cancelled timers leave once they are more than half of at least 100.
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
    """The connections that are touched at one step, and its time in seconds."""

    now: float
    connections: list[int]


def touch_plan(count: int, seconds: float) -> Iterator[Touches]:
    """The touches of all steps."""
    rng = random.Random(1)
    now = 0.0
    touches = int(count * TOUCHED_SHARE * STEP_S)
    while now < seconds:
        now += STEP_S
        drawn = (rng.randrange(count) for _ in range(touches))
        yield Touches(now, [connection for connection in drawn if connection % NEVER_TOUCHED])


@dataclass(frozen=True, slots=True)
class DeadlineCost:
    """What a structure took for a plan.

    Attributes:
        cpu_s: Processor time in all.
        expired: Connections whose deadline passed.
        longest_expire_s: Processor time of the longest look for expired deadlines.
    """

    cpu_s: float
    expired: int
    longest_expire_s: float


def play_touches(structure: LinearScan, plan: list[Touches]) -> DeadlineCost:
    """Touch connections as planned, and expire the others."""
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
    costs = {kind.result_name: play_touches(kind(count), plan) for kind in kinds}
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
    """Says whether a connection is slower than the minimum rate."""

    def tick(self, now: float, moved: int) -> bool:
        """Count the bytes since the last tick, at a time in ms."""
        ...


class CounterRing:
    """Bytes of a window in a ring of counters."""

    def __init__(self) -> None:
        self.slots = [0] * RING_SLOTS
        self.current_slot = 0

    def tick(self, now: float, moved: int) -> bool:
        """Count the bytes since the last tick; whether the rate is too low."""
        slot = int(now / SLOT_MS)
        for passed in range(self.current_slot + 1, min(slot, self.current_slot + RING_SLOTS) + 1):
            self.slots[passed % RING_SLOTS] = 0
        self.current_slot = slot
        self.slots[slot % RING_SLOTS] += moved
        return sum(self.slots) < MINIMUM_BYTES


class ReadList:
    """All reads of a window."""

    def __init__(self) -> None:
        self.reads: deque[tuple[float, int]] = deque()

    def tick(self, now: float, moved: int) -> bool:
        """Count the bytes since the last tick; whether the rate is too low."""
        self.reads.append((now, moved))
        while self.reads[0][0] < now - WINDOW_MS:
            self.reads.popleft()
        return sum(size for _, size in self.reads) < MINIMUM_BYTES


def estimator_bytes(estimator: Any) -> int:
    """Memory of an estimator with all that belongs to it."""
    size = sys.getsizeof(estimator)
    if isinstance(estimator, CounterRing):
        size += sys.getsizeof(estimator.slots)
    if isinstance(estimator, ReadList):
        read_bytes = sys.getsizeof((0.0, 0)) + INT_BYTES
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
