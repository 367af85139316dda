"""Which connections a full listener closes to admit new ones."""

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
        had_request: Whether a request on it was ever complete.
        just_opened: Whether it was accepted a moment ago, so that its bytes may not have been read yet.
        rate: Bytes received a second since it was opened.
        since: Time since which it has been in its present state.
        token: The caller's own handle of the connection.
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

    The order of eviction: connections that never had a complete request before those that had one, of these the ones
    opened just now last, then those of the host with most connections, those that received least, and the oldest. So
    half-open and trickling connections make room for each other. Neither a client's idle keep-alive connections nor
    its upload have to, nor a new connection that a busy relay has not read from yet.

    Args:
        hosts: Number of open connections of each host.
        connections: The candidates.
        max_evicted: How many connections to choose at most.

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
