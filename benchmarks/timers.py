"""Deadlines of many connections, and rates of many: structures made for it against the plain ones.

    python -m benchmarks.timers [--connections 50000] [--seconds 60] [--json FILE]

Each connection has a deadline ten seconds after it was last touched; each second as many touches as six tenths of them
fall on connections at random, a hundredth of which is never touched (those are let go, and some that chance passed by).
Compared: CPU time for the same simulated minute, looked at four times a second,
with the same connections let go at the same looks. Then the rate of each connection over a window, by a meter of two
numbers, by a ring of ten counters, and by a list of all reads. One process, no I/O.
"""

from __future__ import annotations

import asyncio
import heapq
import random
import sys
import time
from collections import deque
from collections.abc import Iterator
from typing import Any

from benchmarks.common import parser, tell
from linnetstile.engine.minimum_rate import MinimumRateMeter

PATIENCE, STEP = 10.0, 0.25


class Plain:
    """Looks at every connection each time: what net/server.py does."""

    def __init__(self, count: int) -> None:
        self.due = dict.fromkeys(range(count), PATIENCE)

    def touch(self, n: int, now: float) -> None:
        if n in self.due:
            self.due[n] = now + PATIENCE

    def look(self, now: float) -> list[int]:
        late = [n for n, due in self.due.items() if due <= now]
        for n in late:
            del self.due[n]
        return late


class Heap(Plain):
    """One heap entry a connection; moved deadlines are found out when the entry comes up."""

    def __init__(self, count: int) -> None:
        super().__init__(count)
        self.heap = [(PATIENCE, n) for n in range(count)]

    def look(self, now: float) -> list[int]:
        late = []
        while self.heap and self.heap[0][0] <= now:
            n = self.heap[0][1]
            due = self.due[n]
            if due > now:
                heapq.heapreplace(self.heap, (due, n))
            else:
                heapq.heappop(self.heap)
                del self.due[n]
                late.append(n)
        return late


