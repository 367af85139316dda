"""What a relay remembers, and the indexes over it. Nothing is decided here: see control.py."""

from __future__ import annotations

import heapq
import math
from array import array
from collections.abc import Iterator
from dataclasses import dataclass, field

from .chains import Chains, spread
from .interface import Decay, Endpoint, Listing, Message, MessageClass

NEVER = float("-inf")


@dataclass(slots=True)
class Held:
    """One message, from its arrival until it has ended and nothing is out for it."""

    msg: Message
    cls: MessageClass
    since: float  # when it was first handed in
    due: float
    worth: float
    ready: float  # no try before
    taken: float  # when this relay took it on
    last: float = NEVER  # no try from here on
    tries: int = 0
    out: Call | None = None
    out_since: float = 0.0
    first_risk: float | None = None  # send of the first attempt that may have run
    risk: Endpoint | None = None
    withdrawn: bool = False
    found: bool = False  # by a restart, which owes it a try

    @property
    def key(self) -> int:
        """The key whose order it keeps; 0 = none."""
        return self.msg.key if self.cls.in_order else 0

    def worth_at(self, at: float, decay: Decay) -> float:
        late = at - self.since - self.cls.aim_ms
        if late <= 0 or at >= self.due:
            return self.worth if at < self.due else 0.0
        if decay is Decay.HALVES:
            return self.worth * max(self.cls.late_share, float(0.5 ** (late / self.cls.aim_ms)))
        return self.worth * (1 - (1 - self.cls.late_share) * late / (self.cls.deadline_ms - self.cls.aim_ms))


@dataclass(slots=True)
class Flow:
    """A count of events in which older ones weigh less and less."""

    events: float = 0.0
    at: float = 0.0

    def count(self, now: float, fade_ms: float) -> float:
        return self.events * math.exp((self.at - now) / fade_ms)

    def add(self, now: float, fade_ms: float) -> None:
        self.events, self.at = self.count(now, fade_ms) + 1, now


@dataclass(slots=True)
class Door:
    """One endpoint as this relay sees it."""

    entry: Endpoint
    lane: Lane
    out: int = 0
    faults: dict[int, float] = field(default_factory=dict)  # class -> latest failure, if none answered since
    warm: list[float] = field(default_factory=list)  # when each idle connection was last used
    lot: float = 0.0  # drawn by chance: which of two alike is used first
    full_at: float = NEVER  # latest refusal on a new connection, if none was taken since


@dataclass(slots=True, eq=False)  # told apart by identity: two calls may be alike
class Call:
    """One call that is out, with one message or several."""

    door: Door
    since: float
    riders: list[Held]  # its messages
    open: int  # those without an outcome
    judged: bool = False  # an outcome of it was counted


@dataclass(slots=True)
class Lane:
    """One destination (or route apart) while it is in use: pace, health, latency."""

    mean: float
    dev: float
    total: float  # calls a second of all relays together
    pace: float
    credit: float
    credit_at: float
    room: int = 1  # messages that one call takes
    kind: int = 0
    lot: float = 0.0  # drawn by chance: part of a call saved up where nothing else is
    doors: dict[int, Door] = field(default_factory=dict)
    out: list[Call] = field(default_factory=list)
    told: bool = True  # the total comes from the list or a report, not from a guess
    flow: Flow = field(default_factory=Flow)  # answers
    answers: int = 0
    slot_ms: float = 0.0  # mean time of a call, whatever came of it; 0 = none has ended
    last_ok: float = NEVER
    stretch: float = 1.0  # of the time-out
    hold: float = 0.0  # how long the latest refusal paces it
    free_at: float = NEVER  # a refusal paces it until then
    wait_until: float = NEVER
    blame: float = 0.0
    sick: bool = False
    failed_at: float = NEVER
    no_effect: bool = False  # the latest failure proved no effect
    missed: bool = False  # the latest failure was a connection that was not made
    bad_since: float | None = None  # send of the first call that failed since the last answer
    cold_since: float = NEVER
    left_at: float = NEVER  # when its last endpoint left
    knowers: float = 1.0  # relays that may know of the latest outage
    told_on: float = 0.0  # relays that this one told of it, or that were told before it
    hearsay: bool = False  # out or cold by what others say, until it is called
    next_trickle: float = 0.0


