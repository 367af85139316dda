"""Whether the endpoints of a kind hold too few connections for all relays that keep one. No I/O and no clock.

An endpoint that has all the connections it accepts rejects calls on new ones with 503, which as well means above the
limit, a full queue or shut. Limits and queues reject what comes on reused connections too, and may send a Retry-After:
where most of what comes on new connections is rejected without one, and hardly anything on reused ones, connections are
scarce, and each that a relay keeps idle is missing to the others.
"""

from __future__ import annotations

from dataclasses import dataclass, field

CALL_WEIGHT = 0.05  # weight of one call: what is known goes by some twenty of each sort
SCARCITY_ENTRY = 0.6  # part of calls rejected on new connections above which there is a scarcity,
REUSED_MAX = 0.2  # if no more than this part is rejected on reused ones
SCARCITY_EXIT = 0.1  # part of calls rejected on new connections below which it has ended
PRIOR_CALLS = 1.0  # calls that count as accepted before any was made: a single rejection shows nothing


@dataclass(slots=True)
class RejectionRate:
    """Calls and rejections, in which older ones weigh less and less."""

    calls: float = 0.0
    rejected: float = 0.0

    def add(self, is_rejected: bool) -> None:
        """Count one call."""
        self.calls = self.calls * (1 - CALL_WEIGHT) + 1
        self.rejected = self.rejected * (1 - CALL_WEIGHT) + is_rejected

    @property
    def ratio(self) -> float:
        """Part of the calls that were rejected."""
        return self.rejected / (self.calls + PRIOR_CALLS)


@dataclass(slots=True)
class ConnectionScarcity:
    """What one relay has met at the endpoints of one kind.

    Attributes:
        new: Rejections on new connections.
        reused: Rejections on reused connections.
        is_scarce: Whether connections are scarce; entry and exit lie apart.
    """

    new: RejectionRate = field(default_factory=RejectionRate)
    reused: RejectionRate = field(default_factory=RejectionRate)
    is_scarce: bool = False

    def record(self, is_reused: bool, is_rejected: bool, has_retry_after: bool) -> None:
        """Count an answered call."""
        if is_reused:
            self.reused.add(is_rejected)
        else:
            self.new.add(is_rejected and not has_retry_after)  # a Retry-After comes from a limit, not from this
        ratio = self.new.ratio
        if self.is_scarce:
            self.is_scarce = ratio > SCARCITY_EXIT
        else:
            self.is_scarce = ratio > SCARCITY_ENTRY and self.reused.ratio < REUSED_MAX

    def explains_rejection(self, is_reused: bool, has_retry_after: bool) -> bool:
        """Return whether a rejection comes from the scarcity, and says nothing of a limit."""
        return self.is_scarce and not is_reused and not has_retry_after and self.reused.ratio < REUSED_MAX
