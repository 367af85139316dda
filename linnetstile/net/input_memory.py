"""The memory of received bytes that no owner of a request has taken over yet, summed over a listener's connections."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .request_connection import RequestConnection

# Part of the limit to which the sum is reduced once it is exceeded, so that one pass makes room for many reads.
RECLAIM_FRACTION = 0.75


class InputMemory:
    """Sums the unparsed bytes, parsed events and incomplete bodies of all connections.

    Attributes:
        max_bytes: Limit of the sum; 0 = none.
        total_bytes: The sum.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0

    def update(self, connection: RequestConnection) -> None:
        """Account for what a connection holds now."""
        held_bytes = 0 if connection.is_lost else connection.input.held_bytes + connection.body.held_bytes
        self.total_bytes += held_bytes - connection.accounted_input_bytes
        connection.accounted_input_bytes = held_bytes

    @property
    def is_exceeded(self) -> bool:
        """Whether the sum exceeds its limit."""
        return 0 < self.max_bytes < self.total_bytes

    def connections_to_reject(self, incomplete: Iterable[RequestConnection]) -> Iterator[RequestConnection]:
        """Yield the connections whose incomplete requests have to be rejected, those that hold the most first.

        A client whose request arrives at once holds next to nothing, so it is not the one to be rejected.
        """
        by_size = sorted(incomplete, key=lambda connection: connection.accounted_input_bytes, reverse=True)
        for connection in by_size:
            if self.total_bytes <= self.max_bytes * RECLAIM_FRACTION or not connection.accounted_input_bytes:
                return
            yield connection
