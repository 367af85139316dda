"""The engine on an event loop: its clock, its timer, and one turn for all that happened in one pass of the loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from ..engine.actions import Action, HealthCheck, SetTimer
from ..engine.engine import DeliveryEngine
from ..engine.events import Event, HealthCheckEnded, Message, MessageRecovered, Outcome, TimerFired


def age_event(event: Event, elapsed_ms: float) -> Event:
    """Return the event as it is `elapsed_ms` after it was posted: what counts from that moment is that much older.

    Guards deadlines: a start posts all that it found before the first of it has its turn.
    """
    match event:
        case Message():
            return _age_message(event, elapsed_ms)
        case MessageRecovered():
            unclear_age_ms = None if event.unclear_age_ms is None else event.unclear_age_ms + elapsed_ms
            return replace(
                event,
                message=_age_message(event.message, elapsed_ms),
                age_ms=event.age_ms + elapsed_ms,
                unclear_age_ms=unclear_age_ms,
            )
    return event


def _age_message(message: Message, elapsed_ms: float) -> Message:
    return replace(message, remaining_ms=max(0.0, message.remaining_ms - elapsed_ms))


class EngineLoop:
    """Gives the engine its turns.

    Attributes:
        engine: Decides.
        carry_out: Gets each turn's events, with the actions that are its host's to carry out.
        events: Posted since the last turn, and when (loop time, ms).
    """

    def __init__(self, engine: DeliveryEngine, carry_out: Callable[[list[Event], list[Action]], None]) -> None:
        self.engine = engine
        self.carry_out = carry_out
        self.loop = asyncio.get_running_loop()
        self.events: list[tuple[float, Event]] = []
        self.turn_scheduled = self.closed = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def now(self) -> float:
        """The loop's time in ms, which is the engine's."""
        return self.loop.time() * 1000

    def post(self, event: Event) -> None:
        """Tell the engine of an event in its next turn, as of now."""
        self.events.append((self.now, event))
        self.schedule_turn()

    def schedule_turn(self) -> None:
        """Let a turn follow, with whatever has happened by then."""
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self.turn_scheduled = False
        if self.closed:
            return
        now, posted, self.events = self.now, self.events, []
        events = [event if now == at else age_event(event, now - at) for at, event in posted]
        host_actions: list[Action] = []
        for action in self.engine.handle(now, events):
            match action:
                case SetTimer(delay_ms, token):
                    self._set_timer(delay_ms, token)
                case HealthCheck(endpoint):
                    # None of our protocols has a health check.
                    self.post(HealthCheckEnded(endpoint, Outcome.NOT_SENT))
                case _:
                    host_actions.append(action)
        self.carry_out(events, host_actions)

    def _set_timer(self, delay_ms: float, token: int) -> None:
        self.stop()
        self.timer = self.loop.call_later(delay_ms / 1000, self.post, TimerFired(token))

    def stop(self) -> None:
        """Cancel the timer that is set; what is posted still has its turn."""
        if self.timer:
            self.timer.cancel()

    def close(self) -> None:
        """End the turns: what is posted from now on is judged by nobody."""
        self.closed = True
        self.stop()
