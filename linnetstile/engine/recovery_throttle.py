"""What a restart learns from the messages that it finds. No I/O and no clock: ages come in.

A process that starts has calls saved up for each destination, as for one that was at rest. Where messages had waited
there, untried, the process before had none left: hundreds of relays that restart at once and each send a clump from
their backlogs are refused by most destinations, and are then held to a cut pace for seconds."""

from __future__ import annotations

BACKLOG_AGE_MS = 2500.0  # beyond the pause of a restart itself, and beyond any span of a limit


def tokens_after_recovery(credit: float, lot: float, tries: int, age_ms: float) -> float:
    """Calls saved up for a destination once a message for it was found: `lot`, part of one by chance, so that relays
    which start together don't send in step, if it had waited without a try."""
    return min(credit, lot) if tries == 0 and age_ms > BACKLOG_AGE_MS else credit
