"""What a relay does between SIGTERM and its exit: serve as before, then stop admitting, then exit.

The platform kills a process 3.7 s after SIGTERM at the soonest and starts the next one only after that, so an early
exit serves nobody. Pending messages go on in the next process; only attempts in flight would have an unclear outcome.

The relay may close an idle connection just as its next request arrives. The client then submits again on a new
connection, so the relay goes on listening, and rejects, for some time after it has closed the idle ones.

No I/O and no clock: the time since SIGTERM comes in.
"""

from __future__ import annotations

from dataclasses import dataclass

EXIT_MS = 3550.0  # from SIGTERM to the exit, with the journal closed: before the platform kills
# Before the exit the relay admits nothing for so long: clients go to other relays, and each request read is answered.
STOP_ADMITTING_MS = 300.0
# Before the exit it accepts no connection for so long, and requests that are incomplete are rejected.
STOP_ACCEPTING_MS = 100.0
UNREAD_GRACE_MS = 50.0  # the exit waits so long for bytes that have arrived and were not read yet


@dataclass(frozen=True, slots=True)
class ShutdownPhase:
    """What the relay does at one moment of its shutdown.

    Attributes:
        admits: Messages are admitted. If not, they are rejected, and connections are closed as they become idle.
        accepts: New connections are accepted.
        exits: The process ends now.
    """

    admits: bool
    accepts: bool
    exits: bool


def shutdown_phase(since_ms: float, unread: bool = False) -> ShutdownPhase:
    """Return the phase of the shutdown.

    Args:
        since_ms: Time (ms) since SIGTERM.
        unread: Whether bytes of clients have arrived that were not read yet.
    """
    exit_ms = EXIT_MS + UNREAD_GRACE_MS if unread else EXIT_MS
    return ShutdownPhase(
        admits=since_ms < EXIT_MS - STOP_ADMITTING_MS,
        accepts=since_ms < EXIT_MS - STOP_ACCEPTING_MS,
        exits=since_ms >= exit_ms,
    )
