"""Who may hold how much of one bounded room: weighted max-min shares in trees of parties, with borrowing.

A charge (bytes and one message) lies on one leaf of each tree it names: where it comes from, and where it goes. A party
below its fair part is let in while there is room at all. Above it, a party borrows: only while a part of the room stays
free for those who are owed some, and only while none of those waits. Nothing held is taken away again: what was lent
comes back as it is released, and goes first to those below their part. docs/design/slow-peers.md weighs the rules.
"""

from __future__ import annotations

import itertools
import math
from collections import deque
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from enum import Enum

LENT = 0.75  # part of the room up to which borrowing goes: the rest is for those below their fair part
OUTSIZE = 0.5  # one message at a time of more than half the room may borrow all but the last part
LAST, SMALL = 1 / 16, 1 / 1024  # the last part of the room takes only messages of at most so small a part of it
BYTES, MESSAGES = 0, 1
FADE_MS = 5000.0  # how far back released room tells how fast room comes free
VISITS, OWED = 256, 16  # parties looked at in one turn, and at each ask: bounds their time under attack


class Say(Enum):
    YES = "yes"
    WAIT = "wait"
    NEVER = "never"  # more than the whole room


@dataclass(slots=True, eq=False)
class Party:
    """One node. `active`: weight of the children that hold something or wait."""

    name: str
    parent: Party | None
    weight: float = 1.0
    held: list[float] = field(default_factory=lambda: [0.0, 0.0])
    waits: int = 0
    charges: int = 0  # on this leaf, not given back
    active: float = 0.0
    children: dict[str, Party] = field(default_factory=dict)
    queue: deque[Ask] = field(default_factory=deque)
    chain: tuple[list[float], ...] = ()  # what it and those above it hold

    def __post_init__(self) -> None:
        self.chain = (self.held, *(self.parent.chain if self.parent is not None else ()))

    @property
    def idle(self) -> bool:
        return not self.charges and not self.children

    def path(self) -> str:
        """Names from the first level down; `-` where there is none."""
        above = self.parent.path() if self.parent is not None else ""
        return above + ("/" if above else "") + (self.name or "-" if self.parent is not None else "")


@dataclass(slots=True, eq=False)
class Charge:
    """What one message holds, on a leaf of each tree."""

    leaves: tuple[Party, ...]
    amount: list[float]
    released: bool = False


@dataclass(slots=True, eq=False)
class Ask:
    """A charge, or more of one, that waits for room until `until` (ms)."""

    charge: Charge
    more: tuple[float, float]
    until: float
    token: object


