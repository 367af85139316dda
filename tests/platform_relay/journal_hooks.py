"""Hook into the journal's writes, to observe the state that a kill after each write would leave."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import pytest

from linnetstile.platform_relay.journal import Journal


def call_after_each_write(monkeypatch: pytest.MonkeyPatch, on_write: Callable[[Path], None]) -> None:
    """Call `on_write` with the folder of a journal after each write of its records."""
    flush = Journal.flush

    def flush_and_call(journal: Journal) -> bool:
        size_before = journal.size
        is_written = flush(journal)
        if journal.size != size_before:
            on_write(journal.folder)
        return is_written

    monkeypatch.setattr(Journal, "flush", flush_and_call)
