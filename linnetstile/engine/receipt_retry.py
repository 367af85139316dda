"""Retry schedule for posting a final answer to a client's receipt address (RFC 4130, 7.1)."""

from __future__ import annotations

MAX_ATTEMPTS = 4
FIRST_BACKOFF_MS = 500.0  # doubles with each attempt: a receiver that restarts is back within seconds
ATTEMPT_TIMEOUT_MS = 5000.0  # longest time that one post may take


def next_backoff_ms(attempts: int, delivered: bool) -> float | None:
    """Return the backoff before the next post of a receipt.

    A receipt may be posted more than once: the client recognizes a repeat by its Original-Message-ID, and the bytes
    are the same each time.

    Args:
        attempts: Posts made so far, at least 1.
        delivered: Whether the last of them succeeded.

    Returns:
        The backoff (ms), or None where there is no further attempt.
    """
    if delivered or attempts >= MAX_ATTEMPTS:
        return None
    return float(FIRST_BACKOFF_MS * 2 ** (attempts - 1))
