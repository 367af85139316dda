"""What both ends of a connection share: the receive buffer and the write side."""

from __future__ import annotations

import asyncio
from typing import cast

# One buffer for all connections of a process: a selector loop fills it and hands it over within one callback, so it
# is never in use twice. A buffer for each of 10,000 connections would hold 640 MB for nothing.
_SHARED = memoryview(bytearray(256 * 1024))


class Wire(asyncio.BufferedProtocol):
    """Reads into the shared buffer and calls `received` with a view that is valid during the call only."""

    transport: asyncio.Transport
    lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        return _SHARED

    def buffer_updated(self, nbytes: int) -> None:
        self.received(_SHARED[:nbytes])

    def received(self, data: memoryview) -> None:
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True

    @property
    def dead(self) -> bool:
        return self.lost or self.transport.is_closing()

    def peer(self) -> str:
        name = self.transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if name else "?"
