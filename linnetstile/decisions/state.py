"""What a relay remembers, and the indexes over it. Nothing is decided here: see control.py."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .interface import Decay, Endpoint, Message, MessageClass

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
    open: int  # messages without an outcome
    judged: bool = False  # an outcome of it was counted


@dataclass(slots=True)
class Lane:
    """One destination (or route apart): pace, health, latency."""

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
    knowers: float = 1.0  # relays that may know of the latest outage
    told_on: float = 0.0  # relays that this one told of it, or that were told before it
    hearsay: bool = False  # out or cold by what others say, until it is called
    next_trickle: float = 0.0


class Board:
    """The messages held: by id, those that wait by destination, and those in order by key."""

    def __init__(self) -> None:
        self.held: dict[int, Held] = {}
        self.queues: dict[int, dict[int, Held]] = {}
        self.look_at: dict[int, float] = {}  # destination -> when its queue is looked at again
        self.lines: dict[int, list[int]] = {}

    def add(self, held: Held) -> None:
        self.held[held.msg.id] = held
        if held.key:
            self.lines.setdefault(held.key, []).append(held.msg.id)

    def queue(self, held: Held) -> None:
        self.queues.setdefault(held.msg.destination, {})[held.msg.id] = held
        self.look_at[held.msg.destination] = 0.0

    def unqueue(self, held: Held) -> None:
        queue = self.queues.get(held.msg.destination, {})
        queue.pop(held.msg.id, None)
        if not queue:
            self.queues.pop(held.msg.destination, None)
            self.look_at.pop(held.msg.destination, None)

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

    def look(self, dest: int) -> None:
        if dest in self.queues:
            self.look_at[dest] = 0.0
