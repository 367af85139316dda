"""Base class of client and server connections: a shared receive buffer, and a write queue that counts unsent bytes."""

from __future__ import annotations

import asyncio
import select
import socket
from asyncio.trsock import TransportSocket
from collections import deque
from collections.abc import Callable
from typing import Protocol, cast

from ..engine.minimum_rate import MinimumRateMeter
from .fault_boundary import FaultBoundary
from .receive_buffer import LARGE_BUFFER, SMALL_BUFFER

# Maximum size of a write to the transport, which copies the bytes that the kernel does not accept.
WRITE_SLICE_BYTES = 128 * 1024
CLOSE_EVENTS = getattr(select, "POLLRDHUP", 0)  # Linux; elsewhere `poll` reports only errors and full closes


class Transport(Protocol):
    """The interface that `BufferedConnection` needs of a transport: asyncio's own transport, or TLS over it.

    The methods have the meaning that `asyncio.Transport` gives them.
    """

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write bytes; what the kernel does not accept is buffered."""

    def write_eof(self) -> None:
        """Close the write side after the buffered bytes have been written."""

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
        """Continue reading after `pause_reading`."""

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the kernel has not accepted."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the buffered bytes at which the protocol's `pause_writing` and `resume_writing` are called."""

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return information about the connection by one of the names that asyncio documents."""


class BufferedConnection(asyncio.BufferedProtocol):
    """A connection that reads into the shared buffer and counts the bytes that were not sent.

    `received` is called with a view that is valid during the call only. Written bytes that the kernel does not accept
    are queued here without a copy, so that the count of unsent bytes is exact to one slice.
    """

    transport: Transport
    is_lost = False  # the event loop has reported the end of the connection
    uses_large_buffer = False  # whether the next bytes are read into the large receive buffer
    write_paused = False  # the kernel has not accepted all that was written to the transport
    closing_when_written = False  # the transport is closed once the write queue is empty

    def start_rate_meters(self, read_rate: float, write_rate: float, grace_s: float) -> None:
        """Set the minimum rates at which the peer has to send and read.

        Args:
            read_rate: Bytes a second at which the peer has to send; 0 = none.
            write_rate: Bytes a second at which the peer has to read; 0 = none.
            grace_s: The stall in seconds that both rates allow.
        """
        self.read_meter = MinimumRateMeter(read_rate, grace_s * 1000)
        self.write_meter = MinimumRateMeter(write_rate, grace_s * 1000)
        self.bytes_read = 0  # bytes received so far
        self.metered_read_bytes = 0  # bytes that had been received at the last tick of the meter
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
        """The fraction of the allowed stall that is left: 1 = all of it, 0 = the connection is about to be closed."""
        return 1 - max(self.read_meter.grace_used_ms, self.write_meter.grace_used_ms) / self.read_meter.grace_ms

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start with an empty write queue. Called by asyncio."""
        self.transport = cast(Transport, transport)
        # With this limit asyncio pauses writing once the kernel accepts no more, until it has accepted the last byte.
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
        """Write the head, then the body; a large body is neither joined to its head nor copied here."""
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
        """Bytes that the kernel has not accepted; until it is 0, the peer can't have received the complete message."""
        return self.queued_bytes + self.transport.get_write_buffer_size()

    def pause_writing(self) -> None:
        """Queue further bytes here: the kernel accepts no more. Called by asyncio."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Write what is queued: the kernel has accepted the last byte. Called by asyncio."""
        self.write_paused = False
        self._write_queued()

    def close_when_written(self) -> None:
        """Close after all queued bytes have been written."""
        self.closing_when_written = True
        if not self.write_queue and not self.is_closing:
            self.transport.close()

    def run_or_abort(self, work: str, step: Callable[[], None]) -> None:
        """Run a step of this connection; abort the connection if the step raises an unexpected exception.

        Args:
            work: What the step does, for the log.
            step: The step.
        """
        with FaultBoundary(work) as boundary:
            step()
        if boundary.failed:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Clear the write queue after the end of the connection. Called by asyncio."""
        self.is_lost = True
        self.write_queue.clear()

    @property
    def is_closing(self) -> bool:
        """Whether the connection has ended or is being closed: nothing more can be written."""
        return self.is_lost or self.transport.is_closing()

    @property
    def has_unread_input(self) -> bool:
        """Whether the kernel has unread bytes of this connection, or its end.

        Closing a connection that has unread bytes resets it, and bytes written before may be lost.
        """
        return self._has_event(select.POLLIN)

    @property
    def has_peer_closed(self) -> bool:
        """Whether the peer has closed the connection or its sending half, also if bytes before that are unread."""
        return self._has_event(CLOSE_EVENTS)

    def _has_event(self, events: int) -> bool:
        """Return whether one of these events of `poll`, or an error, is pending in the kernel."""
        transport_socket = self.transport.get_extra_info("socket")
        descriptor = transport_socket.fileno() if isinstance(transport_socket, (socket.socket, TransportSocket)) else -1
        if descriptor < 0:
            return False
        poll = select.poll()
        poll.register(descriptor, events)
        return bool(poll.poll(0))

    def peer_address(self) -> str:
        """Return the peer's address as `HOST:PORT`, or `?` for a local socket."""
        name = self.transport.get_extra_info("peername")
        return f"{name[0]}:{name[1]}" if isinstance(name, tuple) else "?"

    def peer_host(self) -> str:
        """Return the peer's address without its port; limits on each client use it until the client is identified."""
        return self.peer_address().rpartition(":")[0]
