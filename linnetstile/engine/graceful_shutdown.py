"""What a relay does between SIGTERM and its end: serves as before, then takes on no more, then ends. No I/O, no clock.

The platform kills 3.7 s after SIGTERM at the soonest and starts the next process only after that, so an early end
serves nobody. What is held then goes on in the next process: only calls that are out would have an unclear outcome.

A connection that rests may be closed as its next request arrives. Its client then hands in once more on a new
connection, so the relay listens on, and refuses, for some time after it has closed those that rest."""

from __future__ import annotations

from dataclasses import dataclass

EXIT_MS = 3550.0  # before the kill, with the journal closed
STOP_ADMITTING_MS = (
    300.0  # before the end no more is taken on: clients turn to other relays, each request read has its answer
)
STOP_ACCEPTING_MS = 100.0  # before the end nobody is let in any more, and who is in the middle of a request is refused
UNREAD_GRACE_MS = 50.0  # the end waits so long for what has arrived and is not read yet


@dataclass(frozen=True, slots=True)
class ShutdownPhase:
    admits: bool  # messages are taken on; if not, they are refused, and connections close as they fall idle
    accepts: bool  # connections are let in
    exits: bool


def shutdown_phase(since_ms: float, unread: bool = False) -> ShutdownPhase:
    """`since_ms` after SIGTERM; `unread`: bytes of clients have arrived that nobody has read."""
    end = EXIT_MS + UNREAD_GRACE_MS if unread else EXIT_MS
    return ShutdownPhase(
        since_ms < EXIT_MS - STOP_ADMITTING_MS, since_ms < EXIT_MS - STOP_ACCEPTING_MS, since_ms >= end
    )
