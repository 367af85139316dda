"""Detects kinds of endpoints that accept too few connections for each relay to keep one. No I/O and no clock.

An endpoint with as many connections as it accepts rejects calls on new ones with 503. The same status is sent above a
rate limit, with a full queue or during an outage, but then on reused connections too, and perhaps with a Retry-After.
So if most calls on new connections are rejected without a Retry-After, and hardly any on reused ones, connections are
scarce. An idle connection of one relay then keeps other relays from connecting.
"""

from __future__ import annotations

from dataclasses import dataclass, field

CALL_WEIGHT = 0.05  # weight of one call: about the latest 20 calls on new and on reused connections count
SCARCITY_ENTRY = 0.6  # rejected fraction of the calls on new connections above which connections become scarce
REUSED_MAX = 0.2  # rejected fraction of the calls on reused connections from which a rate limit is the likely cause
SCARCITY_EXIT = 0.1  # rejected fraction of the calls on new connections at which connections are no longer scarce
PRIOR_CALLS = 1.0  # accepted calls that are assumed at the start, so that a single rejection shows no scarcity


@dataclass(slots=True)
class RejectionRate:
    """Counts of calls and rejections in which older ones weigh exponentially less."""

    calls: float = 0.0
    rejected: float = 0.0

    def add(self, is_rejected: bool) -> None:
        """Count one call."""
        self.calls = self.calls * (1 - CALL_WEIGHT) + 1
        self.rejected = self.rejected * (1 - CALL_WEIGHT) + is_rejected

    @property
    def ratio(self) -> float:
        """Fraction of the calls that were rejected; 0 at first."""
        return self.rejected / (self.calls + PRIOR_CALLS)


@dataclass(slots=True)
class ConnectionScarcity:
    """Rejections at the endpoints of one kind, and whether connections are scarce.

    Attributes:
        new: Calls and rejections on new connections.
        reused: Calls and rejections on reused connections.
        is_scarce: Whether connections are scarce; begins and ends at different ratios (hysteresis).
    """

    new: RejectionRate = field(default_factory=RejectionRate)
    reused: RejectionRate = field(default_factory=RejectionRate)
    is_scarce: bool = False

    def record(self, is_reused: bool, is_rejected: bool, has_retry_after: bool) -> None:
        """Count an answered call."""
        if is_reused:
            self.reused.add(is_rejected)
        else:
            self.new.add(is_rejected and not has_retry_after)  # a Retry-After comes from a rate limit
        ratio = self.new.ratio
        if self.is_scarce:
            self.is_scarce = ratio > SCARCITY_EXIT
        else:
            self.is_scarce = ratio > SCARCITY_ENTRY and self.reused.ratio < REUSED_MAX

    def is_scarcity_rejection(self, is_reused: bool, has_retry_after: bool) -> bool:
        """Return whether a rejection is due to scarce connections rather than to a rate limit."""
        return self.is_scarce and not is_reused and not has_retry_after and self.reused.ratio < REUSED_MAX
