"""TLS (RFC 8446, RFC 5246) between a transport and a wire, over memory BIOs.

asyncio's own TLS tells the protocol of a connection only after the handshake, so a thousand peers that never finish one
would be seen by no bound. Here the wire has the connection from its first byte, and its bounds hold in the handshake.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import ssl
from collections.abc import Callable
from pathlib import Path
from typing import cast

from .connection import _SHARED, _SMALL, BufferedConnection


class TlsError(ValueError):
    """Keys or certificates that can't be used; says which file and why."""


class Tls(asyncio.BufferedProtocol):
    """The protocol that asyncio sees, and the transport that the wire sees. `ready` is called once with None after the
    handshake or with the reason why there is none."""

    def __init__(
        self,
        wire: BufferedConnection,
        context: ssl.SSLContext,
        server: bool,
        name: str | None = None,
        ready: Callable[[str | None], None] | None = None,
    ) -> None:
        self.wire = wire
        self.bytes_in, self.bytes_out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.bytes_in, self.bytes_out, server_side=server, server_hostname=name)
        self.ready = ready
        self.secured = False
        self.paused = False
        self.closing = False
        self.ended = False

    # -- towards asyncio ---------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.raw = cast(asyncio.Transport, transport)
        self.raw.set_write_buffer_limits(high=0)
        self.wire.connection_made(cast(asyncio.BaseTransport, self))
        self._step()

    def get_buffer(self, sizehint: int) -> memoryview:
        return _SMALL if self.paused or not self.wire.hungry else _SHARED

    def buffer_updated(self, nbytes: int) -> None:
        self.bytes_in.write(_SHARED[:nbytes])
        self._step()

    def _step(self) -> None:
        if not self.secured and not self.closing:
            try:
                self.tls.do_handshake()
            except ssl.SSLWantReadError:
                self._flush()
                return
            except ssl.SSLError as error:
                self._flush()  # the alert tells the peer what was wrong
                self._failed(getattr(error, "verify_message", "") or error.reason or str(error))
                return
            self.secured = True
            self._flush()
            self._tell(None)
        self._read()

    def _read(self) -> None:
        while not self.paused and not self.ended and not self.raw.is_closing():
            try:
                data = self.tls.read(65536)
            except ssl.SSLWantReadError:
                break
            except ssl.SSLZeroReturnError:
                data = b""
            except ssl.SSLError as error:
                self._flush()
                self._failed(error.reason or str(error))
                return
            if not data:
                self.ended = True  # close_notify: the peer says that this is all
                if not self.wire.eof_received():
                    self.close()
                break
            self.wire.received(memoryview(data))
        self._flush()

    def _failed(self, why: str) -> None:
        self._tell(why)
        self.closing = True
        self.raw.close()

    def _tell(self, why: str | None) -> None:
        ready, self.ready = self.ready, None
        if ready:
            ready(why)

    def _flush(self) -> None:
        if self.bytes_out.pending and not self.raw.is_closing():
            self.raw.write(self.bytes_out.read())

    def eof_received(self) -> bool:
        return False  # without close_notify the stream was cut: guards answers that end with the connection

    def pause_writing(self) -> None:
        self.wire.pause_writing()

    def resume_writing(self) -> None:
        self.wire.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        self._tell("the connection ended in the handshake")
        self.wire.connection_lost(exc)

    # -- towards the wire --------------------------------------------------------------------------------

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.closing or self.raw.is_closing():
            return
        view = memoryview(data)
        try:
            while view:
                view = view[self.tls.write(view) :]
        except ssl.SSLError as error:
            self._failed(error.reason or str(error))
            return
        self._flush()

    def can_write_eof(self) -> bool:
        return False

    def write_eof(self) -> None:
        raise NotImplementedError

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            if self.secured:
                with contextlib.suppress(ssl.SSLError):  # our close_notify is written; the peer's is not waited for
                    self.tls.unwrap()
            self._flush()
            self.raw.close()

    def abort(self) -> None:
        self.closing = True
        self.raw.abort()

    def is_closing(self) -> bool:
        return self.closing or self.raw.is_closing()

    def pause_reading(self) -> None:
        self.paused = True
        self.raw.pause_reading()

    def resume_reading(self) -> None:
        self.paused = False
        self.raw.resume_reading()
        asyncio.get_running_loop().call_soon(self._again)

    def _again(self) -> None:
        if self.secured and not self.raw.is_closing():
            self._read()

    def get_write_buffer_size(self) -> int:
        return self.bytes_out.pending + self.raw.get_write_buffer_size()

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Those of the transport below are set."""

    def get_extra_info(self, name: str, default: object = None) -> object:
        return self.raw.get_extra_info(name, default)

    def certificate(self) -> str:
        """The peer's subject where it showed a certificate that was verified, as `CN=...`; else empty."""
        if not self.secured:
            return ""
        subject = (self.tls.getpeercert() or {}).get("subject", ())
        names = [
            value
            for part in cast(tuple[tuple[tuple[str, str], ...], ...], subject)
            for key, value in part
            if key == "commonName"
        ]
        return f"CN={names[0]}" if names else ""


