"""Records of evicted routes restore each field of a route, also at the largest permitted values."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from linnetstile.engine.idle_routes import (
    HEALTH_FIELDS,
    LATENCY_FIELDS,
    RATE_FIELDS,
    ROUTE_FIELDS,
    RestoredRoutes,
    pack_routes,
    restore_routes,
)
from linnetstile.engine.route_state import HealthState, LatencyEstimate, RateState, RouteState
from linnetstile.engine.time_points import NEVER

# Fields of a record with their struct codes, by the attribute of the route that has them; "" is the route itself.
PACKED_FIELDS = {"latency": LATENCY_FIELDS, "rate": RATE_FIELDS, "health": HEALTH_FIELDS, "": ROUTE_FIELDS}
# Fields that a record stores in another form or that are rebuilt from the endpoint list, by attribute of the route.
FIELDS_STORED_SEPARATELY: dict[str, set[str]] = {
    "latency": set(),
    "rate": {"answer_counter"},
    "health": {"outage_since"},
    "": {"latency", "rate", "health", "endpoints", "calls"},
}


def make_route(fleet_rate: float = 50.5, own_rate: float = 0.25, tokens: float = 1.5, **fields: Any) -> RouteState:
    latency, rate = LatencyEstimate(120.0, 30.0), RateState(fleet_rate, own_rate, tokens, 90.0)
    return RouteState(latency, rate, HealthState(), **fields)


def route_attribute(route: RouteState, name: str) -> Any:
    """Return the attribute of a route with this name; the route itself for an empty name."""
    return getattr(route, name) if name else route


def pack_and_restore(routes: dict[int, RouteState]) -> RestoredRoutes:
    return restore_routes(pack_routes(routes, now=10.0, slow_start_ms=1.0) or b"")


def set_random_fields(route: RouteState, rng: random.Random) -> None:
    """Set each packed field to a random value that its struct code can store without rounding."""
    random_values: dict[str, Callable[[], Any]] = {
        "d": lambda: rng.uniform(0, 1e9),
        "f": lambda: rng.randrange(1000) / 8,
        "I": lambda: rng.randrange(70_001),
        "?": lambda: rng.random() < 0.5,
    }
    for name, fields in PACKED_FIELDS.items():
        for field, code in fields.items():
            setattr(route_attribute(route, name), field, random_values[code]())


def test_record_restores_each_field_of_a_route() -> None:
    route = make_route()
    set_random_fields(route, random.Random(2))
    route.latency.answers = 7
    route.max_batch = 3
    route.kind = 70_000
    route.retry_after_until = 1e12
    route.health.outage_since = None
    route.health.ejected = True
    route.health.from_gossip = True
    route.rate.answer_counter.add(5.0, 100.0)
    routes, without_endpoints = pack_and_restore({4: route})
    assert routes == {4: route}
    for name, fields in PACKED_FIELDS.items():
        for field in fields:
            assert getattr(route_attribute(routes[4], name), field) == getattr(route_attribute(route, name), field), (
                field
            )
    assert routes[4].health.outage_since is None
    assert routes[4].rate.answer_counter == route.rate.answer_counter
    assert without_endpoints == {4}


def test_record_covers_each_field_of_a_route() -> None:
    route = make_route()
    for name, fields in PACKED_FIELDS.items():
        assert set(type(route_attribute(route, name)).__slots__) == set(fields) | FIELDS_STORED_SEPARATELY[name]


def test_record_stores_the_largest_values_that_settings_permit() -> None:
    route = make_route(1e300, 1e300, 1e300, retry_after_until=1e12)
    route.health.failed_at = NEVER
    routes, _ = pack_and_restore({-1: route})
    assert routes[-1].rate.fleet_rate == 1e300
    assert routes[-1].health.failed_at == NEVER
