"""The clock of a run, shared by all of its processes (on Linux: CLOCK_MONOTONIC)."""

from __future__ import annotations

import time


def now_ms() -> float:
    """Return the monotonic time of this machine in ms."""
    return time.monotonic() * 1000
