"""Admission to a bounded capacity by weighted max-min fair shares in trees, with borrowing.

A reservation (bytes and one message) counts at one leaf of each tree: by its source and by its destination. A
claimant below its fair share is admitted while any capacity is free. A claimant above it borrows, which is allowed only
while a part of the capacity stays free for claimants below their fair share and none of those waits. There is no
preemption: borrowed capacity is available again when it is released, and first to claimants below their fair share.
docs/design/slow-peers.md gives the reasons for the rules.

No I/O and no clock: times (ms) come in.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Sequence
from enum import Enum
from typing import NamedTuple

from .request_rotation import RequestRotation
from .share_tree import BYTES, MESSAGES, RESOURCES, AdmissionRequest, Reservation, ResourceAmount, ShareNode

__all__ = [
    "BORROWING_LIMIT",
    "BYTES",
    "MESSAGES",
    "RESERVE_FRACTION",
    "AdmissionDecision",
    "AdmissionResult",
    "FairShare",
    "GrantResult",
    "Reservation",
    "ShareNode",
]

# Fractions of the capacity.
BORROWING_LIMIT = 0.75  # claimants may borrow up to this use; the rest is for those below their fair share
OVERSIZED_FRACTION = 0.5  # a larger message is oversized: one of them at a time may borrow all but the reserve
RESERVE_FRACTION = 1 / 16  # the reserve: the last part, which only small messages may use
SMALL_FRACTION = 1 / 1024  # a message up to this size is small
RELEASE_DECAY_MS = 5000.0  # time constant of the estimate of how fast capacity is released
MIN_RELEASE_RATE = 1e-9  # bytes a ms; keeps the division by the rate finite
MIN_RETRY_AFTER_MS = 1000.0
MAX_LEAVES_VISITED = 256  # leaves that one `grant_waiting` visits, which bounds its time under attack
MAX_UNDERSERVED_CHECKED = 16  # requests that one update compares with their fair shares: bounds its time under attack

DEFAULT_WEIGHT = 1.0
SOURCE_TREE = "from"
DESTINATION_TREE = "to"

# Keys of `FairShare.counts`, which are labels of a metric.
COUNT_GRANTED = "granted"
COUNT_GRANTED_UNDER_PRESSURE = "under_pressure"
COUNT_QUEUED = "waited"
COUNT_EXPIRED = "expired"
COUNT_TOO_LARGE = "never"


class AdmissionDecision(Enum):
    """Decision on a request for capacity."""

    GRANTED = "yes"
    QUEUED = "wait"
    TOO_LARGE = "never"  # more than the whole capacity without the reserve


class AdmissionResult(NamedTuple):
    """Answer to a request: the decision, and the reservation, which is valid unless the request was too large."""

    decision: AdmissionDecision
    reservation: Reservation


class GrantResult(NamedTuple):
    """Tokens of the waiting requests that were granted, and of those that have expired."""

    granted: list[object]
    expired: list[object]


class TreeNode(NamedTuple):
    """A node and the name of its tree."""

    tree: str
    node: ShareNode


class ReleaseRate:
    """Estimates how fast capacity is released, from an exponentially decaying sum of released bytes."""

    def __init__(self) -> None:
        self._released_bytes = 0.0
        self._updated_at = 0.0

    def record(self, now_ms: float, released_bytes: float) -> None:
        """Add released bytes to the estimate."""
        if now_ms > self._updated_at:
            self._released_bytes *= math.exp((self._updated_at - now_ms) / RELEASE_DECAY_MS)
            self._updated_at = now_ms
        self._released_bytes += released_bytes

    def bytes_per_ms(self, now_ms: float) -> float:
        """Return the estimate as of now, which is always above 0."""
        decay = math.exp(min(0.0, self._updated_at - now_ms) / RELEASE_DECAY_MS)
        return max(self._released_bytes * decay / RELEASE_DECAY_MS, MIN_RELEASE_RATE)


class FairShare:
    """Admission to a bounded capacity of bytes and messages.

    Attributes:
        capacity: Bytes and messages that may be reserved in total.
        trees: Root of each tree by name; a request waits in the queue of its leaf in the first tree.
        used: Bytes and messages that are reserved.
        rotation: The waiting requests.
        underserved: How many of the first waiting requests are from claimants below their fair share; while there are
            any, no claimant may borrow.
        oversized: The one reservation above `OVERSIZED_FRACTION`, if there is one.
        counts: Number of requests with each result, by label of the metric.
    """

    def __init__(self, capacity: tuple[float, float], trees: tuple[str, ...] = (SOURCE_TREE, DESTINATION_TREE)) -> None:
        """Create a capacity of which nothing is reserved.

        Args:
            capacity: Bytes and messages.
            trees: Names of the trees that each reservation counts in; a request waits at its leaf in the first tree.
        """
        self.capacity = ResourceAmount(*capacity)
        self.trees = {name: ShareNode("", None) for name in trees}
        self.used = [0.0, 0.0]
        self.rotation = RequestRotation()
        self.underserved = 0
        self.oversized: Reservation | None = None
        self.counts = {
            COUNT_GRANTED: 0,
            COUNT_GRANTED_UNDER_PRESSURE: 0,
            COUNT_QUEUED: 0,
            COUNT_EXPIRED: 0,
            COUNT_TOO_LARGE: 0,
        }
        self._weights: dict[str, dict[str, float]] = {name: {} for name in trees}
        self._release_rate = ReleaseRate()

    # -- the trees ---------------------------------------------------------------------------------------

    def set_weight(self, tree: str, name: str, weight: float) -> None:
        """Set the weight of a first-level node, whether it exists already or is created later."""
        self._weights[tree][name] = weight
        node = self.trees[tree].children.get(name)
        if node is not None:
            node.set_weight(weight)

    def _leaf(self, tree: str, names: Sequence[str]) -> ShareNode:
        """Return the leaf of a path, creating the nodes that do not exist yet."""
        root = self.trees[tree]
        node = root
        for name in names:
            child = node.children.get(name)
            if child is None:
                is_first_level = node is root
                weight = self._weights[tree].get(name, DEFAULT_WEIGHT) if is_first_level else DEFAULT_WEIGHT
                child = node.add_child(name, weight)
            node = child
        return node

    def nodes(self) -> Iterator[TreeNode]:
        """Iterate over all nodes but the roots, each with the name of its tree."""
        for tree, root in self.trees.items():
            for node in root.descendants():
                yield TreeNode(tree, node)

    def fair_share(self, node: ShareNode, resource: int) -> float:
        """Return the fair share of a node of one resource (`BYTES` or `MESSAGES`)."""
        return node.fair_share_of(self.capacity[resource])

    # -- requests ----------------------------------------------------------------------------------------

    def request(
        self,
        now_ms: float,
        paths: Sequence[Sequence[str]],
        size: float,
        wait_ms: float,
        token: object,
        messages: int = 1,
    ) -> AdmissionResult:
        """Request capacity for a message.

        Args:
            now_ms: Present time (ms).
            paths: Names from the first level to the leaf, in each tree.
            size: Bytes.
            wait_ms: How long (ms) the request may wait.
            token: Handle that `grant_waiting` returns when a QUEUED request is granted or has expired.
            messages: Messages that the reservation counts as.

        Returns:
            The decision and the reservation, which has to be released unless the decision is TOO_LARGE.
        """
        leaves = tuple(self._leaf(tree, names) for tree, names in zip(self.trees, paths, strict=True))
        reservation = Reservation(leaves, [0.0, 0.0])
        for leaf in leaves:
            leaf.reservations += 1
        amount = ResourceAmount(size, messages)
        if not self.rotation and self._has_slack(amount):
            self._grant(reservation, amount)
            return AdmissionResult(AdmissionDecision.GRANTED, reservation)
        decision = self.extend(now_ms, reservation, size, wait_ms, token, messages)
        if decision is AdmissionDecision.TOO_LARGE:
            reservation.released = True
            self._remove_from_leaves(leaves)
        return AdmissionResult(decision, reservation)

    def extend(
        self,
        now_ms: float,
        reservation: Reservation,
        size: float,
        wait_ms: float,
        token: object,
        messages: int = 0,
    ) -> AdmissionDecision:
        """Request more capacity for a message of unknown length; the arguments are those of `request`."""
        assert not reservation.released, "capacity requested for a reservation that was released"
        amount = ResourceAmount(float(size), float(messages))
        if reservation.amount[BYTES] + size > (1 - RESERVE_FRACTION) * self.capacity.bytes:
            self.counts[COUNT_TOO_LARGE] += 1
            return AdmissionDecision.TOO_LARGE
        if not reservation.leaves[0].queue and self._fits(reservation, amount):
            self.counts[COUNT_GRANTED_UNDER_PRESSURE] += 1
            self._grant(reservation, amount)
            return AdmissionDecision.GRANTED
        self.counts[COUNT_QUEUED] += 1
        self.rotation.enqueue(AdmissionRequest(reservation, amount, now_ms + wait_ms, token))
        self._count_underserved()
        return AdmissionDecision.QUEUED

    # -- admission rules ---------------------------------------------------------------------------------

    def _fits(self, reservation: Reservation, amount: ResourceAmount) -> bool:
        """Whether an amount may be granted now."""
        if not self.rotation and self._has_slack(amount):
            return True
        size = reservation.amount[BYTES] + amount.bytes
        if self.used[BYTES] + amount.bytes > self._usable_bytes(size):
            return False
        if not self._borrows(reservation, amount):
            return True
        return not self.underserved and self._is_within(self._borrowing_limit(reservation, size), amount)

    def _usable_bytes(self, size: float) -> float:
        """Return the part of the capacity that a message of this size may use.

        The reserve is for small messages: large ones that were admitted while few claimants were active may occupy all
        the rest.
        """
        is_small = size <= SMALL_FRACTION * self.capacity.bytes
        return (1.0 if is_small else 1 - RESERVE_FRACTION) * self.capacity.bytes

    def _has_slack(self, amount: ResourceAmount) -> bool:
        """Whether any claimant may borrow the amount if no request waits: the fast path, for the most common case."""
        return self._is_within(BORROWING_LIMIT, amount)

    def _is_within(self, fraction: float, amount: ResourceAmount) -> bool:
        """Whether the use stays within a fraction of the capacity with this amount added."""
        used = self.used
        capacity = self.capacity
        return (
            used[BYTES] + amount.bytes <= fraction * capacity.bytes
            and used[MESSAGES] + amount.messages <= fraction * capacity.messages
        )

    def _borrowing_limit(self, reservation: Reservation, size: float) -> float:
        """Return the fraction of the capacity up to which this reservation may borrow.

        One oversized message at a time may borrow all of it: otherwise it could never be admitted beside others.
        """
        is_oversized = size > OVERSIZED_FRACTION * self.capacity.bytes
        is_only_oversized = self.oversized is None or self.oversized is reservation
        return 1.0 if is_oversized and is_only_oversized else BORROWING_LIMIT

    def _borrows(self, reservation: Reservation, amount: ResourceAmount) -> bool:
        """Whether the amount would put one of the claimants above its fair share."""
        return any(self._exceeds_share(node, amount) for leaf in reservation.leaves for node in leaf.lineage())

    def _exceeds_share(self, node: ShareNode, amount: ResourceAmount) -> bool:
        return any(node.used[resource] + amount[resource] > self.fair_share(node, resource) for resource in RESOURCES)

    def _count_underserved(self) -> None:
        requests = self.rotation.first_requests(MAX_UNDERSERVED_CHECKED)
        self.underserved = sum(not self._borrows(request.reservation, request.amount) for request in requests)

    # -- granting and releasing --------------------------------------------------------------------------

    def _grant(self, reservation: Reservation, amount: ResourceAmount) -> None:
        self.counts[COUNT_GRANTED] += 1
        if reservation.amount[BYTES] + amount.bytes > OVERSIZED_FRACTION * self.capacity.bytes:
            self.oversized = reservation
        self._add_usage(reservation, amount.bytes, amount.messages)

    def _add_usage(self, reservation: Reservation, size: float, messages: float) -> None:
        for usage in (reservation.amount, self.used):
            usage[BYTES] += size
            usage[MESSAGES] += messages
        for leaf in reservation.leaves:
            for usage in leaf.usage_chain:
                usage[BYTES] += size
                usage[MESSAGES] += messages

    def release(self, now_ms: float, reservation: Reservation) -> None:
        """Release a reservation that was granted or still waits. Each one is released exactly once."""
        assert not reservation.released, "a reservation was released twice"
        reservation.released = True
        size = reservation.amount[BYTES]
        messages = reservation.amount[MESSAGES]
        self._release_rate.record(now_ms, size)
        if self.oversized is reservation:
            self.oversized = None
        self._add_usage(reservation, -size, -messages)
        if self.rotation.discard(reservation):
            self._count_underserved()
        self._remove_from_leaves(reservation.leaves)

    @staticmethod
    def _remove_from_leaves(leaves: tuple[ShareNode, ...]) -> None:
        """Remove a reservation from its leaves, and remove the leaves that become idle by this."""
        for leaf in leaves:
            leaf.reservations -= 1
            leaf.remove_if_idle()

    def grant_waiting(self, now_ms: float) -> GrantResult:
        """Grant waiting requests that fit now, one for each claimant in turn, and drop those that have expired."""
        result = GrantResult(granted=[], expired=[])
        denials_in_a_row = 0
        for _ in range(MAX_LEAVES_VISITED):
            has_visited_all = denials_in_a_row >= len(self.rotation)
            if has_visited_all:
                break
            leaf = self.rotation.take_leaf()
            self._expire_requests(now_ms, leaf, result.expired)
            if leaf.queue and self._try_grant(leaf.queue[0]):
                result.granted.append(self.rotation.pop_request(leaf).token)
                denials_in_a_row = 0
            else:
                denials_in_a_row += 1
            self.rotation.return_leaf(leaf)
        self._count_underserved()
        return result

    def _expire_requests(self, now_ms: float, leaf: ShareNode, expired: list[object]) -> None:
        while leaf.queue and leaf.queue[0].expires_at <= now_ms:
            expired.append(self.rotation.pop_request(leaf).token)
            self.counts[COUNT_EXPIRED] += 1

    def _try_grant(self, request: AdmissionRequest) -> bool:
        """Grant a waiting request if it fits; the request itself does not count as underserved in this check."""
        underserved_before = self.underserved
        is_underserved = not self._borrows(request.reservation, request.amount)
        self.underserved -= is_underserved
        if self._fits(request.reservation, request.amount):
            self._grant(request.reservation, request.amount)
            return True
        self.underserved = underserved_before
        return False

    def next_expiry(self) -> float | None:
        """Return the time (ms) at which the first waiting request expires; None without one."""
        return self.rotation.next_expiry()

    def retry_after_ms(self, now_ms: float, size: float, max_ms: float) -> float:
        """Estimate the time (ms) until there is capacity for more bytes, from the recent release rate.

        Args:
            now_ms: Present time (ms).
            size: Bytes requested.
            max_ms: Upper bound of the result; `MIN_RETRY_AFTER_MS` takes precedence if it is larger.
        """
        expected_ms = size / self._release_rate.bytes_per_ms(now_ms)
        return min(max(MIN_RETRY_AFTER_MS, expected_ms), max(MIN_RETRY_AFTER_MS, max_ms))

    def verify_invariants(self) -> None:
        """Assert that the sums of the trees agree; for tests and for the self-check of a relay."""
        for root in self.trees.values():
            root.verify_invariants()
            assert abs(root.used[BYTES] - self.used[BYTES]) < 1e-3, "the use of a tree differs from the total use"
        for _, node in self.nodes():
            node.verify_invariants()
        assert self.used[BYTES] <= self.capacity[BYTES] + 1e-3, "more bytes are reserved than the capacity has"
