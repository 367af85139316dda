"""The minimum transfer rate that a connection has to keep. Times (ms) and bytes come in as arguments."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class MinimumRateMeter:
    """Least rate over a window that forgives: each second costs one second of patience, each `rate` bytes give one
    back, up to `grace_ms`. A peer at the least rate lasts for ever, one that stops lasts `grace_ms`, one that runs
    ahead saves nothing up beyond it. A rate of 0 asks for nothing."""

    rate: float  # bytes a second
    grace_ms: float
    patience_used_ms: float = 0.0  # ms of patience
    last_tick_at: float | None = None  # None: the clock stands, since it is our turn or nothing is due

    def tick(self, now: float, moved: int) -> bool:
        """Counts bytes moved since the last tick; True if patience is over."""
        if self.rate <= 0:
            return False
        if self.last_tick_at is not None:
            self.patience_used_ms += now - self.last_tick_at
        self.last_tick_at = now
        self.patience_used_ms = max(0.0, self.patience_used_ms - 1000.0 * moved / self.rate)
        return self.patience_used_ms > self.grace_ms

    def pause(self) -> None:
        """The clock stands until the next tick, and what was spent is forgiven: another message begins."""
        self.patience_used_ms, self.last_tick_at = 0.0, None
