"""The platform for a real node, as a process of its own: discovery with its watch, and one address that stands for all
endpoints. It takes one JSON command a line on standard input and answers each with a line of JSON.

    python -m benchmarks.slopes.standin
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Callable
from typing import Any

from benchmarks.slopes.inside import servers
from benchmarks.slopes.program import told
from linnetstile.emulators.discovery import DiscoveryStand

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LIFE_S = 240.0


class Sink(asyncio.Protocol):
    """All endpoints: takes each call as soon as its last byte is there."""

    def __init__(self, count: Callable[[str], None]) -> None:
        self.count, self.data = count, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        while (at := self.data.find(b"\r\n\r\n")) >= 0:
            fields = dict(line.lower().split(": ", 1) for line in self.data[:at].decode("latin-1").split("\r\n")[1:])
            end = at + 4 + int(fields.get("content-length", "0"))
            if len(self.data) < end:
                return
            self.data = self.data[end:]
            self.count(fields.get("x-correlation-id", ""))
            self.transport.write(OK)


class Platform:
    """What discovery tells (`Source`), and when calls came."""

    def __init__(self) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self.version = 1
        self.log: list[tuple[int, bytes]] = []  # changes after the version that a list was set with
        self.based = 1  # the oldest version from which changes are known
        self.line = b""  # the whole list; empty = to be made
        self.discovery = DiscoveryStand(self)
        self.counts = {"wholes": 0, "whole_bytes": 0, "calls": 0}
        self.at: dict[str, float] = {}  # by identifier, when its first call came, s of the monotonic clock
        self.track = False

    async def start(self) -> dict[str, int]:
        self.sink = await asyncio.get_running_loop().create_server(
            lambda: Sink(self.called), "127.0.0.1", 0, backlog=1024
        )
        return {"port": await self.discovery.start(), "sink": self.sink.sockets[0].getsockname()[1]}

    def called(self, ident: str) -> None:
        self.counts["calls"] += 1
        if self.track:
            self.at.setdefault(ident, time.monotonic())

    def whole(self) -> bytes:
        self.line = self.line or told(self.entries.values(), self.version, True)
        self.counts["wholes"] += 1
        self.counts["whole_bytes"] += len(self.line)
        return self.line

    def since(self, version: int) -> bytes | None:
        if not self.based <= version <= self.version:
            return None
        servers = [each for at, line in self.log if at > version for each in json.loads(line)["servers"]]
        return told(servers, self.version, False)

    def change(self, servers: list[dict[str, Any]]) -> int:
        """Told to all that watch; its bytes for one of them."""
        self.version += 1
        line = told(servers, self.version, False)
        self.log.append((self.version, line))
        self.discovery.tell(line)
        for each in servers:
            if each["state"] == "DELETED":
                self.entries.pop(each["id"], None)
            else:
                self.entries[each["id"]] = each
        self.line = b""
        return len(line)

    def command(self, asked: dict[str, Any]) -> dict[str, Any]:
        match asked["do"]:
            case "list":  # a new whole list, for whoever watches from now on
                self.entries = {
                    each["id"]: each
                    for each in servers(asked["count"], asked["endpoints"], asked["addr"], asked["rate"])
                }
                for each in asked.get("changes", []):
                    self.entries[each["id"]] = each
                self.version += 1
                self.based, self.log = self.version, []
                self.line = told(self.entries.values(), self.version, True)
                return {"whole_bytes": len(self.line)}
            case "change":  # all in one object, to all watches; `apart`: an object each
                at = time.monotonic()
                parts = [[each] for each in asked["servers"]] if asked.get("apart") else [asked["servers"]]
                size = sum(self.change(each) for each in parts)
                return {"bytes": size, "at": at, "watches": len(self.discovery.watches)}
            case "cut":  # every watch ends, and something changes before the next one is opened
                self.discovery.drop()
                self.change(asked["servers"])
                self.line = told(self.entries.values(), self.version, True)
                return {}
            case "track":
                self.track, self.at = asked["on"], {}
                return {}
            case "calls":
                return self.at
            case _:
                return self.counts


async def main() -> None:
    made, loop = Platform(), asyncio.get_running_loop()
    print(json.dumps(await made.start()), flush=True)
    reader = asyncio.StreamReader(limit=1 << 26)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    async with asyncio.timeout(LIFE_S):
        while line := await reader.readline():
            print(json.dumps(made.command(json.loads(line))), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
