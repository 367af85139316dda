"""What this relay owes, in the folder that lasts: one file that is only appended to, and rewritten now and then.

No fsync: the folder outlives the process, and nothing outlives the machine. `journal_codec` has the records' form.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from ..engine.resource_limits import JOURNAL_OVERHEAD_BYTES
from .journal_codec import encode_compacted, replay
from .records import JournaledMessage, JournalRecord

FILE_NAME = "journal"
REWRITE_NAME = "journal.new"  # takes the journal's place as a whole or not at all
APPEND_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
FILE_MODE = 0o600
NO_SPACE = "no room on the disk"


@dataclass(slots=True)
class Journal:
    """An append-only file of records: what was added before a `flush` that returned True outlives the process.

    Attributes:
        folder: Where the file is.
        compaction_bytes: Size of the file from which on it is rewritten.
        size: Bytes of the file.
        message_bytes: Bytes that the accepted messages take, as `weight` counts them.
        damaged_bytes: Bytes that an earlier process left and that could not be read.
    """

    folder: Path
    compaction_bytes: int
    size: int = 0
    message_bytes: int = 0
    failed_writes: int = 0  # writes that failed
    damaged_bytes: int = 0
    last_error: str = ""  # why the latest write failed that did
    _descriptor: int = -1
    _unwritten: list[bytes] = field(default_factory=list)

    def open(self) -> dict[int, JournalRecord]:
        """Read what an earlier process left and go on from there.

        Raises:
            OSError: The folder or the file cannot be used.
        """
        path = self.folder / FILE_NAME
        (self.folder / REWRITE_NAME).unlink(missing_ok=True)
        records: dict[int, JournalRecord] = {}
        if path.exists():
            records, self.damaged_bytes = replay(path.read_bytes())
        self.rewrite(records.values())
        if self._descriptor < 0:  # no space for another: this one goes on, and is rewritten as soon as there is
            self._descriptor = os.open(path, APPEND_FLAGS, FILE_MODE)
            self._request_rewrite()
        return records

    def add(self, record: bytes) -> None:
        """Add an encoded record, to be written by the next `flush`."""
        self._unwritten.append(record)

    def flush(self) -> bool:
        """Write all that was added at once.

        Returns:
            False if the disk would not take it, and then nothing of it counts. What had happened all the same, as
            results and notices do, is only in memory then: the file is to be rewritten.
        """
        if not self._unwritten:
            return True
        data, self._unwritten = b"".join(self._unwritten), []
        try:
            written = os.write(self._descriptor, data)
            if written == len(data):
                self.size += written
                return True
            self.last_error = NO_SPACE
        except OSError as error:
            self.last_error = error.strerror or repr(error)
        self.failed_writes += 1
        with contextlib.suppress(OSError):  # half a record is no promise: reading would only have to search past it
            os.ftruncate(self._descriptor, min(self.size, os.fstat(self._descriptor).st_size))
        self._request_rewrite()
        return False

    @staticmethod
    def weight(message: JournaledMessage) -> int:
        """Return the bytes that a message takes on the disk until its result, its attempts included."""
        return len(message.body) + JOURNAL_OVERHEAD_BYTES

    @property
    def needs_rewrite(self) -> bool:
        """Whether the file has grown past its limit, or a write failed."""
        return self.size > self.compaction_bytes

    def _request_rewrite(self) -> None:
        self.size = self.compaction_bytes + 1

    def rewrite(self, records: Iterable[JournalRecord]) -> None:
        """Write what is owed into a new file, which takes the place of the old one as a whole or not at all."""
        data = b"".join(encoded for record in records for encoded in encode_compacted(record))
        try:
            descriptor = self._replace_file(data)
        except OSError as error:
            self.failed_writes += 1
            self.last_error = error.strerror or str(error)
            return
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor, self.size = descriptor, len(data)

    def _replace_file(self, data: bytes) -> int:
        """Return the descriptor of a new file that holds `data` in the old one's place. Raises OSError."""
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
        """Close the file; a second call does nothing."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
            self._descriptor = -1
