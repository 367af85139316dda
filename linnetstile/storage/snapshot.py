"""One document on disk: replaced as a whole, with a checksum, and the means to tell its age after a restart.

The age is told by the clock that runs on while the machine sleeps, if it is the same boot; else by the wall clock, and
not at all where that has gone back. Ages travel, not times of day."""

from __future__ import annotations

import hashlib
import json
import os
import time
from pathlib import Path
from typing import Any

FORMAT = 1
SIZE_MAX = 64 * 1024 * 1024
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class SnapshotError(Exception):
    """A snapshot can't be used; the text says which file and why."""


def _boot() -> str:
    try:
        return BOOT_ID.read_text(encoding="ascii").strip()
    except OSError:
        return ""


def _since_boot_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) if hasattr(time, "CLOCK_BOOTTIME") else time.monotonic()


def encode(payload: dict[str, Any]) -> bytes:
    body = json.dumps(payload, separators=(",", ":"), allow_nan=False).encode()
    head = {
        "linnetstile": "snapshot",
        "format": FORMAT,
        "bytes": len(body),
        "boot": _boot(),
        "since_boot_s": _since_boot_s(),
        "wall_s": time.time(),
        "blake2b": hashlib.blake2b(body, digest_size=16).hexdigest(),
    }
    return json.dumps(head).encode() + b"\n" + body


def write(path: Path, payload: dict[str, Any]) -> None:
    """Replaces the file: after a crash at any moment the old or the new one is there. Raises `OSError`."""
    fresh = path.with_name(path.name + ".new")
    with fresh.open("wb") as file:
        file.write(encode(payload))
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def read(path: Path) -> tuple[dict[str, Any], float | None]:
    """The document and its age in ms (None: no clock can tell). Raises `SnapshotError`; `FileNotFoundError` if none."""
    try:
        with path.open("rb") as file:
            data = file.read(SIZE_MAX + 1)
    except FileNotFoundError:
        raise
    except OSError as error:
        raise SnapshotError(f"{path}: can't be read: {error.strerror}") from error
    first, newline, body = data.partition(b"\n")
    try:
        head = json.loads(first)
        if not newline or not isinstance(head, dict) or head.get("linnetstile") != "snapshot":
            raise ValueError
    except (ValueError, RecursionError) as error:
        raise SnapshotError(f"{path}: not a snapshot of this program") from error
    if head.get("format") != FORMAT:
        raise SnapshotError(f"{path}: format {head.get('format')!r}, expected {FORMAT}")
    if len(body) != head.get("bytes") or hashlib.blake2b(body, digest_size=16).hexdigest() != head.get("blake2b"):
        raise SnapshotError(f"{path}: torn or changed: its checksum does not hold")
    payload = json.loads(body)
    if not isinstance(payload, dict):
        raise SnapshotError(f"{path}: expected an object")
    return payload, _age_ms(head)


def _age_ms(head: dict[str, Any]) -> float | None:
    try:
        if head["boot"] and head["boot"] == _boot():
            age = _since_boot_s() - float(head["since_boot_s"])
        else:
            age = time.time() - float(head["wall_s"])
    except (KeyError, TypeError, ValueError):
        return None
    return age * 1000 if age >= 0 else None


def set_aside(path: Path) -> Path:
    """Keeps a file that can't be used for a look, under a name that nothing reads."""
    aside = path.with_name(f"{path.name}.bad")
    os.replace(path, aside)
    return aside
