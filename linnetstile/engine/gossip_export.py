"""Reads what a relay knows of its routes out of the engine, as claims to be handed on to other relays."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .engine import DeliveryEngine
from .gossip import RouteClaim
from .route_state import RouteState
from .slow_start import count_aware_relays
from .time_points import NEVER


class RouteInventory(NamedTuple):
    """The routes of a relay, by name of the destination and route id.

    Attributes:
        endpoints: The endpoints of each route that there is or would be.
        seen: Routes that this relay has evidence of itself.
    """

    endpoints: dict[tuple[str, int], set[int]]
    seen: set[tuple[str, int]]


def _age(now: float, at: float) -> float | None:
    return None if at == NEVER else max(0.0, now - at)


def export_route(
    engine: DeliveryEngine, now: float, partner: str, route_id: int, route: RouteState, endpoint_ids: tuple[int, ...]
) -> RouteClaim | None:
    """Return a claim of own evidence; what was learned from others is not passed on, or it would outlive its cause."""
    health, rate = route.health, route.rate
    is_unseen = health.last_success_at == NEVER and health.failed_at == NEVER
    if health.from_gossip or is_unseen and route.retry_after_until <= now:
        return None
    settings = engine.settings
    outage_age = None
    slow_start_age = None
    aware_relays = health.aware_relays
    if health.ejected:
        aware_relays = count_aware_relays(now, route, settings.relay_count)
        if health.outage_since is not None:
            outage_age = _age(now, health.outage_since)
    else:
        age = _age(now, health.slow_start_since)
        slow_start_age = age if age is not None and age < settings.safety.slow_start_ms else None
    return RouteClaim(
        partner,
        route_id,
        endpoint_ids,
        _age(now, health.last_success_at),
        _age(now, health.failed_at),
        outage_age,
        slow_start_age,
        max(0.0, route.retry_after_until - now) if route.retry_after_until > now else 0.0,
        route.latency.mean_ms,
        route.latency.deviation_ms,
        route.latency.answers,
        aware_relays,
        rate.own_rate if now < rate.throttled_until else 0.0,
    )


def export_connection_limits(engine: DeliveryEngine) -> dict[str, float]:
    """Return, by name of the kind, the part of its recent answers that followed a failed connect."""
    kinds = engine.settings.kinds
    limited = engine.connections.limited
    return {kinds[kind].name: part for kind, part in sorted(limited.items()) if kind < len(kinds)}


def export_claims(engine: DeliveryEngine, now: float, names: Mapping[int, str]) -> list[RouteClaim]:
    """Return all claims of a relay, of destinations in use and evicted.

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


def known_routes(engine: DeliveryEngine, names: Mapping[int, str]) -> RouteInventory:
    """Return the routes that there are or would be, and those that this relay has evidence of itself."""
    table = engine.routing_table
    endpoints: dict[tuple[str, int], set[int]] = {}
    seen: set[tuple[str, int]] = set()
    for info in table.index:
        destination, route_id = table.route_key(info)
        if destination in names:
            endpoints.setdefault((names[destination], route_id), set()).add(info.id)
    for destination in table.routes.keys() | table.evicted.keys():
        if destination not in names:
            continue
        for route_id, known in table.known_routes(destination).items():
            health = known.state.health
            has_own_failure = health.failed_at != NEVER and not health.from_gossip
            if health.last_success_at != NEVER or has_own_failure:
                seen.add((names[destination], route_id))
    return RouteInventory(endpoints, seen & endpoints.keys())
