"""HTTP/1.1 client: the names that other packages import, and a function that makes a single call.

The modules: `client_call.py` is one call, `client_connection.py` is one connection, `client_pool.py` is the connection
pool, `connector.py` opens connections, and `idle_connections.py` stores the connections that have no call.
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
    address: Address, method: str, data: RequestBytes, timeout_s: float, limits: http1.Limits | None = None
) -> CallResult:
    """Make one call on a new connection, which is closed afterwards; `timeout_s` is in seconds. For tools."""
    pending_result: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
    pool = ConnectionPool(limits=limits)
    try:
        pool.call(address, method, data, pending_result.set_result, asyncio.get_running_loop().time() + timeout_s)
        return await pending_result
    finally:
        pool.close()
