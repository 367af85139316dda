"""When the endpoint list is asked for, and asked for again."""

from __future__ import annotations

import random

from .settings import Settings

FIRST_BACKOFF_MS = 480.0  # after the first failure; doubles from failure to failure
MAX_DOUBLINGS = 5
BACKOFF_JITTER = (0.5, 1.0)


class ListPoller:
    """Polls discovery where the settings ask for it.

    Growing, jittered pauses after failures guard a discovery that fails or is overloaded.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.poll_within_ms = settings.safety.poll_within_ms
        self.rng = rng
        self.next_poll_at: float | None = 0.0 if settings.polls_for_list else None
        self.failures = 0

    def poll_failed(self, now: float) -> None:
        """Ask again after a pause."""
        pause_ms = min(FIRST_BACKOFF_MS * 2**self.failures, self.poll_within_ms / 4)
        self.failures = min(self.failures + 1, MAX_DOUBLINGS)
        self.next_poll_at = now + pause_ms * self.rng.uniform(*BACKOFF_JITTER)

    def list_received(self) -> None:
        """Ask no more: a list has come."""
        self.failures = 0
        self.next_poll_at = None

    def is_due(self, now: float) -> bool:
        """Return whether to ask now; the next time is then set for the case that no answer comes."""
        if self.next_poll_at is None or now < self.next_poll_at:
            return False
        self.next_poll_at = now + self.poll_within_ms / 2
        return True
