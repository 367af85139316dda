"""The endpoints that discovery lists: one packed record each, and lists of any length taken into them in bounded steps.

An endpoint that is idle costs some 100 bytes here (docs/design/quiet.md has the measured figure): a `bytes` of 64 or
80 in a list of rows, and its row in an index of names; a destination has 16 bytes in an index of its own. What is asked
of one is unpacked then. A list, or a change, costs what it names.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from typing import Any

from ..engine.events import Endpoint, EndpointList, EndpointStatus, ListKind
from ..engine.linear_hash import LinearHashTable
from ..engine.watch_policy import ENTRIES_PER_EVENT, ROWS_PER_SWEEP, ListVersionGuard
from ..errors import ProtocolError
from .endpoint_record import (
    EndpointAddress,
    address_from_record,
    endpoint_from_record,
    pack_record,
    record_destination,
    record_name,
    with_draining,
)
from .list_entry import entry_name, parse_details, parse_name, parse_status
from .listed_destinations import ListedDestinations

ROW_BITS = 24  # of an endpoint's id; those above count how often its row was used before
MAX_ROWS = (1 << ROW_BITS) - 1
MAX_FAULT_CHARACTERS = 200  # of a fault in the log


class InvalidListError(ProtocolError):
    """What discovery sent is no list, or an older one than is known."""


def _encoded(name: str) -> bytes:
    return name.encode("utf-8", "surrogatepass")  # what discovery tells may hold anything


class Directory:
    """Discovery's endpoints by name and by the id that the engine knows them by.

    An id is never used twice, so an endpoint that takes over an address, or a name, shares nothing with the one
    before: nor does one whose destination changes under its name.

    Attributes:
        kinds: Indexes of the settings' kinds by name.
        zones: Indexes of the settings' zones by name.
        records: The endpoints' records by row; None in a row that is free.
        generations: By row, how often it was used before.
        free_rows: Rows to be used again.
        name_index: Rows by the hash of their endpoint's name.
        destinations: The destinations of all endpoints.
        version_guard: Judges which lists count.
        skipped_entries: Entries that could not be read.
    """

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds = {name: index for index, name in enumerate(kinds)}
        self.zones = {name: index for index, name in enumerate(zones)}
        self.records: list[bytes | None] = []
        self.generations = array("I")
        self.free_rows = array("i")
        self.name_index = LinearHashTable(self._hash)
        self.destinations = ListedDestinations()
        self.version_guard = ListVersionGuard()
        self.skipped_entries = 0

    def _hash(self, row: int) -> int:
        record = self.records[row]
        assert record is not None
        return hash(record_name(record))

    def __len__(self) -> int:
        return self.name_index.row_count

    def __iter__(self) -> Iterator[int]:
        """The ids of all endpoints. No list may be read meanwhile."""
        return (self.row_id(row) for row, record in enumerate(self.records) if record is not None)

    def __contains__(self, endpoint_id: int) -> bool:
        return self._record_of(endpoint_id) is not None

    def _record_of(self, endpoint_id: int) -> bytes | None:
        row = (endpoint_id & MAX_ROWS) - 1
        return self.records[row] if 0 <= row < len(self.records) and self.row_id(row) == endpoint_id else None

    def id_of(self, name: str) -> int:
        """Return the id of the endpoint of this name; 0 = none."""
        row = self.find_row(_encoded(name))
        return 0 if row is None else self.row_id(row)

    def address_of(self, endpoint_id: int) -> EndpointAddress | None:
        """Return where to call an endpoint; None once it has gone."""
        record = self._record_of(endpoint_id)
        return None if record is None else address_from_record(endpoint_id, record)

    def endpoint(self, endpoint_id: int) -> Endpoint | None:
        """Return an endpoint as the engine knows it; None once it has gone."""
        record = self._record_of(endpoint_id)
        return None if record is None else endpoint_from_record(endpoint_id, record)

    def knows_destination(self, destination: int) -> bool:
        """Return whether a destination is listed, or was a while ago."""
        return destination in self.destinations

    # -- lists -----------------------------------------------------------------------------------------------

    def begin_update(self, raw_list: object, cached: bool = False) -> ListUpdate:
        """Begin a list: an object of discovery, or the members that stand before its servers.

        Args:
            raw_list: The object, as parsed from JSON.
            cached: It is not of discovery's watch and may be old.

        Raises:
            InvalidListError: It is no list, or none that counts.
        """
        if not isinstance(raw_list, dict):
            raise InvalidListError("expected an object with a list of servers")
        is_full, version = bool(raw_list.get("full")), raw_list.get("version")
        if isinstance(version, bool) or not isinstance(version, int):
            version = None
        if not cached and not self.version_guard.accepts(version, is_full):
            newest = self.version_guard.newest_version
            raise InvalidListError(
                f"version: expected {newest} or later, found {version}",
                field="version",
                expected=f"{newest} or later",
                found=str(version),
            )
        return ListUpdate(self, is_full=is_full, version=version, cached=cached)

    def apply_list(self, raw_list: object, cached: bool = False) -> EndpointList:
        """Read a complete object of discovery at once, as one event with whatever it changes.

        Raises:
            InvalidListError: It is no list, or none that counts.
        """
        servers = raw_list.get("servers") if isinstance(raw_list, dict) else None
        if not isinstance(servers, list):
            raise InvalidListError("expected an object with a list of servers")
        update = self.begin_update(raw_list, cached)
        changed = update.add_entries(servers)
        while not update.is_complete:
            changed += update.remove_missing()
        return EndpointList(ListKind.CACHED if cached else ListKind.CHANGES, tuple(changed))

    # -- rows, for list updates ------------------------------------------------------------------------------

    def row_id(self, row: int) -> int:
        """Return the id of the endpoint in a row."""
        return self.generations[row] << ROW_BITS | row + 1  # 0 is no id

    def find_row(self, name: bytes) -> int | None:
        """Return the row of the endpoint of this name."""
        for row in self.name_index.find(hash(name)):
            record = self.records[row]
            if record is not None and record.endswith(name) and record_name(record) == name:
                return row
        return None

    def add_row(self, record: bytes, destination: int) -> int:
        """Add an endpoint; return its row."""
        if self.free_rows:
            row = self.free_rows.pop()
            self.records[row] = record
        else:
            row = len(self.records)
            assert row < MAX_ROWS, "more endpoints than ids tell apart"
            self.records.append(record)
            self.generations.append(0)
        self.name_index.add(row)
        self.destinations.add(destination)
        return row

    def drop_row(self, row: int) -> Endpoint:
        """Remove an endpoint; return it as the engine is to know it."""
        record = self.records[row]
        assert record is not None
        gone = endpoint_from_record(self.row_id(row), record, EndpointStatus.GONE)
        self.name_index.remove(row)
        self.destinations.remove(gone.destination)
        self.records[row] = None
        self.generations[row] += 1
        self.free_rows.append(row)
        return gone


class ListUpdate:
    """One list on its way into the directory: each piece of its servers, and then its end in steps.

    Entries are in force as they come, and each step returns what it changed: a change counts as known once discovery
    has written it, and an endpoint that drains must not be called while the rest of a long list is read. What a full
    list does not name goes at its end: one that is cut or damaged in the middle, and left, takes nothing away, and its
    version does not count.

    Attributes:
        is_full: What the list does not name is no more.
        version: Of the list; None if it tells none.
        entries_read: Entries so far.
        entries_skipped: Those that could not be read.
        first_fault: Of the first entry that could not be read.
    """

    def __init__(self, directory: Directory, *, is_full: bool, version: int | None, cached: bool) -> None:
        self.directory = directory
        self.is_full = is_full
        self.version = version
        self.cached = cached
        self.named_rows = bytearray(len(directory.records) if is_full else 0)  # 1 = the list names it
        self.next_row = 0  # to be looked at by the next step of the end
        self.entries_read = self.entries_skipped = 0
        self.first_fault = ""
        self.is_complete = False  # once the list is in force, and complete

    def add_entries(self, servers: list[Any]) -> list[Endpoint]:
        """Read some entries; the last word on each endpoint counts.

        An entry that cannot be read leaves its endpoint as it was.

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
        why = f"{error.args[0]}: missing" if isinstance(error, KeyError) else str(error)
        self.first_fault = self.first_fault or f"servers[{self.entries_read}]: {why}"[:MAX_FAULT_CHARACTERS]
        self.entries_skipped += 1
        self.directory.skipped_entries += 1
        name = entry_name(raw)
        row = None if name is None else self.directory.find_row(_encoded(name))
        if row is not None:
            self._mark_named(row)

    def remove_missing(self) -> list[Endpoint]:
        """Take one step of the list's end: remove endpoints that a full list did not name.

        Returns:
            Up to `ENTRIES_PER_EVENT` that have gone, among the next `ROWS_PER_SWEEP` rows.
        """
        directory = self.directory
        gone: list[Endpoint] = []
        until = min(self.next_row + ROWS_PER_SWEEP, len(self.named_rows))
        while self.next_row < until and len(gone) < ENTRIES_PER_EVENT:
            if not self.named_rows[self.next_row] and directory.records[self.next_row] is not None:
                gone.append(directory.drop_row(self.next_row))
            self.next_row += 1
        if self.next_row == len(self.named_rows):  # which is empty for a list of changes
            self.is_complete = True
            if not self.cached:
                directory.version_guard.list_read(self.version)
        return gone

    def _mark_named(self, row: int) -> None:
        if self.is_full:
            if row >= len(self.named_rows):
                self.named_rows.extend(bytes(row + 1 - len(self.named_rows)))
            self.named_rows[row] = 1

    def _apply_entry(self, raw: Any, changed: dict[int, Endpoint]) -> None:
        directory = self.directory
        name = parse_name(raw)
        status = parse_status(raw)
        row = directory.find_row(name)
        if status is EndpointStatus.GONE:
            if row is not None:
                self._drop(row, changed)
            return
        if row is not None and status is EndpointStatus.DRAINING:  # that it ends is all that has to be read
            self._store(row, status, None, changed)
            return
        details = parse_details(raw, directory.kinds, directory.zones)
        record = pack_record(name, details)
        if row is not None and self._has_moved(row, record, details.destination):
            self._drop(row, changed)
            row = None
        is_new = row is None
        if row is None:
            row = directory.add_row(record, details.destination)
        self._store(row, status, record, changed, is_new=is_new)

    def _has_moved(self, row: int, record: bytes, destination: int) -> bool:
        before = self.directory.records[row]
        return before is not None and before != record and record_destination(before) != destination

    def _drop(self, row: int, changed: dict[int, Endpoint]) -> None:
        gone = self.directory.drop_row(row)
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
        """Put `record` in a row, or leave the one that is there, with its new status."""
        self._mark_named(row)
        records = self.directory.records
        before = records[row]
        record = record or before
        assert before is not None
        assert record is not None
        if status is EndpointStatus.DRAINING:
            record = with_draining(record)
        if record == before and not is_new:
            return
        records[row] = record
        endpoint_id = self.directory.row_id(row)
        endpoint = endpoint_from_record(endpoint_id, record)
        if is_new or endpoint != endpoint_from_record(endpoint_id, before):  # else no more than its address
            changed[endpoint_id] = endpoint
