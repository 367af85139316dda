"""The traffic record: JSON lines of what an emulator saw on its sockets, with times of the clock of the run.

The typed events and the names of their JSON fields are in `traffic_events.py`.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from ..errors import LinnetstileError
from .clock import now_ms as now_ms
from .traffic_events import TrafficEvent

WRITE_BUFFER_BYTES = 1 << 16


class RecordError(LinnetstileError):
    """A record cannot be read."""


class Recorder:
    """Appends the events of one emulator to a file, or drops them where no file is named."""

    def __init__(self, path: Path | None) -> None:
        self._file = path.open("a", buffering=WRITE_BUFFER_BYTES, encoding="utf-8") if path else None

    def __call__(self, event: str, **fields: Any) -> None:
        """Write one row by its JSON names; `t` defaults to the current time."""
        if self._file:
            fields.setdefault("t", round(now_ms(), 2))
            self._file.write(json.dumps({"ev": event, **fields}, separators=(",", ":")) + "\n")

    def write(self, event: TrafficEvent) -> None:
        """Write one typed event."""
        if self._file:
            self(event.EVENT, **event.to_row())

    def flush(self) -> None:
        """Write all buffered rows to the file."""
        if self._file:
            self._file.flush()


def _parse_row(line: str) -> dict[str, Any]:
    row = json.loads(line)
    if not isinstance(row, dict) or not isinstance(row.get("ev"), str):
        raise ValueError("expected a JSON object with the string field ev")
    return row


def read_record(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the rows of one record.

    An incomplete last line is skipped: its writer was killed while writing it.

    Raises:
        RecordError: A line before the last one is not a row.
    """
    lines = path.read_text(encoding="utf-8").split("\n")
    for number, line in enumerate(lines, 1):
        if not line:
            continue
        try:
            row = _parse_row(line)
        except ValueError as error:
            if number == len(lines):
                return
            raise RecordError(f"{path}: line {number}: {error}") from error
        yield row
