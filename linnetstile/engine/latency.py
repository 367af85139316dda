"""Latency estimates of single routes and of the whole fleet, and the time-outs that follow from them."""

from __future__ import annotations

from dataclasses import dataclass

from .route_state import LatencyEstimate

INITIAL_MEAN_MS = 500.0  # mean latency that is assumed until a destination has answered
INITIAL_DEVIATION_MS = 250.0  # mean deviation that is assumed until a destination has answered
TIMEOUT_DEVIATIONS = 10.0  # mean deviations from the mean latency to the time-out; many, as latency has a long tail
OVERDUE_DEVIATIONS = 4.0  # mean deviations from the mean latency after which an answer is overdue
MAX_TIMEOUT_MULTIPLIER = 8.0  # limit of the factor on the time-out, which doubles with each call that times out
FLEET_GAIN = 0.05  # weight of one answer in the estimate over all destinations
MIN_ROUTE_GAIN = 0.15  # least weight of one answer in the estimate of its route; the first answers weigh more
CALL_TIME_GAIN = 0.15  # weight of one call in the mean time that calls occupy a slot


def record_answer(estimate: LatencyEstimate, latency_ms: float) -> None:
    """Update the estimate with one answer, and reset the multiplier of the time-out."""
    estimate.answers += 1
    gain = max(MIN_ROUTE_GAIN, 1 / (estimate.answers + 1))
    deviation_ms = abs(latency_ms - estimate.mean_ms)
    estimate.mean_ms += gain * (latency_ms - estimate.mean_ms)
    estimate.deviation_ms += gain * (deviation_ms - estimate.deviation_ms)
    estimate.timeout_multiplier = 1.0


def record_timeout(estimate: LatencyEstimate) -> None:
    """Double the time-out of the next calls, as the destination may be slow rather than down."""
    estimate.timeout_multiplier = min(MAX_TIMEOUT_MULTIPLIER, estimate.timeout_multiplier * 2)


def record_call_time(estimate: LatencyEstimate, occupied_ms: float) -> None:
    """Update the mean time that a call occupies its slot, for a call with any outcome."""
    gain = CALL_TIME_GAIN if estimate.mean_call_ms else 1.0
    estimate.mean_call_ms += gain * (occupied_ms - estimate.mean_call_ms)


def overdue_after_ms(estimate: LatencyEstimate) -> float:
    """Return the time after which an answer is overdue, without the time-out multiplier."""
    return estimate.mean_ms + OVERDUE_DEVIATIONS * estimate.deviation_ms


def timeout_ms(estimate: LatencyEstimate) -> float:
    """Return the time-out of a call, without the time-out multiplier."""
    return estimate.mean_ms + TIMEOUT_DEVIATIONS * estimate.deviation_ms


@dataclass(slots=True)
class FleetLatency:
    """Latency over all destinations; the initial estimate for routes that are listed while their destination is in use.

    Attributes:
        mean_ms: Moving mean.
        deviation_ms: Moving mean of the deviation from it.
        mean_inverse: Moving mean of 1 / latency, in 1/ms: quick answers outweigh slow ones (harmonic mean).
    """

    mean_ms: float = INITIAL_MEAN_MS
    deviation_ms: float = INITIAL_DEVIATION_MS
    mean_inverse: float = 1 / INITIAL_MEAN_MS

    def record_answer(self, latency_ms: float, tick_ms: float) -> None:
        """Update the estimate with one answer; in `mean_inverse`, a latency below one clock tick counts as one tick."""
        deviation_ms = abs(latency_ms - self.mean_ms)
        self.mean_ms += FLEET_GAIN * (latency_ms - self.mean_ms)
        self.deviation_ms += FLEET_GAIN * (deviation_ms - self.deviation_ms)
        self.mean_inverse += FLEET_GAIN * (1 / max(latency_ms, tick_ms) - self.mean_inverse)
