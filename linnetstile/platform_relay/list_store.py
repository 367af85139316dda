"""The list of endpoints in the state folder: what a relay was told, for the process that follows it.

A process that starts while discovery is silent goes by this list. The cached list of the configuration may be older,
and name addresses that other endpoints have by now. The file is replaced atomically; a damaged one is not used.

The file has a magic number, the length and the CRC-32 of the rest, a JSON object with the version and the names that
records refer to by index, and the records of `endpoint_record`, each with its length.
"""

from __future__ import annotations

import contextlib
import json
import os
import struct
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .endpoint_record import address_from_record, endpoint_from_record
from .list_entry import ENTRIES_KEY, FULL_KEY, STATUS_BY_STATE, VERSION_KEY

FILE_NAME = "endpoints"
NEW_FILE_NAME = "endpoints.new"  # renamed to the list once it is complete
MAGIC = b"LSL1"
FILE_HEAD = struct.Struct("<4sII")  # magic number, length and CRC-32 of what follows
LENGTH = struct.Struct("<I")  # of the JSON object, and of each record
STATE_BY_STATUS = {status: state for state, status in STATUS_BY_STATE.items()}


@dataclass(frozen=True, slots=True)
class StoredNames:
    """What the file says besides the endpoints.

    Attributes:
        version: Version of the list; None if it is not known.
        kinds: Names of the kinds of destinations, by their index in records.
        zones: Names of the zones, by their index in records.
    """

    version: int | None
    kinds: tuple[str, ...]
    zones: tuple[str, ...]


def newer_list(stored: dict[str, Any] | None, known: dict[str, Any]) -> dict[str, Any]:
    """Return the list by which a process starts: the stored one, unless the configuration has a later version."""
    if stored is None:
        return known
    stored_version, known_version = stored.get(VERSION_KEY), known.get(VERSION_KEY)
    if isinstance(stored_version, int) and isinstance(known_version, int) and known_version > stored_version:
        return known
    return stored


class ListStore:
    """Writes and reads the list of endpoints.

    Attributes:
        max_bytes: Size above which a list is not kept; the file is removed then.
        failed_writes: Number of lists that could not be written.
    """

    def __init__(self, folder: Path, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.failed_writes = 0
        self._path = folder / FILE_NAME
        self._new_path = folder / NEW_FILE_NAME

    def write(self, names: StoredNames, records: Iterable[bytes]) -> None:
        """Replace the file by this list; if that fails or the list is too long, there is no file afterwards."""
        content = _encode(names, records, self.max_bytes)
        try:
            if content is None:
                self._path.unlink(missing_ok=True)
                return
            self._new_path.write_bytes(content)
            os.rename(self._new_path, self._path)
        except OSError:
            self.failed_writes += 1
            for path in (self._new_path, self._path):  # the list on disk is older than the one that the relay goes by
                with contextlib.suppress(OSError):
                    path.unlink(missing_ok=True)

    def read(self) -> dict[str, Any] | None:
        """Return the list in discovery's form; None without one that is whole."""
        try:
            self._new_path.unlink(missing_ok=True)
            content = self._path.read_bytes()
        except OSError:
            return None
        return _decode(content)


def _encode(names: StoredNames, records: Iterable[bytes], max_bytes: int) -> bytes | None:
    """Return the content of the file; None if it would be longer than `max_bytes`."""
    head = json.dumps([names.version, names.kinds, names.zones]).encode()
    parts = [LENGTH.pack(len(head)), head]
    size = FILE_HEAD.size + LENGTH.size + len(head)
    for record in records:
        size += LENGTH.size + len(record)
        if size > max_bytes:
            return None
        parts += (LENGTH.pack(len(record)), record)
    body = b"".join(parts)
    return FILE_HEAD.pack(MAGIC, len(body), zlib.crc32(body)) + body


def _decode(content: bytes) -> dict[str, Any] | None:
    if len(content) < FILE_HEAD.size:
        return None
    magic, size, crc = FILE_HEAD.unpack_from(content)
    body = content[FILE_HEAD.size :]
    if magic != MAGIC or size != len(body) or zlib.crc32(body) != crc:
        return None
    head, *records = _pieces(body)
    version, kinds, zones = json.loads(head)
    names = StoredNames(version, tuple(kinds), tuple(zones))
    return {VERSION_KEY: version, FULL_KEY: True, ENTRIES_KEY: [_list_entry(names, record) for record in records]}


def _pieces(body: bytes) -> Iterator[bytes]:
    start = 0
    while start < len(body):
        (size,) = LENGTH.unpack_from(body, start)
        start += LENGTH.size
        yield body[start : start + size]
        start += size


def _list_entry(names: StoredNames, record: bytes) -> dict[str, Any]:
    """Return an entry of discovery's list; a kind or zone that had no name is left out."""
    endpoint = endpoint_from_record(0, record)
    address = address_from_record(0, record)
    entry = {
        "id": address.name,
        "addr": f"{address.host}:{address.port}",
        "cell": endpoint.destination,
        "state": STATE_BY_STATUS[endpoint.status],
        "weight": endpoint.advertised_rate,
    }
    if endpoint.kind < len(names.kinds):
        entry["kind"] = names.kinds[endpoint.kind]
    if endpoint.zone < len(names.zones):
        entry["zone"] = names.zones[endpoint.zone]
    return entry
