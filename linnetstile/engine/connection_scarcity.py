"""Whether the endpoints of a kind hold too few connections for all relays that keep one. No I/O and no clock.

An endpoint that has all the connections it takes turns calls on new ones away with 503, which as well means above the
limit, a full queue or shut (the platform's page, Relays to endpoints). Limits and queues turn away what comes on kept
connections too, and may tell a wait: where most of what comes on new ones is turned away without one, and hardly
anything on kept ones, connections are what is short, and each that a relay keeps idle is missing to the others."""

from __future__ import annotations

from dataclasses import dataclass, field

CALL_WEIGHT = 0.05  # weight of one call: what is known goes by some twenty of each sort
SCARCITY_ENTRY, REUSED_MAX = (
    0.6,
    0.2,
)  # above and below these parts of calls turned away on new and on kept ones, there is a shortage
SCARCITY_EXIT = 0.1  # part of those on new connections below which there is no shortage any more
PRIOR_CALLS = 1.0  # calls that count as met, and taken, before any was: one that is turned away shows nothing


@dataclass(slots=True)
class RejectionRate:
    """Calls, and those turned away, in which older ones weigh less and less."""

    calls: float = 0.0
    rejected: float = 0.0

    def add(self, refused: bool) -> None:
        self.calls = self.calls * (1 - CALL_WEIGHT) + 1
        self.rejected = self.rejected * (1 - CALL_WEIGHT) + refused

    @property
    def ratio(self) -> float:
        return self.rejected / (self.calls + PRIOR_CALLS)


@dataclass(slots=True)
class ConnectionScarcity:
    """What one relay has met at the endpoints of one kind; `short` from entry to exit, which lie apart."""

    new: RejectionRate = field(default_factory=RejectionRate)
    reused: RejectionRate = field(default_factory=RejectionRate)
    is_scarce: bool = False

    def record(self, kept: bool, refused: bool, waits: bool) -> None:
        """A call was answered: `refused`, and then with a told wait or without."""
        if kept:
            self.reused.add(refused)
        else:
            self.new.add(refused and not waits)  # a told wait is a limit's, whatever the connection
        part = self.new.ratio
        self.is_scarce = (
            part > SCARCITY_EXIT if self.is_scarce else part > SCARCITY_ENTRY and self.reused.ratio < REUSED_MAX
        )

    def explains_rejection(self, kept: bool, waits: bool) -> bool:
        """Whether a refusal comes from the shortage, and says nothing of a limit."""
        return self.is_scarce and not kept and not waits and self.reused.ratio < REUSED_MAX
