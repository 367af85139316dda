"""Tokens for a destination after a restart, given the messages that were recovered. No I/O and no clock.

A new process has a few tokens for each destination, as if the destination had been idle. Recovered messages that were
pending without an attempt show that the previous process had no tokens left. If hundreds of relays restart together and
each sends a burst of recovered messages, most destinations reject it, and the relays are throttled for seconds.
"""

from __future__ import annotations

MIN_PENDING_MS = 2500.0  # longer than a restart, and longer than any time window over which a rate limit counts


def tokens_after_recovery(tokens: float, initial_tokens: float, attempts: int, age_ms: float) -> float:
    """Return the tokens for a destination after a message for it was recovered.

    Args:
        tokens: Tokens that the destination has now.
        initial_tokens: Random part of one token, so that relays which restart together do not send in step.
        attempts: Number of attempts of the message before the restart.
        age_ms: Time (ms) since the message was submitted.

    Returns:
        At most `initial_tokens` if the message was held back for lack of tokens, else `tokens`.
    """
    was_rate_limited = attempts == 0 and age_ms > MIN_PENDING_MS
    return min(tokens, initial_tokens) if was_rate_limited else tokens
