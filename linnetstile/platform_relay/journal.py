"""What this relay owes, in the folder that lasts: one file that is only appended to, written anew now and then.

A record is a head (kind, length, CRC-32 of kind and content) and its content. One that is torn or damaged costs
itself alone: reading goes on at the next sound one. No fsync: the folder outlives the process, and nothing outlives
the machine. Times are Unix times in ms."""

from __future__ import annotations

import contextlib
import json
import os
import struct
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..engine.resource_limits import JOURNAL_OVERHEAD_BYTES

HEAD = struct.Struct("<cII")
TAKEN, ATTEMPT, OUTCOME, OWED, ENDED = b"T", b"A", b"O", b"N", b"E"
KINDS = (TAKEN, ATTEMPT, OUTCOME, OWED, ENDED)
LONGEST = 256 * 1024  # bytes of a record's content: a body of 64 KiB and its head
ATTEMPTED = struct.Struct("<Qdi")  # message, when, zone of the endpoint; its name follows
PLAIN = struct.Struct("<Q?")  # message, whether the attempt may have run


@dataclass(slots=True)
class JournaledMessage:
    """One message as the journal knows it."""

    id: int
    fields: dict[str, Any]  # of the client's head, and `taken` and `due`, Unix ms
    body: bytes
    tries: int = 0
    out: tuple[float, int, str] | None = None  # an attempt without outcome: when, zone and name of the endpoint
    risk: tuple[float, int, str] | None = None  # the first attempt that may have run
    notice: dict[str, Any] | None = None  # owed to the platform
    order: int = 0  # of a notice, as its message's field was: what waits for it; 0 = nothing does

    def records(self) -> Iterable[bytes]:
        """The same again, in few records."""
        if self.notice is not None:
            yield owed(self.id, self.notice, self.order)
            return
        yield taken(self.id, self.fields, self.body)
        for _ in range(self.tries - (self.risk is not None) - (self.out is not None)):
            yield attempt(self.id, 0.0, 0, "") + outcome(self.id, False)
        if self.risk is not None:
            yield attempt(self.id, *self.risk) + outcome(self.id, True)
        if self.out is not None:
            yield attempt(self.id, *self.out)


def _record(kind: bytes, content: bytes) -> bytes:
    return HEAD.pack(kind, len(content), zlib.crc32(kind + content)) + content


def taken(ident: int, fields: dict[str, Any], body: bytes) -> bytes:
    meta = json.dumps([ident, fields], separators=(",", ":")).encode()
    return _record(TAKEN, struct.pack("<I", len(meta)) + meta + body)


def attempt(ident: int, at: float, zone: int, endpoint: str) -> bytes:
    return _record(ATTEMPT, ATTEMPTED.pack(ident, at, zone) + endpoint.encode())


def outcome(ident: int, risky: bool) -> bytes:
    return _record(OUTCOME, PLAIN.pack(ident, risky))


def owed(ident: int, notice: dict[str, Any], order: int = 0) -> bytes:
    return _record(OWED, json.dumps([ident, notice, order], separators=(",", ":")).encode())


def ended(ident: int) -> bytes:
    return _record(ENDED, PLAIN.pack(ident, False))


def _sound(data: bytes, at: int) -> int:
    """Where the record at `at` ends; 0 if there is none that is whole."""
    if at + HEAD.size > len(data):
        return 0
    kind, size, crc = HEAD.unpack_from(data, at)
    end = at + HEAD.size + size
    if kind not in KINDS or size > LONGEST or end > len(data):
        return 0
    return end if zlib.crc32(kind + data[at + HEAD.size : end]) == crc else 0


def _after(data: bytes, at: int) -> int:
    """Where reading goes on after a damaged record: where its length says if that holds, or at the next sound one."""
    if at + HEAD.size <= len(data):
        end = at + HEAD.size + int(HEAD.unpack_from(data, at)[1])
        if end == len(data) or _sound(data, end):
            return end
    return next((there for there in range(at + 1, len(data)) if _sound(data, there)), len(data))


def replay(data: bytes) -> tuple[dict[int, JournaledMessage], int]:
    """What is still owed, by id in the order it was taken, and how many bytes were no sound record."""
    kept: dict[int, JournaledMessage] = {}
    at = lost = 0
    while at < len(data):
        end = _sound(data, at)
        if end:
            _apply(kept, data[at : at + 1], data[at + HEAD.size : end])
        else:
            end = _after(data, at)
            lost += end - at
        at = end
    return kept, lost


