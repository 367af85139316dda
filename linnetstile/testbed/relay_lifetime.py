"""The lifetime of each relay process of a run: its start, its exit, and whether it was killed."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Self

KILL_DETECTION_MS = 2000  # a missing answer is excused if its relay is killed at most this long after it was due


class ProcessEnd(Enum):
    """How a process ended."""

    RUNNING = ""
    KILLED = "killed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class RelayLifetime:
    """The lifetime of one relay process.

    Attributes:
        start_ms: When it printed its ready line, on the clock of the run.
        end_ms: When it had exited; infinity while it runs.
        end: How it ended.
    """

    start_ms: float
    end_ms: float = math.inf
    end: ProcessEnd = ProcessEnd.RUNNING

    def to_json(self) -> list[Any]:
        """Return its row in `run.json`: start, end (null while it runs), and how it ended."""
        end_ms = None if self.end_ms == math.inf else self.end_ms
        return [self.start_ms, end_ms, self.end.value]

    @classmethod
    def from_json(cls, row: list[Any]) -> Self:
        """Create it from its row in `run.json`."""
        start_ms, end_ms, end = row
        return cls(start_ms, math.inf if end_ms is None else end_ms, ProcessEnd(end))


class RelayProcesses:
    """The processes of all relays of a run."""

    def __init__(self, lifetimes: Mapping[str, Iterable[RelayLifetime]]) -> None:
        self._lifetimes = {relay: list(processes) for relay, processes in lifetimes.items()}

    @classmethod
    def from_json(cls, rows: Mapping[str, list[list[Any]]]) -> Self:
        """Read the processes from `run.json`."""
        return cls({relay: [RelayLifetime.from_json(row) for row in relay_rows] for relay, relay_rows in rows.items()})

    def process_at(self, relay: str, at_ms: float) -> str:
        """Return the name of the process that a relay had at a time; a new process does not know earlier messages."""
        starts = [lifetime.start_ms for lifetime in self._lifetimes.get(relay, [])]
        return f"{relay}#{bisect.bisect_right(starts, at_ms)}"

    def was_killed(self, relay: str, start_ms: float, end_ms: float) -> bool:
        """Whether a process of a relay was killed within an interval, or shortly after it."""
        return any(
            lifetime.end is ProcessEnd.KILLED and start_ms <= lifetime.end_ms <= end_ms + KILL_DETECTION_MS
            for lifetime in self._lifetimes.get(relay, [])
        )
