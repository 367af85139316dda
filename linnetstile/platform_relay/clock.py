"""Wall-clock time for the journal, whose times must stay valid across restarts. All other code uses the loop time."""

from __future__ import annotations

import time


def unix_ms() -> float:
    """Return the Unix time in ms."""
    return time.time() * 1000
