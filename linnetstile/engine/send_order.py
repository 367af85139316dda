"""When each message of a queue goes out: in which order, and at a known pace. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable

from .pending_message import PendingMessage
from .settings import ValueDecay

URGENCY_HORIZON_MS = 1000.0  # what a message loses in this time if it waits counts as much as what it is worth


def urgency(pending: PendingMessage, at: float, decay: ValueDecay) -> float:
    """What is sent first: most worth if answered `at`, and more for what waiting would cost it."""
    return 2 * pending.value_at(at, decay) - pending.value_at(at + URGENCY_HORIZON_MS, decay)


def expected_send_times(
    queue: Iterable[PendingMessage], now: float, gap_ms: float, decay: ValueDecay
) -> dict[int, float]:
    """When the messages that wait for one destination go, one each `gap_ms`, by id. A queue is not read in the order
    of arrival: one that goes first does not wait until all of it has drained."""
    order = sorted(queue, key=lambda pending: -urgency(pending, now, decay))
    return {pending.message.id: now + gap_ms * place for place, pending in enumerate(order, 1)}