def _apply(kept: dict[int, JournaledMessage], kind: bytes, content: bytes) -> None:
    if kind == TAKEN:
        (size,) = struct.unpack_from("<I", content)
        ident, fields = json.loads(content[4 : 4 + size])
        kept[ident] = JournaledMessage(ident, fields, content[4 + size :])
    elif kind == OWED:
        ident, notice, *order = json.loads(content)
        kept[ident] = JournaledMessage(ident, {}, b"", notice=notice, order=order[0] if order else 0)
    elif kind == ATTEMPT:
        ident, when, zone = ATTEMPTED.unpack_from(content)
        if ident in kept:
            kept[ident].tries += 1
            # Its process ended before the attempt before this one did: that one may have run.
            kept[ident].risk = kept[ident].risk or kept[ident].out
            kept[ident].out = when, zone, content[ATTEMPTED.size :].decode()
    else:
        ident, risky = PLAIN.unpack_from(content)
        if kind == ENDED:
            kept.pop(ident, None)
        elif ident in kept:
            if risky and kept[ident].risk is None:  # without its attempt, which was damaged: as early as can be
                kept[ident].risk = kept[ident].out or (float(kept[ident].fields.get("taken", 0.0)), 0, "")
            kept[ident].out = None


@dataclass(slots=True)
class Journal:
    """`add` records, then `flush`: what was added before a flush that returned True outlives the process."""

    folder: Path
    compaction_bytes: int  # bytes of the file from which on it is written anew
    size: int = 0
    message_bytes: int = 0  # bytes of the messages held
    failed: int = 0  # writes that failed
    damaged_bytes: int = 0  # bytes that an earlier process left and that could not be read
    error: str = ""
    _descriptor: int = -1
    _unwritten: list[bytes] = field(default_factory=list)

    def open(self) -> dict[int, JournaledMessage]:
        """Reads what an earlier process left and goes on from there. Raises OSError."""
        path = self.folder / "journal"
        (self.folder / "journal.new").unlink(missing_ok=True)
        kept, self.damaged_bytes = replay(path.read_bytes()) if path.exists() else ({}, 0)
        self.rewrite(kept.values())
        if self._descriptor < 0:  # no room for another: this one goes on, and is rewritten as soon as there is
            self._descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
            self.size = self.compaction_bytes + 1
        return kept

    def add(self, record: bytes) -> None:
        self._unwritten.append(record)

    def flush(self) -> bool:
        """One write for all that was added; False if the disk would not take it, and then nothing of it counts. What
        had happened all the same, as ends and notices do, is only in memory then: the file is to be written anew."""
        if not self._unwritten:
            return True
        data, self._unwritten = b"".join(self._unwritten), []
        try:
            done = os.write(self._descriptor, data)
            if done == len(data):
                self.size += done
                return True
            self.error = "no room on the disk"
        except OSError as error:
            self.error = error.strerror or repr(error)
        self.failed += 1
        with contextlib.suppress(OSError):  # half a record is no promise: reading would only have to search past it
            os.ftruncate(self._descriptor, min(self.size, os.fstat(self._descriptor).st_size))
        self.size = self.compaction_bytes + 1
        return False

    @staticmethod
    def weight(each: JournaledMessage) -> int:
        """Bytes that a message takes on the disk while it is held, its attempts included."""
        return len(each.body) + JOURNAL_OVERHEAD_BYTES

    @property
    def needs_rewrite(self) -> bool:
        return self.size > self.compaction_bytes

    def rewrite(self, kept: Iterable[JournaledMessage]) -> None:
        """Writes what is owed into a new file, which takes the place of the old one as a whole or not at all."""
        new = self.folder / "journal.new"
        data = b"".join(record for each in kept for record in each.records())
        try:
            file = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)
            try:
                if os.write(file, data) != len(data):
                    raise OSError("no room on the disk")
                os.rename(new, self.folder / "journal")
            except OSError:
                os.close(file)
                new.unlink(missing_ok=True)
                raise
        except OSError as error:
            self.failed += 1
            self.error = error.strerror or str(error)
            return
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor, self.size = file, len(data)

    def close(self) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
