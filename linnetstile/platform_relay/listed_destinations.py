"""A compact table of the destinations that have endpoints, which takes 16 bytes of memory for each of them."""

from __future__ import annotations

from array import array
from collections import OrderedDict

from ..engine.linear_hash import LinearHashTable, hash_integer
from ..engine.resource_limits import MAX_UNLISTED_DESTINATIONS


class ListedDestinations:
    """Counts the endpoints of each destination, and remembers destinations that recently lost their last endpoint.

    Attributes:
        max_unlisted: Maximum length of `recently_unlisted`.
        ids: The destination in each row.
        endpoint_counts: Number of endpoints of the destination in each row.
        free_rows: Rows without a destination.
        index: Rows by the hash of their destination.
        recently_unlisted: The destinations that most recently lost their last endpoint, oldest first.
    """

    def __init__(self, max_unlisted: int = MAX_UNLISTED_DESTINATIONS) -> None:
        self.max_unlisted = max_unlisted
        self.ids = array("I")
        self.endpoint_counts = array("i")
        self.free_rows = array("i")
        self.index = LinearHashTable(lambda row: hash_integer(self.ids[row]))
        self.recently_unlisted: OrderedDict[int, None] = OrderedDict()

    def _find_row(self, destination: int) -> int | None:
        rows = self.index.find(hash_integer(destination))
        return next((row for row in rows if self.ids[row] == destination), None)

    def __contains__(self, destination: int) -> bool:
        return self._find_row(destination) is not None or destination in self.recently_unlisted

    def __len__(self) -> int:
        return self.index.row_count

    def add(self, destination: int) -> None:
        """Add an endpoint to a destination."""
        row = self._find_row(destination)
        if row is not None:
            self.endpoint_counts[row] += 1
            return
        self.recently_unlisted.pop(destination, None)
        if self.free_rows:
            row = self.free_rows.pop()
            self.ids[row] = destination
            self.endpoint_counts[row] = 1
        else:
            row = len(self.ids)
            self.ids.append(destination)
            self.endpoint_counts.append(1)
        self.index.add(row)

    def remove(self, destination: int) -> None:
        """Remove an endpoint from a destination."""
        row = self._find_row(destination)
        assert row is not None, "the destination has no endpoint to remove"
        self.endpoint_counts[row] -= 1
        if self.endpoint_counts[row]:
            return
        self.index.remove(row)
        self.free_rows.append(row)
        self.recently_unlisted[destination] = None
        if len(self.recently_unlisted) > self.max_unlisted:
            self.recently_unlisted.popitem(last=False)
