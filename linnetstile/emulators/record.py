"""The traffic record: JSON lines of what a stand-in saw on its sockets. Times are monotonic ms of this machine,
one clock for all processes of a run (Linux: CLOCK_MONOTONIC)."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any


def now_ms() -> float:
    return time.monotonic() * 1000


class Recorder:
    def __init__(self, path: Path | None) -> None:
        self._file = path.open("a", buffering=1 << 16, encoding="utf-8") if path else None

    def __call__(self, ev: str, **more: Any) -> None:
        if self._file:
            more.setdefault("t", round(now_ms(), 2))
            self._file.write(json.dumps({"ev": ev, **more}, separators=(",", ":")) + "\n")

    def flush(self) -> None:
        if self._file:
            self._file.flush()


class RecordError(Exception):
    """A record can't be read."""


def read(path: Path) -> Iterator[dict[str, Any]]:
    """The lines of one record; a torn last line is passed over, any other is an error."""
    lines = path.read_text(encoding="utf-8").split("\n")
    for n, line in enumerate(lines, 1):
        if not line:
            continue
        try:
            row = json.loads(line)
            if not isinstance(row, dict) or not isinstance(row.get("ev"), str):
                raise ValueError("expected an object with ev")
        except ValueError as error:
            if n == len(lines):
                return
            raise RecordError(f"{path}: line {n}: {error}") from error
        yield row
