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

CHUNK = 65536
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
BEAT_S = 2.0
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


class Standin:
    def __init__(self) -> None:
        self.entries: dict[str, dict[str, Any]] = {}
        self.version = 1
        self.log: list[tuple[int, bytes]] = []  # changes after the version that a list was set with
        self.based = 1  # the oldest version from which changes are known
        self.whole = b""
        self.watches: set[asyncio.StreamWriter] = set()
        self.counts = {"wholes": 0, "since": 0, "whole_bytes": 0, "change_bytes": 0, "beats": 0, "finals": 0,
                       "calls": 0}
        self.at: dict[str, float] = {}  # by identifier, when its first call came, s of the monotonic clock
        self.track = False

    async def start(self) -> dict[str, int]:
        loop = asyncio.get_running_loop()
        sink = await loop.create_server(lambda: Sink(self.called), "127.0.0.1", 0, backlog=1024)
        discovery = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.keep = sink, discovery, loop.create_task(self.beat())
        return {"port": discovery.sockets[0].getsockname()[1], "sink": sink.sockets[0].getsockname()[1]}

    def called(self, ident: str) -> None:
        self.counts["calls"] += 1
        if self.track:
            self.at.setdefault(ident, time.monotonic())

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT_S)
            for writer in list(self.watches):
                writer.write(b"1\r\n\n\r\n")
                self.counts["beats"] += 1

    def send(self, writer: asyncio.StreamWriter, line: bytes) -> None:
        for at in range(0, len(line), CHUNK):
            part = line[at : at + CHUNK]
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, target, _ = head.split("\r\n")[0].split(" ")
                fields = [line.lower().partition(":") for line in head.split("\r\n")]
                await reader.readexactly(sum(int(value) for name, _, value in fields if name == "content-length"))
                if method == "POST":
                    self.counts["finals"] += 1
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif "follow=1" not in target:
                    self.counts["wholes"] += 1
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.whole) + self.whole)
                else:
                    self.watch(writer, target)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    def watch(self, writer: asyncio.StreamWriter, target: str) -> None:
        since = target.partition("since=")[2].partition("&")[0]
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if since.isdigit() and self.based <= int(since) <= self.version:
            self.counts["since"] += 1
            servers = [each for version, line in self.log if version > int(since)
                       for each in json.loads(line)["servers"]]
            self.send(writer, told(servers, self.version, False))
        else:
            self.whole = self.whole or told(self.entries.values(), self.version, True)
            self.counts["wholes"] += 1
            self.counts["whole_bytes"] += len(self.whole)
            self.send(writer, self.whole)
        self.watches.add(writer)

    def change(self, servers: list[dict[str, Any]]) -> int:
        """Told to all that watch; its bytes for one of them."""
        self.version += 1
        line = told(servers, self.version, False)
        self.log.append((self.version, line))
        for writer in self.watches:
            self.send(writer, line)
            self.counts["change_bytes"] += len(line)
        for each in servers:
            if each["state"] == "DELETED":
                self.entries.pop(each["id"], None)
            else:
                self.entries[each["id"]] = each
        self.whole = b""
        return len(line)

    def command(self, asked: dict[str, Any]) -> dict[str, Any]:
        match asked["do"]:
            case "list":  # a new whole list, for whoever watches from now on
                self.entries = {each["id"]: each for each in servers(
                    asked["count"], asked["endpoints"], asked["addr"], asked["rate"])}
                for each in asked.get("changes", []):
                    self.entries[each["id"]] = each
                self.version += 1
                self.based, self.log = self.version, []
                self.whole = told(self.entries.values(), self.version, True)
                return {"whole_bytes": len(self.whole)}
            case "change":  # all in one object, to all watches; `apart`: an object each
                at = time.monotonic()
                parts = [[each] for each in asked["servers"]] if asked.get("apart") else [asked["servers"]]
                size = sum(self.change(each) for each in parts)
                return {"bytes": size, "at": at, "watches": len(self.watches)}
            case "cut":  # every watch ends, and something changes before the next one is opened
                watches, self.watches = self.watches, set()
                self.change(asked["servers"])
                self.whole = told(self.entries.values(), self.version, True)
                for writer in watches:
                    writer.transport.abort()
                return {}
            case "track":
                self.track, self.at = asked["on"], {}
                return {}
            case "calls":
                return self.at
            case _:
                return {**self.counts, "watches": len(self.watches)}


async def main() -> None:
    made, loop = Standin(), asyncio.get_running_loop()
    print(json.dumps(await made.start()), flush=True)
    reader = asyncio.StreamReader(limit=1 << 26)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    async with asyncio.timeout(LIFE_S):
        while line := await reader.readline():
            print(json.dumps(made.command(json.loads(line))), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
