"""A hash table of row numbers in two arrays: eight bytes a row, and it grows in small steps. No I/O and no clock.

It serves indexes of all endpoints, whose rows are kept in arrays elsewhere: a dict of 120,000 integers takes some
13 MB, this table 1 MB. Linear hashing (Litwin 1980) splits one chain with each row that is added, so that no step costs
more than a few rows, however many there are, and clients never wait while a table of all endpoints is rebuilt.
"""

from __future__ import annotations

from array import array
from collections.abc import Callable, Iterator

NO_ROW = -1
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # Knuth's multiplier: the golden ratio of a 64-bit word
WORD_MASK = 2**64 - 1
HALF_WORD_BITS = 32


def hash_integer(number: int) -> int:
    """Return a hash whose low bits depend on all bits of the number: multiples of 1,024 do not collide."""
    mixed = (number * HASH_MULTIPLIER) & WORD_MASK
    return mixed ^ (mixed >> HALF_WORD_BITS)


class LinearHashTable:
    """Rows by hash; which rows are equal is up to the user.

    Invariants: each row that was added is in the chain of its hash, once; the number of chains lies between `low_power`
    and twice that.

    Attributes:
        hash_of: Gives the hash of a row that is in the table.
        heads: First row of each chain.
        next_row: For each row the next one of its chain.
        low_power: A power of two; chains from it on were split off those that are so much lower.
        row_count: Rows in the table.
    """

    def __init__(self, hash_of: Callable[[int], int]) -> None:
        self.hash_of = hash_of
        self.heads = array("i", [NO_ROW])
        self.next_row = array("i")
        self.low_power = 1
        self.row_count = 0

    def _chain(self, hash_value: int) -> int:
        chain = hash_value & (2 * self.low_power - 1)
        return chain if chain < len(self.heads) else hash_value & (self.low_power - 1)

    def find(self, hash_value: int) -> Iterator[int]:
        """Iterate over the rows that may have this hash. The table must not change meanwhile."""
        row = self.heads[self._chain(hash_value)]
        while row != NO_ROW:
            yield row
            row = self.next_row[row]

    def add(self, row: int) -> None:
        """Add a row that is not in the table; rows are small integers that get reused."""
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
        """Add a chain, and divide the rows of the one that it splits between the two."""
        if len(self.heads) == 2 * self.low_power:
            self.low_power *= 2
        split_chain = len(self.heads) - self.low_power
        rows = []
        row = self.heads[split_chain]
        self.heads[split_chain] = NO_ROW
        while row != NO_ROW:
            rows.append(row)
            row = self.next_row[row]
        self.heads.append(NO_ROW)
        for row in reversed(rows):  # from the last one, so that the order within a chain stays
            self._link(row)

    def remove(self, row: int) -> None:
        """Remove a row that is in the table, while `hash_of` still gives its hash."""
        chain = self._chain(self.hash_of(row))
        previous = self.heads[chain]
        if previous == row:
            self.heads[chain] = self.next_row[row]
        else:
            while self.next_row[previous] != row:
                previous = self.next_row[previous]
            self.next_row[previous] = self.next_row[row]
        self.row_count -= 1
