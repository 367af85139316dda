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

BORROWING_LIMIT = 0.75  # part of the room up to which borrowing goes: the rest is for those below their fair part
OVERSIZED_FRACTION = 0.5  # one message at a time of more than half the room may borrow all but the last part
RESERVE_FRACTION, SMALL_FRACTION = (
    1 / 16,
    1 / 1024,
)  # the last part of the room takes only messages of at most so small a part of it
BYTES, MESSAGES = 0, 1
RELEASE_DECAY_MS = 5000.0  # how far back released room tells how fast room comes free
MAX_VISITS, MAX_UNDERSERVED_CHECKED = (
    256,
    16,
)  # parties looked at in one turn, and at each ask: bounds their time under attack


class AdmissionDecision(Enum):
    GRANTED = "yes"
    QUEUED = "wait"
    TOO_LARGE = "never"  # more than the whole room


@dataclass(slots=True, eq=False)
class ShareNode:
    """One node. `active`: weight of the children that hold something or wait."""

    name: str
    parent: ShareNode | None
    weight: float = 1.0
    used: list[float] = field(default_factory=lambda: [0.0, 0.0])
    waiting: int = 0
    reservations: int = 0  # on this leaf, not given back
    active_weight: float = 0.0
    children: dict[str, ShareNode] = field(default_factory=dict)
    queue: deque[AdmissionRequest] = field(default_factory=deque)
    usage_chain: tuple[list[float], ...] = ()  # what it and those above it hold

    def __post_init__(self) -> None:
        self.usage_chain = (self.used, *(self.parent.usage_chain if self.parent is not None else ()))

    @property
    def idle(self) -> bool:
        return not self.reservations and not self.children

    def path(self) -> str:
        """Names from the first level down; `-` where there is none."""
        above = self.parent.path() if self.parent is not None else ""
        return above + ("/" if above else "") + (self.name or "-" if self.parent is not None else "")


@dataclass(slots=True, eq=False)
class Reservation:
    """What one message holds, on a leaf of each tree."""

    leaves: tuple[ShareNode, ...]
    amount: list[float]
    released: bool = False


@dataclass(slots=True, eq=False)
class AdmissionRequest:
    """A charge, or more of one, that waits for room until `until` (ms)."""

    reservation: Reservation
    amount: tuple[float, float]
    expires_at: float
    token: object


