"""Discovery: the list of endpoints and the watch that brings its changes. Tells the module; decides nothing."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from ..codec import http1
from ..codec.objects import Objects
from ..decisions import interface as api
from ..decisions.bounds import CONNECT_S, WATCH_MS, pause_ms
from ..decisions.lists import STALL_S, Versions, watch_until
from ..net.wire import Wire
from .config import Address, address

STATES = {"SERVING": api.Listing.READY, "DRAINING": api.Listing.DRAINING, "DELETED": api.Listing.GONE}
LIST = 8 * 1024 * 1024  # bytes: a longer object is no list
NAME = 256  # bytes of an endpoint's name


@dataclass(frozen=True, slots=True)
class Place:
    """Where an endpoint is to be called."""

    number: int
    name: str
    host: str
    port: int
    zone: int
    destination: int


class NoList(ValueError):
    """What discovery told is no list, or an older one than is known."""


class Directory:
    """Discovery's entries by name and by the number that the module knows them by. A number is never used twice, so
    an endpoint that takes over an address, or a name, shares nothing with the one before."""

    def __init__(self, kinds: tuple[str, ...], zones: tuple[str, ...]) -> None:
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.zones = {name: number for number, name in enumerate(zones)}
        self.places: dict[int, Place] = {}
        self.listed: dict[int, api.Endpoint] = {}  # as the module was told last
        self.numbers: dict[str, int] = {}
        self.destinations: set[int] = set()  # ever listed
        self.versions = Versions()
        self.last = 0
        self.skipped = 0  # entries that could not be read

    def take(self, told: object, cached: bool = False) -> api.EndpointList:
        """One object of discovery as an event. An entry that can't be read leaves its endpoint as it was. Raises
        NoList."""
        servers = told.get("servers") if isinstance(told, dict) else None
        if not isinstance(told, dict) or not isinstance(servers, list):
            raise NoList("expected an object with a list of servers")
        whole, version = bool(told.get("full")), told.get("version")
        if isinstance(version, bool) or not isinstance(version, int):
            version = None
        if not cached and not self.versions.takes(version, whole):
            raise NoList(f"version {version} is older than {self.versions.newest}")
        entries: dict[int, api.Endpoint] = {}  # the last word on each counts
        for raw in servers:
            name = raw.get("id") if isinstance(raw, dict) else None
            number = self.numbers.get(name, 0) if isinstance(name, str) else 0
            try:
                entry = self._entry(raw, name, number)
            except (KeyError, TypeError, ValueError, OverflowError):
                self.skipped += 1
                entry = self.listed.get(number)
            if entry is not None:
                entries[entry.id] = entry
                if entry.listing is api.Listing.GONE:
                    self._drop(entry.id)
        if whole:
            for number in [number for number in self.places if number not in entries]:
                self._drop(number)
        kind = api.ListKind.CACHED if cached else api.ListKind.WHOLE if whole else api.ListKind.CHANGES
        return api.EndpointList(kind, tuple(entries.values()))

    def _drop(self, number: int) -> None:
        place = self.places.pop(number)
        del self.numbers[place.name], self.listed[number]

    def _entry(self, raw: dict[str, Any], name: object, number: int) -> api.Endpoint | None:
        """None: it was not known, and is gone."""
        if not isinstance(name, str) or not 0 < len(name.encode()) <= NAME:
            raise ValueError("id")
        listing = STATES[raw["state"]]
        if listing is api.Listing.GONE and not number:
            return None
        if listing is not api.Listing.READY and number:  # that it ends is all that has to be read
            self.listed[number] = entry = replace(self.listed[number], listing=listing)
            return entry
        host, port = address(raw["addr"], "addr")
        destination = raw["cell"]
        if isinstance(destination, bool) or not isinstance(destination, int) or not 0 <= destination < 10**9:
            raise ValueError("cell")
        rate = raw.get("weight") or 0.0
        if not isinstance(rate, (int, float)) or not math.isfinite(rate):
            rate = 0.0  # none is told
        zone = self.zones.get(str(raw.get("zone")), len(self.zones))
        kind = self.kinds.get(str(raw.get("kind")), len(self.kinds))
        if not number:
            self.last += 1
            number = self.numbers[name] = self.last
        self.places[number] = Place(number, name, host, port, zone, destination)
        self.destinations.add(destination)
        self.listed[number] = entry = api.Endpoint(number, destination, listing, kind, zone, float(rate))
        return entry


class _Stream(Wire):
    """One connection with a watch on it."""

    def __init__(self, watch: Watch) -> None:
        self.watch = watch
        self.parser = http1.Parser(client=True, limits=http1.Limits(body=1 << 60))
        self.parser.expect("GET")
        self.objects = Objects(LIST)
        self.heard = watch.loop.time()
        self.begun: float | None = None  # since when a part of something waits for its rest
        self.useful = False  # a list came
        self.sound = True  # nothing that could not be read
        self.over: asyncio.Future[None] = watch.loop.create_future()
        self.hungry = True

    def received(self, data: memoryview) -> None:
        if self.over.done():
            return
        self.heard = self.watch.loop.time()
        try:
            self._take(self.parser.feed(data))
            if self.parser.failed:
                raise self.parser.failed
        except (http1.ProtocolError, ValueError):
            self.watch.spoilt += 1
            self.sound = False
            self.end()
        part = self.parser.midway or self.objects.part
        self.begun = (self.heard if self.begun is None else self.begun) if part else None

    def _take(self, events: list[http1.Event]) -> None:
        """Raises ValueError."""
        for event in events:
            if isinstance(event, http1.Response):
                if event.status != 200:
                    raise ValueError(f"the watch was answered {event.status}")
            elif isinstance(event, http1.Data):
                for told in self.objects.feed(event.data):
                    self.begun = None
                    self.watch.told(self, told)
                    self.useful = True
                if self.objects.failed:
                    raise self.objects.failed
            elif isinstance(event, http1.End):
                self.end()

    def end(self) -> None:
        """Whatever comes on it from now on is not heard."""
        if not self.over.done():
            self.over.set_result(None)
        if not self.lost:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.end()


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
        self.opened = self.spoilt = 0

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
        if self.stream:
            self.stream.end()
        self.stream = None

    def told(self, stream: _Stream, told: object) -> None:
        """Raises NoList."""
        if stream is not self.stream:
            return
        event = self.directory.take(told)
        self.first.set()
        self.hear(event)

    async def _keep(self) -> None:
        while True:
            try:
                async with asyncio.timeout(CONNECT_S):
                    _, stream = await self.loop.create_connection(lambda: _Stream(self), *self.where)
                await self._read(stream)
                if stream.useful and stream.sound:
                    self.fails = 0
            except (OSError, TimeoutError, ValueError):  # the last: a name that can't be looked up
                pass
            self.fails += 1
            await asyncio.sleep(pause_ms(self.fails, WATCH_MS, self.rng) / 1000)

    async def _read(self, stream: _Stream) -> None:
        """Until the stream has ended, or has been silent for too long. It begins with the whole list: that shows soon
        whether it leads anywhere, and makes up for whatever the one before it left out."""
        self.stream = stream
        self.opened += 1
        host = f"{self.where[0]}:{self.where[1]}"
        stream.put(http1.request("GET", "/api/targets?follow=1", [("Host", host)]))
        while not stream.over.done():
            now = self.loop.time()
            until = watch_until(stream.heard, stream.useful, stream.begun)
            if until <= now:  # discovery is down, or this connection leads nowhere: it may stop in the middle of a line
                stream.end()
                return
            # Looked at again that often: a line may begin, and stop, at any moment.
            await asyncio.wait([stream.over], timeout=min(until - now, STALL_S))
