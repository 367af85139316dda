"""Slow start: the reduced capacity of a destination after an outage, shared by the relays that know of the outage.

All relays that may call a returning destination have to stay within its slow-start budget together. No relay knows how
many others met the outage, so each estimates that from the calls that the outage made fail.
"""

from __future__ import annotations

from .route_state import EVIDENCE_TTL_MS, RouteState
from .settings import RateTrust, Settings
from .time_points import MS_PER_SECOND

# Part of the calls since an outage began that another relay made: so many relays may know of it.
CALLS_BY_OTHERS = 0.5
ROUGH_RATE_MARGIN = 1.5  # a rough advertised rate may be this much too high
MIN_SLOW_START_FRACTION = 0.01  # a capacity of 0 would never let a route be tried again


def count_aware_relays(now: float, route: RouteState, relay_count: int) -> float:
    """Estimate how many relays may have met the outage: no more than there are, nor than calls it failed."""
    health = route.health
    since = now if health.outage_since is None else health.outage_since
    since = max(min(since, health.last_success_at), since - EVIDENCE_TTL_MS)  # it may have begun at the last answer
    most = max(float(relay_count), health.notified_relays)  # others may know of more relays than the settings do
    failed_calls = CALLS_BY_OTHERS * route.rate.fleet_rate * (now - since) / MS_PER_SECOND
    return min(most, 1 + failed_calls + health.notified_relays)


def begin_slow_start(now: float, route: RouteState, relay_count: int) -> None:
    """Note that the route is back: from here on the slow-start budget holds."""
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
    """Return this relay's calls a second while the route is in slow start; grows with the time since the return."""
    safety = settings.safety
    grown = (1 - safety.slow_start_fraction) * (now - route.health.slow_start_since) / safety.slow_start_ms
    growth = 1 + grown / max(safety.slow_start_fraction, MIN_SLOW_START_FRACTION)
    return initial_budget(route, settings) * growth / route.health.aware_relays
