"""The memory that this process takes, as the system counts it."""

from __future__ import annotations

import resource
from pathlib import Path

STATUS_FILE = Path("/proc/self/status")
RESIDENT_FIELD = "VmRSS"
PEAK_FIELD = "VmHWM"
BYTES_PER_KIB = 1024
# Resident memory of a fresh process, rounded up, for a system that does not tell it.
FRESH_PROCESS_BYTES = 24_000_000


def resident_bytes() -> int:
    """Return the resident memory of this process now."""
    return _status_bytes(RESIDENT_FIELD) or FRESH_PROCESS_BYTES


def peak_bytes() -> int:
    """Return the highest resident memory of this process.

    `ru_maxrss` takes over the figure of the process that started this one, so it is used only where there is no other.
    """
    return _status_bytes(PEAK_FIELD) or resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KIB


def _status_bytes(field: str) -> int:
    """Return a field of the process's status in bytes; 0 if the system does not tell it."""
    try:
        lines = STATUS_FILE.read_text(encoding="ascii").splitlines()
    except (OSError, ValueError):
        return 0
    for line in lines:
        name, _, value = line.partition(":")
        if name == field:
            return int(value.split()[0]) * BYTES_PER_KIB
    return 0
