"""Bad peers of a relay, for the benchmark `attack`."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
from collections.abc import Awaitable, Callable
from typing import NoReturn

from benchmarks.as2_load import MESSAGE_CLASS
from linnetstile.emulators import messages

MIB = 1 << 20
CHUNK_BYTES = 65536
"""Largest number of bytes in one write."""
QUICK_PARTNER = "quick"
HANGING_PARTNER = "hangs"
HOLD_OPEN_S = 600  # longer than an attack lasts
RESTART_DELAY_S = 0.2
"""Pause before the peers start again, after the relay has ended all of them."""
HEAD_END = b"\r\n\r\n"
STATUS_CODE_SLICE = slice(9, 12)  # position of the status code in a status line

HALF_OPEN_CONNECTIONS = 3000

SLOW_HEADS = 800
SLOW_BODIES = 1500
SLOW_HEAD_BYTES = 1000
"""More bytes than a peer can send before the relay ends its connection."""
SLOW_BODY_BYTES = 1000
"""More bytes than a peer can send before the relay ends its connection."""
BYTE_INTERVAL_S = 1.0

UPLOADERS = 64
UPLOAD_BYTES = 12 * MIB
UPLOAD_SENDERS = 8
"""Number of AS2 names that the uploaders share."""

HUGE_BODY_BYTES = 200 * MIB
SMALL_BODY_BYTES = 2000
HUGE_BODY_PEERS = 9
"""One peer sends a huge body, the others send small ones."""

PIPELINERS = 50
PIPELINED_REQUESTS = 500
"""Number of requests that a peer writes at a time."""

CONNECTORS = 8
CONNECTOR_BODY = b"body"

_message_numbers = itertools.count()


def post_head(partner: str, length: int, sender: str = "bad") -> bytes:
    """The request head of a message for a partner, with a body of `length` bytes."""
    message_id = f"<{next(_message_numbers)}@bad>"
    message = messages.build_message(sender, partner, message_id, MESSAGE_CLASS, b"", receipt=False)
    fields = [("Host", "x"), *message.headers, ("Content-Length", str(length))]
    lines = [f"{name}: {value}" for name, value in fields]
    return ("POST /as2 HTTP/1.1\r\n" + "\r\n".join(lines) + "\r\n\r\n").encode()


def status_of(answer: bytes) -> str:
    """The status code in the first line of an answer; empty if there is no answer."""
    return answer[STATUS_CODE_SLICE].decode()


async def write_chunks(writer: asyncio.StreamWriter, size: int) -> None:
    """Write `size` bytes, as fast as the peer reads them."""
    chunk = b"x" * CHUNK_BYTES
    for start in range(0, size, CHUNK_BYTES):
        writer.write(chunk[: size - start])
        await writer.drain()


class Attacker:
    """Bad peers that attack a relay, all in the same way.

    Attributes:
        counts: How many of their requests got each answer, and how many connections the relay ended.
    """

    def __init__(self, port: int) -> None:
        """Prepare peers of a relay on a loopback port."""
        self.port = port
        self.counts: collections.Counter[str] = collections.Counter()
        self._writers: list[asyncio.StreamWriter] = []

    def stop(self) -> None:
        """Abort all connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def _connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self._writers.append(writer)
        return reader, writer

    async def _run_peers(self, count: int, peer: Callable[[int], Awaitable[None]]) -> None:
        """Run `count` peers until each has ended, by itself or by the relay."""

        async def run(number: int) -> None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await peer(number)
                return
            self.counts["ended by the relay"] += 1

        await asyncio.gather(*(run(number) for number in range(count)))

    async def _keep_running(self, count: int, peer: Callable[[int], Awaitable[None]]) -> NoReturn:
        while True:
            await self._run_peers(count, peer)
            await asyncio.sleep(RESTART_DELAY_S)

    async def half_open(self) -> None:
        """Open connections and send nothing."""

        async def peer(_: int) -> None:
            await self._connect()
            await asyncio.sleep(0)

        await self._run_peers(HALF_OPEN_CONNECTIONS, peer)
        await asyncio.sleep(HOLD_OPEN_S)

    async def _send_slowly(self, count: int, request: Callable[[int], bytes]) -> None:
        """Send requests a byte at a time; only a complete head is sent at once."""

        async def peer(number: int) -> None:
            _, writer = await self._connect()
            data = request(number)
            head_bytes = data.find(HEAD_END) + len(HEAD_END) if HEAD_END in data else 0
            writer.write(data[:head_bytes])
            for position in range(head_bytes, len(data)):
                writer.write(data[position : position + 1])
                await writer.drain()
                await asyncio.sleep(BYTE_INTERVAL_S)

        await self._keep_running(count, peer)

    async def heads(self) -> None:
        """Send request heads a byte at a time."""
        await self._send_slowly(SLOW_HEADS, lambda _: b"POST /as2 HTTP/1.1" + b"x" * SLOW_HEAD_BYTES)

    async def bodies(self) -> None:
        """Send request bodies a byte at a time."""
        await self._send_slowly(
            SLOW_BODIES, lambda number: post_head(QUICK_PARTNER, MIB, f"bad{number}") + b"x" * SLOW_BODY_BYTES
        )

    async def uploads(self) -> None:
        """Send large messages for the partner that hangs, as fast as the relay reads them."""

        async def peer(number: int) -> None:
            while True:
                reader, writer = await self._connect()
                writer.write(post_head(HANGING_PARTNER, UPLOAD_BYTES, f"bad{number % UPLOAD_SENDERS}"))
                await write_chunks(writer, UPLOAD_BYTES)
                self.counts[status_of(await reader.readline())] += 1
                writer.close()

        await self._keep_running(UPLOADERS, peer)

    async def huge(self) -> None:
        """Send one huge body beside many small messages."""

        async def peer(number: int) -> None:
            reader, writer = await self._connect()
            size = HUGE_BODY_BYTES if number == 0 else SMALL_BODY_BYTES
            name = "200 MB" if number == 0 else "small"
            while True:
                writer.write(post_head(QUICK_PARTNER, size, f"bad{number}"))
                await write_chunks(writer, size)
                self.counts[f"{name} {status_of(await reader.readuntil(HEAD_END))}"] += 1

        await self._run_peers(HUGE_BODY_PEERS, peer)
        await asyncio.sleep(HOLD_OPEN_S)

    async def unread(self) -> None:
        """Pipeline requests and read no answer."""

        async def peer(number: int) -> None:
            _reader, writer = await self._connect()
            while True:
                writer.write(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n" * PIPELINED_REQUESTS)
                await writer.drain()

        await self._run_peers(PIPELINERS, peer)
        await asyncio.sleep(HOLD_OPEN_S)

    async def connects(self) -> None:
        """Open a new connection for each message."""

        async def peer(number: int) -> None:
            while True:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                head = post_head(QUICK_PARTNER, len(CONNECTOR_BODY), f"bad{number}")
                closing_head = head.replace(b"\r\nHost", b"\r\nConnection: close\r\nHost")
                writer.write(closing_head + CONNECTOR_BODY)
                self.counts[status_of(await reader.read())] += 1
                writer.close()

        await self._run_peers(CONNECTORS, peer)
