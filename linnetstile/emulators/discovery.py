"""Emulator of the platform's discovery: the full list, watches that stay open, notices.

    GET /api/targets                     the full list, as one JSON object
    GET /api/targets?follow=1[&since=V]  a watch: chunks of JSON lines, an empty one every two seconds
    POST /v2/finals                      notices, one JSON object a line: 204

Lists and changes come from a `Source`. The emulator can be made silent (watches stay open) and can break all watches.
"""

from __future__ import annotations

import asyncio
import json
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

HEARTBEAT_INTERVAL_S = 2.0  # between two empty lines of a watch
MAX_HEAD_BYTES = 16 * 1024
SILENCE_POLL_S = 0.05
READ_BYTES = 1024


class Source(Protocol):
    """Source of the lists and changes: JSON lines, each ending with a line feed."""

    def full_list(self) -> bytes:
        """Return the full list."""
        ...

    def changes_since(self, version: int) -> bytes | None:
        """Return the changes after a version; None if the source no longer knows that version."""
        ...


def http_chunk(data: bytes) -> bytes:
    """Return data as one chunk of an HTTP body (RFC 9112, 7.1)."""
    return b"%x\r\n%s\r\n" % (len(data), data)


@dataclass(frozen=True, slots=True)
class _Request:
    method: str
    path: str
    query: dict[str, str]
    target: str
    body: bytes


async def _read_request(reader: asyncio.StreamReader) -> _Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])}
    body = await reader.readexactly(int(fields.get("content-length") or 0))
    method, target, _ = head[0].split(" ", 2)
    url = urllib.parse.urlsplit(target)
    return _Request(method, url.path, dict(urllib.parse.parse_qsl(url.query)), target, body)


class DiscoveryEmulator:
    """Serves lists, watches and notices on loopback.

    Attributes:
        source: Where lists and changes come from.
        is_silent: Whether it sends nothing; watches stay open.
        requested_targets: Targets of the requests for lists and watches, in order of arrival.
        sent_bytes: Bytes of lists and changes sent so far.
        notices: Result of each message, by its reference.
        on_notice: Called with the reference and result of each notice.
        watches: Connections with an open watch.
    """

    def __init__(self, source: Source) -> None:
        self.source = source
        self.is_silent = False
        self.requested_targets: list[str] = []
        self.sent_bytes = 0
        self.notices: dict[str, str] = {}
        self.on_notice: Callable[[str, str], None] = lambda reference, result: None
        self.watches: set[asyncio.StreamWriter] = set()
        self._connections: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> int:
        """Listen on a free port of loopback; return it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=MAX_HEAD_BYTES)
        return int(self._server.sockets[0].getsockname()[1])

    def publish(self, line: bytes) -> None:
        """Send a change to every open watch."""
        if not self.is_silent:
            for writer in self.watches:
                self._write(writer, http_chunk(line))

    def drop_watches(self) -> None:
        """Break all watches."""
        for writer in list(self.watches):
            writer.transport.abort()
        self.watches.clear()

    def close(self) -> None:
        """End the listener and all connections."""
        for writer in list(self._connections):
            writer.transport.abort()
        if self._server:
            self._server.close()

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        self.sent_bytes += len(data)
        writer.write(data)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if not await self._answer(reader, writer, request):
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
            pass
        finally:
            self.watches.discard(writer)
            self._connections.discard(writer)
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, request: _Request) -> bool:
        """Answer one request; return whether the connection can serve another request."""
        if request.method == "POST" and request.path == "/v2/finals":
            self._receive_notices(request.body)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
            return True
        if request.method != "GET" or request.path != "/api/targets":
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        self.requested_targets.append(request.target)
        while self.is_silent:  # noqa: ASYNC110 - a test sets the flag directly, and half a heartbeat of delay is fine
            await asyncio.sleep(SILENCE_POLL_S)
        if request.query.get("follow") != "1":
            line = self.source.full_list()
            self._write(writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(line), line))
            return True
        self._open_watch(writer, request.query.get("since", ""))
        await self._keep_watch(reader, writer)
        return False

    def _receive_notices(self, body: bytes) -> None:
        for line in body.splitlines():
            notice = json.loads(line)
            reference = str(notice["ref"])
            result = str(notice["result"])
            self.notices[reference] = result
            self.on_notice(reference, result)

    def _open_watch(self, writer: asyncio.StreamWriter, since: str) -> None:
        """Send the full list or the missed changes; from then on the watch gets every change.

        Nothing is awaited between sending and registering the watch, so that no change is lost.
        """
        changes = self.source.changes_since(int(since)) if since.isdigit() else None
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for line in (self.source.full_list() if changes is None else changes).splitlines(True):
            self._write(writer, http_chunk(line))
        self.watches.add(writer)

    async def _keep_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send heartbeats until the watcher closes."""
        while True:
            try:
                if not await asyncio.wait_for(reader.read(READ_BYTES), HEARTBEAT_INTERVAL_S):
                    return
            except TimeoutError:
                if not self.is_silent:
                    writer.write(http_chunk(b"\n"))
