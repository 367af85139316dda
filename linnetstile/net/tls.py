"""TLS (RFC 8446, RFC 5246) between a transport and a connection, over memory BIOs.

asyncio's own TLS calls the protocol's `connection_made` only after the handshake, so that no limit would apply to peers
that never finish it. Here the connection exists from its first byte, and its limits apply during the handshake.
"""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Callable
from typing import cast

from .connection import BufferedConnection
from .receive_buffer import LARGE_BUFFER, LARGE_BUFFER_BYTES, SMALL_BUFFER
from .tls_context import TlsContextFiles, TlsError

__all__ = ["HandshakeCallback", "TlsContextFiles", "TlsTransport", "TlsError"]

# Called once: with None after a successful handshake, or with the reason why the handshake failed.
HandshakeCallback = Callable[[str | None], None]


class TlsTransport(asyncio.BufferedProtocol):
    """The TLS layer, which is the protocol of asyncio's transport and the transport of a connection.

    The methods of both interfaces have the meaning that asyncio documents.
    """

    def __init__(
        self,
        connection: BufferedConnection,
        context: ssl.SSLContext,
        server_side: bool,
        server_name: str | None = None,
        on_handshake: HandshakeCallback | None = None,
    ) -> None:
        """Wrap a connection.

        Args:
            connection: Receives the decrypted bytes, and writes through this object.
            context: Keys, certificates and authorities.
            server_side: Whether the peer has connected to us.
            server_name: The name that the peer's certificate must contain (client side).
            on_handshake: Called when the handshake has ended; see `HandshakeCallback`.
        """
        self.connection = connection
        self.incoming = ssl.MemoryBIO()
        self.outgoing = ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.incoming, self.outgoing, server_side=server_side, server_hostname=server_name)
        self.on_handshake = on_handshake
        self.handshake_done = False
        self.reading_paused = False
        self.closing = False
        self.peer_closed = False

    # -- called by asyncio -------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the handshake."""
        self.raw = cast(asyncio.Transport, transport)
        self.raw.set_write_buffer_limits(high=0)
        self.connection.connection_made(cast(asyncio.BaseTransport, self))
        self._advance()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that the next encrypted bytes are read into."""
        return SMALL_BUFFER if self.reading_paused or not self.connection.uses_large_buffer else LARGE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Process received encrypted bytes."""
        self.incoming.write(LARGE_BUFFER[:nbytes])
        self._advance()

    def _advance(self) -> None:
        """Continue the handshake or, once it is complete, read decrypted bytes."""
        if not self.handshake_done and not self.closing:
            try:
                self.tls.do_handshake()
            except ssl.SSLWantReadError:
                self._flush()
                return
            except ssl.SSLError as error:
                self._flush()  # the alert reports the error to the peer
                self._fail(getattr(error, "verify_message", "") or error.reason or str(error))
                return
            self.handshake_done = True
            self._flush()
            self._report_handshake(None)
        self._read()

    def _read(self) -> None:
        while not self.reading_paused and not self.peer_closed and not self.raw.is_closing():
            try:
                data = self.tls.read(LARGE_BUFFER_BYTES)
            except ssl.SSLWantReadError:
                break
            except ssl.SSLZeroReturnError:
                data = b""
            except ssl.SSLError as error:
                self._flush()
                self._fail(error.reason or str(error))
                return
            if not data:
                self.peer_closed = True  # close_notify: the peer sends nothing more
                if not self.connection.eof_received():
                    self.close()
                break
            self.connection.received(memoryview(data))
        self._flush()

    def _fail(self, reason: str) -> None:
        self._report_handshake(reason)
        self.closing = True
        self.raw.close()

    def _report_handshake(self, failure: str | None) -> None:
        on_handshake, self.on_handshake = self.on_handshake, None
        if on_handshake:
            on_handshake(failure)

    def _flush(self) -> None:
        if self.outgoing.pending and not self.raw.is_closing():
            self.raw.write(self.outgoing.read())

    def eof_received(self) -> bool:
        """Return False, which closes the transport.

        A stream that ends without close_notify was truncated; a response that ends with the connection must not be
        taken as complete then.
        """
        return False

    def pause_writing(self) -> None:
        """Notify the connection that the kernel accepts no more."""
        self.connection.pause_writing()

    def resume_writing(self) -> None:
        """Notify the connection that the kernel has accepted the last byte."""
        self.connection.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the connection of its end, and report a handshake that was not complete as failed."""
        self._report_handshake("the connection ended during the handshake")
        self.connection.connection_lost(exc)

    # -- `Transport`, called by the connection -----------------------------------------------------------

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Encrypt the bytes and write them."""
        if self.closing or self.raw.is_closing():
            return
        rest = memoryview(data)
        try:
            while rest:
                rest = rest[self.tls.write(rest) :]
        except ssl.SSLError as error:
            self._fail(error.reason or str(error))
            return
        self._flush()

    def can_write_eof(self) -> bool:
        """Return False: close_notify ends both directions here."""
        return False

    def write_eof(self) -> None:
        """Raise `NotImplementedError`: not supported, see `can_write_eof`."""
        raise NotImplementedError

    def close(self) -> None:
        """Write close_notify and close, without waiting for the peer's close_notify."""
        if not self.closing:
            self.closing = True
            if self.handshake_done:
                with contextlib.suppress(ssl.SSLError):
                    self.tls.unwrap()
            self._flush()
            self.raw.close()

    def abort(self) -> None:
        """Close now; buffered bytes are lost."""
        self.closing = True
        self.raw.abort()

    def is_closing(self) -> bool:
        """Whether the connection has ended or is being closed."""
        return self.closing or self.raw.is_closing()

    def pause_reading(self) -> None:
        """Read nothing from the kernel and decrypt nothing until `resume_reading`."""
        self.reading_paused = True
        self.raw.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading, first of the bytes that were received but not decrypted."""
        self.reading_paused = False
        self.raw.resume_reading()
        asyncio.get_running_loop().call_soon(self._read_received)

    def _read_received(self) -> None:
        if self.handshake_done and not self.raw.is_closing():
            self._read()

    def get_write_buffer_size(self) -> int:
        """Return the number of encrypted bytes that the kernel has not accepted."""
        return self.outgoing.pending + self.raw.get_write_buffer_size()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: the limits of the underlying transport apply."""

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return information about the underlying transport."""
        return self.raw.get_extra_info(name, default)

    def peer_subject(self) -> str:
        """Return the subject of the peer's verified certificate as `CN=...`; empty if it presented none."""
        if not self.handshake_done:
            return ""
        subject = (self.tls.getpeercert() or {}).get("subject", ())
        common_names = [
            value
            for part in cast(tuple[tuple[tuple[str, str], ...], ...], subject)
            for field, value in part
            if field == "commonName"
        ]
        return f"CN={common_names[0]}" if common_names else ""
