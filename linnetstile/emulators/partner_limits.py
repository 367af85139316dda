"""The limits of an emulated partner: its rate limit, its capacity in slow start, and how long it remembers keys."""

from __future__ import annotations

import fnmatch
from collections import deque
from typing import Protocol

from .partner_settings import PartnerSpec

MIN_BURST_CALLS = 2.0  # smallest capacity of a token bucket
BURST_S = 0.5  # a token bucket holds the calls that its rate allows in this time
MAX_CALLS_BEYOND_BUDGET = 2  # calls beyond its budget that a partner's queue takes before it is overloaded


class RateLimit(Protocol):
    """Limit on the calls of all relays together."""

    def try_acquire(self, now_ms: float) -> float | None:
        """Return None if the call is within the limit, else the wait in ms until a call would be."""
        ...


class NoRateLimit:
    """Accepts every call."""

    def try_acquire(self, now_ms: float) -> float | None:
        """Accept the call."""
        return None


class TokenBucket:
    """Limits calls to a rate, with a burst of half a second."""

    def __init__(self, rate_per_s: float, rejected_calls_count: bool, now_ms: float) -> None:
        self._rate_per_s = rate_per_s
        self._rejected_calls_count = rejected_calls_count
        self._burst = max(MIN_BURST_CALLS, rate_per_s * BURST_S)
        self._tokens = self._burst
        self._refilled_at_ms = now_ms

    def try_acquire(self, now_ms: float) -> float | None:
        """Take a token if there is one."""
        refill = self._rate_per_s * (now_ms - self._refilled_at_ms) / 1000
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at_ms = now_ms
        accepted = self._tokens >= 1
        if accepted or (self._rejected_calls_count and self._tokens > -self._burst):
            self._tokens -= 1
        return None if accepted else 1000 * max(1.0, 1 - self._tokens) / self._rate_per_s


class FixedWindow:
    """Limits the number of calls in each window of time."""

    def __init__(self, rate_per_s: float, window_ms: float, rejected_calls_count: bool) -> None:
        self._window_ms = window_ms
        self._max_calls = max(1, int(rate_per_s * window_ms / 1000))
        self._rejected_calls_count = rejected_calls_count
        self._window = 0
        self._used = 0

    def try_acquire(self, now_ms: float) -> float | None:
        """Accept the call if the window is below its maximum."""
        window = int(now_ms // self._window_ms)
        if window != self._window:
            self._window = window
            self._used = 0
        accepted = self._used < self._max_calls
        if accepted or self._rejected_calls_count:
            self._used += 1
        return None if accepted else (self._window + 1) * self._window_ms - now_ms


def make_rate_limit(spec: PartnerSpec, now_ms: float) -> RateLimit:
    """Return the limit that a partner's settings ask for."""
    if not spec.rate:
        return NoRateLimit()
    if spec.window_ms:
        return FixedWindow(spec.rate, spec.window_ms, spec.rejected_calls_count)
    return TokenBucket(spec.rate, spec.rejected_calls_count, now_ms)


class SlowStart:
    """The capacity of a partner after an outage, and its overload by too many calls."""

    def __init__(self, spec: PartnerSpec) -> None:
        self._spec = spec
        self._since_ms = float("-inf")
        self._arrivals: deque[float] = deque()
        self.is_overloaded = False

    def begin(self, now_ms: float) -> None:
        """Begin the slow start: an outage has ended."""
        self._since_ms = now_ms

    def capacity_fraction(self, now_ms: float) -> float:
        """Return the fraction of its capacity that the partner has now."""
        progress = min(1.0, (now_ms - self._since_ms) / self._spec.slow_start_ms)
        return self._spec.slow_start_fraction + (1 - self._spec.slow_start_fraction) * progress

    def record_arrival(self, now_ms: float) -> bool:
        """Count a call; return whether it is the one that overloads the partner."""
        spec = self._spec
        self._arrivals.append(now_ms)
        while self._arrivals[0] < now_ms - spec.overload_window_ms:
            self._arrivals.popleft()
        is_in_slow_start = now_ms < self._since_ms + spec.slow_start_ms
        if not spec.rate or self.is_overloaded or not is_in_slow_start:
            return False
        budget = spec.overload_multiple * self.capacity_fraction(now_ms) * spec.rate * spec.overload_window_ms / 1000
        calls = sum(at_ms > self._since_ms for at_ms in self._arrivals)
        self.is_overloaded = calls > budget + MAX_CALLS_BEYOND_BUDGET
        return self.is_overloaded


class KeyMemory:
    """The Message-IDs that a partner remembers, so that it drops repeats of some subjects."""

    def __init__(self, subjects: list[str], window_ms: float) -> None:
        self._subjects = subjects
        self._window_ms = window_ms
        self._remembered_at_ms: dict[str, float] = {}

    def is_repeat(self, message_id: str, subject: str, now_ms: float) -> bool:
        """Whether the key is known when the work begins; a new key is remembered from then on."""
        if not any(fnmatch.fnmatchcase(subject, pattern) for pattern in self._subjects):
            return False
        if now_ms - self._remembered_at_ms.get(message_id, float("-inf")) <= self._window_ms:
            return True
        self._remembered_at_ms[message_id] = now_ms
        return False

    def forget(self, message_id: str) -> None:
        """Forget a key whose work was not completed."""
        self._remembered_at_ms.pop(message_id, None)
