"""Simulates the messages and calls of a simulated relay, from the submission of a message to its end."""

from __future__ import annotations

import time
from dataclasses import dataclass

from ...engine.actions import Action, Fail, Reject, Send, SetTimer
from ...engine.events import (
    AttemptEnded,
    Endpoint,
    EndpointStatus,
    Event,
    Message,
    MessageRecovered,
    Outcome,
    TimerFired,
)
from .destination_model import Call, answer_call
from .outage_observer import OutageObserver
from .platform_model import Lifetime
from .relay_runtime import CallEnds, EngineTimerDue, MessageArrives, RelayRuntime
from .trace import BacklogEnd, Count, DestinationSecond, TurnKind
from .workload import EVENTS_PER_DESTINATION_S, zone_of

MEAN_BACKLOG_AGE_MS = 30_000.0
"""Mean age of the messages of a backlog at the restart; exponentially distributed."""
CLASS_MIX = (0, 0, 0, 1, 1, 2)
"""Class indexes of the messages, in the proportion in which they are drawn."""


@dataclass(frozen=True, slots=True)
class Attempt:
    """A started call: the time at which it began and the name of its endpoint."""

    began_ms: float
    endpoint: str


@dataclass(slots=True)
class AcceptedMessage:
    """State of a message from its submission to its end, as the platform relay keeps it in its journal.

    Attributes:
        message: The message.
        accepted_ms: Time at which it was submitted.
        deadline_ms: Time at which it expires.
        attempts: Number of calls so far.
        in_flight: The call that has not ended yet; None if there is none.
        first_unclear: The first call whose end does not show whether it took effect; None if there is none.
    """

    message: Message
    accepted_ms: float
    deadline_ms: float
    attempts: int = 0
    in_flight: Attempt | None = None
    first_unclear: Attempt | None = None


