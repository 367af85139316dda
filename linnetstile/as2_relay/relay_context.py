"""Shared state of the components of one relay: log, counters, accepted messages and access to the engine."""

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
    """The objects that nearly every component of a relay uses; each relay has one context.

    Attributes:
        log: Logger of the relay.
        post_event: Passes an event to the delivery engine.
        accepted: The messages without a final answer, by their number in the engine.
        counts: Event counters, by the names that the metric `events` uses.
        loop: The event loop that the relay runs on.
    """

    log: Logger
    post_event: Callable[[Event], None]
    accepted: dict[int, AcceptedMessage] = field(default_factory=dict)
    counts: Counter[str] = field(default_factory=Counter)
    loop: asyncio.AbstractEventLoop = field(default_factory=asyncio.get_running_loop)

    @property
    def now_ms(self) -> float:
        """Current time of the event loop in ms; the engine uses the same clock."""
        return self.loop.time() * 1000
