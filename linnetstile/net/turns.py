"""The module on an event loop: its clock, its timer, and one turn for all that happened in one pass of the loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..decisions import interface as api
from ..decisions.control import Relay


class Turns:
    """`tell` it events; `carry` gets each turn's events with the actions that are its host's to carry out."""

    def __init__(self, relay: Relay, carry: Callable[[list[api.Event], list[api.Action]], None]) -> None:
        self.relay, self.carry = relay, carry
        self.loop = asyncio.get_running_loop()
        self.events: list[api.Event] = []  # since the last turn
        self.planned = self.closed = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def now(self) -> float:
        """The loop's time in ms, which is the module's."""
        return self.loop.time() * 1000

    def tell(self, event: api.Event) -> None:
        self.events.append(event)
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
        events, self.events = self.events, []
        left: list[api.Action] = []
        for action in self.relay.handle(self.now, events):
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
