"""Registry of a listener's open connections; evicts one for a new connection when the listener is full."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..engine.connection_eviction import IdleConnection, connections_to_evict
from .request_connection import RequestConnection

# Time in which a new connection is evicted only after all others, because its first bytes may not have been read yet.
NEW_CONNECTION_GRACE_S = 0.5
# Time for which a ranking is reused, so that one pass over all connections serves many new ones.
RANKING_VALID_S = 0.25


class ConnectionRegistry:
    """Counts the open connections, in total and by host, and evicts one if the limit is reached."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        candidates_per_ranking: int,
        on_evict: Callable[[RequestConnection], None],
    ) -> None:
        """Create an empty registry.

        Args:
            loop: The event loop, whose clock is used.
            max_connections: Maximum number of open connections.
            candidates_per_ranking: Number of candidates for eviction that one ranking selects.
            on_evict: Called with a connection before it is evicted.
        """
        self.connections: set[RequestConnection] = set()
        self._loop = loop
        self._max_connections = max_connections
        self._candidates_per_ranking = candidates_per_ranking
        self._on_evict = on_evict
        self._count_by_host: dict[str, int] = {}
        self._candidates: list[tuple[str, RequestConnection]] = []  # hosts and connections; the last is evicted first
        self._ranked_at = 0.0  # loop time, s

    def add(self, connection: RequestConnection) -> None:
        """Register a new connection."""
        self.connections.add(connection)
        self._count_by_host[connection.host] = self._count_by_host.get(connection.host, 0) + 1

    def remove(self, connection: RequestConnection) -> None:
        """Remove a connection, if it is registered."""
        if connection in self.connections:
            self.connections.remove(connection)
            self._count_by_host[connection.host] -= 1
            if not self._count_by_host[connection.host]:
                del self._count_by_host[connection.host]

    def admit_connection(self, connection: RequestConnection) -> bool:
        """Return whether a new connection may stay open.

        At the limit, a connection without an outstanding response is evicted for it, so that half-open connections
        can't block new ones.
        """
        if len(self.connections) < self._max_connections:
            return True
        if not self._candidates or self._loop.time() > self._ranked_at + RANKING_VALID_S:
            self._rank()
        while self._candidates:
            host, candidate = self._candidates.pop()
            if not self._may_evict(candidate):
                continue
            crowds_out = self._count_by_host.get(connection.host, 0) > self._count_by_host.get(host, 0) + 1
            if crowds_out and candidate.had_complete_request:
                break  # a host may not crowd out another host's connections
            self._evict(candidate)
            return True
        return False

    def _may_evict(self, candidate: RequestConnection) -> bool:
        """Whether a candidate may still be evicted; its state may have changed since the ranking."""
        if candidate.is_closing or candidate.has_outstanding_response or candidate not in self.connections:
            return False
        next_request_arrived = candidate.had_complete_request and candidate.has_unread_input
        return not next_request_arrived

    def _evict(self, connection: RequestConnection) -> None:
        self._on_evict(connection)
        connection.transport.abort()
        # Removed before the event loop reports its end, because the new connection takes its place in the count now.
        self.remove(connection)
        connection.release_incomplete()

    def _rank(self) -> None:
        """Select the connections that are evicted next, and their order."""
        now = self._ranked_at = self._loop.time()
        idle = [
            IdleConnection(
                host=connection.host,
                had_complete_request=connection.had_complete_request,
                just_opened=now - connection.opened_at < NEW_CONNECTION_GRACE_S,
                rate=connection.bytes_read / (now - connection.opened_at + 1),
                state_started_at=connection.linger_started_at or connection.phase_started_at,
                connection=connection,
                is_lingering=connection.is_lingering,
            )
            for connection in self.connections
            if not connection.has_outstanding_response and not connection.is_closing
        ]
        ranked = connections_to_evict(self._count_by_host, idle, self._candidates_per_ranking)
        self._candidates = [(candidate.host, candidate.connection) for candidate in ranked]
