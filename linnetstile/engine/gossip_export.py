"""Exports what a relay knows of its routes as claims, which are sent to other relays."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .engine import DeliveryEngine
from .route_claims import PartnerRoute, RouteClaim
from .route_state import HealthState, RouteState
from .settings import Settings
from .slow_start import count_aware_relays
from .time_points import NEVER


class RouteInventory(NamedTuple):
    """The routes of a relay, by name of the destination and route id.

    Attributes:
        endpoints: The endpoints of each route, including those of destinations that are not in use.
        observed: Routes that this relay has evidence of itself.
    """

    endpoints: dict[PartnerRoute, set[int]]
    observed: set[PartnerRoute]


def _age(now: float, at: float) -> float | None:
    return None if at == NEVER else max(0.0, now - at)


def export_route(
    engine: DeliveryEngine, now: float, partner: str, route_id: int, route: RouteState, endpoint_ids: tuple[int, ...]
) -> RouteClaim | None:
    """Return a claim of what this relay has observed of a route; None if it has observed nothing.

    What was learned from others is not passed on: relays would repeat it to each other long after its cause has ended.
    """
    health = route.health
    has_own_evidence = health.last_success_at != NEVER or health.failed_at != NEVER or route.retry_after_until > now
    if health.from_gossip or not has_own_evidence:
        return None
    return RouteClaim(
        partner=partner,
        route=route_id,
        endpoints=endpoint_ids,
        answer_age_ms=_age(now, health.last_success_at),
        failure_age_ms=_age(now, health.failed_at),
        outage_age_ms=_outage_age(now, health),
        slow_start_age_ms=_slow_start_age(now, health, engine.settings),
        retry_after_ms=max(0.0, route.retry_after_until - now),
        latency_mean_ms=route.latency.mean_ms,
        latency_deviation_ms=route.latency.deviation_ms,
        answers=route.latency.answers,
        aware_relays=_aware_relays(now, route, engine.settings),
        rate=route.rate.own_rate if now < route.rate.throttled_until else 0.0,
    )


def _outage_age(now: float, health: HealthState) -> float | None:
    if not health.ejected or health.outage_since is None:
        return None
    return _age(now, health.outage_since)


def _slow_start_age(now: float, health: HealthState, settings: Settings) -> float | None:
    if health.ejected:
        return None
    age = _age(now, health.slow_start_since)
    return age if age is not None and age < settings.safety.slow_start_ms else None


def _aware_relays(now: float, route: RouteState, settings: Settings) -> float:
    if route.health.ejected:
        return count_aware_relays(now, route, settings.relay_count)
    return route.health.aware_relays


def export_connection_limits(engine: DeliveryEngine) -> dict[str, float]:
    """Return, by name of the kind, the fraction of its recent answers that followed a failed connect."""
    kinds = engine.settings.kinds
    limit_ratios = engine.connections.connection_limit_ratios
    return {kinds[kind].name: ratio for kind, ratio in sorted(limit_ratios.items()) if kind < len(kinds)}


def export_claims(engine: DeliveryEngine, now: float, names: Mapping[int, str]) -> list[RouteClaim]:
    """Return all claims of a relay, for destinations in use and for evicted ones.

    Args:
        engine: The relay's engine.
        now: Time in ms.
        names: Name of each destination by its number; those without one are left out.
    """
    table = engine.routing_table
    claims = []
    for destination in sorted(table.routes.keys() | table.evicted.keys()):
        if destination not in names:
            continue
        for route_id, known in sorted(table.known_routes(destination).items()):
            claim = export_route(engine, now, names[destination], route_id, known.state, known.endpoint_ids)
            if claim is not None:
                claims.append(claim)
    return claims


def route_inventory(engine: DeliveryEngine, names: Mapping[int, str]) -> RouteInventory:
    """Return all routes, and those that this relay has evidence of itself.

    Args:
        engine: The relay's engine.
        names: Name of each destination by its number; those without one are left out.
    """
    table = engine.routing_table
    endpoints: dict[PartnerRoute, set[int]] = {}
    observed: set[PartnerRoute] = set()
    for info in table.index:
        key = table.route_key(info)
        if key.destination in names:
            endpoints.setdefault(PartnerRoute(names[key.destination], key.route_id), set()).add(info.id)
    for destination in table.routes.keys() | table.evicted.keys():
        if destination not in names:
            continue
        for route_id, known in table.known_routes(destination).items():
            if _has_own_observation(known.state.health):
                observed.add(PartnerRoute(names[destination], route_id))
    return RouteInventory(endpoints, observed & endpoints.keys())


def _has_own_observation(health: HealthState) -> bool:
    has_own_failure = health.failed_at != NEVER and not health.from_gossip
    return health.last_success_at != NEVER or has_own_failure
