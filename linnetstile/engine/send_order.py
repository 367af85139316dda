"""The order in which the messages of a queue are sent, and their expected send times. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable

from .pending_message import PendingMessage
from .settings import ValueDecay

URGENCY_HORIZON_MS = 1000.0  # the value that a message would lose by waiting this long counts as much as its value


def urgency(pending: PendingMessage, at: float, decay: ValueDecay) -> float:
    """Return the priority in a queue: the value of an answer at `at`, plus the value that waiting longer would lose."""
    return 2 * pending.value_at(at, decay) - pending.value_at(at + URGENCY_HORIZON_MS, decay)


def expected_send_times(
    queue: Iterable[PendingMessage], now: float, gap_ms: float, decay: ValueDecay
) -> dict[int, float]:
    """Return the expected send times of a queue by message id: the most urgent first, one message each `gap_ms`."""
    most_urgent_first = sorted(queue, key=lambda pending: -urgency(pending, now, decay))
    return {pending.message.id: now + gap_ms * position for position, pending in enumerate(most_urgent_first, 1)}
