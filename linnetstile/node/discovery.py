"""Discovery: the list of endpoints and the watch that brings its changes. Tells the module; decides nothing."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..codec import http1
from ..decisions import interface as api
from ..decisions.bounds import CONNECT_S, WATCH_MS, pause_ms, silence_s
from ..net.wire import Wire
from .config import Address, address

STATES = {"SERVING": api.Listing.READY, "DRAINING": api.Listing.DRAINING, "DELETED": api.Listing.GONE}
LINE = 8 * 1024 * 1024  # bytes: a longer line of the watch is no list


@dataclass(frozen=True, slots=True)
class Place:
    """Where an endpoint is to be called."""

    number: int
    name: str
    host: str
    port: int
    zone: int
    destination: int


class Directory:
    """Discovery's entries by name and by the number that the module knows them by. A number is never used twice, so
    an endpoint that takes over an address, or a name, shares nothing with the one before."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.zones = {name: number for number, name in enumerate(zones)}
        self.places: dict[int, Place] = {}
        self.numbers: dict[str, int] = {}
        self.destinations: set[int] = set()  # ever listed
        self.version = -1
        self.last = 0
        self.skipped = 0  # entries that could not be read

    def take(self, told: object, cached: bool = False) -> api.EndpointList | None:
        """One object of discovery as an event; None if it is none. Entries that can't be read are left out."""
        if not isinstance(told, dict) or not isinstance(told.get("servers"), list):
            return None
        whole = bool(told.get("full"))
        entries, gone = [], []
        for raw in told["servers"]:
            try:
                entry = self._entry(raw)
            except (KeyError, TypeError, ValueError):
                self.skipped += 1
                continue
            if entry is not None:
                entries.append(entry)
                if entry.listing is api.Listing.GONE:
                    gone.append(entry.id)
        if whole:
            named = {entry.id for entry in entries}
            gone += [number for number in self.places if number not in named]
        for number in gone:
            place = self.places.pop(number, None)
            if place is not None:
                del self.numbers[place.name]
        if isinstance(told.get("version"), int):
            self.version = told["version"]
        kind = api.ListKind.CACHED if cached else api.ListKind.WHOLE if whole else api.ListKind.CHANGES
        return api.EndpointList(kind, tuple(entries))

    def _entry(self, raw: dict[str, Any]) -> api.Endpoint | None:
        name, listing = str(raw["id"]), STATES[raw["state"]]
        number = self.numbers.get(name, 0)
        if listing is api.Listing.GONE and not number:
            return None
        host, port = address(raw["addr"], "addr")
        destination, rate = int(raw["cell"]), float(raw.get("weight", 0.0))
        zone = self.zones.get(str(raw.get("zone")), len(self.zones))
        kind = self.kinds.get(str(raw.get("kind")), len(self.kinds))
        if not number:
            self.last += 1
            number = self.numbers[name] = self.last
        self.places[number] = Place(number, name, host, port, zone, destination)
        self.destinations.add(destination)
        return api.Endpoint(number, destination, listing, kind, zone, rate)


class _Stream(Wire):
    """One connection with a watch on it."""

    def __init__(self, watch: Watch) -> None:
        self.watch = watch
        self.parser = http1.Parser(client=True, limits=http1.Limits(body=1 << 60))
        self.parser.expect("GET")
        self.line = bytearray()
        self.heard = watch.loop.time()
        self.useful = False
        self.over: asyncio.Future[None] = watch.loop.create_future()
        self.hungry = True

    def received(self, data: memoryview) -> None:
        self.heard = self.watch.loop.time()
        try:
            events = self.parser.feed(data)
        except http1.ProtocolError:
            events = []
        for event in events:
            if isinstance(event, http1.Response):
                if event.status != 200:
                    self.watch.version_refused()
                    self.transport.abort()
                    return
            elif isinstance(event, http1.Data):
                self.line += event.data
                self._lines()
            elif isinstance(event, http1.End):
                self.transport.abort()
        if self.parser.failed or len(self.line) > LINE:
            self.transport.abort()

    def _lines(self) -> None:
        *lines, rest = self.line.split(b"\n")
        self.line = bytearray(rest)
        for line in lines:
            if line.strip():
                try:
                    told = json.loads(line)
                except ValueError:
                    self.watch.garbled += 1
                    self.watch.version_refused()  # a change may be in it: the whole list makes up for it
                    self.transport.abort()
                    return
                self.useful = True
                self.watch.told(self, told)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if not self.over.done():
            self.over.set_result(None)


class Watch:
    """Keeps one watch open at the address that is in force; `hear` gets each event."""

    def __init__(self, directory: Directory, where: Address, hear: Callable[[api.EndpointList], None],
                 rng: random.Random) -> None:
        self.loop = asyncio.get_running_loop()
        self.directory, self.where, self.hear, self.rng = directory, where, hear, rng
        self.stream: _Stream | None = None
        self.task: asyncio.Task[None] | None = None
        self.first = asyncio.Event()  # something was heard
        self.fails = 0
        self.opened = self.garbled = 0

    def start(self) -> None:
        self.task = self.loop.create_task(self._keep())

    def move(self, where: Address) -> None:
        """Another address is in force from now on."""
        self.close()
        self.where, self.fails = where, 0
        self.start()

    def close(self) -> None:
        if self.task:
            self.task.cancel()
        if self.stream and not self.stream.lost:
            self.stream.transport.abort()
        self.stream = None

    def version_refused(self) -> None:
        """The next watch asks for the whole list."""
        self.directory.version = -1

    def told(self, stream: _Stream, told: object) -> None:
        if stream is not self.stream:
            return
        event = self.directory.take(told)
        if event is None:
            self.garbled += 1
            return
        self.fails = 0
        self.first.set()
        self.hear(event)

    async def _keep(self) -> None:
        while True:
            try:
                async with asyncio.timeout(CONNECT_S):
                    _, stream = await self.loop.create_connection(lambda: _Stream(self), *self.where)
            except (OSError, TimeoutError):
                pass
            else:
                await self._read(stream)
                if stream.useful:
                    self.fails = 0
            self.fails += 1
            await asyncio.sleep(pause_ms(self.fails, WATCH_MS, self.rng) / 1000)

    async def _read(self, stream: _Stream) -> None:
        self.stream = stream
        self.opened += 1
        since = f"&since={self.directory.version}" if self.directory.version >= 0 else ""
        host = f"{self.where[0]}:{self.where[1]}"
        stream.put(http1.request("GET", f"/api/targets?follow=1{since}", [("Host", host)]))
        while not stream.over.done():
            left = stream.heard + silence_s(stream.useful, bool(stream.line)) - self.loop.time()
            if left <= 0:  # discovery is down, or this connection leads nowhere: it may stop in the middle of a line
                stream.transport.abort()
                return
            # Looked at again that often: a line may begin, and stop, at any moment.
            await asyncio.wait([stream.over], timeout=min(left, silence_s(True, True)))
