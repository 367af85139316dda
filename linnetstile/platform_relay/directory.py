"""The endpoints that discovery lists: one packed record each, and lists of any length taken into them in bounded steps.

An endpoint that is at rest costs some 100 bytes here (docs/design/quiet.md has the measured figure): a `bytes` of 64 or
80 in a list of rows, and its row in an index of names; a destination has 16 bytes in an index of its own. What is asked
of one is unpacked then. A list, or a change, costs what it names."""

from __future__ import annotations

import math
import socket
import struct
from array import array
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from linnetstile.engine.events import Endpoint, EndpointList, EndpointStatus, ListKind

from ..engine.linear_hash import LinearHashTable, hash_integer
from ..engine.resource_limits import MAX_UNLISTED_DESTINATIONS
from ..engine.watch_policy import ENTRIES_PER_EVENT, ROWS_PER_SWEEP, ListVersionGuard
from .config import parse_address

STATUS_BY_STATE = {"SERVING": EndpointStatus.READY, "DRAINING": EndpointStatus.DRAINING, "DELETED": EndpointStatus.GONE}
MAX_NAME_BYTES = 256  # bytes of an endpoint's name
ROW_BITS = 24  # bits of a number that tell its row; those above count how often the row was used before

# A record: flags, destination, port, kind, zone, rate; the address, 4 bytes or a length and its text; the name.
NARROW_LAYOUT, WIDE_LAYOUT = struct.Struct("<BIHBBd"), struct.Struct("<BIHIId")
FLAG_DRAINING, FLAG_WIDE, FLAG_TEXT_HOST = (
    1,
    2,
    4,
)  # flags: it drains; WIDE, for more than 256 kinds or zones; a host that is no address
NAME_OFFSET = NARROW_LAYOUT.size + 4  # where the name begins in most records


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """Where an endpoint is to be called."""

    id: int
    name: str
    host: str
    port: int
    zone: int
    destination: int


class InvalidListError(ValueError):
    """What discovery told is no list, or an older one than is known."""


def _record_name(record: bytes) -> bytes:
    flags = record[0]
    if not flags & (FLAG_WIDE | FLAG_TEXT_HOST):
        return record[NAME_OFFSET:]
    at = WIDE_LAYOUT.size if flags & FLAG_WIDE else NARROW_LAYOUT.size
    return record[at + 1 + record[at] :] if flags & FLAG_TEXT_HOST else record[at + 4 :]


def _pack_record(destination: int, kind: int, zone: int, rate: float, host: str, port: int, name: bytes) -> bytes:
    is_wide = kind > 255 or zone > 255
    try:
        host_bytes, flags = socket.inet_pton(socket.AF_INET, host), FLAG_WIDE * is_wide
    except OSError:
        host_bytes, flags = bytes([len(host)]) + host.encode(), FLAG_WIDE * is_wide | FLAG_TEXT_HOST
    return (
        (WIDE_LAYOUT if is_wide else NARROW_LAYOUT).pack(flags, destination, port, kind, zone, rate) + host_bytes + name
    )


def _endpoint_from_record(number: int, record: bytes, status: EndpointStatus | None = None) -> Endpoint:
    flags, destination, _, kind, zone, rate = (WIDE_LAYOUT if record[0] & FLAG_WIDE else NARROW_LAYOUT).unpack_from(
        record
    )
    status = status or (EndpointStatus.DRAINING if flags & FLAG_DRAINING else EndpointStatus.READY)
    return Endpoint(number, destination, status, kind, zone, rate)


