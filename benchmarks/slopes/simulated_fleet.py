"""Simulated relays: many engines in one process, on a simulated clock and without sockets."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from linnetstile.engine.actions import Action, Fail, Reject, Send, SetTimer
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import AttemptEnded, Event, Message, Outcome, TimerFired

EndpointAnswer = Callable[[int, int, float], tuple[Outcome, float]]
"""Function that answers a call: (relay, endpoint, time of the call) -> (outcome, duration of the call); times in ms."""


@dataclass(slots=True)
class TurnCost:
    """Number of engine turns for one kind of event, and their processor time in seconds."""

    turns: int = 0
    seconds: float = 0.0


class ScheduledEvent(NamedTuple):
    """An event for a relay; ordered by time, then by serial number."""

    at_ms: float
    serial: int
    relay: int
    event: Event


class SimulatedFleet:
    """Runs the engines of several relays on events in the order of their time, in simulated ms.

    Attributes:
        relays: The engines.
        answer: Function that answers the calls.
        now_ms: Time of the last event, or the end of the last run.
        costs: Turns and their processor time, by type name of the event.
        outcomes: Number of messages that have ended, by outcome.
    """

    def __init__(self, relays: list[DeliveryEngine], answer: EndpointAnswer) -> None:
        """Create a fleet of these engines, at time 0."""
        self.relays = relays
        self.answer = answer
        self.now_ms = 0.0
        self.queue: list[ScheduledEvent] = []
        self.serial = 0
        self.last_message = 0
        self.timer_serials = [0] * len(relays)  # by relay, serial number of its current timer
        self.attempts: dict[int, int] = {}  # message -> number of attempts so far
        self.destinations: dict[int, int] = {}  # message -> destination
        self.costs: dict[str, TurnCost] = {}
        self.outcomes: dict[str, int] = {}

    def schedule(self, at_ms: float, relay: int, event: Event) -> int:
        """Add an event for a relay; returns its serial number."""
        self.serial += 1
        heapq.heappush(self.queue, ScheduledEvent(at_ms, self.serial, relay, event))
        return self.serial

    def submit(self, at_ms: float, relay: int, destination: int, remaining_ms: float) -> None:
        """Submit a message to a relay."""
        self.last_message += 1
        self.attempts[self.last_message] = 0
        self.destinations[self.last_message] = destination
        self.schedule(at_ms, relay, Message(self.last_message, destination, 0, remaining_ms))

    def run(self, until_ms: float) -> None:
        """Handle all events up to a time."""
        while self.queue and self.queue[0].at_ms <= until_ms:
            self.now_ms, serial, relay, event = heapq.heappop(self.queue)
            if not isinstance(event, TimerFired) or self.timer_serials[relay] == serial:
                self.handle(relay, event)
        self.now_ms = until_ms

    def handle(self, relay: int, event: Event) -> None:
        """Let a relay handle one event, and execute the resulting actions."""
        cost = self.costs.setdefault(type(event).__name__, TurnCost())
        started_at = time.process_time()
        actions = self.relays[relay].handle(self.now_ms, [event])
        cost.seconds += time.process_time() - started_at
        cost.turns += 1
        if isinstance(event, AttemptEnded) and event.is_final:
            self.finish(event.id, "delivered")
        for action in actions:
            self._execute(relay, action)

    def _execute(self, relay: int, action: Action) -> None:
        match action:
            case Send():
                self.send(relay, action)
            case SetTimer(delay_ms, token):
                self.timer_serials[relay] = self.schedule(self.now_ms + delay_ms, relay, TimerFired(token))
            case Reject(message_id) | Fail(message_id):
                self.finish(message_id, type(action).__name__.lower())

    def finish(self, message_id: int, outcome: str) -> None:
        """Record the outcome of a message."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        del self.attempts[message_id]
        del self.destinations[message_id]

    def send(self, relay: int, send: Send) -> None:
        """Simulate a call: schedule its end."""
        outcome, elapsed_ms = self.answer(relay, send.endpoint, self.now_ms)
        if self.now_ms + elapsed_ms > send.timeout_at_ms:
            outcome, elapsed_ms = Outcome.TIMEOUT, max(0.0, send.timeout_at_ms - self.now_ms)
        attempt = self.attempts[send.id]
        self.attempts[send.id] += 1
        is_final = outcome is Outcome.OK
        ended = AttemptEnded(send.id, attempt, send.endpoint, outcome, elapsed_ms, is_final)
        self.schedule(self.now_ms + elapsed_ms, relay, ended)

    def cpu_us(self, *kinds: str) -> float:
        """Processor time in microseconds of the events with these type names, or of all events if none is given."""
        return 1e6 * sum(cost.seconds for kind, cost in self.costs.items() if not kinds or kind in kinds)

    def reset(self) -> None:
        """Reset costs and outcomes."""
        self.costs = {}
        self.outcomes = {}
