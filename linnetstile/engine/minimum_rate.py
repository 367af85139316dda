"""The minimum transfer rate that a connection has to keep.

No I/O and no clock: times (ms) and byte counts come in as arguments.
"""

from __future__ import annotations

from dataclasses import dataclass

from .time_points import MS_PER_SECOND


@dataclass(slots=True)
class MinimumRateMeter:
    """Decides when a connection has been below its minimum rate for too long.

    The meter is a leaky bucket of the time that a connection lags behind its minimum rate. Each ms that passes adds one
    ms, and each `rate` bytes that are transferred subtract one second. A connection at exactly the minimum rate is
    never too slow, one that stalls is too slow after `grace_ms`, and one that is faster gains no credit beyond that.

    Attributes:
        rate: Minimum rate in bytes a second; 0 disables the meter.
        grace_ms: Lag (ms) above which a connection is too slow.
        grace_used_ms: Present lag (ms), never below 0.
        last_tick_at: Time (ms) of the last tick. None while the clock is paused: this side has to act next, or no data
            is due.
    """

    rate: float
    grace_ms: float
    grace_used_ms: float = 0.0
    last_tick_at: float | None = None

    def tick(self, now_ms: float, moved_bytes: int) -> bool:
        """Account for the time and the bytes since the last tick.

        Args:
            now_ms: Present time (ms).
            moved_bytes: Bytes transferred since the last tick.

        Returns:
            Whether the lag is above `grace_ms`, so that the connection should be closed.
        """
        if self.rate <= 0:
            return False
        if self.last_tick_at is not None:
            self.grace_used_ms += now_ms - self.last_tick_at
        self.last_tick_at = now_ms
        self.grace_used_ms = max(0.0, self.grace_used_ms - MS_PER_SECOND * moved_bytes / self.rate)
        return self.grace_used_ms > self.grace_ms

    def pause(self) -> None:
        """Stop the clock until the next tick and reset the lag, as another message begins."""
        self.grace_used_ms = 0.0
        self.last_tick_at = None