class ListedDestinations:
    """How many endpoints each destination has: 16 bytes each. Those that have none any more are remembered for a
    while."""

    def __init__(self, most: int = MAX_UNLISTED_DESTINATIONS) -> None:
        self.max_unlisted = most
        self.ids, self.endpoint_counts = array("I"), array("i")  # by row
        self.free_rows = array("i")
        self.index = LinearHashTable(lambda row: hash_integer(self.ids[row]))
        self.recently_unlisted: OrderedDict[int, None] = OrderedDict()  # the latest `most` of them, oldest first

    def _find_row(self, destination: int) -> int | None:
        return next((row for row in self.index.find(hash_integer(destination)) if self.ids[row] == destination), None)

    def __contains__(self, destination: int) -> bool:
        return self._find_row(destination) is not None or destination in self.recently_unlisted

    def __len__(self) -> int:
        return self.index.row_count

    def add(self, destination: int) -> None:
        row = self._find_row(destination)
        if row is not None:
            self.endpoint_counts[row] += 1
            return
        self.recently_unlisted.pop(destination, None)
        if self.free_rows:
            row = self.free_rows.pop()
            self.ids[row], self.endpoint_counts[row] = destination, 1
        else:
            row = len(self.ids)
            self.ids.append(destination)
            self.endpoint_counts.append(1)
        self.index.add(row)

    def remove(self, destination: int) -> None:
        row = self._find_row(destination)
        assert row is not None, "a destination that was never added"
        self.endpoint_counts[row] -= 1
        if self.endpoint_counts[row]:
            return
        self.index.remove(row)
        self.free_rows.append(row)
        self.recently_unlisted[destination] = None
        if len(self.recently_unlisted) > self.max_unlisted:
            self.recently_unlisted.popitem(last=False)


