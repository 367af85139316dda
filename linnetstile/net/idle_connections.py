"""The idle connections of a client pool by address; the newest is reused first, the oldest is closed first."""

from __future__ import annotations

from bisect import bisect_right, insort
from typing import TYPE_CHECKING

from .client_call import Address

if TYPE_CHECKING:
    from .client_connection import ClientConnection


def _idle_since(connection: ClientConnection) -> float:
    return connection.idle_since


class IdleConnections:
    """The connections without a call; closing them is left to the pool.

    Attributes:
        by_address: The idle connections to each address, in the order of their `idle_since`: the newest last.
        count: Number of idle connections to all addresses.
    """

    def __init__(self) -> None:
        self.by_address: dict[Address, list[ClientConnection]] = {}
        self.count = 0

    def add(self, connection: ClientConnection) -> None:
        """Add a connection that is idle since its `idle_since`."""
        insort(self.by_address.setdefault(connection.address, []), connection, key=_idle_since)
        self.count += 1

    def take_newest(self, address: Address, idle_before: float) -> ClientConnection | None:
        """Remove and return the newest connection to an address that is idle since `idle_before` or earlier."""
        connections = self.by_address.get(address, [])
        count = bisect_right(connections, idle_before, key=_idle_since)
        if not count:
            return None
        self.count -= 1
        return connections.pop(count - 1)

    def take_oldest(self, address: Address) -> ClientConnection | None:
        """Remove and return the oldest connection to an address; None if there is none."""
        connections = self.by_address.get(address)
        if not connections:
            return None
        self.count -= 1
        return connections.pop(0)

    def take_all(self, address: Address) -> list[ClientConnection]:
        """Remove and return all connections to an address."""
        connections = self.by_address.pop(address, [])
        self.count -= len(connections)
        return connections

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection if it is idle, and its address if it has no other idle connection."""
        connections = self.by_address.get(connection.address, [])
        if connection in connections:
            connections.remove(connection)
            self.count -= 1
        if not connections:
            self.by_address.pop(connection.address, None)

    def oldest(self) -> ClientConnection:
        """Return the connection that has been idle the longest; at least one must be idle."""
        oldest_by_address = (connections[0] for connections in self.by_address.values() if connections)
        return min(oldest_by_address, key=_idle_since)

    def idle_since_before(self, time_s: float) -> list[ClientConnection]:
        """Return the connections that have been idle since before this loop time."""
        return [
            connection
            for connections in self.by_address.values()
            for connection in connections
            if connection.idle_since < time_s
        ]
