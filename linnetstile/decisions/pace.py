"""How slow is too slow: least rate of a connection, when an office counts as slow, whom a full listener lets go.

No I/O and no clock: times (ms) and bytes come in as arguments."""

from __future__ import annotations

import heapq
import statistics
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

T = TypeVar("T")

# An office enters the slow ones above ENTER times the usual slot time and leaves below LEAVE times it: between the two
# nothing changes, so an office that stalls now and then is one or the other and doesn't flap.
ENTER, LEAVE = 4.0, 2.0
FLOOR_MS = 400.0  # quicker than this is never slow, whatever the others do
ENOUGH = 3.0  # attempts seen before anything is said
WEIGHT = 0.2  # of one attempt in the mean slot time
STAY_MS = 5000.0  # slow for at least so long, and quick for as long before it is trusted again
SLOW_SHARE = 0.25  # weight of a slow office in the shares


@dataclass(slots=True)
class Meter:
    """Least rate over a window that forgives: each second costs one second of patience, each `rate` bytes give one
    back, up to `grace_ms`. A peer at the least rate lasts for ever, one that stops lasts `grace_ms`, one that runs
    ahead saves nothing up beyond it. A rate of 0 asks for nothing."""

    rate: float  # bytes a second
    grace_ms: float
    spent: float = 0.0  # ms of patience
    at: float | None = None  # None: the clock stands, since it is our turn or nothing is due

    def tick(self, now: float, moved: int) -> bool:
        """Counts bytes moved since the last tick; True if patience is over."""
        if self.rate <= 0:
            return False
        if self.at is not None:
            self.spent += now - self.at
        self.at = now
        self.spent = max(0.0, self.spent - 1000.0 * moved / self.rate)
        return self.spent > self.grace_ms

    def rest(self) -> None:
        """The clock stands until the next tick, and what was spent is forgiven: another message begins."""
        self.spent, self.at = 0.0, None


@dataclass(slots=True)
class Office:
    name: str
    mean_ms: float = 0.0  # slot time of an attempt
    seen: float = 0.0
    slow_since: float | None = None
    quick_since: float | None = None  # below LEAVE since
    entered: int = 0
    why: str = ""
    out: dict[int, float] = field(default_factory=dict)  # attempts under way: token -> begin


class Offices:
    """Which offices hold slots for long. Evidence is slot time: of attempts that have ended, whatever came out, and of
    those under way once they take longer than what is known. An office is trusted again by attempts that end quickly,
    never by silence alone."""

    def __init__(self) -> None:
        self.known: dict[str, Office] = {}

    def office(self, name: str) -> Office:
        office = self.known.get(name)
        if office is None:
            office = self.known[name] = Office(name)
        return office

    def began(self, now: float, name: str, token: int) -> None:
        self.office(name).out[token] = now

    def ended(self, now: float, name: str, token: int) -> None:
        office = self.office(name)
        took = now - office.out.pop(token, now)
        seen = office.seen + 1
        office.mean_ms += (WEIGHT if seen > 1 / WEIGHT else 1 / seen) * (took - office.mean_ms)
        office.seen = seen

    def usual(self) -> float:
        """Median slot time over the offices that have been seen enough, those not slow first."""
        means = [o.mean_ms for o in self.known.values() if o.seen >= ENOUGH and o.slow_since is None]
        means = means or [o.mean_ms for o in self.known.values() if o.seen >= ENOUGH]
        return statistics.median(means) if means else 0.0

    def time(self, now: float, office: Office) -> float:
        """Slot time as of now: attempts under way count for as long as they have been."""
        longest = max((now - since for since in office.out.values()), default=0.0)
        return max(office.mean_ms, WEIGHT * longest + (1 - WEIGHT) * office.mean_ms)

    def look(self, now: float) -> list[Office]:
        """The offices that have just become slow or are trusted again."""
        usual, changed = self.usual(), []
        for office in self.known.values():
            took = self.time(now, office)
            if office.slow_since is None:
                if office.seen + len(office.out) >= ENOUGH and took > max(FLOOR_MS, ENTER * usual):
                    office.slow_since, office.quick_since = now, None
                    office.entered += 1
                    office.why = f"{took:.0f} ms of slot time an attempt, {usual:.0f} ms is usual"
                    changed.append(office)
            elif took > max(FLOOR_MS, LEAVE * usual):
                office.quick_since = None
            elif office.quick_since is None:
                office.quick_since = now
            elif now - max(office.quick_since, office.slow_since) >= STAY_MS:
                office.slow_since = None
                office.why = f"{took:.0f} ms of slot time an attempt for {STAY_MS / 1000:.0f} s"
                changed.append(office)
        return changed


@dataclass(frozen=True, slots=True)
class Place(Generic[T]):
    """A connection that carries nothing: its host, whether a request of it was ever complete, whether it has just come,
    bytes a second since it began, and since when it stands where it is."""

    host: str
    proven: bool
    young: bool
    rate: float
    since: float
    token: T


def giving_way(hosts: dict[str, int], places: Iterable[Place[T]], most: int) -> list[Place[T]]:
    """Whom a full listener lets go for new ones, the last one first: those that never had a complete request before
    those that had, those that have just come last of these, the ones of the host with most connections, those that
    moved least, then the oldest. So half-open and dripping connections make room for each other, and neither a client's
    kept connections nor its upload do, nor a new one that a busy relay has not read yet."""
    return heapq.nsmallest(most, places, key=lambda p: (p.proven, p.young, -hosts.get(p.host, 0), p.rate, p.since))[
        ::-1
    ]
