"""Names of a relay's counters in the log event `stats`; docs/operate/node.md explains them to operators.

The components of a relay share one `collections.Counter` with these keys, `PlatformRelay.counts`.
"""

from __future__ import annotations

from typing import Final

from ..engine.events import Outcome

# Submissions that were accepted, or rejected before the engine saw them.
ACCEPTED: Final = "taken"
REJECTED_DUPLICATE: Final = "known"
REJECTED_UNKNOWN_DESTINATION: Final = "nowhere"
REJECTED_JOURNAL_FULL: Final = "no_room"
REJECTED_NO_MEMORY: Final = "no_memory"
REJECTED_PAST_DEADLINE: Final = "late"
REJECTED_NOT_JOURNALED: Final = "not_written"
CLIENT_LEFT_BEFORE_ANSWER: Final = "unheard"

# Started attempts, and ended attempts by outcome.
ATTEMPTS: Final = "attempts"
ATTEMPTS_ENDED: Final = {outcome: f"ended_{outcome.value}" for outcome in Outcome}

# Unexpected exceptions, each with a log event `fault`.
FAULTS: Final = "faults"
ENGINE_RESTARTS: Final = "engine_restarts"  # turns of the engine that raised one

# Messages that the engine gave up.
MESSAGES_REJECTED: Final = "refused"
MESSAGES_FAILED: Final = "failed"
