"""Which connections a full listener closes to admit new ones."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class IdleConnection(Generic[T]):
    """A connection that carries nothing: its host, whether a request of it was ever complete, whether it has just come,
    bytes a second since it began, and since when it stands where it is."""

    host: str
    had_request: bool
    just_opened: bool
    rate: float
    since: float
    token: T


def connections_to_evict(
    hosts: dict[str, int], places: Iterable[IdleConnection[T]], most: int
) -> list[IdleConnection[T]]:
    """Whom a full listener lets go for new ones, the last one first: those that never had a complete request before
    those that had, those that have just come last of these, the ones of the host with most connections, those that
    moved least, then the oldest. So half-open and dripping connections make room for each other, and neither a client's
    kept connections nor its upload do, nor a new one that a busy relay has not read yet."""
    return heapq.nsmallest(
        most, places, key=lambda p: (p.had_request, p.just_opened, -hosts.get(p.host, 0), p.rate, p.since)
    )[::-1]
