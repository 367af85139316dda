"""What both ends of a connection share: the receive buffer, and a write side that knows what has not left yet."""

from __future__ import annotations

import asyncio
import select
from asyncio.trsock import TransportSocket
from collections import deque
from socket import socket as Socket
from typing import Protocol, cast

from ..engine.minimum_rate import MinimumRateMeter

# One buffer for all connections of a process: a selector loop fills it and hands it over within one callback, so it
# is never in use twice. A buffer for each of 10,000 connections would hold 640 MB for nothing.
_SHARED = memoryview(bytearray(64 * 1024))
# What a peer that was granted no room may have us read in one go: bounds what half-read requests hold.
_SMALL = _SHARED[: 16 * 1024]
SLICE = 128 * 1024  # handed to the transport in one go: it copies what the kernel does not take


class Transport(Protocol):
    """What a wire needs of a transport: asyncio's, or TLS over one."""

    def write(self, data: bytes | bytearray | memoryview) -> None: ...
    def write_eof(self) -> None: ...
    def can_write_eof(self) -> bool: ...
    def close(self) -> None: ...
    def abort(self) -> None: ...
    def is_closing(self) -> bool: ...
    def pause_reading(self) -> None: ...
    def resume_reading(self) -> None: ...
    def get_write_buffer_size(self) -> int: ...
    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None: ...
    def get_extra_info(self, name: str, default: object = None) -> object: ...


class BufferedConnection(asyncio.BufferedProtocol):
    """Reads into the shared buffer and calls `received` with a view that is valid during the call only. Writes with
    `put`: what the kernel does not take waits here, uncopied, so that `unsent` is exact to a slice."""

    transport: Transport
    lost = False
    hungry = False  # reads by whole buffers
    blocked = False  # the kernel has not taken all that the transport was given
    ending = False  # closes once all has been written

    def metered(self, rate_in: float, rate_out: float, grace_s: float) -> None:
        """Least rates in bytes a second (0 = none asked for) at which the peer is to send and to read."""
        self.meter_in, self.meter_out = (
            MinimumRateMeter(rate_in, grace_s * 1000),
            MinimumRateMeter(rate_out, grace_s * 1000),
        )
        self.came = self.counted = 0  # bytes received, and those of them that the meter has seen
        self.left = 0  # bytes that had left at the last look

    def came_in(self) -> int:
        """Bytes received since the last look."""
        came, self.counted = self.came - self.counted, self.came
        return came

    def went_out(self) -> int:
        """Bytes that the kernel took since the last look."""
        left = self.given - self.unsent
        went, self.left = left - self.left, left
        return went

    @property
    def patience(self) -> float:
        """What the least rates have left of the stall that they forgive: 1 = all, 0 = about to be let go."""
        return 1 - max(self.meter_in.patience_used_ms, self.meter_out.patience_used_ms) / self.meter_in.grace_ms

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(Transport, transport)
        # Told at once when the kernel takes no more, and when it has taken the last byte.
        self.transport.set_write_buffer_limits(high=0)
        self.queue: deque[memoryview] = deque()
        self.queued = 0
        self.given = 0  # bytes put since the connection began

    def get_buffer(self, sizehint: int) -> memoryview:
        return _SHARED if self.hungry else _SMALL

    def buffer_updated(self, nbytes: int) -> None:
        self.received(_SHARED[:nbytes])

    def received(self, data: memoryview) -> None:
        raise NotImplementedError

    def put(self, head: bytes, body: bytes = b"") -> None:
        """Writes both in order; a big body is neither joined to its head nor copied here."""
        if self.lost:
            return
        size = len(head) + len(body)
        self.given += size
        if size <= SLICE and not self.queued and not self.blocked:
            self.transport.write(head + body)
            return
        self.queue.extend(memoryview(piece) for piece in (head, body) if piece)
        self.queued += size
        self._pump()

    def _pump(self) -> None:
        while self.queue and not self.blocked and not self.dead:
            piece = self.queue.popleft()
            if len(piece) > SLICE:
                self.queue.appendleft(piece[SLICE:])
                piece = piece[:SLICE]
            self.queued -= len(piece)
            self.transport.write(piece)
        if self.ending and not self.queue and not self.dead:
            self.transport.close()

    @property
    def unsent(self) -> int:
        """Bytes that the kernel has not taken: the peer can't have the whole message while there are any."""
        return self.queued + self.transport.get_write_buffer_size()

    def pause_writing(self) -> None:
        self.blocked = True

    def resume_writing(self) -> None:
        self.blocked = False
        self._pump()

    def end(self) -> None:
        """Closes once what was put has been written."""
        self.ending = True
        if not self.queue and not self.dead:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.queue.clear()

    @property
    def dead(self) -> bool:
        return self.lost or self.transport.is_closing()

    @property
    def speaks(self) -> bool:
        """The kernel holds bytes, or the end, of this connection that nobody has read. What is closed over unread bytes
        is reset, and what was written before may go with it."""
        socket = self.transport.get_extra_info("socket")
        fd = socket.fileno() if isinstance(socket, (Socket, TransportSocket)) else -1
        if fd < 0:
            return False
        poll = select.poll()
        poll.register(fd, select.POLLIN)
        return bool(poll.poll(0))

    def peer(self) -> str:
        name = self.transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if isinstance(name, tuple) else "?"

    def host(self) -> str:
        """The peer's address without its port: what bounds by client go by before it has told a name."""
        return self.peer().rpartition(":")[0]