class Shares:
    """Room in (bytes, messages). `trees` names the trees that a charge lies on, the asking one first."""

    def __init__(self, room: tuple[float, float], trees: tuple[str, ...] = ("from", "to")) -> None:
        self.room = room
        self.trees = {name: Party("", None) for name in trees}
        self.held = [0.0, 0.0]
        self.ring: deque[Party] = deque()  # leaves with a queue, in turn
        self.owed = 0  # asks that wait although below their fair part
        self.outsize: Charge | None = None  # the one message of more than half the room
        self.counts = {"granted": 0, "under_pressure": 0, "waited": 0, "expired": 0, "never": 0}
        self._weights: dict[tuple[str, str], float] = {}
        self._freed = 0.0  # bytes released, fading
        self._freed_at = 0.0

    # -- parties -----------------------------------------------------------------------------------------

    def weigh(self, tree: str, name: str, weight: float) -> None:
        """Sets the weight of a first-level party, from now on."""
        self._weights[tree, name] = weight
        root = self.trees[tree]
        party = root.children.get(name)
        if party is not None:
            root.active += weight - party.weight
            party.weight = weight

    def _leaf(self, tree: str, names: Sequence[str]) -> Party:
        party = self.trees[tree]
        for depth, name in enumerate(names):
            child = party.children.get(name)
            if child is None:
                child = Party(name, party, self._weights.get((tree, name), 1.0) if depth == 0 else 1.0)
                party.children[name] = child
                party.active += child.weight
            party = child
        return party

    def _drop(self, party: Party) -> None:
        """A party without a charge is forgotten: names from peers take no room for long."""
        while party.parent is not None and party.idle:
            del party.parent.children[party.name]
            party.parent.active -= party.weight
            party = party.parent

    def parties(self) -> Iterator[tuple[str, Party]]:
        """Every party with the name of its tree; the roots, which are no party, are not among them."""
        for tree, root in self.trees.items():
            stack = list(root.children.values())
            while stack:
                party = stack.pop()
                yield tree, party
                stack += party.children.values()

    def fair(self, party: Party, what: int) -> float:
        """Its part of the room were all that are active now to use theirs."""
        part = self.room[what]
        while party.parent is not None:
            part *= party.weight / max(party.parent.active, party.weight)
            party = party.parent
        return part

    # -- asking ------------------------------------------------------------------------------------------

    def ask(
        self, now: float, paths: Sequence[Sequence[str]], size: float, wait_ms: float, token: object, messages: int = 1
    ) -> tuple[Say, Charge]:
        """Room for one message of `size` bytes; with WAIT, `turn` tells the token later."""
        leaves = tuple(self._leaf(tree, names) for tree, names in zip(self.trees, paths, strict=True))
        charge = Charge(leaves, [0.0, 0.0])
        for leaf in leaves:
            leaf.charges += 1
        if not self.ring and self._plenty((size, messages)):
            self._lay(charge, (size, messages))
            return Say.YES, charge
        say = self.more(now, charge, size, wait_ms, token, messages)
        if say is Say.NEVER:
            charge.released = True
            self._leave(leaves)
        return say, charge

    def more(self, now: float, charge: Charge, size: float, wait_ms: float, token: object, messages: int = 0) -> Say:
        """More room for a message whose length was not told."""
        assert not charge.released, "room for a charge that was given back"
        more = (float(size), float(messages))
        if charge.amount[BYTES] + size > (1 - LAST) * self.room[BYTES]:
            self.counts["never"] += 1
            return Say.NEVER
        if not charge.leaves[0].queue and self._fits(charge, more):
            self.counts["under_pressure"] += 1
            self._lay(charge, more)
            return Say.YES
        self.counts["waited"] += 1
        leaf = charge.leaves[0]
        if not leaf.queue:
            self.ring.append(leaf)
        leaf.queue.append(Ask(charge, more, now + wait_ms, token))
        for party in charge.leaves:
            party.waits += 1
        self._count_owed()
        return Say.WAIT

    def _fits(self, charge: Charge, more: tuple[float, float]) -> bool:
        if not self.ring and self._plenty(more):
            return True
        # Guards small messages: bodies that came in while few were active may hold all else for a while.
        small = charge.amount[BYTES] + more[BYTES] <= SMALL * self.room[BYTES]
        if self.held[BYTES] + more[BYTES] > (1.0 if small else 1 - LAST) * self.room[BYTES]:
            return False
        borrowed = self._borrows(charge, more)
        if not borrowed:
            return True
        # One outsize message at a time may borrow nearly all: it could never come in beside others else.
        outsize = charge.amount[BYTES] + more[BYTES] > OUTSIZE * self.room[BYTES] and self.outsize in (None, charge)
        lent = 1.0 if outsize else LENT
        return not self.owed and all(
            self.held[what] + more[what] <= lent * self.room[what] for what in (BYTES, MESSAGES)
        )

    def _plenty(self, more: tuple[float, float]) -> bool:
        """Room that anyone may borrow, as nobody waits: the usual case, and the quick way."""
        held, room = self.held, self.room
        return held[0] + more[0] <= LENT * room[0] and held[1] + more[1] <= LENT * room[1]

    def _borrows(self, charge: Charge, more: tuple[float, float]) -> bool:
        for leaf in charge.leaves:
            party: Party | None = leaf
            while party is not None and party.parent is not None:
                if any(party.held[what] + more[what] > self.fair(party, what) for what in (BYTES, MESSAGES)):
                    return True
                party = party.parent
        return False

    def _lay(self, charge: Charge, more: Sequence[float], sign: int = 1) -> None:
        if sign > 0:
            self.counts["granted"] += 1
            if charge.amount[BYTES] + more[BYTES] > OUTSIZE * self.room[BYTES]:
                self.outsize = charge
        elif self.outsize is charge:
            self.outsize = None
        size, messages = sign * more[0], sign * more[1]
        for held in (charge.amount, self.held):
            held[0] += size
            held[1] += messages
        for leaf in charge.leaves:
            for held in leaf.chain:
                held[0] += size
                held[1] += messages

    def _count_owed(self) -> None:
        """Whether one of the first in the ring is below its fair part: then nothing is lent."""
        self.owed = sum(
            not self._borrows(leaf.queue[0].charge, leaf.queue[0].more)
            for leaf in itertools.islice(self.ring, OWED)
            if leaf.queue
        )

    # -- giving back -------------------------------------------------------------------------------------

    def release(self, now: float, charge: Charge) -> None:
        """Once for each charge, granted or still waiting."""
        assert not charge.released, "room given back twice"
        charge.released = True
        if now > self._freed_at:
            self._freed *= math.exp((self._freed_at - now) / FADE_MS)
            self._freed_at = now
        self._freed += charge.amount[BYTES]
        self._lay(charge, list(charge.amount), -1)
        if charge.leaves[0].queue:
            self._unqueue(charge)
        self._leave(charge.leaves)

    def _leave(self, leaves: tuple[Party, ...]) -> None:
        for leaf in leaves:
            leaf.charges -= 1
            self._drop(leaf)

    def _unqueue(self, charge: Charge) -> None:
        leaf = charge.leaves[0]
        left = [ask for ask in leaf.queue if ask.charge is not charge]
        gone = len(leaf.queue) - len(left)
        if gone:
            leaf.queue = deque(left)
            for party in charge.leaves:
                party.waits -= gone
            if not left:
                self.ring.remove(leaf)
            self._count_owed()

    def turn(self, now: float) -> tuple[list[object], list[object]]:
        """Tokens that have room now, and tokens whose wait is over. The parties take turns, one message each, so a
        party with a thousand asks is served no more often than one with a single ask."""
        good: list[object] = []
        late: list[object] = []
        unmoved = 0
        for _ in range(VISITS):
            if not self.ring or unmoved >= len(self.ring):
                break
            leaf = self.ring.popleft()
            while leaf.queue and leaf.queue[0].until <= now:
                late.append(self._next(leaf).token)
                self.counts["expired"] += 1
            if leaf.queue and self._served(leaf.queue[0]):
                good.append(self._next(leaf).token)
                unmoved = 0
            else:
                unmoved += 1
            if leaf.queue:
                self.ring.append(leaf)
        self._count_owed()
        return good, late

    def _served(self, ask: Ask) -> bool:
        owed, self.owed = self.owed, self.owed - (not self._borrows(ask.charge, ask.more))
        if self._fits(ask.charge, ask.more):
            self._lay(ask.charge, ask.more)
            return True
        self.owed = owed
        return False

    @staticmethod
    def _next(leaf: Party) -> Ask:
        ask = leaf.queue.popleft()
        for party in ask.charge.leaves:
            party.waits -= 1
        return ask

    def next_end(self) -> float | None:
        """When the first wait ends, ms."""
        return min((leaf.queue[0].until for leaf in self.ring if leaf.queue), default=None)

    def advice_ms(self, now: float, size: float, longest_ms: float) -> float:
        """When there may be room for `size` more bytes, by how fast room came free of late: at least a second."""
        fade = math.exp(min(0.0, self._freed_at - now) / FADE_MS)
        speed = max(self._freed * fade / FADE_MS, 1e-9)  # bytes a ms
        return min(max(1000.0, size / speed), max(1000.0, longest_ms))

    def verify(self) -> None:
        """Asserts that the trees add up; for tests and a relay that checks itself."""
        for party in (*self.trees.values(), *(party for _, party in self.parties())):
            if party.children:
                for what in (BYTES, MESSAGES):
                    below = sum(child.held[what] for child in party.children.values())
                    assert abs(below - party.held[what]) < 1e-3, f"{party.path()}: {below} is not {party.held}"
                weight = sum(child.weight for child in party.children.values())
                assert abs(weight - party.active) < 1e-6, f"weight below {party.path()}"
            assert party.held[BYTES] > -1e-3 and party.waits >= 0, party.path()
            assert party.parent is None or not party.idle, f"{party.path()}: kept for nothing"
        for root in self.trees.values():
            assert abs(root.held[BYTES] - self.held[BYTES]) < 1e-3, "a tree lost a charge"
        assert self.held[BYTES] <= self.room[BYTES] + 1e-3, "more held than there is room"
