"""The stand-in of discovery, with the shipped watch at its other end."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable

from linnetstile.emulators.discovery import DiscoveryStand
from linnetstile.engine.events import EndpointList
from linnetstile.platform_relay.directory import Directory
from linnetstile.platform_relay.discovery import Watch


class Lines:
    """Three versions; the whole list is known at each, changes only after the first."""

    def __init__(self) -> None:
        self.version = 1

    def line(self, version: int, full: bool) -> bytes:
        servers = [
            {"id": f"s-{n}", "addr": "127.0.0.1:9", "zone": "z", "kind": "k", "cell": n, "state": "SERVING"}
            for n in ([version] if not full else range(1, version + 1))
        ]
        return json.dumps({"version": version, "full": full, "servers": servers}).encode() + b"\n"

    def whole(self) -> bytes:
        return self.line(self.version, True)

    def since(self, version: int) -> bytes | None:
        return b"".join(self.line(n, False) for n in range(version + 1, self.version + 1)) if version else None


async def until(done: Callable[[], object]) -> None:
    async with asyncio.timeout(8.0):
        while not done():
            await asyncio.sleep(0.005)


async def get(port: int, target: str, most: int) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET {target} HTTP/1.1\r\n\r\n".encode())
    data = b""
    async with asyncio.timeout(3.0):
        while data.count(b"version") < most:
            data += await reader.read(65536)
    writer.close()
    return data


def test_a_watch_hears_the_list_and_changes_and_comes_again_when_it_breaks() -> None:
    async def run() -> None:
        lines, heard = Lines(), list[EndpointList]()
        stand = DiscoveryStand(lines)
        port = await stand.start()
        directory = Directory(("k",), ("z",))
        watch = Watch(directory, ("127.0.0.1", port), heard.append, random.Random(1))
        watch.start()
        try:
            await until(watch.first.is_set)
            heard.clear()
            lines.version = 2
            stand.tell(lines.line(2, False))
            await until(lambda: heard)
            assert [entry.destination for event in heard for entry in event.endpoints] == [2]
            assert directory.knows(1) and directory.knows(2) and len(directory) == 2
            stand.drop()
            await until(lambda: len(stand.asked) == 2 and stand.watches)
            stand.silent = True  # it says nothing more: the watch gives up, and what it opens anew gets no answer
            await until(lambda: len(stand.asked) >= 4)
            lines.version, stand.silent = 3, False
            await until(lambda: directory.knows(3))
        finally:
            watch.close()
            stand.close()
            await asyncio.sleep(0.05)

    asyncio.run(run())


def test_changes_after_a_version_the_whole_list_and_notices() -> None:
    async def run() -> None:
        lines, ended = Lines(), list[tuple[str, str]]()
        lines.version = 3
        stand = DiscoveryStand(lines)
        stand.on_notice = lambda ref, result: ended.append((ref, result))
        port = await stand.start()
        try:
            data = await get(port, "/api/targets?follow=1&since=1", 2)
            assert b'"version": 2' in data and b'"version": 3' in data and b'"full": true' not in data
            assert b'"full": true' in await get(port, "/api/targets?follow=1&since=0", 1)
            assert lines.whole() in await get(port, "/api/targets", 1)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            body = b'{"ref":"a","result":"dead"}\n{"ref":"b","result":"bounced"}\n'
            writer.write(b"POST /v2/finals HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            assert b" 204 " in await reader.readuntil(b"\r\n")
            assert ended == [("a", "dead"), ("b", "bounced")]
            writer.close()
        finally:
            stand.close()
            await asyncio.sleep(0.05)

    asyncio.run(run())
