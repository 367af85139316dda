"""From when to when a process of a relay ran, and how it ended."""

from __future__ import annotations

import bisect
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Self

KILL_NOTICE_MS = 2000  # a relay killed so soon after a submission should have ended may be why it has no answer


class ProcessEnd(Enum):
    """How a process ended."""

    RUNNING = ""
    KILLED = "killed"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class RelayLifetime:
    """One process of a relay, in ms of the clock of the run: from its ready line until it is gone."""

    start_ms: float
    end_ms: float = math.inf
    end: ProcessEnd = ProcessEnd.RUNNING

    def to_json(self) -> list[Any]:
        """Return it as `run.json` has it: start, end or null, how it ended."""
        return [self.start_ms, None if self.end_ms == math.inf else self.end_ms, self.end.value]

    @classmethod
    def from_json(cls, row: list[Any]) -> Self:
        """Read it back from `run.json`."""
        start_ms, end_ms, end = row
        return cls(start_ms, math.inf if end_ms is None else end_ms, ProcessEnd(end))


class RelayProcesses:
    """The processes of all relays of a run."""

    def __init__(self, lifetimes: Mapping[str, Iterable[RelayLifetime]]) -> None:
        self._lifetimes = {relay: list(processes) for relay, processes in lifetimes.items()}

    @classmethod
    def from_json(cls, rows: Mapping[str, list[list[Any]]]) -> Self:
        """Read the processes from `run.json`."""
        return cls({relay: [RelayLifetime.from_json(row) for row in lives] for relay, lives in rows.items()})

    def process_at(self, relay: str, at_ms: float) -> str:
        """Return the name of a relay's process at a time: its memory ends with it."""
        starts = [lifetime.start_ms for lifetime in self._lifetimes.get(relay, [])]
        return f"{relay}#{bisect.bisect_right(starts, at_ms)}"

    def was_killed(self, relay: str, start_ms: float, end_ms: float) -> bool:
        """Whether a killed process of a relay was gone within a time, or shortly after."""
        return any(
            lifetime.end is ProcessEnd.KILLED and start_ms <= lifetime.end_ms <= end_ms + KILL_NOTICE_MS
            for lifetime in self._lifetimes.get(relay, [])
        )
