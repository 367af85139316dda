"""What a restarted relay concludes from the messages that it recovers. No I/O and no clock: ages come in.

A process that starts has a few tokens for each destination, as for one that was idle. Where messages had waited for a
destination without an attempt, the process before had no tokens left. If hundreds of relays restart at once and each
sends a burst from its backlog, most destinations reject it, and the relays are then throttled for seconds.
"""

from __future__ import annotations

BACKLOG_AGE_MS = 2500.0  # longer than a restart takes, and than any period over which a rate limit counts


def tokens_after_recovery(tokens: float, initial_tokens: float, attempts: int, age_ms: float) -> float:
    """Return the tokens for a destination after a message for it was recovered.

    Args:
        tokens: Tokens that the destination has now.
        initial_tokens: A random part of one token, so that relays which restart together do not send in step.
        attempts: Attempts that the message has had.
        age_ms: Time (ms) since the message was submitted.

    Returns:
        At most `initial_tokens` if the message had waited without an attempt, else `tokens`.
    """
    had_waited = attempts == 0 and age_ms > BACKLOG_AGE_MS
    return min(tokens, initial_tokens) if had_waited else tokens
