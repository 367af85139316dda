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
from .config import address

STATES = {"SERVING": EndpointStatus.READY, "DRAINING": EndpointStatus.DRAINING, "DELETED": EndpointStatus.GONE}
NAME = 256  # bytes of an endpoint's name
ROW = 24  # bits of a number that tell its row; those above count how often the row was used before

# A record: flags, destination, port, kind, zone, rate; the address, 4 bytes or a length and its text; the name.
NARROW, WIDE = struct.Struct("<BIHBBd"), struct.Struct("<BIHIId")
DRAINING, FAR, TEXT = 1, 2, 4  # flags: it drains; WIDE, for more than 256 kinds or zones; a host that is no address
AT = NARROW.size + 4  # where the name begins in most records


@dataclass(frozen=True, slots=True)
class EndpointAddress:
    """Where an endpoint is to be called."""

    number: int
    name: str
    host: str
    port: int
    zone: int
    destination: int


class InvalidListError(ValueError):
    """What discovery told is no list, or an older one than is known."""


def _name(record: bytes) -> bytes:
    flags = record[0]
    if not flags & (FAR | TEXT):
        return record[AT:]
    at = WIDE.size if flags & FAR else NARROW.size
    return record[at + 1 + record[at] :] if flags & TEXT else record[at + 4 :]


def _packed(destination: int, kind: int, zone: int, rate: float, host: str, port: int, name: bytes) -> bytes:
    far = kind > 255 or zone > 255
    try:
        where, flags = socket.inet_pton(socket.AF_INET, host), FAR * far
    except OSError:
        where, flags = bytes([len(host)]) + host.encode(), FAR * far | TEXT
    return (WIDE if far else NARROW).pack(flags, destination, port, kind, zone, rate) + where + name


def _entry(number: int, record: bytes, listing: EndpointStatus | None = None) -> Endpoint:
    flags, destination, _, kind, zone, rate = (WIDE if record[0] & FAR else NARROW).unpack_from(record)
    listing = listing or (EndpointStatus.DRAINING if flags & DRAINING else EndpointStatus.READY)
    return Endpoint(number, destination, listing, kind, zone, rate)


class ListedDestinations:
    """How many endpoints each destination has: 16 bytes each. Those that have none any more are remembered for a
    while."""

    def __init__(self, most: int = MAX_UNLISTED_DESTINATIONS) -> None:
        self.most = most
        self.numbers, self.endpoints = array("I"), array("i")  # by row
        self.free = array("i")
        self.index = LinearHashTable(lambda row: hash_integer(self.numbers[row]))
        self.left: OrderedDict[int, None] = OrderedDict()  # the latest `most` of them, oldest first

    def _row(self, destination: int) -> int | None:
        return next(
            (row for row in self.index.find(hash_integer(destination)) if self.numbers[row] == destination), None
        )

    def __contains__(self, destination: int) -> bool:
        return self._row(destination) is not None or destination in self.left

    def __len__(self) -> int:
        return self.index.row_count

    def add(self, destination: int) -> None:
        row = self._row(destination)
        if row is not None:
            self.endpoints[row] += 1
            return
        self.left.pop(destination, None)
        if self.free:
            row = self.free.pop()
            self.numbers[row], self.endpoints[row] = destination, 1
        else:
            row = len(self.numbers)
            self.numbers.append(destination)
            self.endpoints.append(1)
        self.index.add(row)

    def remove(self, destination: int) -> None:
        row = self._row(destination)
        assert row is not None, "a destination that was never added"
        self.endpoints[row] -= 1
        if self.endpoints[row]:
            return
        self.index.remove(row)
        self.free.append(row)
        self.left[destination] = None
        if len(self.left) > self.most:
            self.left.popitem(last=False)


