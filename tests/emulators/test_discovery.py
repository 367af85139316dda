"""Tests of the discovery emulator with the relay's own watch as its client."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable

from linnetstile.emulators.discovery import DiscoveryEmulator
from linnetstile.engine.events import EndpointList
from linnetstile.platform_relay.directory import Directory
from linnetstile.platform_relay.discovery import Watch


class ListSource:
    """A list that grows by one server a version; changes are known since version 1 but not since 0."""

    def __init__(self) -> None:
        self.version = 1

    def line(self, version: int, full: bool) -> bytes:
        servers = [
            {"id": f"s-{n}", "addr": "127.0.0.1:9", "zone": "z", "kind": "k", "cell": n, "state": "SERVING"}
            for n in ([version] if not full else range(1, version + 1))
        ]
        return json.dumps({"version": version, "full": full, "servers": servers}).encode() + b"\n"

    def full_list(self) -> bytes:
        return self.line(self.version, True)

    def changes_since(self, version: int) -> bytes | None:
        return b"".join(self.line(n, False) for n in range(version + 1, self.version + 1)) if version else None


async def wait_until(done: Callable[[], object]) -> None:
    async with asyncio.timeout(8.0):
        while not done():  # noqa: ASYNC110 - the conditions are plain attributes, without an event to wait for
            await asyncio.sleep(0.005)


async def read_response(port: int, target: str, versions: int) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"GET {target} HTTP/1.1\r\n\r\n".encode())
    data = b""
    async with asyncio.timeout(3.0):
        while data.count(b"version") < versions:
            data += await reader.read(65536)
    writer.close()
    return data


def test_watch_gets_the_list_and_changes_and_reopens_after_a_break() -> None:
    async def run() -> None:
        source, updates = ListSource(), list[EndpointList]()
        emulator = DiscoveryEmulator(source)
        port = await emulator.start()
        directory = Directory(("k",), ("z",))
        watch = Watch(directory, ("127.0.0.1", port), updates.append, random.Random(1))
        watch.start()
        try:
            await wait_until(watch.first_list_read.is_set)
            updates.clear()
            source.version = 2
            emulator.publish(source.line(2, False))
            await wait_until(lambda: updates)
            assert [entry.destination for event in updates for entry in event.endpoints] == [2]
            assert directory.knows_destination(1)
            assert directory.knows_destination(2)
            assert len(directory) == 2
            emulator.drop_watches()
            await wait_until(lambda: len(emulator.requested_targets) == 2 and emulator.watches)
            emulator.is_silent = True  # the watch times out, and the next ones get no answer
            await wait_until(lambda: len(emulator.requested_targets) >= 4)
            source.version = 3
            emulator.is_silent = False
            await wait_until(lambda: directory.knows_destination(3))
        finally:
            watch.close()
            emulator.close()
            await asyncio.sleep(0.05)

    asyncio.run(run())


def test_serves_changes_after_a_version_and_the_full_list_and_receives_notices() -> None:
    async def run() -> None:
        source, received_notices = ListSource(), list[tuple[str, str]]()
        source.version = 3
        emulator = DiscoveryEmulator(source)
        emulator.on_notice = lambda reference, result: received_notices.append((reference, result))
        port = await emulator.start()
        try:
            data = await read_response(port, "/api/targets?follow=1&since=1", 2)
            assert b'"version": 2' in data
            assert b'"version": 3' in data
            assert b'"full": true' not in data
            assert b'"full": true' in await read_response(port, "/api/targets?follow=1&since=0", 1)
            assert source.full_list() in await read_response(port, "/api/targets", 1)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            body = b'{"ref":"a","result":"dead"}\n{"ref":"b","result":"bounced"}\n'
            writer.write(b"POST /v2/finals HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            assert b" 204 " in await reader.readuntil(b"\r\n")
            assert received_notices == [("a", "dead"), ("b", "bounced")]
            writer.close()
        finally:
            emulator.close()
            await asyncio.sleep(0.05)

    asyncio.run(run())
