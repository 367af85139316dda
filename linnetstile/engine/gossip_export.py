"""Reads what a relay knows out of the module's memory, as claims to be handed on. Decides nothing about messages."""

from __future__ import annotations

from collections.abc import Mapping

from .engine import DeliveryEngine
from .gossip import RouteClaim
from .route_state import RouteState
from .time_points import NEVER


def _age(now: float, at: float) -> float | None:
    return None if at == NEVER else max(0.0, now - at)


def export_route(
    relay: DeliveryEngine, now: float, partner: str, route: int, lane: RouteState, ends: tuple[int, ...]
) -> RouteClaim | None:
    """Own evidence only: what was learned from others is not passed on, or a rumour would outlive its cause."""
    if lane.from_gossip or lane.last_success_at == NEVER and lane.failed_at == NEVER and lane.retry_after_until <= now:
        return None
    back = _age(now, lane.slow_start_since)
    cold = back is not None and back < relay.settings.safety.slow_start_ms
    return RouteClaim(
        partner,
        route,
        ends,
        _age(now, lane.last_success_at),
        _age(now, lane.failed_at),
        _age(now, lane.outage_since) if lane.ejected and lane.outage_since is not None else None,
        back if cold and not lane.ejected else None,
        max(0.0, lane.retry_after_until - now) if lane.retry_after_until > now else 0.0,
        lane.latency_mean,
        lane.latency_deviation,
        lane.answers,
        relay._knowers(now, lane) if lane.ejected else lane.aware_relays,
        lane.rate if now < lane.throttled_until else 0.0,
    )


def export_connection_limits(relay: DeliveryEngine) -> dict[str, float]:
    """By name of the kind: part of its late answers that followed a missed connection."""
    kinds = relay.settings.kinds
    return {kinds[kind].name: part for kind, part in sorted(relay.connection_limited.items()) if kind < len(kinds)}


def export_claims(relay: DeliveryEngine, now: float, names: Mapping[int, str]) -> list[RouteClaim]:
    """All claims of a relay, of destinations in use and at rest; `names` gives the partner's name by its number."""
    found = (
        export_route(relay, now, names[destination], route, lane, ends)
        for destination in sorted(relay.routing_table.routes.keys() | relay.routing_table.evicted.keys())
        if destination in names
        for route, (lane, ends) in sorted(relay.routing_table.known_routes(destination).items())
    )
    return [each for each in found if each is not None]


def known_routes(
    relay: DeliveryEngine, names: Mapping[int, str]
) -> tuple[dict[tuple[str, int], set[int]], set[tuple[str, int]]]:
    """The lanes that there are or would be, with their endpoints, and those that this relay has evidence of itself."""
    ends: dict[tuple[str, int], set[int]] = {}
    seen: set[tuple[str, int]] = set()
    for entry in relay.routing_table.index:
        destination, route = relay.routing_table.route_key(entry)
        if destination in names:
            ends.setdefault((names[destination], route), set()).add(entry.id)
    for destination in relay.routing_table.routes.keys() | relay.routing_table.evicted.keys():
        for route, (lane, _) in relay.routing_table.known_routes(destination).items() if destination in names else ():
            if lane.last_success_at != NEVER or lane.failed_at != NEVER and not lane.from_gossip:
                seen.add((names[destination], route))
    return ends, seen & ends.keys()
