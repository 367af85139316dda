"""Applies one list from discovery to the endpoint table, in steps of bounded work."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ..engine.events import Endpoint, EndpointStatus
from ..engine.watch_policy import ENTRIES_PER_EVENT, ROWS_PER_REMOVAL_STEP, ListVersionGuard
from ..errors import ProtocolError
from .endpoint_record import endpoint_from_record, pack_record, record_destination, record_host_port, with_draining
from .endpoint_table import EndpointTable
from .list_entry import encode_name, entry_name, parse_details, parse_name, parse_status

MAX_FAULT_CHARACTERS = 200  # the logged fault of an entry is cut to this length


class InvalidListError(ProtocolError):
    """Discovery sent data that is not a list, or a list that is older than the last one read."""


class ListUpdate:
    """One list that is being read: first its entries in any number of parts, then the removal of missing endpoints.

    Each entry takes effect immediately, and each step returns the endpoints that it changed. Discovery treats a change
    as known once it has written it, so a draining endpoint must not be called while the rest of a long list is read.
    Endpoints that a full list does not name are removed only after its last entry, so a truncated or malformed list
    removes no missing endpoint, and its version is not recorded.

    Attributes:
        is_full: Whether the list names all endpoints.
        version: Version of the list; None if it has none.
        entries_read: Number of entries so far, including skipped ones.
        entries_skipped: Number of entries that could not be read.
        first_fault: Fault of the first entry that could not be read; empty if there is none.
        is_complete: Whether the list has been read to its end.
    """

    def __init__(
        self,
        table: EndpointTable,
        *,
        kinds: Mapping[str, int],
        zones: Mapping[str, int],
        is_full: bool,
        version: int | None,
        version_guard: ListVersionGuard | None,
        on_entry_skipped: Callable[[], None],
    ) -> None:
        """Begin to read a list.

        Args:
            table: The endpoints.
            kinds: Index of each kind of destination, by its name.
            zones: Index of each zone, by its name.
            is_full: Whether the list names all endpoints.
            version: Version of the list; None if it has none.
            version_guard: Records the version at the end of the list; None if the version must not be recorded.
            on_entry_skipped: Called for each entry that could not be read.
        """
        self.is_full = is_full
        self.version = version
        self.entries_read = 0
        self.entries_skipped = 0
        self.first_fault = ""
        self.is_complete = False
        self._table = table
        self._kinds = kinds
        self._zones = zones
        self._version_guard = version_guard
        self._on_entry_skipped = on_entry_skipped
        # For a full list, one byte per row: 1 once the list has named the row's endpoint. Empty for a list of changes.
        self._named_rows = bytearray(len(table.records) if is_full else 0)
        self._next_row = 0  # the next row that `remove_missing` checks

    # -- entries ---------------------------------------------------------------------------------------------

    def add_entries(self, servers: list[Any]) -> list[Endpoint]:
        """Apply the next entries of the list in order; a later entry for an endpoint overrides an earlier one.

        An entry that cannot be read is skipped, and its endpoint does not change.

        Returns:
            The endpoints that changed.
        """
        changed: dict[int, Endpoint] = {}
        for raw in servers:
            try:
                self._apply_entry(raw, changed)
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                self._skip_entry(raw, error)
            self.entries_read += 1
        return list(changed.values())

    def _skip_entry(self, raw: object, error: Exception) -> None:
        reason = f"{error.args[0]}: missing" if isinstance(error, KeyError) else str(error)
        self.first_fault = self.first_fault or f"servers[{self.entries_read}]: {reason}"[:MAX_FAULT_CHARACTERS]
        self.entries_skipped += 1
        self._on_entry_skipped()
        name = entry_name(raw)
        row = None if name is None else self._table.find_row(encode_name(name))
        if row is not None:
            self._mark_named(row)

    def _apply_entry(self, raw: Any, changed: dict[int, Endpoint]) -> None:
        name = parse_name(raw)
        status = parse_status(raw)
        row = self._table.find_row(name)
        if status is EndpointStatus.GONE:
            if row is not None:
                self._drop(row, changed)
            return
        if row is not None and status is EndpointStatus.DRAINING:  # the other fields are ignored
            self._store(row, status, None, changed)
            return
        details = parse_details(raw, self._kinds, self._zones)
        record = pack_record(name, details)
        if row is not None and self._has_moved(row, record, details.destination):
            self._drop(row, changed)
            row = None
        is_new = row is None
        if row is None:
            row = self._table.add_row(record, details.destination)
        self._store(row, status, record, changed, is_new=is_new)

    def _has_moved(self, row: int, record: bytes, destination: int) -> bool:
        """Return whether the new record assigns the endpoint in a row to another destination or address.

        It is another process then: calls that are not on the wire yet must not reach whoever has the old address now.
        """
        old_record = self._table.records[row]
        if old_record is None or old_record == record:
            return False
        return record_destination(old_record) != destination or record_host_port(old_record) != record_host_port(record)

    def _drop(self, row: int, changed: dict[int, Endpoint]) -> None:
        gone = self._table.drop_row(row)
        changed[gone.id] = gone

    def _store(
        self,
        row: int,
        status: EndpointStatus,
        record: bytes | None,
        changed: dict[int, Endpoint],
        *,
        is_new: bool = False,
    ) -> None:
        """Store a record with a status in a row; if `record` is None, only the status of the stored record changes."""
        self._mark_named(row)
        records = self._table.records
        old_record = records[row]
        record = record or old_record
        assert old_record is not None
        assert record is not None
        if status is EndpointStatus.DRAINING:
            record = with_draining(record)
        if record == old_record and not is_new:
            return
        records[row] = record
        endpoint_id = self._table.row_id(row)
        endpoint = endpoint_from_record(endpoint_id, record)
        if is_new or endpoint != endpoint_from_record(endpoint_id, old_record):
            changed[endpoint_id] = endpoint

    def _mark_named(self, row: int) -> None:
        """Record that a full list names the endpoint in a row."""
        if self.is_full:
            if row >= len(self._named_rows):
                self._named_rows.extend(bytes(row + 1 - len(self._named_rows)))
            self._named_rows[row] = 1

    # -- end of the list -------------------------------------------------------------------------------------

    def remove_missing(self) -> list[Endpoint]:
        """Check the next rows and remove the endpoints that a full list did not name.

        The last call completes the list and records its version.

        Returns:
            The removed endpoints: at most `ENTRIES_PER_EVENT`, from at most `ROWS_PER_REMOVAL_STEP` rows.
        """
        table = self._table
        gone: list[Endpoint] = []
        end_row = min(self._next_row + ROWS_PER_REMOVAL_STEP, len(self._named_rows))
        while self._next_row < end_row and len(gone) < ENTRIES_PER_EVENT:
            if not self._named_rows[self._next_row] and table.records[self._next_row] is not None:
                gone.append(table.drop_row(self._next_row))
            self._next_row += 1
        if self._next_row == len(self._named_rows):
            self.is_complete = True
            if self._version_guard is not None:
                self._version_guard.list_read(self.version)
        return gone
