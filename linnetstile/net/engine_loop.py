"""The module on an event loop: its clock, its timer, and one turn for all that happened in one pass of the loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from linnetstile.engine.actions import Action, HealthCheck, SetTimer
from linnetstile.engine.events import Event, HealthCheckEnded, Message, MessageRecovered, Outcome, TimerFired

from ..engine.engine import DeliveryEngine


def age_event(event: Event, ms: float) -> Event:
    """The same, told `ms` ago: what counts from the moment of telling is that much older. Guards deadlines: a start
    tells of all that it found before the first of it has its turn."""
    match event:
        case Message():
            return replace(event, remaining_ms=max(0.0, event.remaining_ms - ms))
        case MessageRecovered():
            risk_ms = None if event.unclear_age_ms is None else event.unclear_age_ms + ms
            message = replace(event.message, remaining_ms=max(0.0, event.message.remaining_ms - ms))
            return replace(event, message=message, age_ms=event.age_ms + ms, unclear_age_ms=risk_ms)
    return event


class EngineLoop:
    """`tell` it events; `carry` gets each turn's events with the actions that are its host's to carry out."""

    def __init__(self, relay: DeliveryEngine, carry: Callable[[list[Event], list[Action]], None]) -> None:
        self.engine, self.carry_out = relay, carry
        self.loop = asyncio.get_running_loop()
        self.events: list[tuple[float, Event]] = []  # since the last turn, and when they were told
        self.turn_scheduled = self.closed = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def now(self) -> float:
        """The loop's time in ms, which is the module's."""
        return self.loop.time() * 1000

    def post(self, event: Event) -> None:
        self.events.append((self.now, event))
        self.schedule_turn()

    def schedule_turn(self) -> None:
        """A turn follows, with whatever has happened by then."""
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self.turn_scheduled = False
        if self.closed:
            return
        now, told, self.events = self.now, self.events, []
        events = [event if now == at else age_event(event, now - at) for at, event in told]
        left: list[Action] = []
        for action in self.engine.handle(now, events):
            match action:
                case SetTimer(delay, token):
                    self.stop()
                    self.timer = self.loop.call_later(delay / 1000, self.post, TimerFired(token))
                case HealthCheck(endpoint):
                    self.post(HealthCheckEnded(endpoint, Outcome.NOT_SENT))  # none of our protocols has a probe
                case _:
                    left.append(action)
        self.carry_out(events, left)

    def stop(self) -> None:
        """The timer that is set fires no more; what is told still has its turn."""
        if self.timer:
            self.timer.cancel()

    def close(self) -> None:
        """There is no further turn: what is told from now on is judged by nobody."""
        self.closed = True
        self.stop()
