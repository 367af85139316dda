"""When each message of a queue goes out: in which order, and at a known pace. No I/O and no clock."""

from __future__ import annotations

from collections.abc import Iterable

from .interface import Decay
from .state import Held

SOON_MS = 1000.0  # what a message loses in this time if it waits counts as much as what it is worth


def urgency(held: Held, at: float, decay: Decay) -> float:
    """What is sent first: most worth if answered `at`, and more for what waiting would cost it."""
    return 2 * held.worth_at(at, decay) - held.worth_at(at + SOON_MS, decay)


def turns(queue: Iterable[Held], now: float, gap_ms: float, decay: Decay) -> dict[int, float]:
    """When the messages that wait for one destination go, one each `gap_ms`, by id. A queue is not read in the order
    of arrival: one that goes first does not wait until all of it has drained."""
    order = sorted(queue, key=lambda held: -urgency(held, now, decay))
    return {held.msg.id: now + gap_ms * place for place, held in enumerate(order, 1)}
