"""HTTP/1.1 client: the names that other packages use, and a single call for tools.

The parts: `client_call.py` is one request on its way, `client_connection.py` one connection, `client_pool.py` the pool
that makes connections and keeps them.
"""

from __future__ import annotations

import asyncio

from ..codec import http1
from .client_call import Address, Answer, Call, RequestBytes, TlsParameters, shown
from .client_connection import ClientConnection
from .client_pool import Pool, Rates

__all__ = [
    "Address",
    "Answer",
    "Call",
    "ClientConnection",
    "Pool",
    "Rates",
    "RequestBytes",
    "TlsParameters",
    "once",
    "shown",
]


async def once(
    address: Address, method: str, data: RequestBytes, seconds: float, limits: http1.Limits | None = None
) -> Answer:
    """Make one call, with a timeout in seconds, on a connection of its own; for tools."""
    answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
    pool = Pool(limits=limits)
    try:
        pool.call(address, method, data, answered.set_result, asyncio.get_running_loop().time() + seconds)
        return await answered
    finally:
        pool.close()
