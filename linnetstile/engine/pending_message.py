"""One accepted message, from its arrival until it has ended."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .events import Endpoint, Message
from .settings import MessageClass, ValueDecay
from .time_points import NEVER

if TYPE_CHECKING:
    from .route_state import InFlightCall


@dataclass(slots=True)
class PendingMessage:
    """One message, from its arrival until it has ended and nothing is out for it."""

    message: Message
    message_class: MessageClass
    submitted_at: float  # when it was first handed in
    deadline: float
    priority_weight: float
    not_before: float  # no try before
    accepted_at: float  # when this relay took it on
    latest_send_at: float = NEVER  # no try from here on
    attempts: int = 0
    call: InFlightCall | None = None
    sent_at: float = 0.0
    first_unclear_at: float | None = None  # send of the first attempt that may have run
    unclear_endpoint: Endpoint | None = None
    cancelled: bool = False
    recovered_untried: bool = False  # by a restart, which owes it a try

    @property
    def ordering_key(self) -> int:
        """The key whose order it keeps; 0 = none."""
        return self.message.ordering_key if self.message_class.in_order else 0

    def value_at(self, at: float, decay: ValueDecay) -> float:
        late = at - self.submitted_at - self.message_class.latency_objective_ms
        if late <= 0 or at >= self.deadline:
            return self.priority_weight if at < self.deadline else 0.0
        if decay is ValueDecay.HALF_LIFE:
            return self.priority_weight * max(
                self.message_class.late_value_fraction, float(0.5 ** (late / self.message_class.latency_objective_ms))
            )
        return self.priority_weight * (
            1
            - (1 - self.message_class.late_value_fraction)
            * late
            / (self.message_class.deadline_ms - self.message_class.latency_objective_ms)
        )
