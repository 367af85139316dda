"""Schedules the polls of discovery for the endpoint list."""

from __future__ import annotations

import random

from .settings import Settings

FIRST_BACKOFF_MS = 480.0  # delay after the first failed poll; doubles with each further one
MAX_DOUBLINGS = 5
BACKOFF_JITTER = (0.5, 1.0)  # range of the random factor on a backoff


class ListPoller:
    """Polls discovery until a list has arrived, if the settings require polling.

    An exponential backoff with jitter keeps the polls of many relays from overloading discovery.
    """

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.poll_within_ms = settings.safety.poll_within_ms
        self.rng = rng
        self.next_poll_at: float | None = 0.0 if settings.polls_for_list else None
        self.failures = 0

    def poll_failed(self, now: float) -> None:
        """Schedule the next poll after a backoff."""
        backoff_ms = min(FIRST_BACKOFF_MS * 2**self.failures, self.poll_within_ms / 4)
        self.failures = min(self.failures + 1, MAX_DOUBLINGS)
        self.next_poll_at = now + backoff_ms * self.rng.uniform(*BACKOFF_JITTER)

    def list_received(self) -> None:
        """Stop polling, as a list has arrived."""
        self.failures = 0
        self.next_poll_at = None

    def is_due(self, now: float) -> bool:
        """Return whether to poll now; if so, also schedule the next poll, in case no answer arrives."""
        if self.next_poll_at is None or now < self.next_poll_at:
            return False
        self.next_poll_at = now + self.poll_within_ms / 2
        return True
