"""Runs the engine on an asyncio event loop: provides its clock and its timer, and schedules its turns.

A turn is one call of `DeliveryEngine.handle` with all events that were posted in one pass of the event loop. If a turn
raises an unexpected exception, the engine is restarted: its state may be half changed, and events and actions are lost.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from ..engine.actions import Action, HealthCheck, SetTimer
from ..engine.engine import DeliveryEngine
from ..engine.events import Event, HealthCheckEnded, Message, MessageRecovered, Outcome, TimerFired
from ..engine.turn_recovery import TurnRecoveryPlan, TurnRecoveryPolicy
from .fault_boundary import FaultBoundary


def age_event(event: Event, elapsed_ms: float) -> Event:
    """Return an event with its ages and remaining times adjusted by the time since it was posted.

    Otherwise deadlines would expire late: when a relay starts, it posts all recovered messages before the first turn.
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


@dataclass(slots=True)
class PostedEvent:
    """An event that waits for the next turn, with the loop time (ms) at which it was posted."""

    posted_at_ms: float
    event: Event


class EngineLoop:
    """Passes events to the engine, all events of one pass of the event loop in one turn.

    Attributes:
        engine: The engine, which makes all decisions.
        carry_out: Called after each turn with its events and the engine's actions, except timers and health checks,
            which are carried out here.
        events: Events that were posted since the last turn.
        turn_scheduled: Whether the next turn is scheduled.
        closed: Whether `close` was called; no further turn runs after it.
        timer: The engine's timer that was set last.
        on_turn_failed: Called after a turn that raised an exception, with the engine restarted: passes what the relay
            knows to the engine again.
        recovery_policy: Decides how to go on after such a turn.
    """

    def __init__(
        self,
        engine: DeliveryEngine,
        carry_out: Callable[[list[Event], list[Action]], None],
        on_turn_failed: Callable[[TurnRecoveryPlan], None],
    ) -> None:
        self.engine = engine
        self.carry_out = carry_out
        self.on_turn_failed = on_turn_failed
        self.recovery_policy = TurnRecoveryPolicy()
        self.loop = asyncio.get_running_loop()
        self.events: list[PostedEvent] = []
        self.turn_scheduled = False
        self.closed = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def now_ms(self) -> float:
        """The loop time in ms, which is the clock of the engine."""
        return self.loop.time() * 1000

    def post(self, event: Event) -> None:
        """Pass an event to the engine in its next turn, as one that happened now."""
        self.events.append(PostedEvent(self.now_ms, event))
        self.schedule_turn()

    def schedule_turn(self) -> None:
        """Schedule a turn for the next pass of the event loop, with all events posted by then."""
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self.turn_scheduled = False
        if self.closed:
            return
        with FaultBoundary("a turn of the engine") as boundary:
            self._handle_events()
        if boundary.failed:
            self._restart_engine()

    def _restart_engine(self) -> None:
        """Restart the engine after a failed turn; posted events are dropped, as the relay passes all it knows again."""
        self.stop()
        self.events = []
        self.engine.restart()
        self.on_turn_failed(self.recovery_policy.record_failure(self.now_ms))

    def _handle_events(self) -> None:
        now_ms = self.now_ms
        events = self._take_events(now_ms)
        host_actions: list[Action] = []
        for action in self.engine.handle(now_ms, events):
            match action:
                case SetTimer(delay_ms=delay_ms, token=token):
                    self._set_timer(delay_ms, token)
                case HealthCheck(endpoint=endpoint):
                    # None of the relays' protocols has a health check.
                    self.post(HealthCheckEnded(endpoint, Outcome.NOT_SENT))
                case _:
                    host_actions.append(action)
        self.carry_out(events, host_actions)

    def _take_events(self, now_ms: float) -> list[Event]:
        """Remove and return the posted events, adjusted to `now_ms`."""
        posted = self.events
        self.events = []
        return [
            each.event if each.posted_at_ms == now_ms else age_event(each.event, now_ms - each.posted_at_ms)
            for each in posted
        ]

    def _set_timer(self, delay_ms: float, token: int) -> None:
        self.stop()
        self.timer = self.loop.call_later(delay_ms / 1000, self.post, TimerFired(token))

    def stop(self) -> None:
        """Cancel the timer; posted events are still handled in their turn."""
        if self.timer:
            self.timer.cancel()

    def close(self) -> None:
        """Cancel the timer and run no further turn; events that were not handled before have no effect."""
        self.closed = True
        self.stop()