class Wheel(Plain):
    """A hierarchical timing wheel (Varghese and Lauck, 1987): slots of a step, rounds of 64, three levels; a moved
    deadline is found out when its slot comes up."""

    SIZE, LEVELS = 64, 3

    def __init__(self, count: int) -> None:
        super().__init__(count)
        self.tick = 0
        self.slots: list[list[list[int]]] = [[[] for _ in range(self.SIZE)] for _ in range(self.LEVELS)]
        for n in range(count):
            self._put(n, PATIENCE)

    def _put(self, n: int, due: float) -> None:
        ahead = max(1, int(-(-due // STEP)) - self.tick)
        for level in range(self.LEVELS):
            span = self.SIZE ** (level + 1)
            if ahead < span or level == self.LEVELS - 1:
                at = (self.tick + min(ahead, span - 1)) // self.SIZE**level % self.SIZE
                self.slots[level][at].append(n)
                return

    def look(self, now: float) -> list[int]:
        late = []
        goal = int(now / STEP)
        while self.tick < goal:
            self.tick += 1
            for level in range(1, self.LEVELS):
                if self.tick % self.SIZE**level == 0:
                    at = self.tick // self.SIZE**level % self.SIZE
                    moved, self.slots[level][at] = self.slots[level][at], []
                    for n in moved:
                        self._put(n, self.due[n])
            at = self.tick % self.SIZE
            up, self.slots[0][at] = self.slots[0][at], []
            for n in up:
                due = self.due[n]
                if due > now:
                    self._put(n, due)
                else:
                    del self.due[n]
                    late.append(n)
        return late


class Handles(Plain):
    """A timer of the event loop for each, cancelled and made anew at each touch."""

    def __init__(self, count: int) -> None:
        super().__init__(count)
        self.loop = asyncio.new_event_loop()
        self.handles = {n: self.loop.call_at(PATIENCE, int) for n in range(count)}

    def touch(self, n: int, now: float) -> None:
        if n in self.due:
            super().touch(n, now)
            self.handles[n].cancel()
            self.handles[n] = self.loop.call_at(now + PATIENCE, int)

    def look(self, now: float) -> list[int]:
        # The loop's own upkeep: cancelled timers leave once they are more than half of at least 100.
        heap: list[Any] = self.loop._scheduled  # type: ignore[attr-defined]
        if self.loop._timer_cancelled_count * 2 > len(heap):  # type: ignore[attr-defined]
            kept = [handle for handle in heap if not handle._cancelled]
            heapq.heapify(kept)
            self.loop._scheduled = kept  # type: ignore[attr-defined]
            self.loop._timer_cancelled_count = 0  # type: ignore[attr-defined]
        while heap and heap[0]._when <= now:
            heapq.heappop(heap)
        late = [n for n, due in self.due.items() if due <= now] if now % 1 == 0 else []
        for n in late:
            del self.due[n]
        return late


def touches(count: int, seconds: float) -> Iterator[tuple[float, list[int]]]:
    rng, now = random.Random(1), 0.0
    while now < seconds:
        now += STEP
        yield now, [n for n in (rng.randrange(count) for _ in range(int(count * 0.6 * STEP))) if n % 100]


def deadlines(count: int, seconds: float) -> list[dict[str, Any]]:
    plan = list(touches(count, seconds))
    found: list[dict[str, Any]] = []
    for kind in (Plain, Heap, Wheel, Handles):
        made, gone, worst = kind(count), 0, 0.0
        start = time.process_time()
        for now, those in plan:
            for n in those:
                made.touch(n, now)
            before = time.process_time()
            gone += len(made.look(now))
            worst = max(worst, time.process_time() - before)
        took = time.process_time() - start
        found.append(
            {
                "structure": kind.__name__.lower(),
                "cpu_s": round(took, 3),
                "let_go": gone,
                "longest_look_ms": round(1000 * worst, 2),
            }
        )
        found[-1]["against_plain"] = round(took / found[0]["cpu_s"], 2)
    return found


class Ring:
    def __init__(self) -> None:
        self.slots, self.at = [0] * 10, 0

    def tick(self, now: float, moved: int) -> bool:
        slot = int(now / 500)
        for n in range(self.at + 1, min(slot, self.at + 10) + 1):
            self.slots[n % 10] = 0
        self.at = slot
        self.slots[slot % 10] += moved
        return sum(self.slots) < 1024 * 5


class Reads:
    def __init__(self) -> None:
        self.reads: deque[tuple[float, int]] = deque()

    def tick(self, now: float, moved: int) -> bool:
        self.reads.append((now, moved))
        while self.reads[0][0] < now - 5000:
            self.reads.popleft()
        return sum(n for _, n in self.reads) < 1024 * 5


def rates(count: int) -> list[dict[str, Any]]:
    found = []
    for name, make in (("meter", lambda: MinimumRateMeter(1024.0, 5000.0)), ("ring", Ring), ("reads", Reads)):
        made: list[Any] = [make() for _ in range(count)]
        start = time.process_time()
        for step in range(40):
            for each in made:
                each.tick(step * 250.0, 300)
        took = time.process_time() - start
        one = made[0]
        size = sys.getsizeof(one)
        if name == "ring":
            size += sys.getsizeof(one.slots)
        if name == "reads":
            size += sys.getsizeof(one.reads) + 20 * (sys.getsizeof((0.0, 0)) + 24)
        found.append({"estimator": name, "ns_a_tick": round(1e9 * took / (40 * count)), "bytes": size})
    return found


def main() -> None:
    made = parser(__doc__)
    made.add_argument("--connections", type=int, default=50_000)
    made.add_argument("--seconds", type=float, default=60.0)
    args = made.parse_args()
    tell(
        {
            "connections": args.connections,
            "deadlines": deadlines(args.connections, args.seconds),
            "rates": rates(args.connections // 10),
        },
        args.json,
    )


if __name__ == "__main__":
    main()
