"""HTTP requests as bytes, for tests that send them in pieces or incomplete."""

from __future__ import annotations

import asyncio

from .relay_testbed import RelayTestbed


def request_head(testbed: RelayTestbed, length: int, message_class: str = "safe") -> bytes:
    """Return the head of a submission whose body has `length` bytes."""
    message = testbed.make_message(message_class)
    headers = [("Host", "x"), *message.headers, ("Content-Length", str(length))]
    lines = [f"{name}: {value}" for name, value in headers]
    return ("POST /as2 HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode()


async def send_byte_by_byte(writer: asyncio.StreamWriter, data: bytes, pause: float = 0.05) -> None:
    """Send one byte at a time with a pause in seconds after each; stop if the peer closes the connection."""
    try:
        for index in range(len(data)):
            writer.write(data[index : index + 1])
            await writer.drain()
            await asyncio.sleep(pause)
    except ConnectionError:
        pass
