"""What all parts of one relay share: its log, its counters, its messages and the way to its engine."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..engine.events import Event
from ..telemetry.log import Logger
from .accepted_message import AcceptedMessage


@dataclass(frozen=True, slots=True)
class RelayContext:
    """The collaborators that nearly every part of a relay needs; there is one for each relay.

    Attributes:
        log: Logger of the relay.
        post_event: Takes events for the delivery engine.
        accepted: The messages that have no final answer, by their number in the engine.
        counts: What the relay did, by the names of the metric `events`.
        loop: The event loop that the relay runs on.
    """

    log: Logger
    post_event: Callable[[Event], None]
    accepted: dict[int, AcceptedMessage] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    loop: asyncio.AbstractEventLoop = field(default_factory=asyncio.get_running_loop)

    @property
    def now_ms(self) -> float:
        """The loop's time in ms, which is the engine's."""
        return self.loop.time() * 1000
