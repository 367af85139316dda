"""The journal: an append-only file of accepted messages, their attempts and pending notices, which is compacted.

It is not synced to the disk: the state folder outlives the process but not the machine. `journal_codec` has the format
of the records.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from ..engine.resource_limits import ENDED_ID_FILE_DIVISOR, JOURNAL_OVERHEAD_BYTES
from .journal_codec import encode_compacted, encode_ended_id
from .journal_replay import replay
from .records import JournaledMessage, JournalRecord

FILE_NAME = "journal"
REWRITE_NAME = "journal.new"  # renamed to the journal once it is complete
APPEND_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
FILE_MODE = 0o600
NO_SPACE = "no room on the disk"
NO_DESCRIPTOR = -1  # the file is not open


@dataclass(slots=True)
class Journal:
    """An append-only file of records: those added before a successful `flush` outlive the process.

    Attributes:
        folder: The state folder.
        compaction_bytes: Size above which the file is compacted.
        size: Size of the file in bytes.
        message_bytes: Sum of `reserved_bytes` over the accepted messages.
        failed_writes: Number of writes that failed.
        damaged_bytes: Bytes of an earlier process's journal that could not be read.
        ended_ids: Submission ids of complete messages in an earlier process's journal, the latest last.
        last_error: Reason of the last failed write; empty without one.
    """

    folder: Path
    compaction_bytes: int
    size: int = 0
    message_bytes: int = 0
    failed_writes: int = 0
    damaged_bytes: int = 0
    ended_ids: list[str] = field(default_factory=list)
    last_error: str = ""
    _descriptor: int = NO_DESCRIPTOR
    _unwritten: list[bytes] = field(default_factory=list)

    def open(self) -> dict[int, JournalRecord]:
        """Read the records of an earlier process, and open the file for writing.

        Raises:
            OSError: The folder or the file cannot be used.
        """
        path = self.folder / FILE_NAME
        (self.folder / REWRITE_NAME).unlink(missing_ok=True)
        records: dict[int, JournalRecord] = {}
        if path.exists():
            replayed = replay(path.read_bytes(), self.ended_ids)
            records = replayed.records
            self.damaged_bytes = replayed.damaged_bytes
        self.rewrite(records.values(), self.ended_ids)
        if self._descriptor == NO_DESCRIPTOR:  # no space for a new file: the old one is used, and compacted later
            self._descriptor = os.open(path, APPEND_FLAGS, FILE_MODE)
            self._request_rewrite()
        return records

    def add(self, record: bytes) -> None:
        """Add an encoded record; the next `flush` writes it."""
        self._unwritten.append(record)

    def flush(self) -> bool:
        """Write all added records at once.

        Returns:
            False if they could not be written; none of them is in the file then. Events that have happened anyway, such
            as results, are known in memory only, so the file needs a rewrite.
        """
        if not self._unwritten:
            return True
        data = b"".join(self._unwritten)
        self._unwritten = []
        try:
            written = os.write(self._descriptor, data)
            if written == len(data):
                self.size += written
                return True
            self.last_error = NO_SPACE
        except OSError as error:
            self.last_error = error.strerror or repr(error)
        self.failed_writes += 1
        with contextlib.suppress(OSError):  # removes an incomplete record, which a replay would have to skip
            os.ftruncate(self._descriptor, min(self.size, os.fstat(self._descriptor).st_size))
        self._request_rewrite()
        return False

    @staticmethod
    def reserved_bytes(message: JournaledMessage) -> int:
        """Return the space in the file that is reserved for a message and its attempts until it has its result."""
        return len(message.body) + JOURNAL_OVERHEAD_BYTES

    @property
    def needs_rewrite(self) -> bool:
        """Whether the file is larger than its limit, or a write failed."""
        return self.size > self.compaction_bytes

    def _request_rewrite(self) -> None:
        self.size = self.compaction_bytes + 1

    def rewrite(self, records: Iterable[JournalRecord], ended_ids: Iterable[str] = ()) -> None:
        """Compact the journal: write these records to a new file, which replaces the old one atomically.

        The old file stays in use if the new one cannot be written.

        Args:
            records: The messages and notices that are not complete.
            ended_ids: Submission ids of complete messages, the latest last; as many of the latest are kept as fit.
        """
        encoded_records = [encoded for record in records for encoded in encode_compacted(record)]
        data = b"".join([*self._encode_ended_ids(ended_ids), *encoded_records])
        try:
            descriptor = self._replace_file(data)
        except OSError as error:
            self.failed_writes += 1
            self.last_error = error.strerror or str(error)
            return
        self.close()
        self._descriptor = descriptor
        self.size = len(data)

    def _encode_ended_ids(self, ended_ids: Iterable[str]) -> list[bytes]:
        """Return the records of the latest of these ids that fit into their part of the file, the latest last."""
        space_left = self.compaction_bytes // ENDED_ID_FILE_DIVISOR
        latest_first: list[bytes] = []
        for submission_id in reversed(list(ended_ids)):
            record = encode_ended_id(submission_id)
            space_left -= len(record)
            if space_left < 0:
                break
            latest_first.append(record)
        return latest_first[::-1]

    def _replace_file(self, data: bytes) -> int:
        """Replace the file by a new one that holds `data`; return its descriptor.

        Raises:
            OSError: The new file cannot be written.
        """
        new_path = self.folder / REWRITE_NAME
        descriptor = os.open(new_path, APPEND_FLAGS | os.O_TRUNC, FILE_MODE)
        try:
            if os.write(descriptor, data) != len(data):
                raise OSError(NO_SPACE)
            os.rename(new_path, self.folder / FILE_NAME)
        except OSError:
            os.close(descriptor)
            new_path.unlink(missing_ok=True)
            raise
        return descriptor

    def close(self) -> None:
        """Close the file; a second call has no effect."""
        if self._descriptor != NO_DESCRIPTOR:
            os.close(self._descriptor)
            self._descriptor = NO_DESCRIPTOR
