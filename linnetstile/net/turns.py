"""The module on an event loop: its clock, its timer, and one turn for all that happened in one pass of the loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from ..decisions import interface as api
from ..decisions.control import Relay


def aged(event: api.Event, ms: float) -> api.Event:
    """The same, told `ms` ago: what counts from the moment of telling is that much older. Guards deadlines: a start
    tells of all that it found before the first of it has its turn."""
    match event:
        case api.Message():
            return replace(event, left_ms=max(0.0, event.left_ms - ms))
        case api.Resumed():
            risk_ms = None if event.risk_ms is None else event.risk_ms + ms
            message = replace(event.message, left_ms=max(0.0, event.message.left_ms - ms))
            return replace(event, message=message, age_ms=event.age_ms + ms, risk_ms=risk_ms)
    return event


class Turns:
    """`tell` it events; `carry` gets each turn's events with the actions that are its host's to carry out."""

    def __init__(self, relay: Relay, carry: Callable[[list[api.Event], list[api.Action]], None]) -> None:
        self.relay, self.carry = relay, carry
        self.loop = asyncio.get_running_loop()
        self.events: list[tuple[float, api.Event]] = []  # since the last turn, and when they were told
        self.planned = self.closed = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def now(self) -> float:
        """The loop's time in ms, which is the module's."""
        return self.loop.time() * 1000

    def tell(self, event: api.Event) -> None:
        self.events.append((self.now, event))
        self.plan()

    def plan(self) -> None:
        """A turn follows, with whatever has happened by then."""
        if not self.planned:
            self.planned = True
            self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        self.planned = False
        if self.closed:
            return
        now, told, self.events = self.now, self.events, []
        events = [event if now == at else aged(event, now - at) for at, event in told]
        left: list[api.Action] = []
        for action in self.relay.handle(now, events):
            match action:
                case api.SetTimer(delay, token):
                    self.stop()
                    self.timer = self.loop.call_later(delay / 1000, self.tell, api.TimerFired(token))
                case api.Probe(endpoint):
                    self.tell(api.ProbeEnded(endpoint, api.Outcome.NOT_SENT))  # none of our protocols has a probe
                case _:
                    left.append(action)
        self.carry(events, left)

    def stop(self) -> None:
        """The timer that is set fires no more; what is told still has its turn."""
        if self.timer:
            self.timer.cancel()

    def close(self) -> None:
        """There is no further turn: what is told from now on is judged by nobody."""
        self.closed = True
        self.stop()
