"""A compact index of all endpoints that accept new requests. No I/O and no clock."""

from __future__ import annotations

from array import array
from collections.abc import Iterator

from .events import Endpoint, EndpointStatus
from .linear_hash import LinearHashTable, hash_integer


class EndpointIndex:
    """The endpoints that accept new requests, by id and by destination.

    An endpoint takes about 48 bytes in columns, without a Python object. A row is an index into the columns; `Endpoint`
    objects are created on demand.

    Invariant: a row is either in `free_rows` or in both hash tables.

    Attributes:
        ids: Column of the endpoints' ids.
        destination_ids: Column of their destinations.
        kinds: Column of the indexes of their destination kinds.
        zones: Column of their zones.
        rates: Column of their advertised rates.
        free_rows: Rows that are not in use.
        by_id: Rows by the hash of the id.
        by_destination: Rows by the hash of the destination.
        destination_count: Destinations that have an endpoint.
    """

    def __init__(self) -> None:
        self.ids = array("q")
        self.destination_ids = array("q")
        self.kinds = array("I")
        self.zones = array("I")
        self.rates = array("d")
        self.free_rows: list[int] = []
        self.by_id = LinearHashTable(self._id_hash)
        self.by_destination = LinearHashTable(self._destination_hash)
        self.destination_count = 0

    def __len__(self) -> int:
        """Return the number of endpoints."""
        return self.by_id.row_count

    def __iter__(self) -> Iterator[Endpoint]:
        """Iterate over all endpoints. The index must not change during the iteration."""
        free = set(self.free_rows)
        return (self._endpoint_at(row) for row in range(len(self.ids)) if row not in free)

    def _id_hash(self, row: int) -> int:
        return hash_integer(self.ids[row])

    def _destination_hash(self, row: int) -> int:
        return hash_integer(self.destination_ids[row])

    def _row_of(self, endpoint_id: int) -> int | None:
        rows = self.by_id.find(hash_integer(endpoint_id))
        return next((row for row in rows if self.ids[row] == endpoint_id), None)

    def _rows_of(self, destination: int) -> list[int]:
        rows = self.by_destination.find(hash_integer(destination))
        return [row for row in rows if self.destination_ids[row] == destination]

    def _endpoint_at(self, row: int) -> Endpoint:
        return Endpoint(
            id=self.ids[row],
            destination=self.destination_ids[row],
            status=EndpointStatus.READY,
            kind=self.kinds[row],
            zone=self.zones[row],
            advertised_rate=self.rates[row],
        )

    def get(self, endpoint_id: int) -> Endpoint | None:
        """Return an endpoint, or None if it is not in the index."""
        row = self._row_of(endpoint_id)
        return None if row is None else self._endpoint_at(row)

    def endpoints_of(self, destination: int) -> list[Endpoint]:
        """Return the endpoints of a destination, in the order of their ids."""
        rows = self._rows_of(destination)
        if len(rows) > 1:
            rows.sort(key=self.ids.__getitem__)
        return [self._endpoint_at(row) for row in rows]

    def put(self, endpoint: Endpoint) -> None:
        """Add an endpoint, or update the one with its id."""
        row = self._row_of(endpoint.id)
        if row is not None and self.destination_ids[row] != endpoint.destination:
            self.pop(endpoint.id)
            row = None
        if row is None:
            row = self._insert(endpoint.id, endpoint.destination)
        self.kinds[row] = endpoint.kind
        self.zones[row] = endpoint.zone
        self.rates[row] = endpoint.advertised_rate

    def _insert(self, endpoint_id: int, destination: int) -> int:
        """Add a new endpoint to a free row and to both hash tables; return the row."""
        self.destination_count += not self._rows_of(destination)
        if not self.free_rows:
            self._append_row()
        row = self.free_rows.pop()
        self.ids[row] = endpoint_id
        self.destination_ids[row] = destination
        self.by_id.add(row)
        self.by_destination.add(row)
        return row

    def _append_row(self) -> None:
        self.free_rows.append(len(self.ids))
        for column in (self.ids, self.destination_ids, self.kinds, self.zones, self.rates):
            column.append(0)

    def pop(self, endpoint_id: int) -> None:
        """Remove an endpoint that is in the index."""
        row = self._row_of(endpoint_id)
        assert row is not None, f"endpoint {endpoint_id} is not in the index"
        self.by_id.remove(row)
        self.by_destination.remove(row)
        self.free_rows.append(row)
        self.destination_count -= not self._rows_of(self.destination_ids[row])
