"""What a relay does between SIGTERM and its end: takes on, refuses, delivers what is out, ends. No I/O, no clock.

The platform sends SIGTERM, goes on dealing out connections for up to 0.4 s, and kills 3.7 s after SIGTERM at the
soonest. What is held then goes on in the next process: only calls that are out would have an unclear outcome."""

from __future__ import annotations

from dataclasses import dataclass

TAKES_MS = 450.0  # new connections still come: each of them gets its answer
END_MS = 3550.0  # before the kill: the last answers have come, and the journal is closed


@dataclass(frozen=True, slots=True)
class Leave:
    takes: bool  # messages are taken on
    listens: bool
    ends: bool


def leave(since_ms: float, out: int, held: int) -> Leave:
    """`since_ms` after SIGTERM, with `out` calls under way and `held` messages in all."""
    takes = since_ms < TAKES_MS
    return Leave(takes, takes, since_ms >= END_MS or not takes and not held)
