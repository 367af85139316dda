"""Stand-in of the platform's discovery: the whole list, watches that stay open, notices.

    GET /api/targets                     the whole list, as one JSON object
    GET /api/targets?follow=1[&since=V]  a watch: chunks of JSON lines, an empty one every two seconds
    POST /v2/finals                      notices, one JSON object a line: 204

What it tells comes from a `Source`; faults are `silent` (it says nothing, watches stay open) and `drop`."""

from __future__ import annotations

import asyncio
import json
import urllib.parse
from collections.abc import Callable
from typing import Any, Protocol

EMPTY_S = 2.0
HEAD_MOST = 16 * 1024  # bytes


class Source(Protocol):
    """Lines of JSON, each with its line feed."""

    def whole(self) -> bytes: ...

    def since(self, version: int) -> bytes | None:
        """The changes after a version; None where that is not known any more."""
        ...


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class DiscoveryStand:
    def __init__(self, source: Source) -> None:
        self.source = source
        self.silent = False
        self.asked: list[str] = []  # targets, in their order
        self.sent = 0  # bytes of lists and changes
        self.notices: dict[str, str] = {}  # message -> how it ended
        self.on_notice: Callable[[str, str], None] = lambda ref, result: None
        self.watches: set[asyncio.StreamWriter] = set()
        self.open: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listens on a free port of loopback; returns it."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=HEAD_MOST)
        return int(self.server.sockets[0].getsockname()[1])

    def tell(self, line: bytes) -> None:
        """A change goes to every open watch."""
        if not self.silent:
            for writer in self.watches:
                self._write(writer, chunk(line))

    def drop(self) -> None:
        """All watches break."""
        for writer in list(self.watches):
            writer.transport.abort()
        self.watches.clear()

    def close(self) -> None:
        for writer in list(self.open):
            writer.transport.abort()
        if self.server:
            self.server.close()

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.sent += len(data)
        writer.write(data)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
                body = await reader.readexactly(int(fields.get("content-length") or 0))
                method, target, _ = head[0].split(" ", 2)
                if not await self._answer(reader, writer, method, target, body):
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
            pass
        finally:
            self.watches.discard(writer)
            self.open.discard(writer)
            writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, method: str, target: str, body: bytes
    ) -> bool:
        """False: the connection is of no more use."""
        parts = urllib.parse.urlsplit(target)
        if method == "POST" and parts.path == "/v2/finals":
            for line in body.splitlines():
                notice: dict[str, Any] = json.loads(line)
                self.notices[str(notice["ref"])] = str(notice["result"])
                self.on_notice(str(notice["ref"]), str(notice["result"]))
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return True
        if method != "GET" or parts.path != "/api/targets":
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        self.asked.append(target)
        while self.silent:
            await asyncio.sleep(0.05)
        query = dict(urllib.parse.parse_qsl(parts.query))
        if query.get("follow") != "1":
            line = self.source.whole()
            self._write(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line))
            return True
        text = query.get("since", "")
        told = self.source.since(int(text)) if text.isdigit() else None
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for line in (self.source.whole() if told is None else told).splitlines(True):
            self._write(writer, chunk(line))
        self.watches.add(writer)  # from here on it gets what `tell` says; nothing was awaited in between
        while True:
            try:
                if not await asyncio.wait_for(reader.read(1024), EMPTY_S):
                    return False
            except TimeoutError:
                if not self.silent:
                    writer.write(chunk(b"\n"))
