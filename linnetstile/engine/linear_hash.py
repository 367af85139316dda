"""A hash table of row numbers in two arrays: eight bytes a row, and it never grows in one go. No I/O, no clock.

For indexes over all there is, whose rows are kept in arrays elsewhere: a dict of 120,000 whole numbers takes some 13
MB, this 1 MB. Linear hashing (Litwin 1980): with each row that is added one chain is split, so that no step costs more
than a few rows, however many there are. Guards a relay's clients from waiting while a table of all endpoints is made
anew."""

from __future__ import annotations

from array import array
from collections.abc import Callable, Iterator

NO_ROW = -1
HASH_MULTIPLIER, WORD_MASK = 0x9E3779B97F4A7C15, 2**64 - 1  # Knuth's multiplier: the golden ratio of a word


def hash_integer(number: int) -> int:
    """A hash of a whole number whose low bits depend on all of its bits: numbers of a step of 1,024 don't meet."""
    mixed = (number * HASH_MULTIPLIER) & WORD_MASK
    return mixed ^ (mixed >> 32)


class LinearHashTable:
    """Rows by hash. `hash_of` gives the hash of a row that is in it; what equals what is judged by its user."""

    def __init__(self, hash_of: Callable[[int], int]) -> None:
        self.hash_of = hash_of
        self.heads = array("i", [NO_ROW])  # first row of each chain
        self.next_row = array("i")  # by row: the next one of its chain
        self.low_power = 1  # the largest power of two that is no more than the number of chains
        self.row_count = 0

    def _chain(self, hashed: int) -> int:
        chain = hashed & (2 * self.low_power - 1)
        return chain if chain < len(self.heads) else hashed & (self.low_power - 1)

    def find(self, hashed: int) -> Iterator[int]:
        """The rows that may be meant. Nothing may be added or removed meanwhile."""
        row = self.heads[self._chain(hashed)]
        while row != NO_ROW:
            yield row
            row = self.next_row[row]

    def add(self, row: int) -> None:
        """A row that is not in it; rows are small numbers that are used again."""
        while row >= len(self.next_row):
            self.next_row.append(NO_ROW)
        self.row_count += 1
        if self.row_count > len(self.heads):
            self._split()
        self._put(row)

    def _put(self, row: int) -> None:
        chain = self._chain(self.hash_of(row))
        self.next_row[row], self.heads[chain] = self.heads[chain], row

    def _split(self) -> None:
        if len(self.heads) == 2 * self.low_power:
            self.low_power *= 2
        old = len(self.heads) - self.low_power
        rows = []
        row, self.heads[old] = self.heads[old], NO_ROW
        while row != NO_ROW:
            rows.append(row)
            row = self.next_row[row]
        self.heads.append(NO_ROW)
        for row in reversed(rows):
            self._put(row)

    def remove(self, row: int) -> None:
        """A row that is in it, while `hash_of` still gives its hash."""
        chain = self._chain(self.hash_of(row))
        at = self.heads[chain]
        if at == row:
            self.heads[chain] = self.next_row[row]
        else:
            while self.next_row[at] != row:
                at = self.next_row[at]
            self.next_row[at] = self.next_row[row]
        self.row_count -= 1
