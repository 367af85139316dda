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
        had_request: Whether it ever had a complete request.
        just_opened: Whether it was accepted a moment ago, so that its bytes may not have been read yet.
        rate: Bytes received a second since it was opened.
        since: Time since which it has been in its present state.
        token: The caller's handle of the connection.
    """

    host: str
    had_request: bool
    just_opened: bool
    rate: float
    since: float
    token: T


def connections_to_evict(
    hosts: dict[str, int], connections: Iterable[IdleConnection[T]], max_evicted: int
) -> list[IdleConnection[T]]:
    """Choose the connections that make room for new ones.

    Connections that never had a complete request are evicted before those that had one. Within each of these groups,
    connections opened a moment ago come last. Otherwise the order is: those of the host with the most connections,
    those with the lowest receive rate, and the oldest ones first. So half-open and trickling connections make room for
    each other, rather than a client's idle keep-alive connections, its upload, or a new connection that a busy relay
    has not read from yet.

    Args:
        hosts: Number of open connections of each host.
        connections: The candidates.
        max_evicted: Maximum number of connections to choose.

    Returns:
        The chosen connections, the first one to evict last.
    """

    def eviction_order(connection: IdleConnection[T]) -> tuple[bool, bool, int, float, float]:
        open_connections = hosts.get(connection.host, 0)
        return (
            connection.had_request,
            connection.just_opened,
            -open_connections,
            connection.rate,
            connection.since,
        )

    return heapq.nsmallest(max_evicted, connections, key=eviction_order)[::-1]
