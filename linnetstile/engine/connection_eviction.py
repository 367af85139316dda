"""Chooses the connections that a full listener closes to admit new ones."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class IdleConnection(Generic[T]):
    """A connection without a request in progress, as a candidate for eviction.

    Attributes:
        host: Host of the client.
        had_complete_request: Whether it ever had a complete request.
        just_opened: Whether it was accepted a moment ago, so that its bytes may not have been read yet.
        rate: Bytes received a second since it was opened.
        state_started_at: Time since which it has been in its present state.
        connection: The connection, as an object of the caller.
        is_lingering: Whether its last response was sent, and it only waits for the client to close.
    """

    host: str
    had_complete_request: bool
    just_opened: bool
    rate: float
    state_started_at: float
    connection: T
    is_lingering: bool = False


def connections_to_evict(
    connections_by_host: dict[str, int], connections: Iterable[IdleConnection[T]], max_evicted: int
) -> list[IdleConnection[T]]:
    """Choose the connections that make room for new ones.

    Connections are compared by these criteria in turn, and are evicted first if they:

    1. only linger after their last response,
    2. never had a complete request,
    3. were not opened just now,
    4. belong to the host with the most connections,
    5. have the lowest receive rate,
    6. have been in their present state for longest.

    So connections that linger, then half-open and trickling connections make room for others, rather than a client's
    idle keep-alive connections, its upload, or a new connection that a busy relay has not read from yet.

    Args:
        connections_by_host: Number of open connections of each host.
        connections: The candidates.
        max_evicted: Maximum number of connections to choose.

    Returns:
        The chosen connections in reverse order of eviction: the last one is to be evicted first.
    """

    def eviction_order(connection: IdleConnection[T]) -> tuple[bool, bool, bool, int, float, float]:
        open_connections = connections_by_host.get(connection.host, 0)
        return (
            not connection.is_lingering,
            connection.had_complete_request,
            connection.just_opened,
            -open_connections,
            connection.rate,
            connection.state_started_at,
        )

    return heapq.nsmallest(max_evicted, connections, key=eviction_order)[::-1]