class Index:
    """The endpoints that take new calls, by id and by destination: some 48 bytes each in columns, no object."""

    def __init__(self) -> None:
        self.ids, self.dests, self.kinds, self.zones = array("q"), array("q"), array("I"), array("I")
        self.rates = array("d")
        self.free: list[int] = []  # rows
        self.by_id, self.by_dest = Chains(self._id_hash), Chains(self._dest_hash)
        self.destinations = 0  # that have an endpoint

    def __len__(self) -> int:
        return self.by_id.rows

    def __iter__(self) -> Iterator[Endpoint]:
        """All of them. Nothing may be put or taken out meanwhile."""
        free = set(self.free)
        return (self._entry(row) for row in range(len(self.ids)) if row not in free)

    def _id_hash(self, row: int) -> int:
        return spread(self.ids[row])

    def _dest_hash(self, row: int) -> int:
        return spread(self.dests[row])

    def _row(self, ident: int) -> int | None:
        return next((row for row in self.by_id.find(spread(ident)) if self.ids[row] == ident), None)

    def _rows(self, dest: int) -> list[int]:
        return [row for row in self.by_dest.find(spread(dest)) if self.dests[row] == dest]

    def _entry(self, row: int) -> Endpoint:
        return Endpoint(
            self.ids[row], self.dests[row], Listing.READY, self.kinds[row], self.zones[row], self.rates[row]
        )

    def get(self, ident: int) -> Endpoint | None:
        row = self._row(ident)
        return None if row is None else self._entry(row)

    def at(self, dest: int) -> list[Endpoint]:
        """The endpoints of a destination, in the order of their ids."""
        rows = self._rows(dest)
        if len(rows) > 1:
            rows.sort(key=self.ids.__getitem__)
        return [self._entry(row) for row in rows]

    def put(self, entry: Endpoint) -> None:
        """A new one, or what has changed of one."""
        row = self._row(entry.id)
        if row is not None and self.dests[row] != entry.destination:
            self.pop(entry.id)
            row = None
        if row is None:
            self.destinations += not self._rows(entry.destination)
            if not self.free:
                self.free.append(len(self.ids))
                for column in (self.ids, self.dests, self.kinds, self.zones, self.rates):
                    column.append(0)
            row = self.free.pop()
            self.ids[row], self.dests[row] = entry.id, entry.destination
            self.by_id.add(row)
            self.by_dest.add(row)
        self.kinds[row], self.zones[row], self.rates[row] = entry.kind, entry.zone, entry.rate

    def pop(self, ident: int) -> None:
        """One that is in it."""
        row = self._row(ident)
        assert row is not None
        self.by_id.remove(row)
        self.by_dest.remove(row)
        self.free.append(row)
        self.destinations -= not self._rows(self.dests[row])


class Board:
    """The messages held: by id, those that wait by destination, and those in order by key."""

    def __init__(self) -> None:
        self.held: dict[int, Held] = {}
        self.queues: dict[int, dict[int, Held]] = {}
        self.look_at: dict[int, float] = {}  # destination -> when its queue is looked at again; 0 = as soon as may be
        self.made: dict[int, int] = {}  # destination -> how many queues had been made before it
        self.soon: set[int] = set()  # destinations to be looked at as soon as may be
        self.alarms: list[tuple[float, int]] = []  # heap: looks to come, with such as no longer hold
        self.queues_made = 0
        self.lines: dict[int, list[int]] = {}

    def add(self, held: Held) -> None:
        self.held[held.msg.id] = held
        if held.key:
            self.lines.setdefault(held.key, []).append(held.msg.id)

    def queue(self, held: Held) -> None:
        dest = held.msg.destination
        if dest not in self.queues:
            self.queues[dest], self.made[dest] = {}, self.queues_made
            self.queues_made += 1
        self.queues[dest][held.msg.id] = held
        self.look(dest)

    def unqueue(self, held: Held) -> None:
        dest = held.msg.destination
        queue = self.queues.get(dest, {})
        queue.pop(held.msg.id, None)
        if not queue and dest in self.queues:
            del self.queues[dest], self.made[dest]
            self.look_at.pop(dest, None)
            self.soon.discard(dest)

    def remove(self, held: Held) -> None:
        del self.held[held.msg.id]
        self.unqueue(held)
        if held.key:
            line = self.lines[held.key]
            line.remove(held.msg.id)
            if line:
                self.look(self.held[line[0]].msg.destination)
            else:
                del self.lines[held.key]

    def followed(self, held: Held) -> bool:
        return bool(held.key) and len(self.lines[held.key]) > 1

    def look(self, dest: int, at: float = 0.0) -> None:
        """Its queue, if it has one, is to be looked at then."""
        if dest not in self.queues:
            return
        self.look_at[dest] = at
        if at:
            self.soon.discard(dest)
            heapq.heappush(self.alarms, (at, dest))
        else:
            self.soon.add(dest)

    def _advance(self, now: float) -> None:
        """Looks whose time has come, and heads of the heap that no longer hold."""
        while self.alarms:
            at, dest = self.alarms[0]
            holds = self.look_at.get(dest) == at
            if holds and at > now:
                return
            heapq.heappop(self.alarms)
            if holds:
                self.soon.add(dest)

    def due(self, now: float) -> list[int]:
        """The destinations to be looked at, those first whose queue has stood longest. Costs what is due."""
        self._advance(now)
        return sorted(self.soon, key=self.made.__getitem__)

    def next_look(self, now: float) -> float | None:
        """When the next one will be due, of those that are not yet."""
        self._advance(now)
        return self.alarms[0][0] if self.alarms else None
