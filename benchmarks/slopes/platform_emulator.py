"""The platform for a real relay, as a process of its own: discovery with its watch, and one address for all endpoints.

It takes one JSON command a line on standard input and answers each with a line of JSON.

    python -m benchmarks.slopes.platform_emulator
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Callable
from typing import Any

from benchmarks.slopes.inside import discovery_entries
from benchmarks.slopes.internals import discovery_line
from linnetstile.emulators.discovery import DiscoveryEmulator, Source

OK_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HEAD_END = b"\r\n\r\n"
LIFETIME_S = 240.0
COMMAND_BYTES = 1 << 26
"""The longest command."""


class EndpointProtocol(asyncio.Protocol):
    """All endpoints: answers each call as soon as its last byte is there."""

    def __init__(self, record_call: Callable[[str], None]) -> None:
        """`record_call` gets the correlation identifier of each call."""
        self.record_call, self.buffer = record_call, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for the answers."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Answer the calls that are complete."""
        self.buffer += data
        while (head_end := self.buffer.find(HEAD_END)) >= 0:
            lines = self.buffer[:head_end].decode("latin-1").split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in lines[1:])
            end = head_end + len(HEAD_END) + int(fields.get("content-length", "0"))
            if len(self.buffer) < end:
                return
            self.buffer = self.buffer[end:]
            self.record_call(fields.get("x-correlation-id", ""))
            self.transport.write(OK_RESPONSE)


class PlatformEmulator(Source):
    """What discovery sends, and when calls came."""

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self.version = 1
        self.change_log: list[tuple[int, bytes]] = []  # changes after the version that a list was set with
        self.oldest_version = 1  # from which changes are known
        self.cached_list = b""  # the full list; empty = to be made
        self.discovery = DiscoveryEmulator(self)
        self.counts = {"wholes": 0, "whole_bytes": 0, "calls": 0}
        self.first_calls: dict[str, float] = {}  # by identifier, when its first call came, s of the monotonic clock
        self.is_tracking = False

    async def start(self) -> dict[str, int]:
        """Listen on two free ports of loopback; returns them."""
        self.endpoint_server = await asyncio.get_running_loop().create_server(
            lambda: EndpointProtocol(self.record_call), "127.0.0.1", 0, backlog=1024
        )
        endpoint_port = self.endpoint_server.sockets[0].getsockname()[1]
        return {"port": await self.discovery.start(), "sink": endpoint_port}

    def record_call(self, identifier: str) -> None:
        """Count a call; while tracking, note when the first of its identifier came."""
        self.counts["calls"] += 1
        if self.is_tracking:
            self.first_calls.setdefault(identifier, time.monotonic())

    def full_list(self) -> bytes:
        """The full list, as the discovery emulator asks for it."""
        self.cached_list = self.cached_list or discovery_line(self.entries.values(), self.version, True)
        self.counts["wholes"] += 1
        self.counts["whole_bytes"] += len(self.cached_list)
        return self.cached_list

    def changes_since(self, version: int) -> bytes | None:
        """The changes after a version, as the discovery emulator asks for them."""
        if not self.oldest_version <= version <= self.version:
            return None
        servers = [each for at, line in self.change_log if at > version for each in json.loads(line)["servers"]]
        return discovery_line(servers, self.version, False)

    def change(self, servers: list[dict[str, Any]]) -> int:
        """Send a change to all that watch; returns its bytes for one of them."""
        self.version += 1
        line = discovery_line(servers, self.version, False)
        self.change_log.append((self.version, line))
        self.discovery.publish(line)
        for each in servers:
            if each["state"] == "DELETED":
                self.entries.pop(each["id"], None)
            else:
                self.entries[each["id"]] = each
        self.cached_list = b""
        return len(line)

    def command(self, asked: dict[str, Any]) -> dict[str, Any]:
        """Carry out one command; returns its answer."""
        match asked["do"]:
            case "list":
                return self._set_list(asked)
            case "change":
                return self._change(asked)
            case "cut":
                return self._cut(asked)
            case "track":
                self.is_tracking, self.first_calls = asked["on"], {}
                return {}
            case "calls":
                return self.first_calls
            case _:
                return self.counts

    def _set_list(self, asked: dict[str, Any]) -> dict[str, Any]:
        """A new full list, for whoever watches from now on."""
        entries = discovery_entries(asked["count"], asked["endpoints"], asked["addr"], asked["rate"])
        self.entries = {each["id"]: each for each in entries}
        for each in asked.get("changes", []):
            self.entries[each["id"]] = each
        self.version += 1
        self.oldest_version, self.change_log = self.version, []
        self.cached_list = discovery_line(self.entries.values(), self.version, True)
        return {"whole_bytes": len(self.cached_list)}

    def _change(self, asked: dict[str, Any]) -> dict[str, Any]:
        """All changes in one object, to all watches; `apart`: an object each."""
        at = time.monotonic()
        parts = [[each] for each in asked["servers"]] if asked.get("apart") else [asked["servers"]]
        size = sum(self.change(each) for each in parts)
        return {"bytes": size, "at": at, "watches": len(self.discovery.watches)}

    def _cut(self, asked: dict[str, Any]) -> dict[str, Any]:
        """Every watch ends, and something changes before the next one is opened."""
        self.discovery.drop_watches()
        self.change(asked["servers"])
        self.cached_list = discovery_line(self.entries.values(), self.version, True)
        return {}


async def main() -> None:
    """Serve commands until standard input ends, for `LIFETIME_S` at the most."""
    emulator, loop = PlatformEmulator(), asyncio.get_running_loop()
    print(json.dumps(await emulator.start()), flush=True)
    reader = asyncio.StreamReader(limit=COMMAND_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    async with asyncio.timeout(LIFETIME_S):
        while line := await reader.readline():
            print(json.dumps(emulator.command(json.loads(line))), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
