"""The wall clock. Deadlines in the journal are Unix times, which outlive the process; all else uses the loop's time."""

from __future__ import annotations

import time


def unix_ms() -> float:
    """Return the Unix time in ms."""
    return time.time() * 1000
