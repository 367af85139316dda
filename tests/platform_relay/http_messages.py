"""HTTP messages as clients and endpoints write them, and a small client for the relay's front end."""

from __future__ import annotations

import asyncio

from linnetstile.platform_relay.relay import PlatformRelay

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
BUSY_RESPONSE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
SERVER_ERROR_RESPONSE = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
MALFORMED_RESPONSE = b"garbage\r\n\r\n"
WATCH_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
READY_REQUEST = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def read_http(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one request or response; its body has the length in Content-Length, or is empty without that field.

    Returns:
        The first line, the header fields by name in lower case, and the body.
    """
    first_line, *field_lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    split_lines = (line.partition(":") for line in field_lines if line)
    fields = {name.lower(): value.strip() for name, _, value in split_lines}
    return first_line, fields, await reader.readexactly(int(fields.get("content-length", "0")))


def chunk(data: bytes) -> bytes:
    """Return `data` as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def too_many_requests(retry_after_s: float) -> bytes:
    """Return an endpoint's response 429 with a Retry-After."""
    return b"HTTP/1.1 429 X\r\nRetry-After: %g\r\nContent-Length: 0\r\n\r\n" % retry_after_s


def submission(
    submission_id: str,
    class_name: str = "state",
    destination: int = 1,
    body: bytes = b"hello",
    time_left: str = "5000m",
    path: str = "/api",
    **headers: str,
) -> bytes:
    """Return the request of a client.

    `headers` (with _ for -) replace or extend the default header fields; an empty value omits a field.
    """
    fields = {
        "Host": "api.internal",
        "X-Correlation-Id": submission_id,
        "X-Service-Class": class_name,
        "X-Account": "acme",
        "X-Time-Left": time_left,
        "Envelope": f"dest={destination}",
        "Content-Length": str(len(body)),
    }
    if class_name == "order":
        fields["Idempotency-Key"] = f"key-{submission_id}"
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items() if value)
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body


def port_of(relay: PlatformRelay) -> int:
    listening = relay.frontend.server._server
    assert listening is not None
    return int(listening.sockets[0].getsockname()[1])


async def connect(relay: PlatformRelay) -> Connection:
    """Open a client's connection to a relay."""
    return await asyncio.open_connection("127.0.0.1", port_of(relay))


async def connect_and_submit(relay: PlatformRelay, submission_id: str = "first") -> Connection:
    """Open a client's connection on which one request was answered.

    Later writes of the client reach the relay's socket buffer at once, and are read in the next pass of the event loop.
    """
    reader, writer = await connect(relay)
    writer.write(submission(submission_id))
    assert b" 202 " in await reader.readuntil(b"\r\n\r\n")
    return reader, writer


async def read_status(reader: asyncio.StreamReader) -> int:
    """Read the status line of a response; return its status."""
    async with asyncio.timeout(3):
        return int((await reader.readline()).split()[1])


async def request_status(relay: PlatformRelay, request: bytes, timeout_s: float = 3.0) -> int:
    """Return the status of the response to a request on a new connection; 0 if it was closed without one.

    Raises:
        TimeoutError: No response arrived in time.
    """
    reader, writer = await connect(relay)
    try:
        writer.write(request)
        async with asyncio.timeout(timeout_s):
            try:
                status_line = await reader.readline()
            except ConnectionError:
                status_line = b""
        return int(status_line.split()[1]) if status_line else 0
    finally:
        writer.close()
