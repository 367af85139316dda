"""All destinations that a relay knows: their endpoints in a compact index, and the routes of those in use.

For destinations that are not in use, only the records of `idle_routes` are kept. The work depends on what changes or is
used and not on the number of known destinations: a change visits the routes of its destination, and each event checks a
few idle routes. No I/O and no clock: times in ms are passed in.
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

SHARED_ROUTE_ID = -1  # id of the route that all endpoints of a destination share


class KnownRoute(NamedTuple):
    """One route with the ids of its endpoints; its destination may or may not be in use."""

    state: RouteState
    endpoint_ids: tuple[int, ...]


class RoutingTable:
    """Owns the routes and endpoints in use, the index of all endpoints, and the records of evicted routes.

    Attributes:
        queued_destinations: Destinations with queued messages, whose routes stay resident.
        index: All endpoints that accept new calls.
        routes: Destination in use -> its routes by id; the most recently used destination comes last.
        endpoints: Endpoints of the destinations in use, by id.
        without_endpoints: Destinations in use with a route that may have no endpoint.
        evicted: Destination not in use -> record of its routes.
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
        return RouteKey(info.destination, info.id if is_separate else SHARED_ROUTE_ID)

    def apply_list(self, now: float, event: EndpointList) -> list[EndpointState]:
        """Apply a list or changes; return the endpoints in use to which no new call may be sent from now on."""
        ready = {info.id: info for info in event.endpoints if info.status is EndpointStatus.READY}
        if event.kind is ListKind.CHANGES:
            found = map(self.index.get, {info.id for info in event.endpoints})
            known = [info for info in found if info is not None]
        else:
            known = list(self.index)
        gone = [old for old in known if old.id not in ready or self._has_moved(old, ready[old.id])]
        removed = self._remove_endpoints(now, sorted(gone, key=lambda old: old.id))
        for info in ready.values():
            self._add(now, info)
        return removed

    def _has_moved(self, old: Endpoint, new: Endpoint) -> bool:
        return self.route_key(old) != self.route_key(new)

    def _remove_endpoints(self, now: float, gone: list[Endpoint]) -> list[EndpointState]:
        destinations = {info.destination for info in gone}
        idle = destinations - self.routes.keys()
        removed = [self._remove_endpoint(now, info) for info in gone]
        for destination in idle:
            self._evict(now, destination)
        if gone:
            self._prune_unqueued(now, self.without_endpoints - destinations)
        return removed

    def _remove_endpoint(self, now: float, info: Endpoint) -> EndpointState:
        """Remove an endpoint; its route begins an outage if it was the last one."""
        self.open(now, info.destination)
        self.index.pop(info.id)
        endpoint = self.endpoints.pop(info.id)
        route = endpoint.route
        del route.endpoints[info.id]
        if not route.endpoints:
            route.health.endpoints_left_at = now
            route.health.start_outage(now)
            self.without_endpoints.add(info.destination)
        return endpoint

    def _prune_unqueued(self, now: float, destinations: set[int]) -> None:
        for destination in destinations:
            if destination not in self.queued_destinations:
                self._prune(now, destination)

    def _prune(self, now: float, destination: int) -> None:
        """Remove routes without endpoints once no rule needs their state any more."""
        routes = self.routes[destination]
        for route_id, route in list(routes.items()):
            if route.endpoints or route.calls:
                continue
            expires_at = idle_routes.needed_until(route, has_endpoints=False, slow_start_ms=self.slow_start_ms)
            if now > expires_at:
                del routes[route_id]
        if all(route.endpoints for route in routes.values()):
            self.without_endpoints.discard(destination)
        if not routes:
            del self.routes[destination]

    def _add(self, now: float, info: Endpoint) -> None:
        destination = info.destination
        is_used = destination in self.routes or destination in self.evicted or destination in self.queued_destinations
        if is_used:
            self.open(now, destination)  # before the index changes: the endpoint may join a route without endpoints
        self.index.put(info)
        if is_used:
            self._attach(now, info, True)

    def _attach(self, now: float, info: Endpoint, is_listed: bool) -> None:
        key = self.route_key(info)
        routes = self.routes.setdefault(key.destination, {})
        self.factory.attach(now, info, routes, key.route_id, self.endpoints, is_listed)

    def open(self, now: float, destination: int) -> dict[int, RouteState]:
        """Return the routes of a destination that is used now; restores or creates them if they are not resident."""
        if destination in self.routes:
            routes = self.routes.pop(destination)
            self.routes[destination] = routes  # moved to the end: the most recently used destination comes last
            return routes
        if destination in self.evicted:
            self._restore(destination)
        for info in self.index.endpoints_of(destination):
            self._attach(now, info, False)
        return self.routes.get(destination, {})

    def _restore(self, destination: int) -> None:
        restored = idle_routes.restore_routes(self.evicted.pop(destination))
        self.routes[destination] = restored.routes
        if restored.without_endpoints:
            self.without_endpoints.add(destination)

    def _evict(self, now: float, destination: int) -> None:
        """Evict the routes of a destination, unless it has queued messages or calls in flight."""
        routes = self.routes.pop(destination)
        is_queued = destination in self.queued_destinations
        record = None if is_queued else idle_routes.pack_routes(routes, now, self.slow_start_ms)
        if record is None:
            self.routes[destination] = routes  # moved to the end of the eviction order: the destination is in use
            return
        for route in routes.values():
            for endpoint_id in route.endpoints:
                del self.endpoints[endpoint_id]
        self.without_endpoints.discard(destination)
        if record:
            self.evicted[destination] = record

    def evict_idle(self, now: float, events: int) -> None:
        """Evict the least recently used routes and remove expired records; visits a few of each per event."""
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
        """Return the routes of a destination by id, without bringing it into use.

        A destination that is neither in use nor has a record has no routes.
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