class Keys:
    """A context made of files, made anew when they change. `context` is the latest good one: connections that stand go
    on with theirs. `reload` raises TlsError and leaves the context as it is."""

    def __init__(
        self,
        server: bool,
        certificate: Path | None = None,
        key: Path | None = None,
        authorities: Path | None = None,
        need_client: bool = False,
    ) -> None:
        self.server = server
        self.certificate, self.key, self.authorities = certificate, key, authorities
        self.need_client = need_client
        self.seen = self._stamp()
        self.context = self._make()

    def _stamp(self) -> tuple[object, ...]:
        stamps: list[object] = []
        for path in (self.certificate, self.key, self.authorities):
            try:
                found = os.stat(path) if path else None
                stamps.append((found.st_mtime_ns, found.st_ino, found.st_size) if found else None)
            except OSError as error:
                stamps.append(error.errno)
        return tuple(stamps)

    def reload(self) -> bool:
        """True if there is a new context. A file that was bad is not read again until it changes."""
        stamp = self._stamp()
        if stamp == self.seen:
            return False
        self.seen = stamp
        self.context = self._make()
        return True

    def _make(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER if self.server else ssl.PROTOCOL_TLS_CLIENT)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        name = self.certificate
        try:
            if self.certificate is not None:
                self._dated(self.certificate)
                context.load_cert_chain(self.certificate, self.key, password=lambda: b"")
            name = self.authorities
            if self.authorities is not None:
                context.load_verify_locations(self.authorities)
            elif not self.server:
                raise TlsError("no authorities to verify the peer with")
        except OSError as error:  # ssl.SSLError is one
            why = error.reason if isinstance(error, ssl.SSLError) and error.reason else error.strerror or str(error)
            raise TlsError(f"{name}: can't be used: {why}") from error
        if self.server and self.authorities is not None:
            context.verify_mode = ssl.CERT_REQUIRED if self.need_client else ssl.CERT_OPTIONAL
        return context

    @staticmethod
    def _dated(path: Path) -> None:
        """OpenSSL loads an expired certificate without a word, and every peer then refuses it."""
        import datetime

        from cryptography import x509

        try:
            found = x509.load_pem_x509_certificate(path.read_bytes())
        except ValueError as error:
            raise TlsError(f"{path}: expected a certificate in PEM") from error
        now = datetime.datetime.now(datetime.UTC)
        if now > found.not_valid_after_utc:
            raise TlsError(f"{path}: the certificate has expired on {found.not_valid_after_utc:%Y-%m-%d}")
        if now < found.not_valid_before_utc:
            raise TlsError(f"{path}: the certificate is valid only from {found.not_valid_before_utc:%Y-%m-%d}")
