"""A bare pass-through proxy as a child process: it copies bytes in both directions and parses nothing.

It is the baseline of the benchmarks, the least work that any relay in Python must do. `start_pass_through` starts it
as `python -m benchmarks.pass_through PORT`.
"""

from __future__ import annotations

import asyncio
import sys
from typing import cast

from benchmarks.common import CHILD_LIFETIME_S, ChildProcess, announce, start_child

READ_BYTES = 65536
BACKLOG = 1024


class PassThroughProtocol(asyncio.BufferedProtocol):
    """One of the two connections that the pass-through joins."""

    def __init__(self, target_port: int | None) -> None:
        """Prepare one side.

        Args:
            target_port: Loopback port that the client's side connects to; None for the side of the target.
        """
        self.target_port = target_port
        self.other: PassThroughProtocol | None = None
        self.early_data: list[bytes] = []  # data received before the other side was connected
        self.buffer = memoryview(bytearray(READ_BYTES))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect the other side if this is the client's."""
        self.transport = cast(asyncio.Transport, transport)
        if self.target_port:
            asyncio.get_running_loop().create_task(self.connect(self.target_port))

    async def connect(self, port: int) -> None:
        """Connect the other side, and send it the early data."""
        loop = asyncio.get_running_loop()
        _, self.other = await loop.create_connection(lambda: PassThroughProtocol(None), "127.0.0.1", port)
        self.other.other = self
        for data in self.early_data:
            self.other.transport.write(data)

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer for the next read."""
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Copy received data to the other side; keep it while that is not connected."""
        if self.other:
            self.other.transport.write(bytes(self.buffer[:nbytes]))
        else:
            self.early_data.append(bytes(self.buffer[:nbytes]))

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the other side."""
        if self.other:
            self.other.transport.close()


def start_pass_through(target_port: int) -> ChildProcess:
    """Start a pass-through to a loopback port."""
    return start_child("pass_through", str(target_port))


async def serve_pass_through(target_port: int) -> None:
    """Serve the pass-through to a loopback port."""
    listener = await asyncio.get_running_loop().create_server(
        lambda: PassThroughProtocol(target_port), "127.0.0.1", 0, backlog=BACKLOG
    )
    announce(listener.sockets[0].getsockname()[1])
    await asyncio.sleep(CHILD_LIFETIME_S)


if __name__ == "__main__":
    asyncio.run(serve_pass_through(int(sys.argv[1])))
