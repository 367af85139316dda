"""Slow start: the reduced load on a destination after an outage, shared by the relays that know of the outage.

All relays that may call a recovering destination have to stay within its slow-start budget together. No relay knows how
many others know of the outage, so each estimates that number from the calls that failed in the outage.
"""

from __future__ import annotations

from .route_state import EVIDENCE_TTL_MS, RouteState
from .settings import RateTrust, Settings
from .time_points import MS_PER_SECOND

# Fraction of the calls since an outage began that are assumed to come from relays which did not know of it yet.
UNAWARE_CALL_FRACTION = 0.5
ROUGH_RATE_MARGIN = 1.5  # a rough advertised rate may be too high by up to this factor
MIN_SLOW_START_FRACTION = 0.01  # with a budget of 0 a route would never be called again


def count_aware_relays(now: float, route: RouteState, relay_count: int) -> float:
    """Estimate how many relays know of the outage, from failed calls or from gossip; at most all relays."""
    health = route.health
    first_failure_at = now if health.outage_since is None else health.outage_since
    # The outage may have begun right after the last answer.
    began_at = max(min(first_failure_at, health.last_success_at), first_failure_at - EVIDENCE_TTL_MS)
    max_relays = max(float(relay_count), health.notified_relays)  # the settings may not know of all relays
    relays_with_failures = UNAWARE_CALL_FRACTION * route.rate.fleet_rate * (now - began_at) / MS_PER_SECOND
    return min(max_relays, 1 + relays_with_failures + health.notified_relays)


def begin_slow_start(now: float, route: RouteState, relay_count: int) -> None:
    """Record that the route has recovered, so that its slow-start budget applies from now on."""
    health = route.health
    health.aware_relays = count_aware_relays(now, route, relay_count)
    health.ejected = False
    health.slow_start_since = now
    health.outage_since = None
    route.rate.tokens = 0.0


def initial_budget(route: RouteState, settings: Settings) -> float:
    """Return the calls a second that all relays together may send right after an outage."""
    safety = settings.safety
    fleet_rate = route.rate.fleet_rate / (ROUGH_RATE_MARGIN if settings.rate_trust is RateTrust.ROUGH else 1.0)
    return max(safety.overload_multiple * safety.slow_start_fraction, MIN_SLOW_START_FRACTION) * fleet_rate


def budget_share(now: float, route: RouteState, settings: Settings) -> float:
    """Return the calls a second of this relay to a route in slow start; they grow with the time since recovery."""
    safety = settings.safety
    added_fraction = (1 - safety.slow_start_fraction) * (now - route.health.slow_start_since) / safety.slow_start_ms
    growth = 1 + added_fraction / max(safety.slow_start_fraction, MIN_SLOW_START_FRACTION)
    return initial_budget(route, settings) * growth / route.health.aware_relays
