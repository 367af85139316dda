"""HTTP/1.1 client: the names that other packages use, and a single call for tools.

The parts: `client_call.py` is one call, `client_connection.py` one connection, `client_pool.py` the pool of them,
`connector.py` opens them, and `idle_connections.py` has those that wait for another call.
"""

from __future__ import annotations

import asyncio

from ..codec import http1
from .client_call import Address, Call, CallResult, IdentifiedAddress, RequestBytes, TlsParameters, format_address
from .client_connection import ClientConnection
from .client_pool import ConnectionPool, MinimumRates

__all__ = [
    "Address",
    "CallResult",
    "Call",
    "ClientConnection",
    "ConnectionPool",
    "IdentifiedAddress",
    "MinimumRates",
    "RequestBytes",
    "TlsParameters",
    "call_once",
    "format_address",
]


async def call_once(
    address: Address, method: str, data: RequestBytes, seconds: float, limits: http1.Limits | None = None
) -> CallResult:
    """Make one call, with a timeout in seconds, on a connection of its own; for tools."""
    answered: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
    pool = ConnectionPool(limits=limits)
    try:
        pool.call(address, method, data, answered.set_result, asyncio.get_running_loop().time() + seconds)
        return await answered
    finally:
        pool.close()