class Directory:
    """Discovery's entries by name and by the number that the module knows them by. A number is never used twice, so
    an endpoint that takes over an address, or a name, shares nothing with the one before: nor does one whose
    destination changes under its name."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.zones = {name: number for number, name in enumerate(zones)}
        self.records: list[bytes | None] = []  # by row
        self.generations = array("I")  # by row: how often it was used before
        self.free_rows = array("i")
        self.name_index = LinearHashTable(self._hash)
        self.destinations = ListedDestinations()
        self.version_guard = ListVersionGuard()
        self.skipped_entries = 0  # entries that could not be read

    def _hash(self, row: int) -> int:
        record = self.records[row]
        assert record is not None
        return hash(_record_name(record))

    def __len__(self) -> int:
        return self.name_index.row_count

    def __iter__(self) -> Iterator[int]:
        """The numbers of all endpoints. Nothing may be taken meanwhile."""
        return (self.row_id(row) for row, record in enumerate(self.records) if record is not None)

    def __contains__(self, number: int) -> bool:
        return self._record_of(number) is not None

    def row_id(self, row: int) -> int:
        return self.generations[row] << ROW_BITS | row + 1  # 0 is no number

    def _record_of(self, number: int) -> bytes | None:
        row = (number & (1 << ROW_BITS) - 1) - 1
        return self.records[row] if 0 <= row < len(self.records) and self.row_id(row) == number else None

    def find_row(self, name: bytes) -> int | None:
        for row in self.name_index.find(hash(name)):
            record = self.records[row]
            if record is not None and record.endswith(name) and _record_name(record) == name:
                return row
        return None

    def number(self, name: str) -> int:
        """The endpoint of this name; 0 = none."""
        row = self.find_row(name.encode("utf-8", "surrogatepass"))
        return 0 if row is None else self.row_id(row)

    def place(self, number: int) -> EndpointAddress | None:
        """Where to call it; None once it has gone."""
        record = self._record_of(number)
        if record is None:
            return None
        layout = WIDE_LAYOUT if record[0] & FLAG_WIDE else NARROW_LAYOUT
        flags, destination, port, _, zone, _ = layout.unpack_from(record)
        at = layout.size
        host = (
            record[at + 1 : at + 1 + record[at]].decode()
            if flags & FLAG_TEXT_HOST
            else socket.inet_ntoa(record[at : at + 4])
        )
        return EndpointAddress(number, _record_name(record).decode(), host, port, zone, destination)

    def endpoint(self, number: int) -> Endpoint | None:
        """As the module was told last; None once it has gone."""
        record = self._record_of(number)
        return None if record is None else _endpoint_from_record(number, record)

    def knows(self, destination: int) -> bool:
        """It is listed, or was a while ago."""
        return destination in self.destinations

    def begin(self, raw_list: object, cached: bool = False) -> ListUpdate:
        """A list that begins: an object of discovery, or the members that stand before its servers. Raises NoList."""
        if not isinstance(raw_list, dict):
            raise InvalidListError("expected an object with a list of servers")
        is_full, version = bool(raw_list.get("full")), raw_list.get("version")
        if isinstance(version, bool) or not isinstance(version, int):
            version = None
        if not cached and not self.version_guard.accepts(version, is_full):
            raise InvalidListError(f"version: expected {self.version_guard.newest} or later, found {version}")
        return ListUpdate(self, is_full, version, cached)

    def take(self, raw_list: object, cached: bool = False) -> EndpointList:
        """A whole object of discovery at once, as one event with whatever it changes. Raises NoList."""
        servers = raw_list.get("servers") if isinstance(raw_list, dict) else None
        if not isinstance(servers, list):
            raise InvalidListError("expected an object with a list of servers")
        reading = self.begin(raw_list, cached)
        entries = reading.take(servers)
        while not reading.over:
            entries += reading.sweep()
        return EndpointList(ListKind.CACHED if cached else ListKind.CHANGES, tuple(entries))

    # -- rows ------------------------------------------------------------------------------------------------

    def add_row(self, record: bytes, destination: int) -> int:
        if self.free_rows:
            row = self.free_rows.pop()
            self.records[row] = record
        else:
            row = len(self.records)
            assert row < (1 << ROW_BITS) - 1, "more endpoints than numbers tell apart"
            self.records.append(record)
            self.generations.append(0)
        self.name_index.add(row)
        self.destinations.add(destination)
        return row

    def drop_row(self, row: int) -> Endpoint:
        """It has gone: what the module is told."""
        record = self.records[row]
        assert record is not None
        gone = _endpoint_from_record(self.row_id(row), record, EndpointStatus.GONE)
        self.name_index.remove(row)
        self.destinations.remove(gone.destination)
        self.records[row] = None
        self.generations[row] += 1
        self.free_rows.append(row)
        return gone


class ListUpdate:
    """One list on its way into the directory: `take` each piece of its servers, then `sweep` until it is `over`.
    Entries are in force as they come, and each step tells what it changed: a change counts as told once discovery has
    written it, and an endpoint that drains must not be called while the rest of a long list is read. What a whole list
    does not name goes at its end: one that is cut or spoilt in the middle, and left, takes nothing away, and its
    version does not count."""

    def __init__(self, directory: Directory, is_full: bool, version: int | None, cached: bool) -> None:
        self.directory, self.is_full, self.version, self.cached = directory, is_full, version, cached
        self.named_rows = bytearray(len(directory.records) if is_full else 0)  # by row
        self.next_row = 0
        self.entries_read = self.entries_skipped = 0
        self.first_fault = ""  # of the first entry that could not be read
        self.over = False

    def take(self, servers: list[Any]) -> list[Endpoint]:
        """What these entries change: the last word on each counts. One that can't be read leaves its endpoint as it
        was."""
        changed: dict[int, Endpoint] = {}
        for raw in servers:
            try:
                self._apply_entry(raw, changed)
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                why = f"{error.args[0]}: missing" if isinstance(error, KeyError) else str(error)
                self.first_fault = self.first_fault or f"servers[{self.entries_read}]: {why}"[:200]
                self.entries_skipped += 1
                self.directory.skipped_entries += 1
                self._keep_endpoint(raw)
            self.entries_read += 1
        return list(changed.values())

    def sweep(self) -> list[Endpoint]:
        """One step of its end: up to `ENTRIES` that have gone, among the next `ROWS` rows."""
        directory = self.directory
        gone: list[Endpoint] = []
        until = min(self.next_row + ROWS_PER_SWEEP, len(self.named_rows))
        while self.next_row < until and len(gone) < ENTRIES_PER_EVENT:
            if not self.named_rows[self.next_row] and directory.records[self.next_row] is not None:
                gone.append(directory.drop_row(self.next_row))
            self.next_row += 1
        if self.next_row == len(self.named_rows):  # which is empty for a list of changes
            self.over = True
            if not self.cached:
                directory.version_guard.list_read(self.version)
        return gone

    def _mark_named(self, row: int) -> None:
        if self.is_full:
            if row >= len(self.named_rows):
                self.named_rows.extend(bytes(row + 1 - len(self.named_rows)))
            self.named_rows[row] = 1

    def _keep_endpoint(self, raw: object) -> None:
        name = raw.get("id") if isinstance(raw, dict) else None
        row = self.directory.find_row(name.encode("utf-8", "surrogatepass")) if isinstance(name, str) else None
        if row is not None:
            self._mark_named(row)

    def _apply_entry(self, raw: Any, changed: dict[int, Endpoint]) -> None:
        if not isinstance(raw, dict):
            raise ValueError("expected an object")
        name = raw.get("id")
        if not isinstance(name, str) or not 0 < len(text := name.encode()) <= MAX_NAME_BYTES:
            raise ValueError(f"id: expected a name of 1 to {MAX_NAME_BYTES} bytes")
        directory = self.directory
        row = directory.find_row(text)
        status = STATUS_BY_STATE.get(raw["state"])
        if status is None:
            raise ValueError(f"state: expected one of {', '.join(STATUS_BY_STATE)}, found {raw['state']!r:.40}")
        if status is EndpointStatus.GONE:
            if row is not None:
                gone = directory.drop_row(row)
                changed[gone.id] = gone
            return
        if row is not None and status is EndpointStatus.DRAINING:  # that it ends is all that has to be read
            self._store(row, status, None, changed)
            return
        record, destination = self._record(raw, text)
        before = None if row is None else directory.records[row]
        if row is not None and before is not None and NARROW_LAYOUT.unpack_from(before)[1] != destination:
            gone = directory.drop_row(row)
            changed[gone.id] = gone
            row = None
        if row is None:
            row = directory.add_row(record, destination)
            self._store(row, status, record, changed, new=True)
        else:
            self._store(row, status, record, changed)

    def _store(
        self, row: int, status: EndpointStatus, record: bytes | None, changed: dict[int, Endpoint], new: bool = False
    ) -> None:
        """Puts `record` in this row, or the one that is there, with what is told of its state."""
        self._mark_named(row)
        records = self.directory.records
        before = records[row]
        record = record or before
        assert before is not None and record is not None
        if status is EndpointStatus.DRAINING and not record[0] & FLAG_DRAINING:
            record = bytes([record[0] | FLAG_DRAINING]) + record[1:]
        if record == before and not new:
            return
        records[row] = record
        number = self.directory.row_id(row)
        entry = _endpoint_from_record(number, record)
        if new or entry != _endpoint_from_record(number, before):  # else no more than its address
            changed[number] = entry

    def _record(self, raw: dict[str, Any], name: bytes) -> tuple[bytes, int]:
        host, port = parse_address(raw["addr"], "addr")
        destination = raw["cell"]
        if isinstance(destination, bool) or not isinstance(destination, int) or not 0 <= destination < 10**9:
            raise ValueError(f"cell: expected a whole number from 0 to {10**9 - 1}, found {destination!r:.40}")
        rate = raw.get("weight") or 0.0
        if not isinstance(rate, (int, float)) or not math.isfinite(rate):
            rate = 0.0  # none is told
        directory = self.directory
        zone = directory.zones.get(str(raw.get("zone")), len(directory.zones))
        kind = directory.kinds.get(str(raw.get("kind")), len(directory.kinds))
        return _pack_record(destination, kind, zone, float(rate), host, port, name), destination
