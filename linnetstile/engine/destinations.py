"""All destinations that a relay knows: the endpoints of each in a compact index, lanes for those in use alone, and of
the others what resting.py says is to be kept. No I/O, no clock: times in ms come in.

Work follows what changed or is used, never what exists: a change costs the lanes of its destination, a turn looks at as
many lanes at rest as it had events."""

from __future__ import annotations

from collections.abc import Callable, Container
from itertools import islice

from . import idle_routes
from .endpoint_index import EndpointIndex
from .events import Endpoint, EndpointList, EndpointStatus, ListKind
from .route_state import EndpointState, RouteState
from .settings import Settings

Attach = Callable[[float, Endpoint, bool], None]


class RoutingTable:
    """`attach` puts an endpoint into its lane: one that was listed just now, or (False) one that comes into use with
    its destination. `queued` has the destinations for which messages wait. A failure fades in `fade_ms`."""

    def __init__(
        self, settings: Settings, evidence_ttl_ms: float, queued_destinations: Container[int], on_endpoint: Attach
    ) -> None:
        self.kinds, self.slow_start_ms, self.evidence_ttl_ms = (
            settings.kinds,
            settings.safety.slow_start_ms,
            evidence_ttl_ms,
        )
        self.queued_destinations, self.on_endpoint = queued_destinations, on_endpoint
        self.index = EndpointIndex()  # of all endpoints that take new calls
        self.routes: dict[int, dict[int, RouteState]] = {}  # destination in use -> its lanes; the latest used last
        self.endpoints: dict[int, EndpointState] = {}  # of these
        self.without_endpoints: set[int] = set()  # destinations in use with a lane that may have no endpoint
        self.evicted: dict[int, bytes] = {}  # destination not in use -> its record

    def route_key(self, entry: Endpoint) -> tuple[int, int]:
        """What is one lane: a destination, or a route of it where routes are apart."""
        apart = entry.kind < len(self.kinds) and self.kinds[entry.kind].separate_routes
        return entry.destination, entry.id if apart else -1

    def apply_list(self, now: float, event: EndpointList) -> list[EndpointState]:
        """Takes a list or changes in; the endpoints in use to which nothing new goes from now on."""
        ready = {entry.id: entry for entry in event.endpoints if entry.status is EndpointStatus.READY}
        if event.kind is ListKind.CHANGES:
            known = [
                entry for entry in map(self.index.get, {entry.id for entry in event.endpoints}) if entry is not None
            ]
        else:
            known = list(self.index)
        gone = self._drop(
            now,
            sorted(
                (old for old in known if old.id not in ready or self.route_key(ready[old.id]) != self.route_key(old)),
                key=lambda old: old.id,
            ),
        )
        for entry in ready.values():
            self._add(now, entry)
        return gone

    def _drop(self, now: float, gone: list[Endpoint]) -> list[EndpointState]:
        quiet = {entry.destination for entry in gone} - self.routes.keys()
        dropped = []
        for entry in gone:
            self.open(now, entry.destination)
            self.index.pop(entry.id)
            endpoint = self.endpoints.pop(entry.id)
            dropped.append(endpoint)
            del endpoint.route.endpoints[entry.id]
            if not endpoint.route.endpoints:
                endpoint.route.endpoints_left_at = now
                endpoint.route.outage_since = (
                    now if endpoint.route.outage_since is None else endpoint.route.outage_since
                )
                self.without_endpoints.add(entry.destination)
        for destination in quiet:
            self._rest(now, destination)
        for destination in self.without_endpoints - {entry.destination for entry in gone} if gone else ():
            if destination not in self.queued_destinations:
                self._prune(now, destination)
        return dropped

    def _prune(self, now: float, destination: int) -> None:
        """A lane without endpoints goes with its last trace."""
        routes = self.routes[destination]
        for route, lane in list(routes.items()):
            if (
                not lane.endpoints
                and not lane.calls
                and now > idle_routes.binds_until(lane, True, self.evidence_ttl_ms, self.slow_start_ms)
            ):
                del routes[route]
        if all(lane.endpoints for lane in routes.values()):
            self.without_endpoints.discard(destination)
        if not routes:
            del self.routes[destination]

    def _add(self, now: float, entry: Endpoint) -> None:
        destination = entry.destination
        used = destination in self.routes or destination in self.evicted or destination in self.queued_destinations
        if used:
            self.open(now, destination)  # before it is listed: it may come back to a lane that has none
        self.index.put(entry)
        if used:
            self.on_endpoint(now, entry, True)

    def open(self, now: float, destination: int) -> dict[int, RouteState]:
        """The lanes of a destination that is used now: as they were, as they went to rest, or new."""
        if destination in self.routes:
            self.routes[destination] = self.routes.pop(destination)
        else:
            if destination in self.evicted:
                self.routes[destination], bare = idle_routes.restore_routes(self.evicted.pop(destination))
                if bare:
                    self.without_endpoints.add(destination)
            for entry in self.index.endpoints_of(destination):
                self.on_endpoint(now, entry, False)
        return self.routes.get(destination, {})

    def _rest(self, now: float, destination: int) -> None:
        """Its lanes go, but for what a rule may still need, unless something of it is here."""
        routes = self.routes.pop(destination)
        kept = (
            None
            if destination in self.queued_destinations
            else idle_routes.pack_routes(routes, now, self.evidence_ttl_ms, self.slow_start_ms)
        )
        if kept is None:
            self.routes[destination] = routes  # its turn comes again
            return
        for route in routes.values():
            for ident in route.endpoints:
                del self.endpoints[ident]
        self.without_endpoints.discard(destination)
        if kept:
            self.evicted[destination] = kept

    def evict_idle(self, now: float, events: int) -> None:
        """A turn's part: the lanes used longest ago go to rest, and records of which nothing binds go."""
        looks = idle_routes.VISITS_PER_EVENT * events
        if len(self.routes) > idle_routes.MAX_RESIDENT_ROUTES:
            for destination in list(
                islice(self.routes, min(looks, len(self.routes) - idle_routes.MAX_RESIDENT_ROUTES))
            ):
                self._rest(now, destination)
        for destination in list(islice(self.evicted, looks)) if self.evicted else ():
            kept = self.evicted.pop(destination)
            if not idle_routes.has_expired(kept, now):
                self.evicted[destination] = kept

    def known_routes(self, destination: int) -> dict[int, tuple[RouteState, tuple[int, ...]]]:
        """By route: the lane and its endpoints, also of a destination at rest, which goes on resting. Where nothing was
        ever seen of it there is none."""
        routes = self.routes.get(destination)
        if routes is not None:
            return {route: (lane, tuple(sorted(lane.endpoints))) for route, lane in routes.items()}
        entries = self.index.endpoints_of(destination)
        return {
            route: (lane, tuple(entry.id for entry in entries if self.route_key(entry) == (destination, route)))
            for route, lane in idle_routes.restore_routes(self.evicted.get(destination, b""))[0].items()
        }
