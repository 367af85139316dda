"""An event loop with virtual time whose connections replay scripted responses."""

from __future__ import annotations

import asyncio
from typing import Any

TimedResponse = list[tuple[float, bytes]]
"""Pieces of a response, each with its delay (s) after the request."""
NO_RESPONSE: TimedResponse = []

MAX_READ_BYTES = 16_000
READ_INTERVAL_S_PER_BYTE = 1e-9
"""Gives each read of a piece its own time: callbacks that are due at the same time may run in any order."""
MAX_RUN_S = 60.0


class ScriptedTransport(asyncio.Transport):
    """A connection to a server that answers each request with the next scripted response of the loop."""

    def __init__(self, loop: VirtualTimeLoop, protocol: asyncio.BufferedProtocol) -> None:
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.closing = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        self.loop.requests.append((self.loop.now, bytes(data).split()[1].decode()))
        for delay, piece in self.loop.responses.pop(0):
            for start in range(0, len(piece), MAX_READ_BYTES):
                read_at = delay + start * READ_INTERVAL_S_PER_BYTE
                self.loop.call_later(read_at, self._deliver, piece[start : start + MAX_READ_BYTES])

    def _deliver(self, data: bytes) -> None:
        if not self.closing:
            memoryview(self.protocol.get_buffer(-1))[: len(data)] = data
            self.protocol.buffer_updated(len(data))

    def abort(self) -> None:
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self.protocol.connection_lost, None)

    def is_closing(self) -> bool:
        return self.closing

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop whose time advances to the next timer as soon as no callback is ready to run.

    Attributes:
        now: Virtual time, s.
        responses: The responses to the next requests, one each.
        requests: Time and path of each request.
        transports: The connections, in the order in which they were opened.
    """

    def __init__(self, responses: list[TimedResponse]) -> None:
        super().__init__()
        self.now = 0.0
        self.responses = responses
        self.requests: list[tuple[float, str]] = []
        self.transports: list[ScriptedTransport] = []
        select = self._selector.select  # type: ignore[attr-defined]

        def advance_time(timeout: float | None) -> Any:
            self.now += timeout or 0.0
            assert timeout is not None, "no timer is pending: the loop would wait forever"
            assert self.now < MAX_RUN_S, "the scenario took longer than MAX_RUN_S of virtual time"
            return select(0)

        self._selector.select = advance_time  # type: ignore[attr-defined]

    def time(self) -> float:
        return self.now

    @property
    def open_count(self) -> int:
        """Number of connections that are open."""
        return sum(not transport.closing for transport in self.transports)

    async def create_connection(self, factory: Any, *address: Any, **options: Any) -> Any:  # type: ignore[override]
        protocol = factory()
        transport = ScriptedTransport(self, protocol)
        self.transports.append(transport)
        protocol.connection_made(transport)
        return transport, protocol
