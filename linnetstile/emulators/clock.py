"""The clock of a run: one for all of its processes (Linux: CLOCK_MONOTONIC)."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Return the monotonic time of this machine in ms."""
    return time.monotonic() * 1000