class TrafficSimulation:
    """Submits messages to the engine and carries out its actions."""

    def __init__(self, runtime: RelayRuntime) -> None:
        self.runtime = runtime
        self.observer = OutageObserver(runtime)
        self.accepted: dict[int, AcceptedMessage] = {}
        self.backlog: set[int] = set()  # messages that were added to the journal at a restart
        self.timer_serial = 0
        self.last_message = 0

    # -- processes --

    def start_process(self, now_ms: float) -> None:
        """Let clients submit messages for all destinations in use."""
        for destination in self.runtime.platform.destinations_in_use:
            self._schedule_message(destination, now_ms)

    def lose_state(self) -> None:
        """Drop all accepted messages, as the journal is lost together with the machine of the relay."""
        self.runtime.count(Count.LOST_WITH_STATE, len(self.accepted))
        self.accepted = {}
        self.backlog = set()

    def recover(self, now_ms: float, lifetime: Lifetime) -> list[Event]:
        """Return the recovery events of all messages in the journal; the caller passes them to the engine."""
        if lifetime.backlog:
            self._add_backlog(now_ms, lifetime.backlog)
        return [self._recover_message(now_ms, accepted) for accepted in self.accepted.values()]

    def _add_backlog(self, now_ms: float, messages_per_destination: int) -> None:
        rng = self.runtime.rng
        for destination in self.runtime.platform.destinations_in_use:
            for _ in range(messages_per_destination):
                accepted_ms = now_ms - rng.expovariate(1 / MEAN_BACKLOG_AGE_MS)
                self.backlog.add(self._accept(destination, now_ms, accepted_ms).id)

    def _recover_message(self, now_ms: float, accepted: AcceptedMessage) -> MessageRecovered:
        accepted.first_unclear = accepted.first_unclear or accepted.in_flight
        accepted.in_flight = None
        message = accepted.message
        unclear = accepted.first_unclear
        endpoint = None
        if unclear:
            endpoint = Endpoint(
                self.runtime.reader.endpoint_number(unclear.endpoint),
                message.destination,
                EndpointStatus.READY,
                zone=zone_of(message.destination),
            )
        remaining_ms = max(0.0, accepted.deadline_ms - now_ms)
        return MessageRecovered(
            Message(message.id, message.destination, message.class_index, remaining_ms),
            now_ms - accepted.accepted_ms,
            accepted.attempts,
            now_ms - unclear.began_ms if unclear else None,
            endpoint,
        )

    # -- messages --

    def submit(self, now_ms: float, destination: int) -> None:
        """Submit a message for a destination, and schedule the next message for the same destination."""
        runtime = self.runtime
        self._schedule_message(destination, now_ms)
        if not runtime.reader.is_listed(destination):
            runtime.count(Count.NOT_LISTED)
            return
        runtime.count(Count.MESSAGES)
        if outage := runtime.platform.current_outage(destination, runtime.region, now_ms):
            runtime.trace.outages_with_message.add(outage.number)
        self.engine_turn(now_ms, [self._accept(destination, now_ms, now_ms)], TurnKind.MESSAGE)

    def _schedule_message(self, destination: int, now_ms: float) -> None:
        per_s = EVENTS_PER_DESTINATION_S / self.runtime.platform.options.relays
        self.runtime.queue.add(now_ms + self.runtime.rng.expovariate(per_s) * 1000, MessageArrives(destination))

    def _accept(self, destination: int, now_ms: float, accepted_ms: float) -> Message:
        self.last_message += 1
        class_index = self.runtime.rng.choice(CLASS_MIX)
        deadline_ms = self.runtime.engine.settings.classes[class_index].deadline_ms
        remaining_ms = deadline_ms - (now_ms - accepted_ms)
        message = Message(self.last_message, destination, class_index, remaining_ms)
        self.accepted[message.id] = AcceptedMessage(message, accepted_ms, accepted_ms + deadline_ms)
        return message

    def _finish(self, now_ms: float, message_id: int) -> None:
        if self.accepted.pop(message_id, None) is None:
            return
        if message_id in self.backlog:
            self.backlog.discard(message_id)
            self.runtime.trace.backlog_ends.append(BacklogEnd(self.runtime.scenario, now_ms))

    # -- the engine --

    def engine_turn(self, now_ms: float, events: list[Event], kind: TurnKind) -> int:
        """Let the engine handle events and carry out its actions; return the CPU time of the engine in ns."""
        began_ns = time.thread_time_ns()
        actions = self.runtime.engine.handle(now_ms, events)
        spent_ns = time.thread_time_ns() - began_ns
        self.runtime.trace.cpu_ns[kind] += spent_ns
        self.runtime.trace.turns[kind] += 1
        for action in actions:
            self._play(now_ms, action)
        return spent_ns

    def _play(self, now_ms: float, action: Action) -> None:
        match action:
            case Send():
                self._send(now_ms, action)
            case SetTimer(delay_ms, token):
                self.timer_serial += 1  # a new timer replaces the previous one, as in the platform relay
                self.runtime.queue.add(now_ms + delay_ms, EngineTimerDue(self.timer_serial, token))
            case Reject(message_id):
                self.runtime.count(Count.REJECTED)
                self._finish(now_ms, message_id)
            case Fail(message_id):
                self.runtime.count(Count.FAILED)
                self._finish(now_ms, message_id)

    def timer_due(self, now_ms: float, event: EngineTimerDue) -> None:
        """Fire the timer of the engine, unless the engine has set another timer since."""
        if event.serial == self.timer_serial:
            self.engine_turn(now_ms, [TimerFired(event.token)], TurnKind.TIMER)

    # -- calls --

    def _send(self, now_ms: float, send: Send) -> None:
        runtime = self.runtime
        accepted = self.accepted[send.id]
        destination = accepted.message.destination
        endpoint = runtime.reader.endpoint_name(send.endpoint)
        accepted.attempts += 1
        accepted.in_flight = Attempt(now_ms, endpoint)
        call = Call(send, destination, endpoint, runtime.region, now_ms)
        result = answer_call(runtime.platform, call, runtime.engine.settings.connect_timeout_ms, runtime.rng)
        self.observer.count_call(result)
        self.observer.record_slow_start_call(destination, now_ms)
        if send.id in self.backlog:
            runtime.trace.backlog_calls[DestinationSecond(destination, int(now_ms // 1000))] += 1
        runtime.queue.add(max(now_ms, result.at_ms), CallEnds(send, now_ms, result.outcome))

    def call_ended(self, now_ms: float, event: CallEnds) -> None:
        """Notify the engine of the end of a call, and record what the engine then believes about the destination."""
        send = event.send
        outcome = event.outcome
        accepted = self.accepted.get(send.id)
        if accepted is None:
            return
        destination = accepted.message.destination
        succeeded = outcome is Outcome.OK
        if not outcome.proves_no_effect and accepted.first_unclear is None:
            accepted.first_unclear = accepted.in_flight
        accepted.in_flight = None
        outage_believed = self.observer.outage_still_believed(destination, now_ms) if succeeded else None
        elapsed_ms = now_ms - event.began_ms
        ended = AttemptEnded(send.id, accepted.attempts, send.endpoint, outcome, elapsed_ms, succeeded)
        self.engine_turn(now_ms, [ended], TurnKind.ATTEMPT_ENDED)
        self.runtime.count(outcome.value)
        if succeeded:
            self._finish(now_ms, send.id)
            self.observer.record_recovery(outage_believed, now_ms)
        else:
            self.observer.record_failure(destination, event.began_ms, now_ms)
