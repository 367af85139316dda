"""Rate limits after a restart, by the messages that were recovered. No I/O and no clock: ages come in.

A process that starts has a few tokens for each destination, as for one that was idle. If messages had been pending for
a destination without an attempt, the previous process had no tokens left. If hundreds of relays restart together and
each sends a burst of recovered messages, most destinations reject it, and the relays are throttled for seconds.
"""

from __future__ import annotations

MIN_PENDING_MS = 2500.0  # longer than a restart takes, and than any time window over which a rate limit counts


def tokens_after_recovery(tokens: float, initial_tokens: float, attempts: int, age_ms: float) -> float:
    """Return the tokens for a destination after a message for it was recovered.

    Args:
        tokens: Tokens that the destination has now.
        initial_tokens: A random part of one token, so that relays which restart together do not send in step.
        attempts: Attempts that the message has had.
        age_ms: Time (ms) since the message was submitted.

    Returns:
        At most `initial_tokens` if the message had been held back for lack of tokens, else `tokens`.
    """
    was_held_back = attempts == 0 and age_ms > MIN_PENDING_MS
    return min(tokens, initial_tokens) if was_held_back else tokens
