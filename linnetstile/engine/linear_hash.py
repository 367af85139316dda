"""A compact hash table of row numbers that grows in small steps. No I/O and no clock.

It is used by indexes of all endpoints, which keep the rows in their own arrays. The table itself consists of two arrays
with eight bytes per row: a dict of 120,000 integers takes about 13 MB, this table 1 MB. Linear hashing (Litwin 1980)
splits at most one chain for each row that is added, so the cost of a step does not depend on the size of the table, and
clients never wait for a rebuild of a table of all endpoints.
"""

from __future__ import annotations

from array import array
from collections.abc import Callable, Iterator

NO_ROW = -1
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # Knuth's multiplicative hashing: 2**64 divided by the golden ratio
WORD_MASK = 2**64 - 1
HALF_WORD_BITS = 32


def hash_integer(number: int) -> int:
    """Return a hash whose low bits depend on all bits of the number, so that multiples of 1,024 do not collide."""
    mixed = (number * HASH_MULTIPLIER) & WORD_MASK
    return mixed ^ (mixed >> HALF_WORD_BITS)


class LinearHashTable:
    """Row numbers by hash; the caller compares the rows that are found with the key.

    Invariants: each row that was added is in the chain of its hash exactly once; the number of chains is at least
    `base_chain_count` and at most twice `base_chain_count`.

    Attributes:
        hash_of: Returns the hash of a row that is in the table.
        heads: First row of each chain.
        next_row: For each row, the next row of its chain.
        base_chain_count: A power of two. Chain number `base_chain_count + i` was split off chain number `i`.
        row_count: Number of rows in the table.
    """

    def __init__(self, hash_of: Callable[[int], int]) -> None:
        self.hash_of = hash_of
        self.heads = array("i", [NO_ROW])
        self.next_row = array("i")
        self.base_chain_count = 1
        self.row_count = 0

    def _chain(self, hash_value: int) -> int:
        chain = hash_value & (2 * self.base_chain_count - 1)
        return chain if chain < len(self.heads) else hash_value & (self.base_chain_count - 1)

    def find(self, hash_value: int) -> Iterator[int]:
        """Iterate over the rows that may have this hash. The table must not change during the iteration."""
        row = self.heads[self._chain(hash_value)]
        while row != NO_ROW:
            yield row
            row = self.next_row[row]

    def add(self, row: int) -> None:
        """Add a row that is not in the table. Rows are small integers; the number of a removed row may be reused."""
        while row >= len(self.next_row):
            self.next_row.append(NO_ROW)
        self.row_count += 1
        if self.row_count > len(self.heads):
            self._split()
        self._link(row)

    def _link(self, row: int) -> None:
        """Put a row at the head of its chain."""
        chain = self._chain(self.hash_of(row))
        self.next_row[row] = self.heads[chain]
        self.heads[chain] = row

    def _split(self) -> None:
        """Add a chain by splitting an existing one, and divide the rows between the two."""
        if len(self.heads) == 2 * self.base_chain_count:
            self.base_chain_count *= 2
        split_chain = len(self.heads) - self.base_chain_count
        rows = []
        row = self.heads[split_chain]
        self.heads[split_chain] = NO_ROW
        while row != NO_ROW:
            rows.append(row)
            row = self.next_row[row]
        self.heads.append(NO_ROW)
        for row in reversed(rows):  # the last row first: linking at the head then keeps the order within a chain
            self._link(row)

    def remove(self, row: int) -> None:
        """Remove a row that is in the table; `hash_of` must still return the hash with which it was added."""
        chain = self._chain(self.hash_of(row))
        previous = self.heads[chain]
        if previous == row:
            self.heads[chain] = self.next_row[row]
        else:
            while self.next_row[previous] != row:
                previous = self.next_row[previous]
            self.next_row[previous] = self.next_row[row]
        self.row_count -= 1
