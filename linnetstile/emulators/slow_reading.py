"""Reads the body of a request slowly, so that its sender experiences back-pressure."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..net import server


def read_slowly(exchange: server.RequestContext, bytes_per_s: int, is_on: Callable[[], bool]) -> None:
    """Read the body at a limited rate while `is_on()` is true.

    Once the socket buffers of both ends are full, the sender has to wait.
    """
    connection = exchange.connection
    loop = asyncio.get_running_loop()
    connection.uses_large_buffer = False
    receive = connection.received

    def resume() -> None:
        if not connection.is_closing:
            connection.transport.resume_reading()

    def receive_slowly(data: memoryview) -> None:
        receive(data)
        if connection.current_request is not exchange:  # the next requests of the connection are read at full speed
            connection.received = receive  # type: ignore[method-assign]
        elif not connection.request_complete and is_on():
            connection.transport.pause_reading()
            loop.call_later(len(data) / bytes_per_s, resume)

    connection.received = receive_slowly  # type: ignore[method-assign]
