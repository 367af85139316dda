"""What client and server connections share: the receive buffer, and a write side that knows what was not sent."""

from __future__ import annotations

import asyncio
import select
import socket
from asyncio.trsock import TransportSocket
from collections import deque
from typing import Protocol, cast

from ..engine.minimum_rate import MinimumRateMeter
from .receive_buffer import LARGE_BUFFER, SMALL_BUFFER

# Passed to the transport at a time: it copies what the kernel does not accept.
WRITE_SLICE_BYTES = 128 * 1024


class Transport(Protocol):
    """What a `BufferedConnection` needs of a transport: asyncio's own, or TLS over one.

    The methods have the meaning that `asyncio.Transport` gives them.
    """

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write bytes; what the kernel does not accept is buffered."""

    def write_eof(self) -> None:
        """Close the write side after what was written."""

    def can_write_eof(self) -> bool:
        """Whether `write_eof` is supported."""

    def close(self) -> None:
        """Close after the buffered bytes have been written."""

    def abort(self) -> None:
        """Close now; buffered bytes are lost."""

    def is_closing(self) -> bool:
        """Whether `close` or `abort` was called, or the connection was lost."""

    def pause_reading(self) -> None:
        """Read nothing from the kernel until `resume_reading`."""

    def resume_reading(self) -> None:
        """Read on after `pause_reading`."""

    def get_write_buffer_size(self) -> int:
        """Bytes that the kernel has not accepted."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set when the protocol's `pause_writing` and `resume_writing` are called."""

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Information about the connection, by the names that asyncio documents."""


class BufferedConnection(asyncio.BufferedProtocol):
    """A connection that reads into the shared buffer and knows which bytes were not sent.

    `received` is called with a view that is valid during the call only. What the kernel does not accept of the written
    bytes waits here, uncopied, so that the count of unsent bytes is exact to a slice.
    """

    transport: Transport
    is_lost = False  # the event loop has reported the end of the connection
    uses_large_buffer = False  # reads by whole buffers
    write_paused = False  # the kernel has not accepted all that was written to the transport
    closing_when_written = False  # closes once all has been written

    def start_rate_meters(self, read_rate: float, write_rate: float, grace_s: float) -> None:
        """Set the minimum rates that the peer has to keep.

        Args:
            read_rate: Bytes a second at which the peer has to send; 0 = none.
            write_rate: Bytes a second at which the peer has to read; 0 = none.
            grace_s: The stall in seconds that both rates allow.
        """
        self.read_meter = MinimumRateMeter(read_rate, grace_s * 1000)
        self.write_meter = MinimumRateMeter(write_rate, grace_s * 1000)
        self.bytes_read = 0  # bytes received
        self.metered_read_bytes = 0  # those of them that were counted by the meter
        self.metered_written_bytes = 0  # bytes that had been sent at the last tick of the meter

    def take_read_bytes(self) -> int:
        """Return the bytes received since the last call."""
        count, self.metered_read_bytes = self.bytes_read - self.metered_read_bytes, self.bytes_read
        return count

    def take_written_bytes(self) -> int:
        """Return the bytes that the kernel accepted since the last call."""
        written = self.submitted_bytes - self.unsent_bytes
        count, self.metered_written_bytes = written - self.metered_written_bytes, written
        return count

    @property
    def remaining_grace(self) -> float:
        """The fraction of the allowed stall that is left: 1 = all, 0 = about to be closed."""
        return 1 - max(self.read_meter.patience_used_ms, self.write_meter.patience_used_ms) / self.read_meter.grace_ms

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start with an empty write queue. Called by asyncio."""
        self.transport = cast(Transport, transport)
        # asyncio calls us at once when the kernel accepts no more, and when it has accepted the last byte.
        self.transport.set_write_buffer_limits(high=0)
        self.write_queue: deque[memoryview] = deque()
        self.queued_bytes = 0  # bytes in the write queue
        self.submitted_bytes = 0  # bytes written since the connection began, sent or not

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next bytes are read into. Called by asyncio."""
        return LARGE_BUFFER if self.uses_large_buffer else SMALL_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes that were read into the buffer. Called by asyncio."""
        self.received(LARGE_BUFFER[:nbytes])

    def received(self, data: memoryview) -> None:
        """Process received bytes. The view is valid during the call only."""
        raise NotImplementedError

    def write(self, head: bytes, body: bytes = b"") -> None:
        """Write both in order; a large body is neither joined to its head nor copied here."""
        if self.is_lost:
            return
        size = len(head) + len(body)
        self.submitted_bytes += size
        if size <= WRITE_SLICE_BYTES and not self.write_queue and not self.write_paused:
            self.transport.write(head + body)
            return
        self.write_queue.extend(memoryview(piece) for piece in (head, body) if piece)
        self.queued_bytes += size
        self._write_queued()

    def _write_queued(self) -> None:
        while self.write_queue and not self.write_paused and not self.is_closing:
            piece = self.write_queue.popleft()
            if len(piece) > WRITE_SLICE_BYTES:
                self.write_queue.appendleft(piece[WRITE_SLICE_BYTES:])
                piece = piece[:WRITE_SLICE_BYTES]
            self.queued_bytes -= len(piece)
            self.transport.write(piece)
        if self.closing_when_written and not self.write_queue and not self.is_closing:
            self.transport.close()

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the kernel has not accepted: the peer can't have the complete message while there are any."""
        return self.queued_bytes + self.transport.get_write_buffer_size()

    def pause_writing(self) -> None:
        """Queue further bytes here: the kernel accepts no more. Called by asyncio."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Write what is queued: the kernel has accepted the last byte. Called by asyncio."""
        self.write_paused = False
        self._write_queued()

    def close_when_written(self) -> None:
        """Close once all that was written was sent."""
        self.closing_when_written = True
        if not self.write_queue and not self.is_closing:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what is queued: the connection has ended. Called by asyncio."""
        self.is_lost = True
        self.write_queue.clear()

    @property
    def is_closing(self) -> bool:
        """Whether the connection has ended or is being closed: nothing more can be written."""
        return self.is_lost or self.transport.is_closing()

    @property
    def has_unread_input(self) -> bool:
        """Whether the kernel has unread bytes, or the end, of this connection.

        Closing on unread bytes resets the connection, and what was written before may be lost.
        """
        endpoint = self.transport.get_extra_info("socket")
        descriptor = endpoint.fileno() if isinstance(endpoint, (socket.socket, TransportSocket)) else -1
        if descriptor < 0:
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    def peer_address(self) -> str:
        """Return the peer's address as `HOST:PORT`, or `?` for a local socket."""
        name = self.transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if isinstance(name, tuple) else "?"

    def peer_host(self) -> str:
        """Return the peer's address without its port: limits by client use it until the client is identified."""
        return self.peer_address().rpartition(":")[0]
