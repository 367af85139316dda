"""The number of calls that the rules allow to a destination in slow start."""

from __future__ import annotations


def slow_start_call_budget(
    rate_per_s: float,
    since_return_ms: float,
    slow_start_fraction: float,
    slow_start_ms: float,
    overload_multiple: float,
    overload_window_ms: float,
) -> float:
    """Return the number of calls that are allowed within one overload window.

    Args:
        rate_per_s: Rate limit of the destination.
        since_return_ms: Time since the end of its outage.
        slow_start_fraction: Fraction of its capacity that it has right after the outage.
        slow_start_ms: Time from the end of the outage until it has its full capacity.
        overload_multiple: Multiple of its capacity beyond which calls overload it.
        overload_window_ms: Window in which the calls are counted.
    """
    fraction = slow_start_fraction + (1 - slow_start_fraction) * since_return_ms / max(1.0, slow_start_ms)
    return overload_multiple * fraction * rate_per_s * overload_window_ms / 1000
