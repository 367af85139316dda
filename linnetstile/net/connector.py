"""Opens the connections of a client pool to a TCP address, with or without TLS, or to a local socket."""

from __future__ import annotations

import asyncio

from .. import errors
from .client_call import TlsParameters
from .client_connection import ClientConnection


class HandshakeError(errors.LinnetstileError, ConnectionError):
    """A TLS handshake failed; the message is the reason."""


async def open_connection(connection: ClientConnection, tls: TlsParameters | None) -> None:
    """Open a connection to its address; TLS is not used with local sockets.

    Raises:
        HandshakeError: The TLS handshake failed.
        OSError: The connection can't be opened.
    """
    loop = asyncio.get_running_loop()
    address = connection.address
    if isinstance(address, str):
        await loop.create_unix_connection(lambda: connection, address)
    elif tls is None:
        await loop.create_connection(lambda: connection, address[0], address[1])
    else:
        await _open_tls_connection(connection, address[0], address[1], tls)


async def _open_tls_connection(connection: ClientConnection, host: str, port: int, tls: TlsParameters) -> None:
    from .tls import TlsTransport  # loads OpenSSL

    loop = asyncio.get_running_loop()
    handshake: asyncio.Future[str | None] = loop.create_future()

    def on_handshake(failure: str | None) -> None:
        if not handshake.done():
            handshake.set_result(failure)

    def make_transport() -> TlsTransport:
        context = tls.context_files.context
        return TlsTransport(connection, context, False, tls.server_name, on_handshake)

    await loop.create_connection(make_transport, host, port)
    try:
        failure = await handshake
    except asyncio.CancelledError:
        connection.transport.abort()
        raise
    if failure is not None:
        raise HandshakeError(failure, expected="a TLS handshake", found=failure)
