"""Phases of a graceful shutdown, from SIGTERM to the exit: serve as before, then stop admitting, then exit.

The platform kills a process 3.7 s after SIGTERM at the earliest and starts the next one only after that, so an early
exit has no benefit. The next process recovers pending messages; only attempts in flight have an unclear outcome.

The relay may close an idle connection just as its next request arrives. The client then submits again on a new
connection, so the relay still listens, and rejects messages, for some time after it has closed the idle connections.

No I/O and no clock: the time since SIGTERM comes in.
"""

from __future__ import annotations

from dataclasses import dataclass

# Time from SIGTERM to the exit; the journal is closed by then, and the platform has not killed the process yet.
EXIT_MS = 3550.0
# During this time before the exit, no message is admitted: clients use other relays, and requests that were read are
# answered.
STOP_ADMITTING_MS = 300.0
# During this time before the exit, no connection is accepted, and requests that are incomplete are rejected.
STOP_ACCEPTING_MS = 100.0
UNREAD_GRACE_MS = 50.0  # delay of the exit if bytes have arrived that were not read yet


@dataclass(frozen=True, slots=True)
class ShutdownPhase:
    """What the relay does at a given time of its shutdown.

    Attributes:
        admits: Messages are admitted. If not, they are rejected, and connections are closed as they become idle.
        accepts: New connections are accepted.
        exits: The process ends now.
    """

    admits: bool
    accepts: bool
    exits: bool


def shutdown_phase(elapsed_ms: float, has_unread_input: bool = False) -> ShutdownPhase:
    """Return the phase of the shutdown.

    Args:
        elapsed_ms: Time (ms) since SIGTERM.
        has_unread_input: Whether bytes of clients have arrived that were not read yet.
    """
    exit_ms = EXIT_MS + UNREAD_GRACE_MS if has_unread_input else EXIT_MS
    return ShutdownPhase(
        admits=elapsed_ms < EXIT_MS - STOP_ADMITTING_MS,
        accepts=elapsed_ms < EXIT_MS - STOP_ACCEPTING_MS,
        exits=elapsed_ms >= exit_ms,
    )
