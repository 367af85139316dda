"""How a relay goes on after a turn of the engine raised an unexpected exception. No I/O and no clock.

The state of the engine may be half changed then, so it is discarded. The relay restarts the engine from what it knows
of its messages, as after a restart of the process.
"""

from __future__ import annotations

from dataclasses import dataclass

from .time_points import NEVER

# Time after a recovery in which a further failure counts as one that the resumed messages cause again.
PROBATION_MS = 5000.0
FIRST_BACKOFF_MS = 20.0  # until the engine gets its endpoints again after a repeated failure; doubles with each one
MAX_BACKOFF_MS = 1000.0
MAX_DOUBLINGS = 10


@dataclass(frozen=True, slots=True)
class TurnRecoveryPlan:
    """What follows a failed turn.

    Attributes:
        resumes_messages: Whether the pending messages are passed to the restarted engine; otherwise they end now.
        backoff_ms: Time until the restarted engine gets the list of endpoints.
    """

    resumes_messages: bool
    backoff_ms: float


class TurnRecoveryPolicy:
    """Decides how to recover from failed turns.

    After a first failure all messages are resumed. If the engine soon fails again, one of them may be the cause: all
    of them end, each with what its attempts prove, and a backoff keeps failing turns from occupying the process.
    """

    def __init__(self) -> None:
        self._failed_at = NEVER
        self._repeated_failures = 0

    def record_failure(self, now_ms: float) -> TurnRecoveryPlan:
        """Return what follows a turn that failed now."""
        is_repeated = now_ms - self._failed_at < PROBATION_MS
        self._failed_at = now_ms
        if not is_repeated:
            self._repeated_failures = 0
            return TurnRecoveryPlan(resumes_messages=True, backoff_ms=0.0)
        doublings = min(self._repeated_failures, MAX_DOUBLINGS)
        self._repeated_failures += 1
        return TurnRecoveryPlan(resumes_messages=False, backoff_ms=min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2**doublings))
