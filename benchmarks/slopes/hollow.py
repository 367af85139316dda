"""Hollow relays: the module alone, many to a process, on a simulated clock and without sockets."""

from __future__ import annotations

import heapq
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from linnetstile.engine.actions import Fail, Reject, Send, SetTimer
from linnetstile.engine.engine import DeliveryEngine
from linnetstile.engine.events import AttemptEnded, Event, Message, Outcome, TimerFired

# What an endpoint does with a call: relay, endpoint, when its last byte comes -> outcome and time it takes, ms.
Answer = Callable[[int, int, float], tuple[Outcome, float]]


@dataclass(slots=True)
class Spent:
    """Turns of one kind, and their processor time in seconds."""

    turns: int = 0
    seconds: float = 0.0


class Fleet:
    """Events in the order of their time, and what each relay does with them. Times in simulated ms."""

    def __init__(self, relays: list[DeliveryEngine], answer: Answer) -> None:
        self.relays, self.answer = relays, answer
        self.now = 0.0
        self.heap: list[tuple[float, int, int, Any]] = []
        self.serial = self.ident = 0
        self.timers = [0] * len(relays)  # the serial number of the timer that counts
        self.tries: dict[int, int] = {}
        self.where: dict[int, int] = {}  # message -> destination
        self.spent: dict[str, Spent] = {}
        self.ends: dict[str, int] = {}

    def at(self, when: float, relay: int, event: Event) -> int:
        self.serial += 1
        heapq.heappush(self.heap, (when, self.serial, relay, event))
        return self.serial

    def message(self, when: float, relay: int, destination: int, left_ms: float) -> None:
        self.ident += 1
        self.tries[self.ident], self.where[self.ident] = 0, destination
        self.at(when, relay, Message(self.ident, destination, 0, left_ms))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, serial, relay, event = heapq.heappop(self.heap)
            if not isinstance(event, TimerFired) or self.timers[relay] == serial:
                self.turn(relay, event)
        self.now = until

    def turn(self, relay: int, event: Event) -> None:
        spent = self.spent.setdefault(type(event).__name__, Spent())
        began = time.process_time()
        actions = self.relays[relay].handle(self.now, [event])
        spent.seconds += time.process_time() - began
        spent.turns += 1
        if isinstance(event, AttemptEnded) and event.is_final:
            self.over(event.id, "delivered")
        for action in actions:
            match action:
                case Send():
                    self.sent(relay, action)
                case SetTimer(delay, token):
                    self.timers[relay] = self.at(self.now + delay, relay, TimerFired(token))
                case Reject(ident) | Fail(ident):
                    self.over(ident, type(action).__name__.lower())

    def over(self, ident: int, how: str) -> None:
        self.ends[how] = self.ends.get(how, 0) + 1
        del self.tries[ident], self.where[ident]

    def sent(self, relay: int, send: Send) -> None:
        outcome, took = self.answer(relay, send.endpoint, self.now)
        if self.now + took > send.timeout_at_ms:
            outcome, took = Outcome.TIMEOUT, max(0.0, send.timeout_at_ms - self.now)
        number = self.tries[send.id]
        self.tries[send.id] += 1
        self.at(
            self.now + took,
            relay,
            AttemptEnded(send.id, number, send.endpoint, outcome, took, outcome is Outcome.OK),
        )

    def cpu_us(self, *kinds: str) -> float:
        """Processor time of turns of these kinds, of all if none is named."""
        return 1e6 * sum(spent.seconds for kind, spent in self.spent.items() if not kinds or kind in kinds)

    def reset(self) -> None:
        self.spent, self.ends = {}, {}
