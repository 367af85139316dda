"""The open connections of a listener, and which of them is evicted for a new one when the listener is full."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..engine.connection_eviction import IdleConnection, connections_to_evict
from .server_connection import ServerConnection

# For so long a new connection is evicted only after the others: its first bytes may not have been read.
NEW_CONNECTION_GRACE_S = 0.5
# How long a ranking is valid: one pass over all connections serves many new ones.
RANKING_VALID_S = 0.25


class ConnectionRegistry:
    """Counts open connections, in all and by host, and evicts one where the limit is reached."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_connections: int,
        candidates_per_ranking: int,
        on_evict: Callable[[ServerConnection], None],
    ) -> None:
        """Start empty.

        Args:
            loop: Gives the time.
            max_connections: Connections that may be open.
            candidates_per_ranking: How many connections one ranking chooses.
            on_evict: Called before a connection is closed for another one.
        """
        self.connections: set[ServerConnection] = set()
        self._loop = loop
        self._max_connections = max_connections
        self._candidates_per_ranking = candidates_per_ranking
        self._on_evict = on_evict
        self._count_by_host: dict[str, int] = {}
        self._candidates: list[tuple[str, ServerConnection]] = []  # hosts and connections; the last is evicted first
        self._ranked_at = 0.0  # loop time, s

    def add(self, connection: ServerConnection) -> None:
        """Count a new connection."""
        self.connections.add(connection)
        self._count_by_host[connection.host] = self._count_by_host.get(connection.host, 0) + 1

    def remove(self, connection: ServerConnection) -> None:
        """Count a connection no more, if it was counted."""
        if connection in self.connections:
            self.connections.remove(connection)
            self._count_by_host[connection.host] -= 1
            if not self._count_by_host[connection.host]:
                del self._count_by_host[connection.host]

    def admit_connection(self, connection: ServerConnection) -> bool:
        """Return whether a new connection may stay; at the limit one without an obligation is evicted for it.

        So half-open connections don't keep others out.
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

    def _may_evict(self, candidate: ServerConnection) -> bool:
        """Whether a connection still is as it was when it was ranked."""
        if candidate.is_closing or candidate.has_obligation or candidate not in self.connections:
            return False
        next_request_arrived = candidate.had_complete_request and candidate.has_unread_input
        return not next_request_arrived

    def _evict(self, connection: ServerConnection) -> None:
        self._on_evict(connection)
        connection.transport.abort()
        # Now, and not when the event loop reports its end: the new connection counts already.
        self.remove(connection)
        connection.release_incomplete()

    def _rank(self) -> None:
        """Choose the connections that are evicted next, and their order."""
        now = self._ranked_at = self._loop.time()
        idle = [
            IdleConnection(
                host=connection.host,
                had_request=connection.had_complete_request,
                just_opened=now - connection.opened_at < NEW_CONNECTION_GRACE_S,
                rate=connection.bytes_read / (now - connection.opened_at + 1),
                since=connection.phase_started_at,
                token=connection,
            )
            for connection in self.connections
            if not connection.has_obligation and not connection.is_closing
        ]
        ranked = connections_to_evict(self._count_by_host, idle, self._candidates_per_ranking)
        self._candidates = [(candidate.host, candidate.token) for candidate in ranked]
