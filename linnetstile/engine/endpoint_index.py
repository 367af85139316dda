"""A compact index of all endpoints that take new calls."""

from __future__ import annotations

from array import array
from collections.abc import Iterator

from .events import Endpoint, EndpointStatus
from .linear_hash import LinearHashTable, hash_integer


class EndpointIndex:
    """The endpoints that take new calls, by id and by destination: some 48 bytes each in columns, no object."""

    def __init__(self) -> None:
        self.ids, self.destination_ids, self.kinds, self.zones = array("q"), array("q"), array("I"), array("I")
        self.rates = array("d")
        self.free_rows: list[int] = []  # rows
        self.by_id, self.by_destination = LinearHashTable(self._id_hash), LinearHashTable(self._dest_hash)
        self.destination_count = 0  # that have an endpoint

    def __len__(self) -> int:
        return self.by_id.row_count

    def __iter__(self) -> Iterator[Endpoint]:
        """All of them. Nothing may be put or taken out meanwhile."""
        free = set(self.free_rows)
        return (self._entry(row) for row in range(len(self.ids)) if row not in free)

    def _id_hash(self, row: int) -> int:
        return hash_integer(self.ids[row])

    def _dest_hash(self, row: int) -> int:
        return hash_integer(self.destination_ids[row])

    def _row(self, ident: int) -> int | None:
        return next((row for row in self.by_id.find(hash_integer(ident)) if self.ids[row] == ident), None)

    def _rows(self, destination: int) -> list[int]:
        return [
            row
            for row in self.by_destination.find(hash_integer(destination))
            if self.destination_ids[row] == destination
        ]

    def _entry(self, row: int) -> Endpoint:
        return Endpoint(
            self.ids[row],
            self.destination_ids[row],
            EndpointStatus.READY,
            self.kinds[row],
            self.zones[row],
            self.rates[row],
        )

    def get(self, ident: int) -> Endpoint | None:
        row = self._row(ident)
        return None if row is None else self._entry(row)

    def endpoints_of(self, destination: int) -> list[Endpoint]:
        """The endpoints of a destination, in the order of their ids."""
        rows = self._rows(destination)
        if len(rows) > 1:
            rows.sort(key=self.ids.__getitem__)
        return [self._entry(row) for row in rows]

    def put(self, entry: Endpoint) -> None:
        """A new one, or what has changed of one."""
        row = self._row(entry.id)
        if row is not None and self.destination_ids[row] != entry.destination:
            self.pop(entry.id)
            row = None
        if row is None:
            self.destination_count += not self._rows(entry.destination)
            if not self.free_rows:
                self.free_rows.append(len(self.ids))
                for column in (self.ids, self.destination_ids, self.kinds, self.zones, self.rates):
                    column.append(0)
            row = self.free_rows.pop()
            self.ids[row], self.destination_ids[row] = entry.id, entry.destination
            self.by_id.add(row)
            self.by_destination.add(row)
        self.kinds[row], self.zones[row], self.rates[row] = entry.kind, entry.zone, entry.advertised_rate

    def pop(self, ident: int) -> None:
        """One that is in it."""
        row = self._row(ident)
        assert row is not None
        self.by_id.remove(row)
        self.by_destination.remove(row)
        self.free_rows.append(row)
        self.destination_count -= not self._rows(self.destination_ids[row])