class Directory:
    """Discovery's entries by name and by the number that the module knows them by. A number is never used twice, so
    an endpoint that takes over an address, or a name, shares nothing with the one before: nor does one whose
    destination changes under its name."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.zones = {name: number for number, name in enumerate(zones)}
        self.records: list[bytes | None] = []  # by row
        self.used = array("I")  # by row: how often it was used before
        self.free = array("i")
        self.names = LinearHashTable(self._hash)
        self.destinations = ListedDestinations()
        self.versions = ListVersionGuard()
        self.skipped = 0  # entries that could not be read

    def _hash(self, row: int) -> int:
        record = self.records[row]
        assert record is not None
        return hash(_name(record))

    def __len__(self) -> int:
        return self.names.row_count

    def __iter__(self) -> Iterator[int]:
        """The numbers of all endpoints. Nothing may be taken meanwhile."""
        return (self._number(row) for row, record in enumerate(self.records) if record is not None)

    def __contains__(self, number: int) -> bool:
        return self._record(number) is not None

    def _number(self, row: int) -> int:
        return self.used[row] << ROW | row + 1  # 0 is no number

    def _record(self, number: int) -> bytes | None:
        row = (number & (1 << ROW) - 1) - 1
        return self.records[row] if 0 <= row < len(self.records) and self._number(row) == number else None

    def _row(self, name: bytes) -> int | None:
        for row in self.names.find(hash(name)):
            record = self.records[row]
            if record is not None and record.endswith(name) and _name(record) == name:
                return row
        return None

    def number(self, name: str) -> int:
        """The endpoint of this name; 0 = none."""
        row = self._row(name.encode("utf-8", "surrogatepass"))
        return 0 if row is None else self._number(row)

    def place(self, number: int) -> EndpointAddress | None:
        """Where to call it; None once it has gone."""
        record = self._record(number)
        if record is None:
            return None
        layout = WIDE if record[0] & FAR else NARROW
        flags, destination, port, _, zone, _ = layout.unpack_from(record)
        at = layout.size
        host = record[at + 1 : at + 1 + record[at]].decode() if flags & TEXT else socket.inet_ntoa(record[at : at + 4])
        return EndpointAddress(number, _name(record).decode(), host, port, zone, destination)

    def entry(self, number: int) -> Endpoint | None:
        """As the module was told last; None once it has gone."""
        record = self._record(number)
        return None if record is None else _entry(number, record)

    def knows(self, destination: int) -> bool:
        """It is listed, or was a while ago."""
        return destination in self.destinations

    def begin(self, told: object, cached: bool = False) -> ListUpdate:
        """A list that begins: an object of discovery, or the members that stand before its servers. Raises NoList."""
        if not isinstance(told, dict):
            raise InvalidListError("expected an object with a list of servers")
        whole, version = bool(told.get("full")), told.get("version")
        if isinstance(version, bool) or not isinstance(version, int):
            version = None
        if not cached and not self.versions.accepts(version, whole):
            raise InvalidListError(f"version: expected {self.versions.newest} or later, found {version}")
        return ListUpdate(self, whole, version, cached)

    def take(self, told: object, cached: bool = False) -> EndpointList:
        """A whole object of discovery at once, as one event with whatever it changes. Raises NoList."""
        servers = told.get("servers") if isinstance(told, dict) else None
        if not isinstance(servers, list):
            raise InvalidListError("expected an object with a list of servers")
        reading = self.begin(told, cached)
        entries = reading.take(servers)
        while not reading.over:
            entries += reading.sweep()
        return EndpointList(ListKind.CACHED if cached else ListKind.CHANGES, tuple(entries))

    # -- rows ------------------------------------------------------------------------------------------------

    def _add(self, record: bytes, destination: int) -> int:
        if self.free:
            row = self.free.pop()
            self.records[row] = record
        else:
            row = len(self.records)
            assert row < (1 << ROW) - 1, "more endpoints than numbers tell apart"
            self.records.append(record)
            self.used.append(0)
        self.names.add(row)
        self.destinations.add(destination)
        return row

    def _drop(self, row: int) -> Endpoint:
        """It has gone: what the module is told."""
        record = self.records[row]
        assert record is not None
        gone = _entry(self._number(row), record, EndpointStatus.GONE)
        self.names.remove(row)
        self.destinations.remove(gone.destination)
        self.records[row] = None
        self.used[row] += 1
        self.free.append(row)
        return gone


class ListUpdate:
    """One list on its way into the directory: `take` each piece of its servers, then `sweep` until it is `over`.
    Entries are in force as they come, and each step tells what it changed: a change counts as told once discovery has
    written it, and an endpoint that drains must not be called while the rest of a long list is read. What a whole list
    does not name goes at its end: one that is cut or spoilt in the middle, and left, takes nothing away, and its
    version does not count."""

    def __init__(self, directory: Directory, whole: bool, version: int | None, cached: bool) -> None:
        self.directory, self.whole, self.version, self.cached = directory, whole, version, cached
        self.named = bytearray(len(directory.records) if whole else 0)  # by row
        self.swept = 0
        self.entries = self.skipped = 0
        self.fault = ""  # of the first entry that could not be read
        self.over = False

    def take(self, servers: list[Any]) -> list[Endpoint]:
        """What these entries change: the last word on each counts. One that can't be read leaves its endpoint as it
        was."""
        changed: dict[int, Endpoint] = {}
        for raw in servers:
            try:
                self._take(raw, changed)
            except (KeyError, TypeError, ValueError, OverflowError) as error:
                why = f"{error.args[0]}: missing" if isinstance(error, KeyError) else str(error)
                self.fault = self.fault or f"servers[{self.entries}]: {why}"[:200]
                self.skipped += 1
                self.directory.skipped += 1
                self._spare(raw)
            self.entries += 1
        return list(changed.values())

    def sweep(self) -> list[Endpoint]:
        """One step of its end: up to `ENTRIES` that have gone, among the next `ROWS` rows."""
        directory = self.directory
        gone: list[Endpoint] = []
        until = min(self.swept + ROWS_PER_SWEEP, len(self.named))
        while self.swept < until and len(gone) < ENTRIES_PER_EVENT:
            if not self.named[self.swept] and directory.records[self.swept] is not None:
                gone.append(directory._drop(self.swept))
            self.swept += 1
        if self.swept == len(self.named):  # which is empty for a list of changes
            self.over = True
            if not self.cached:
                directory.versions.list_read(self.version)
        return gone

    def _mark(self, row: int) -> None:
        if self.whole:
            if row >= len(self.named):
                self.named.extend(bytes(row + 1 - len(self.named)))
            self.named[row] = 1

    def _spare(self, raw: object) -> None:
        name = raw.get("id") if isinstance(raw, dict) else None
        row = self.directory._row(name.encode("utf-8", "surrogatepass")) if isinstance(name, str) else None
        if row is not None:
            self._mark(row)

    def _take(self, raw: Any, changed: dict[int, Endpoint]) -> None:
        if not isinstance(raw, dict):
            raise ValueError("expected an object")
        name = raw.get("id")
        if not isinstance(name, str) or not 0 < len(text := name.encode()) <= NAME:
            raise ValueError(f"id: expected a name of 1 to {NAME} bytes")
        directory = self.directory
        row = directory._row(text)
        listing = STATES.get(raw["state"])
        if listing is None:
            raise ValueError(f"state: expected one of {', '.join(STATES)}, found {raw['state']!r:.40}")
        if listing is EndpointStatus.GONE:
            if row is not None:
                gone = directory._drop(row)
                changed[gone.id] = gone
            return
        if row is not None and listing is EndpointStatus.DRAINING:  # that it ends is all that has to be read
            self._change(row, listing, None, changed)
            return
        record, destination = self._record(raw, text)
        before = None if row is None else directory.records[row]
        if row is not None and before is not None and NARROW.unpack_from(before)[1] != destination:
            gone = directory._drop(row)
            changed[gone.id] = gone
            row = None
        if row is None:
            row = directory._add(record, destination)
            self._change(row, listing, record, changed, new=True)
        else:
            self._change(row, listing, record, changed)

    def _change(
        self, row: int, listing: EndpointStatus, record: bytes | None, changed: dict[int, Endpoint], new: bool = False
    ) -> None:
        """Puts `record` in this row, or the one that is there, with what is told of its state."""
        self._mark(row)
        records = self.directory.records
        before = records[row]
        record = record or before
        assert before is not None and record is not None
        if listing is EndpointStatus.DRAINING and not record[0] & DRAINING:
            record = bytes([record[0] | DRAINING]) + record[1:]
        if record == before and not new:
            return
        records[row] = record
        number = self.directory._number(row)
        entry = _entry(number, record)
        if new or entry != _entry(number, before):  # else no more than its address
            changed[number] = entry

    def _record(self, raw: dict[str, Any], name: bytes) -> tuple[bytes, int]:
        host, port = address(raw["addr"], "addr")
        destination = raw["cell"]
        if isinstance(destination, bool) or not isinstance(destination, int) or not 0 <= destination < 10**9:
            raise ValueError(f"cell: expected a whole number from 0 to {10**9 - 1}, found {destination!r:.40}")
        rate = raw.get("weight") or 0.0
        if not isinstance(rate, (int, float)) or not math.isfinite(rate):
            rate = 0.0  # none is told
        directory = self.directory
        zone = directory.zones.get(str(raw.get("zone")), len(directory.zones))
        kind = directory.kinds.get(str(raw.get("kind")), len(directory.kinds))
        return _packed(destination, kind, zone, float(rate), host, port, name), destination
