"""How many calls the rules allow a destination that warms up."""

from __future__ import annotations


def slow_start_call_budget(
    rate_per_s: float,
    since_return_ms: float,
    slow_start_fraction: float,
    slow_start_ms: float,
    overload_multiple: float,
    overload_window_ms: float,
) -> float:
    """Return the calls allowed within one overload window, so long after the return of a destination."""
    fraction = slow_start_fraction + (1 - slow_start_fraction) * since_return_ms / max(1.0, slow_start_ms)
    return overload_multiple * fraction * rate_per_s * overload_window_ms / 1000
