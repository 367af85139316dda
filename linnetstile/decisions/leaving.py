"""What a relay does between SIGTERM and its end: serves as before, then takes on no more, then ends. No I/O, no clock.

The platform kills 3.7 s after SIGTERM at the soonest and starts the next process only after that, so an early end
serves nobody. What is held then goes on in the next process: only calls that are out would have an unclear outcome."""

from __future__ import annotations

from dataclasses import dataclass

END_MS = 3550.0  # before the kill, with the journal closed
LAST_MS = 300.0  # before the end no more is taken on: clients turn to other relays, each request read has its answer


@dataclass(frozen=True, slots=True)
class Leave:
    takes: bool  # messages are taken on, and new connections; if not, connections close as they fall idle
    ends: bool


def leave(since_ms: float) -> Leave:
    """`since_ms` after SIGTERM."""
    return Leave(since_ms < END_MS - LAST_MS, since_ms >= END_MS)
