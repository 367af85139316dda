"""The endpoints that discovery lists, as a table of packed records with stable ids.

An idle endpoint takes about 100 bytes (docs/design/quiet.md has the measured figure): a `bytes` object of 64 or 80
bytes in the list of records, and its row in the name index. Each destination takes another 16 bytes in a separate
index. Fields are unpacked on access.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator

from ..engine.events import Endpoint, EndpointStatus
from ..engine.linear_hash import LinearHashTable
from .endpoint_record import endpoint_from_record, record_name
from .listed_destinations import ListedDestinations

ROW_BITS = 24  # low bits of an endpoint's id; the bits above hold the generation of the row
MAX_ROWS = (1 << ROW_BITS) - 1


class EndpointTable:
    """Records of endpoints by row, by id and by name.

    An id is never reused. An endpoint that takes over the address or the name of an earlier one, or whose destination
    changes, gets a new id, so the engine shares no state between the two.

    Attributes:
        records: The record in each row; None in a free row.
        generations: For each row, the number of endpoints that were removed from it.
        free_rows: Rows without an endpoint.
        name_index: Rows by the hash of their endpoint's name.
        destinations: The destinations of all endpoints.
    """

    def __init__(self) -> None:
        self.records: list[bytes | None] = []
        self.generations = array("I")
        self.free_rows = array("i")
        self.name_index = LinearHashTable(self._name_hash)
        self.destinations = ListedDestinations()

    def _name_hash(self, row: int) -> int:
        record = self.records[row]
        assert record is not None
        return hash(record_name(record))

    def __len__(self) -> int:
        return self.name_index.row_count

    def ids(self) -> Iterator[int]:
        """Yield the ids of all endpoints. The table must not change during the iteration."""
        return (self.row_id(row) for row, record in enumerate(self.records) if record is not None)

    def row_id(self, row: int) -> int:
        """Return the id of the endpoint in a row."""
        return self.generations[row] << ROW_BITS | row + 1  # never 0, which means "no endpoint"

    def record_of(self, endpoint_id: int) -> bytes | None:
        """Return the record of an endpoint; None after its removal."""
        row = (endpoint_id & MAX_ROWS) - 1
        return self.records[row] if 0 <= row < len(self.records) and self.row_id(row) == endpoint_id else None

    def find_row(self, name: bytes) -> int | None:
        """Return the row of the endpoint with this name, given in UTF-8; None if there is none."""
        for row in self.name_index.find(hash(name)):
            record = self.records[row]
            if record is not None and record.endswith(name) and record_name(record) == name:
                return row
        return None

    def add_row(self, record: bytes, destination: int) -> int:
        """Add an endpoint and return its row."""
        if self.free_rows:
            row = self.free_rows.pop()
            self.records[row] = record
        else:
            row = len(self.records)
            assert row < MAX_ROWS, "the endpoint table is full: an id cannot hold another row number"
            self.records.append(record)
            self.generations.append(0)
        self.name_index.add(row)
        self.destinations.add(destination)
        return row

    def drop_row(self, row: int) -> Endpoint:
        """Remove an endpoint and return it with the status `GONE`."""
        record = self.records[row]
        assert record is not None
        gone = endpoint_from_record(self.row_id(row), record, EndpointStatus.GONE)
        self.name_index.remove(row)
        self.destinations.remove(gone.destination)
        self.records[row] = None
        self.generations[row] += 1
        self.free_rows.append(row)
        return gone
