"""How often, and when, a final answer is posted to a client's receipt address (RFC 4130, 7.1)."""

from __future__ import annotations

MAX_ATTEMPTS = 4
FIRST_BACKOFF_MS = 500.0  # doubles: a receiver that restarts is back within seconds
ATTEMPT_TIMEOUT_MS = 5000.0  # how long one post may take


def next_attempt_ms(tries: int, delivered: bool) -> float | None:
    """Pause in ms before the next post after `tries` of them; None = no further one. A receipt may be posted
    twice: the client tells repeats by Original-Message-ID, and the answer is the same bytes each time."""
    return None if delivered or tries >= MAX_ATTEMPTS else FIRST_BACKOFF_MS * 2 ** (tries - 1)
