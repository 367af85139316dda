"""State of an accepted message that has not ended yet."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from .events import Endpoint, Message
from .settings import MessageClass, ValueDecay
from .time_points import NEVER

if TYPE_CHECKING:
    from .route_state import InFlightCall


@dataclass(slots=True)
class PendingMessage:
    """One message, from its arrival until it has ended and no call of it is in flight.

    Attributes:
        message: The message as the host submitted it.
        message_class: Its class in the settings.
        submitted_at: When its client first submitted it.
        deadline: Time by which it must get its final answer.
        priority_weight: Value of its delivery within the latency objective.
        not_before: Earliest time at which an attempt may start.
        accepted_at: When this relay accepted it.
        latest_send_at: Time from which on no attempt may start.
        attempts: Number of attempts that were started.
        call: Its call in flight, if there is one.
        sent_at: Start of its latest attempt.
        first_unclear_at: Start of the first attempt that may have run; None = no attempt may have run.
        unclear_endpoint: Endpoint of the first attempt that may have run.
        cancelled: Whether its client has cancelled it.
        recovered_without_attempt: Whether a restart recovered it without an attempt; it is not shed before its first
            attempt.
        ordering_key: Messages with the same key are delivered in order; 0 = none.
        expires_early: Whether its deadline comes before its latency objective, because its client waits less long.
    """

    message: Message
    message_class: MessageClass
    submitted_at: float
    deadline: float
    priority_weight: float
    not_before: float
    accepted_at: float
    latest_send_at: float = NEVER
    attempts: int = 0
    call: InFlightCall | None = None
    sent_at: float = 0.0
    first_unclear_at: float | None = None
    unclear_endpoint: Endpoint | None = None
    cancelled: bool = False
    recovered_without_attempt: bool = False
    ordering_key: int = field(init=False)
    expires_early: bool = field(init=False)

    def __post_init__(self) -> None:
        self.ordering_key = self.message.ordering_key if self.message_class.in_order else 0
        self.expires_early = self.deadline < self.submitted_at + self.message_class.latency_objective_ms

    def start_attempt(self, now: float, call: InFlightCall) -> None:
        """Record that an attempt has started."""
        self.call = call
        self.sent_at = now
        self.attempts += 1

    def value_at(self, at: float, decay: ValueDecay) -> float:
        """Return the value of a delivery at a time: full within the latency objective, then falling, 0 when late.

        A message may have more time than the deadline of its class: beyond that, its value stays at the late fraction.
        """
        if at >= self.deadline:
            return 0.0
        message_class = self.message_class
        objective_ms = message_class.latency_objective_ms
        overrun_ms = at - self.submitted_at - objective_ms
        if overrun_ms <= 0:
            return self.priority_weight
        late_fraction = message_class.late_value_fraction
        if decay is ValueDecay.HALF_LIFE:
            return self.priority_weight * max(late_fraction, float(0.5 ** (overrun_ms / objective_ms)))
        decay_ms = message_class.deadline_ms - objective_ms
        decayed_fraction = overrun_ms / decay_ms if overrun_ms < decay_ms else 1.0
        return self.priority_weight * (1 - (1 - late_fraction) * decayed_fraction)
