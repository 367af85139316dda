"""Requests that wait for capacity: a queue for each claimant, served round-robin."""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterator

from .share_tree import AdmissionRequest, Reservation, ShareNode


class RequestRotation:
    """Serves the claimants round-robin: equally often, whether a claimant has one request or a thousand.

    A request waits in the queue of its reservation's first leaf. Invariant, except between `take_leaf` and
    `return_leaf`: the rotation contains each leaf with a queue once, and no other leaf.
    """

    def __init__(self) -> None:
        self._leaves: deque[ShareNode] = deque()

    def __len__(self) -> int:
        """Return the number of leaves with a queue."""
        return len(self._leaves)

    def enqueue(self, request: AdmissionRequest) -> None:
        """Add a request to the queue of its leaf."""
        leaf = request.reservation.leaves[0]
        if not leaf.queue:
            self._leaves.append(leaf)
        leaf.queue.append(request)
        for node in request.reservation.leaves:
            node.waiting += 1

    @staticmethod
    def pop_request(leaf: ShareNode) -> AdmissionRequest:
        """Take the oldest request from the queue of a leaf."""
        request = leaf.queue.popleft()
        for node in request.reservation.leaves:
            node.waiting -= 1
        return request

    def discard(self, reservation: Reservation) -> bool:
        """Remove all requests of a reservation, and return whether there were any."""
        leaf = reservation.leaves[0]
        if not leaf.queue:
            return False
        remaining = [request for request in leaf.queue if request.reservation is not reservation]
        removed = len(leaf.queue) - len(remaining)
        if not removed:
            return False
        leaf.queue = deque(remaining)
        for node in reservation.leaves:
            node.waiting -= removed
        if not remaining:
            self._leaves.remove(leaf)
        return True

    def take_leaf(self) -> ShareNode:
        """Remove the next leaf from the rotation and return it; `return_leaf` puts it back."""
        return self._leaves.popleft()

    def return_leaf(self, leaf: ShareNode) -> None:
        """Put a leaf back at the end of the rotation, if requests of it still wait."""
        if leaf.queue:
            self._leaves.append(leaf)

    def first_requests(self, max_leaves: int) -> Iterator[AdmissionRequest]:
        """Iterate over the oldest request of each of the first leaves."""
        for leaf in itertools.islice(self._leaves, max_leaves):
            if leaf.queue:
                yield leaf.queue[0]

    def next_expiry(self) -> float | None:
        """Return the earliest expiry time (ms) among the oldest requests of all leaves; None without requests."""
        return min((leaf.queue[0].expires_at for leaf in self._leaves if leaf.queue), default=None)
