"""All destinations that a relay knows: their endpoints in a compact index, and the routes of those in use.

Of destinations that are not in use only what `idle_routes` says is kept. Work follows what changed or is used, never
what exists: a change costs the routes of its destination, and a turn looks at as many idle routes as it had events.
No I/O, no clock: times in ms come in.
"""

from __future__ import annotations

from collections.abc import Container
from itertools import islice
from typing import NamedTuple

from . import idle_routes
from .endpoint_index import EndpointIndex
from .events import Endpoint, EndpointList, EndpointStatus, ListKind, RouteKey
from .route_factory import RouteFactory
from .route_state import EndpointState, RouteState
from .settings import Settings

WHOLE_DESTINATION = -1  # the route id where a destination has a single route


class KnownRoute(NamedTuple):
    """One route with the ids of its endpoints, also of a destination that is not in use."""

    state: RouteState
    endpoint_ids: tuple[int, ...]


class RoutingTable:
    """Owns the routes and endpoints in use, the index of all endpoints, and the records of evicted routes.

    Attributes:
        index: All endpoints that take new calls.
        routes: Destination in use -> its routes by id; the most recently used last.
        endpoints: The endpoints of these by id.
        without_endpoints: Destinations in use with a route that may have no endpoint.
        evicted: Destination not in use -> its record.
    """

    def __init__(
        self,
        settings: Settings,
        index: EndpointIndex,
        *,
        queued_destinations: Container[int],
        factory: RouteFactory,
    ) -> None:
        self.kinds = settings.kinds
        self.slow_start_ms = settings.safety.slow_start_ms
        self.queued_destinations = queued_destinations
        self.factory = factory
        self.index = index
        self.routes: dict[int, dict[int, RouteState]] = {}
        self.endpoints: dict[int, EndpointState] = {}
        self.without_endpoints: set[int] = set()
        self.evicted: dict[int, bytes] = {}

    def route_key(self, info: Endpoint) -> RouteKey:
        """Return the route that an endpoint belongs to."""
        is_separate = info.kind < len(self.kinds) and self.kinds[info.kind].separate_routes
        return RouteKey(info.destination, info.id if is_separate else WHOLE_DESTINATION)

    def apply_list(self, now: float, event: EndpointList) -> list[EndpointState]:
        """Take a list or changes in; return the endpoints in use to which nothing new goes from now on."""
        ready = {info.id: info for info in event.endpoints if info.status is EndpointStatus.READY}
        if event.kind is ListKind.CHANGES:
            found = map(self.index.get, {info.id for info in event.endpoints})
            known = [info for info in found if info is not None]
        else:
            known = list(self.index)
        gone = [old for old in known if old.id not in ready or self.route_key(ready[old.id]) != self.route_key(old)]
        dropped = self._drop(now, sorted(gone, key=lambda old: old.id))
        for info in ready.values():
            self._add(now, info)
        return dropped

    def _drop(self, now: float, gone: list[Endpoint]) -> list[EndpointState]:
        idle = {info.destination for info in gone} - self.routes.keys()
        dropped = []
        for info in gone:
            self.open(now, info.destination)
            self.index.pop(info.id)
            endpoint = self.endpoints.pop(info.id)
            dropped.append(endpoint)
            route = endpoint.route
            del route.endpoints[info.id]
            if not route.endpoints:
                route.health.endpoints_left_at = now
                route.health.start_outage(now)
                self.without_endpoints.add(info.destination)
        for destination in idle:
            self._evict(now, destination)
        for destination in self.without_endpoints - {info.destination for info in gone} if gone else ():
            if destination not in self.queued_destinations:
                self._prune(now, destination)
        return dropped

    def _prune(self, now: float, destination: int) -> None:
        """Forget routes without endpoints once nothing of them binds any more."""
        routes = self.routes[destination]
        for route_id, route in list(routes.items()):
            if route.endpoints or route.calls:
                continue
            if now > idle_routes.binds_until(route, has_endpoints=False, slow_start_ms=self.slow_start_ms):
                del routes[route_id]
        if all(route.endpoints for route in routes.values()):
            self.without_endpoints.discard(destination)
        if not routes:
            del self.routes[destination]

    def _add(self, now: float, info: Endpoint) -> None:
        destination = info.destination
        is_used = destination in self.routes or destination in self.evicted or destination in self.queued_destinations
        if is_used:
            self.open(now, destination)  # before it is listed: it may come back to a route that has no endpoint
        self.index.put(info)
        if is_used:
            self._attach(now, info, True)

    def _attach(self, now: float, info: Endpoint, is_listed: bool) -> None:
        destination, route_id = self.route_key(info)
        routes = self.routes.setdefault(destination, {})
        self.factory.attach(now, info, routes, route_id, self.endpoints, is_listed)

    def open(self, now: float, destination: int) -> dict[int, RouteState]:
        """Return the routes of a destination that is used now: as they were, as they were evicted, or new."""
        if destination in self.routes:
            self.routes[destination] = self.routes.pop(destination)  # the most recently used is the last
        else:
            if destination in self.evicted:
                restored = idle_routes.restore_routes(self.evicted.pop(destination))
                self.routes[destination] = restored.routes
                if restored.without_endpoints:
                    self.without_endpoints.add(destination)
            for info in self.index.endpoints_of(destination):
                self._attach(now, info, False)
        return self.routes.get(destination, {})

    def _evict(self, now: float, destination: int) -> None:
        """Drop the routes of a destination but for what a rule may still need, unless something of it is here."""
        routes = self.routes.pop(destination)
        is_queued = destination in self.queued_destinations
        record = None if is_queued else idle_routes.pack_routes(routes, now, self.slow_start_ms)
        if record is None:
            self.routes[destination] = routes  # its turn comes again
            return
        for route in routes.values():
            for endpoint_id in route.endpoints:
                del self.endpoints[endpoint_id]
        self.without_endpoints.discard(destination)
        if record:
            self.evicted[destination] = record

    def evict_idle(self, now: float, events: int) -> None:
        """Evict the least recently used routes, and forget records of which nothing binds; a turn's part of both."""
        visits = idle_routes.VISITS_PER_EVENT * events
        surplus = len(self.routes) - idle_routes.MAX_RESIDENT_ROUTES
        if surplus > 0:
            for destination in list(islice(self.routes, min(visits, surplus))):
                self._evict(now, destination)
        if not self.evicted:
            return
        for destination in list(islice(self.evicted, visits)):
            record = self.evicted.pop(destination)
            if not idle_routes.has_expired(record, now):
                self.evicted[destination] = record

    def known_routes(self, destination: int) -> dict[int, KnownRoute]:
        """Return the routes of a destination by id, also if it is not in use, which it stays.

        Where nothing was ever seen of a destination there is none.
        """
        routes = self.routes.get(destination)
        if routes is not None:
            return {route_id: KnownRoute(route, tuple(sorted(route.endpoints))) for route_id, route in routes.items()}
        infos = self.index.endpoints_of(destination)
        restored = idle_routes.restore_routes(self.evicted.get(destination, b""))
        return {
            route_id: KnownRoute(
                route, tuple(info.id for info in infos if self.route_key(info) == RouteKey(destination, route_id))
            )
            for route_id, route in restored.routes.items()
        }
