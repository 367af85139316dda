"""The wall clock, for the journal alone: its times have to outlive the process. All else uses the loop time."""

from __future__ import annotations

import time


def unix_ms() -> float:
    """Return the Unix time in ms."""
    return time.time() * 1000
