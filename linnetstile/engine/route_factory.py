"""Creates the state of routes and endpoints when they are listed, or when their destination comes into use."""

from __future__ import annotations

import random

from . import slow_start
from .events import Endpoint
from .latency import INITIAL_DEVIATION_MS, INITIAL_MEAN_MS, FleetLatency
from .message_queues import MessageQueues
from .rate_limiter import RateLimiter
from .route_state import EndpointState, LatencyEstimate, RouteState
from .settings import Settings


class RouteFactory:
    """Adds endpoints to their routes, and creates routes that do not exist yet."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        *,
        queues: MessageQueues,
        rate_limiter: RateLimiter,
        fleet_latency: FleetLatency,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.queues = queues
        self.rate_limiter = rate_limiter
        self.fleet_latency = fleet_latency
        self.first_list_at: float | None = None  # a destination that comes into use counts as idle since then

    def record_first_list(self, now: float) -> None:
        """Record the time of the first endpoint list."""
        if self.first_list_at is None:
            self.first_list_at = now

    def attach(
        self,
        now: float,
        info: Endpoint,
        routes: dict[int, RouteState],
        route_id: int,
        endpoints: dict[int, EndpointState],
        is_listed: bool,
    ) -> None:
        """Add an endpoint to its route, and create the route if it does not exist.

        Args:
            now: Time in ms.
            info: The endpoint's entry in the endpoint list.
            routes: The routes of its destination, by id.
            route_id: Id of the route that the endpoint belongs to.
            endpoints: All endpoints in use, by id.
            is_listed: True if the endpoint was listed just now, False if its destination comes into use.
        """
        advertised_rate = self.rate_limiter.trusted_rate(info.advertised_rate)
        route = routes.get(route_id)
        if route is None:
            route = routes[route_id] = self._new_route(now, info, advertised_rate, is_listed)
        if is_listed:
            self.rate_limiter.apply_advertised_rate(route.rate, advertised_rate)
        endpoint = endpoints.get(info.id)
        if endpoint is not None:
            endpoint.listed = info
            return
        if is_listed and not route.endpoints and route.health.outage_since is not None:
            # The endpoints of the route were replaced after an outage: the new one does not have full capacity yet.
            slow_start.begin_slow_start(now, route, self.settings.relay_count)
        endpoint = EndpointState(info, route, tie_breaker=self.rng.random())
        route.endpoints[info.id] = endpoint
        endpoints[info.id] = endpoint
        self.queues.schedule(info.destination)

    def _new_route(self, now: float, info: Endpoint, advertised_rate: float, is_listed: bool) -> RouteState:
        # A destination that comes into use gets no fleet estimate: it is unknown, and may be slower than the others.
        if is_listed:
            estimate = LatencyEstimate(self.fleet_latency.mean_ms, self.fleet_latency.deviation_ms)
        else:
            estimate = LatencyEstimate(INITIAL_MEAN_MS, INITIAL_DEVIATION_MS)
        idle_since = now if is_listed or self.first_list_at is None else self.first_list_at
        kinds = self.settings.kinds
        return RouteState(
            latency=estimate,
            rate=self.rate_limiter.initial_state(advertised_rate, idle_since),
            max_batch=kinds[info.kind].max_batch if info.kind < len(kinds) else 1,
            kind=info.kind,
        )