class FairShare:
    """Room in (bytes, messages). `trees` names the trees that a charge lies on, the asking one first."""

    def __init__(self, capacity: tuple[float, float], trees: tuple[str, ...] = ("from", "to")) -> None:
        self.capacity = capacity
        self.trees = {name: ShareNode("", None) for name in trees}
        self.used = [0.0, 0.0]
        self.rotation: deque[ShareNode] = deque()  # leaves with a queue, in turn
        self.underserved = 0  # asks that wait although below their fair part
        self.oversized: Reservation | None = None  # the one message of more than half the room
        self.counts = {"granted": 0, "under_pressure": 0, "waited": 0, "expired": 0, "never": 0}
        self._weights: dict[tuple[str, str], float] = {}
        self._released_bytes = 0.0  # bytes released, fading
        self._released_at = 0.0

    # -- parties -----------------------------------------------------------------------------------------

    def set_weight(self, tree: str, name: str, weight: float) -> None:
        """Sets the weight of a first-level party, from now on."""
        self._weights[tree, name] = weight
        root = self.trees[tree]
        party = root.children.get(name)
        if party is not None:
            root.active_weight += weight - party.weight
            party.weight = weight

    def _leaf(self, tree: str, names: Sequence[str]) -> ShareNode:
        party = self.trees[tree]
        for depth, name in enumerate(names):
            child = party.children.get(name)
            if child is None:
                child = ShareNode(name, party, self._weights.get((tree, name), 1.0) if depth == 0 else 1.0)
                party.children[name] = child
                party.active_weight += child.weight
            party = child
        return party

    def _forget_idle(self, party: ShareNode) -> None:
        """A party without a charge is forgotten: names from peers take no room for long."""
        while party.parent is not None and party.idle:
            del party.parent.children[party.name]
            party.parent.active_weight -= party.weight
            party = party.parent

    def nodes(self) -> Iterator[tuple[str, ShareNode]]:
        """Every party with the name of its tree; the roots, which are no party, are not among them."""
        for tree, root in self.trees.items():
            stack = list(root.children.values())
            while stack:
                party = stack.pop()
                yield tree, party
                stack += party.children.values()

    def fair_part(self, party: ShareNode, what: int) -> float:
        """Its part of the room were all that are active now to use theirs."""
        part = self.capacity[what]
        while party.parent is not None:
            part *= party.weight / max(party.parent.active_weight, party.weight)
            party = party.parent
        return part

    # -- asking ------------------------------------------------------------------------------------------

    def request(
        self, now: float, paths: Sequence[Sequence[str]], size: float, wait_ms: float, token: object, messages: int = 1
    ) -> tuple[AdmissionDecision, Reservation]:
        """Room for one message of `size` bytes; with WAIT, `turn` tells the token later."""
        leaves = tuple(self._leaf(tree, names) for tree, names in zip(self.trees, paths, strict=True))
        charge = Reservation(leaves, [0.0, 0.0])
        for leaf in leaves:
            leaf.reservations += 1
        if not self.rotation and self._has_slack((size, messages)):
            self._apply(charge, (size, messages))
            return AdmissionDecision.GRANTED, charge
        say = self.extend(now, charge, size, wait_ms, token, messages)
        if say is AdmissionDecision.TOO_LARGE:
            charge.released = True
            self._release_leaves(leaves)
        return say, charge

    def extend(
        self, now: float, charge: Reservation, size: float, wait_ms: float, token: object, messages: int = 0
    ) -> AdmissionDecision:
        """More room for a message whose length was not told."""
        assert not charge.released, "room for a charge that was given back"
        more = (float(size), float(messages))
        if charge.amount[BYTES] + size > (1 - RESERVE_FRACTION) * self.capacity[BYTES]:
            self.counts["never"] += 1
            return AdmissionDecision.TOO_LARGE
        if not charge.leaves[0].queue and self._fits(charge, more):
            self.counts["under_pressure"] += 1
            self._apply(charge, more)
            return AdmissionDecision.GRANTED
        self.counts["waited"] += 1
        leaf = charge.leaves[0]
        if not leaf.queue:
            self.rotation.append(leaf)
        leaf.queue.append(AdmissionRequest(charge, more, now + wait_ms, token))
        for party in charge.leaves:
            party.waiting += 1
        self._count_owed()
        return AdmissionDecision.QUEUED

    def _fits(self, charge: Reservation, more: tuple[float, float]) -> bool:
        if not self.rotation and self._has_slack(more):
            return True
        # Guards small messages: bodies that came in while few were active may hold all else for a while.
        small = charge.amount[BYTES] + more[BYTES] <= SMALL_FRACTION * self.capacity[BYTES]
        if self.used[BYTES] + more[BYTES] > (1.0 if small else 1 - RESERVE_FRACTION) * self.capacity[BYTES]:
            return False
        borrowed = self._borrows(charge, more)
        if not borrowed:
            return True
        # One outsize message at a time may borrow nearly all: it could never come in beside others else.
        outsize = charge.amount[BYTES] + more[BYTES] > OVERSIZED_FRACTION * self.capacity[BYTES] and self.oversized in (
            None,
            charge,
        )
        lent = 1.0 if outsize else BORROWING_LIMIT
        return not self.underserved and all(
            self.used[what] + more[what] <= lent * self.capacity[what] for what in (BYTES, MESSAGES)
        )

    def _has_slack(self, more: tuple[float, float]) -> bool:
        """Room that anyone may borrow, as nobody waits: the usual case, and the quick way."""
        pending, room = self.used, self.capacity
        return pending[0] + more[0] <= BORROWING_LIMIT * room[0] and pending[1] + more[1] <= BORROWING_LIMIT * room[1]

    def _borrows(self, charge: Reservation, more: tuple[float, float]) -> bool:
        for leaf in charge.leaves:
            party: ShareNode | None = leaf
            while party is not None and party.parent is not None:
                if any(party.used[what] + more[what] > self.fair_part(party, what) for what in (BYTES, MESSAGES)):
                    return True
                party = party.parent
        return False

    def _apply(self, charge: Reservation, more: Sequence[float], sign: int = 1) -> None:
        if sign > 0:
            self.counts["granted"] += 1
            if charge.amount[BYTES] + more[BYTES] > OVERSIZED_FRACTION * self.capacity[BYTES]:
                self.oversized = charge
        elif self.oversized is charge:
            self.oversized = None
        size, messages = sign * more[0], sign * more[1]
        for pending in (charge.amount, self.used):
            pending[0] += size
            pending[1] += messages
        for leaf in charge.leaves:
            for pending in leaf.usage_chain:
                pending[0] += size
                pending[1] += messages

    def _count_owed(self) -> None:
        """Whether one of the first in the ring is below its fair part: then nothing is lent."""
        self.underserved = sum(
            not self._borrows(leaf.queue[0].reservation, leaf.queue[0].amount)
            for leaf in itertools.islice(self.rotation, MAX_UNDERSERVED_CHECKED)
            if leaf.queue
        )

    # -- giving back -------------------------------------------------------------------------------------

    def release(self, now: float, charge: Reservation) -> None:
        """Once for each charge, granted or still waiting."""
        assert not charge.released, "room given back twice"
        charge.released = True
        if now > self._released_at:
            self._released_bytes *= math.exp((self._released_at - now) / RELEASE_DECAY_MS)
            self._released_at = now
        self._released_bytes += charge.amount[BYTES]
        self._apply(charge, list(charge.amount), -1)
        if charge.leaves[0].queue:
            self._dequeue(charge)
        self._release_leaves(charge.leaves)

    def _release_leaves(self, leaves: tuple[ShareNode, ...]) -> None:
        for leaf in leaves:
            leaf.reservations -= 1
            self._forget_idle(leaf)

    def _dequeue(self, charge: Reservation) -> None:
        leaf = charge.leaves[0]
        left = [ask for ask in leaf.queue if ask.reservation is not charge]
        gone = len(leaf.queue) - len(left)
        if gone:
            leaf.queue = deque(left)
            for party in charge.leaves:
                party.waiting -= gone
            if not left:
                self.rotation.remove(leaf)
            self._count_owed()

    def grant_waiting(self, now: float) -> tuple[list[object], list[object]]:
        """Tokens that have room now, and tokens whose wait is over. The parties take turns, one message each, so a
        party with a thousand asks is served no more often than one with a single ask."""
        good: list[object] = []
        late: list[object] = []
        unmoved = 0
        for _ in range(MAX_VISITS):
            if not self.rotation or unmoved >= len(self.rotation):
                break
            leaf = self.rotation.popleft()
            while leaf.queue and leaf.queue[0].expires_at <= now:
                late.append(self._pop_request(leaf).token)
                self.counts["expired"] += 1
            if leaf.queue and self._try_grant(leaf.queue[0]):
                good.append(self._pop_request(leaf).token)
                unmoved = 0
            else:
                unmoved += 1
            if leaf.queue:
                self.rotation.append(leaf)
        self._count_owed()
        return good, late

    def _try_grant(self, ask: AdmissionRequest) -> bool:
        owed, self.underserved = self.underserved, self.underserved - (not self._borrows(ask.reservation, ask.amount))
        if self._fits(ask.reservation, ask.amount):
            self._apply(ask.reservation, ask.amount)
            return True
        self.underserved = owed
        return False

    @staticmethod
    def _pop_request(leaf: ShareNode) -> AdmissionRequest:
        ask = leaf.queue.popleft()
        for party in ask.reservation.leaves:
            party.waiting -= 1
        return ask

    def next_expiry(self) -> float | None:
        """When the first wait ends, ms."""
        return min((leaf.queue[0].expires_at for leaf in self.rotation if leaf.queue), default=None)

    def retry_after_ms(self, now: float, size: float, longest_ms: float) -> float:
        """When there may be room for `size` more bytes, by how fast room came free of late: at least a second."""
        fade = math.exp(min(0.0, self._released_at - now) / RELEASE_DECAY_MS)
        speed = max(self._released_bytes * fade / RELEASE_DECAY_MS, 1e-9)  # bytes a ms
        return min(max(1000.0, size / speed), max(1000.0, longest_ms))

    def verify_invariants(self) -> None:
        """Asserts that the trees add up; for tests and a relay that checks itself."""
        for party in (*self.trees.values(), *(party for _, party in self.nodes())):
            if party.children:
                for what in (BYTES, MESSAGES):
                    below = sum(child.used[what] for child in party.children.values())
                    assert abs(below - party.used[what]) < 1e-3, f"{party.path()}: {below} is not {party.used}"
                weight = sum(child.weight for child in party.children.values())
                assert abs(weight - party.active_weight) < 1e-6, f"weight below {party.path()}"
            assert party.used[BYTES] > -1e-3 and party.waiting >= 0, party.path()
            assert party.parent is None or not party.idle, f"{party.path()}: kept for nothing"
        for root in self.trees.values():
            assert abs(root.used[BYTES] - self.used[BYTES]) < 1e-3, "a tree lost a charge"
        assert self.used[BYTES] <= self.capacity[BYTES] + 1e-3, "more held than there is room"
