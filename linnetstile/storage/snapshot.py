"""Stores one document on disk: atomic replacement, a checksum, and its age at the next read.

Within a boot the age is measured by the clock that also counts suspended time; after a reboot, or where the system has
no boot identifier, by the wall clock. The age is unknown if the header lacks the boot identifier or a valid time, or
if it would be negative, as when the wall clock was set back. Readers use ages instead of times of day.

A file consists of a header, which is one line of JSON, and the document as JSON.
"""

from __future__ import annotations

import hashlib
import json
import os
import time
from pathlib import Path
from typing import Any, NamedTuple

from ..errors import JournalError

FORMAT = 1
MAGIC_FIELD = "linnetstile"  # first field of the header
MAGIC = "snapshot"  # value of `MAGIC_FIELD`
MAX_FILE_BYTES = 64 * 1024 * 1024
DIGEST_BYTES = 16
MS_PER_S = 1000
QUARANTINE_SUFFIX = ".bad"
TEMPORARY_SUFFIX = ".new"
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")


class SnapshotError(JournalError):
    """A snapshot can't be used; the message names the file and the reason."""


class Snapshot(NamedTuple):
    """A document that was read.

    Attributes:
        payload: The document.
        age_ms: Milliseconds since the document was written; None if unknown.
    """

    payload: dict[str, Any]
    age_ms: float | None


def _boot_id() -> str:
    """Return the identifier of this boot; empty where the system has none."""
    try:
        return BOOT_ID_PATH.read_text(encoding="ascii").strip()
    except OSError:
        return ""


def _since_boot_s() -> float:
    """Return the seconds since the boot, including suspended time where the system counts it."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) if hasattr(time, "CLOCK_BOOTTIME") else time.monotonic()


def _digest(body: bytes) -> str:
    """Return the checksum of an encoded document, in hexadecimal."""
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def encode(payload: dict[str, Any]) -> bytes:
    """Encode a document with a header that has the present time.

    Args:
        payload: The document, which may contain JSON values only.

    Raises:
        ValueError: The document has a float that is not finite.
    """
    body = json.dumps(payload, separators=(",", ":"), allow_nan=False).encode()
    header = {
        MAGIC_FIELD: MAGIC,
        "format": FORMAT,
        "bytes": len(body),
        "boot": _boot_id(),
        "since_boot_s": _since_boot_s(),
        "wall_s": time.time(),
        "blake2b": _digest(body),
    }
    return json.dumps(header).encode() + b"\n" + body


def write(path: Path, payload: dict[str, Any]) -> None:
    """Replace the file atomically: after a crash at any moment it has either the old or the new document.

    Raises:
        OSError: The file can't be written.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with temporary.open("wb") as file:
        file.write(encode(payload))
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    _sync_directory(path.parent)


def _sync_directory(path: Path) -> None:
    """Make a rename in a directory durable."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def read(path: Path) -> Snapshot:
    """Read a document and its age.

    Raises:
        FileNotFoundError: There is no file.
        SnapshotError: The file can't be read, is of another program or format, or its checksum does not match.
        ValueError: The document is not JSON, although its checksum matches.
    """
    header_line, newline, body = _read_bytes(path).partition(b"\n")
    if not newline:
        raise _foreign_file_error(path)
    header = _parse_header(path, header_line)
    digest = _digest(body)
    if len(body) != header.get("bytes") or digest != header.get("blake2b"):
        raise SnapshotError(
            f"{path}: truncated or changed: its checksum does not match",
            field="blake2b",
            expected=str(header.get("blake2b")),
            found=digest,
        )
    payload = json.loads(body)
    if not isinstance(payload, dict):
        raise SnapshotError(f"{path}: expected an object", expected="an object", found=type(payload).__name__)
    return Snapshot(payload, _age_ms(header))


def _read_bytes(path: Path) -> bytes:
    """Return the bytes of a file; one above `MAX_FILE_BYTES` is truncated, so that its checksum does not match."""
    try:
        with path.open("rb") as file:
            return file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        raise
    except OSError as error:
        raise SnapshotError(
            f"{path}: can't be read: {error.strerror}", expected="a file that can be read", found=error.strerror or ""
        ) from error


def _foreign_file_error(path: Path) -> SnapshotError:
    """Create the error for a file that this program did not write."""
    return SnapshotError(
        f"{path}: not a snapshot of this program", field=MAGIC_FIELD, expected=f"a header line of JSON with {MAGIC!r}"
    )


def _parse_header(path: Path, line: bytes) -> dict[str, Any]:
    """Parse the header line; raise `SnapshotError` if it is of another program or format."""
    try:
        header = json.loads(line)
    except (ValueError, RecursionError) as error:
        raise _foreign_file_error(path) from error
    if not isinstance(header, dict) or header.get(MAGIC_FIELD) != MAGIC:
        raise _foreign_file_error(path)
    found_format = header.get("format")
    if found_format != FORMAT:
        raise SnapshotError(
            f"{path}: format {found_format!r}, expected {FORMAT}",
            field="format",
            expected=str(FORMAT),
            found=repr(found_format),
        )
    return header


def _age_ms(header: dict[str, Any]) -> float | None:
    """Return the time since the document was written; None if unknown."""
    try:
        if header["boot"] and header["boot"] == _boot_id():
            age_s = _since_boot_s() - float(header["since_boot_s"])
        else:
            age_s = time.time() - float(header["wall_s"])
    except (KeyError, TypeError, ValueError):
        return None
    return age_s * MS_PER_S if age_s >= 0 else None


def quarantine(path: Path) -> Path:
    """Rename a file that can't be used, so that it is kept for inspection and not read again; return the new path."""
    quarantine_path = path.with_name(path.name + QUARANTINE_SUFFIX)
    os.replace(path, quarantine_path)
    return quarantine_path
