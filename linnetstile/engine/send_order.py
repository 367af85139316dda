"""When each message of a queue goes out: in which order, and at a known rate. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable

from .pending_message import PendingMessage
from .settings import ValueDecay

URGENCY_HORIZON_MS = 1000.0  # what a message loses if it waits for so long counts as much as its value


def urgency(pending: PendingMessage, at: float, decay: ValueDecay) -> float:
    """Return what decides who goes first: the value if answered at `at`, and more for what waiting would cost."""
    return 2 * pending.value_at(at, decay) - pending.value_at(at + URGENCY_HORIZON_MS, decay)


def expected_send_times(
    queue: Iterable[PendingMessage], now: float, gap_ms: float, decay: ValueDecay
) -> dict[int, float]:
    """Return when the messages that wait for one destination go, by id, one each `gap_ms`.

    A queue is not read in the order of arrival: an urgent message does not wait until all others have gone.
    """
    order = sorted(queue, key=lambda pending: -urgency(pending, now, decay))
    return {pending.message.id: now + gap_ms * place for place, pending in enumerate(order, 1)}
