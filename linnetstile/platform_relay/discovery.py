"""Discovery: the watch that brings the list of endpoints and its changes. Tells the module; decides nothing."""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from functools import partial

from linnetstile.engine.events import Endpoint, EndpointList, EndpointStatus, ListKind

from ..codec import http1
from ..codec.objects import Objects, Part
from ..engine.resource_limits import WATCH_BACKOFF_MS, WATCH_CONNECT_TIMEOUT_S, backoff_ms
from ..engine.watch_policy import ELEMENT_STALL_S, ENTRIES_PER_EVENT, ResumePolicy, watch_deadline
from ..net.connection import BufferedConnection
from .config import Address
from .directory import Directory, InvalidListError, ListUpdate

LIST = 8 * 1024 * 1024  # bytes: a longer object is no list, where it can't be read in parts


def told(entries: Iterable[Endpoint]) -> Iterator[EndpointList]:
    """What has changed, in events of bounded size: first what ends, so that none is replaced before it has."""
    changed = sorted(entries, key=lambda entry: entry.status is EndpointStatus.READY)
    for at in range(0, len(changed), ENTRIES_PER_EVENT):
        yield EndpointList(ListKind.CHANGES, tuple(changed[at : at + ENTRIES_PER_EVENT]))


class _Stream(BufferedConnection):
    """One connection with a watch on it. What has come waits in `values` until its step: a long list is swept in steps,
    and nothing behind it is looked at, nor read from the kernel, before it is over."""

    def __init__(self, watch: Watch, since: int | None) -> None:
        self.watch, self.since = watch, since
        self.parser = http1.Parser(client=True, limits=http1.Limits(body=1 << 60))
        self.parser.expect("GET")
        self.objects = Objects(LIST, "servers", ("version", "full"))
        self.heard = watch.loop.time()
        self.begun: float | None = None  # since when a part of something waits for its rest
        self.answered = False  # the head of an answer that goes well came
        self.listed = False  # a list came
        self.useful = False  # that, or it goes on from a version, and is alive
        self.sound = True  # nothing that could not be read
        self.values: deque[object] = deque()  # objects, parts of them, faults, and None for the end
        self.reading: ListUpdate | None = None  # the list that is coming in
        self.complete = False  # all of it has come: what it did not name goes
        self.small = True  # it came in one piece
        self.planned = self.paused = False  # the next step follows; nothing is read meanwhile
        self.over: asyncio.Future[None] = watch.loop.create_future()

    @property
    def midway(self) -> bool:
        """Something has begun and is not complete."""
        return self.parser.midway or self.objects.part or self.reading is not None

    def received(self, data: memoryview) -> None:
        if self.over.done():
            return
        self.heard = self.watch.loop.time()
        try:
            self._take(self.parser.feed(data))
            if self.parser.failed:
                raise self.parser.failed
        except (http1.ProtocolError, ValueError) as error:
            self.values.append(error)
        if not self.planned:
            self._go_on()
        self.begun = (self.heard if self.begun is None else self.begun) if self.midway else None

    def _take(self, events: list[http1.Event]) -> None:
        """Raises ValueError."""
        for event in events:
            if isinstance(event, http1.Response):
                if event.status != 200:
                    raise ValueError(f"the watch was answered {event.status}, expected 200")
                self.answered = True
            elif isinstance(event, http1.Data):
                self.useful = self.useful or self.since is not None
                self.values.extend(self.objects.feed(event.data))
                if self.objects.failed:
                    raise self.objects.failed
            elif isinstance(event, http1.End):
                self.values.append(None)

    def _go_on(self) -> None:
        """Steps until all that has come is done with, or a sweep goes on in the next pass of the loop."""
        self.planned = False
        try:
            while not self.over.done():
                if self.reading is not None and self.complete:
                    self._sweep(self.reading)
                    if self.reading is not None:
                        self._later()
                        return
                elif self.values:
                    self._step(self.values.popleft())
                else:
                    break
        except (http1.ProtocolError, ValueError) as error:
            self.watch.refused(self, error)
            self.sound = False
            self.end()

    def _later(self) -> None:
        if not self.paused and not self.dead:
            self.transport.pause_reading()
            self.paused = True
        self.planned = True
        self.watch.loop.call_soon(self._resumed)

    def _resumed(self) -> None:
        self.heard = self.watch.loop.time()  # it was not listened to
        self._go_on()
        if self.paused and not self.planned and not self.dead:
            self.transport.resume_reading()
            self.paused = False
        if not self.planned:
            self.begun = self.heard if self.midway else None

    def _step(self, value: object) -> None:
        """One value of those that came. Raises ValueError."""
        if value is None:
            self.end()
        elif isinstance(value, Exception):
            raise value
        elif isinstance(value, Part):
            if value.first:
                self.reading = self.watch.directory.begin(value.head)
                self.small = False
            assert self.reading is not None
            self.watch.tell(self.reading.take(value.elements))
            self.complete, self.begun = value.last, None  # it goes forward
        else:
            servers = value.get("servers") if isinstance(value, dict) else None
            if not isinstance(servers, list):
                raise InvalidListError("servers: expected an object with a list of them")
            self.reading, self.small = self.watch.directory.begin(value), True
            changed = self.reading.take(servers)
            if len(changed) <= ENTRIES_PER_EVENT:
                changed += self.reading.sweep()  # what replaces one and what it replaces are told together
            self.watch.tell(changed)
            self.complete, self.begun = True, None

    def _sweep(self, reading: ListUpdate) -> None:
        if not reading.over:
            self.watch.tell(reading.sweep())
        if reading.over:
            self.reading, self.useful, self.listed = None, True, True
            self.watch.listed(reading, self.small)

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
    """Keeps one watch open at the address that is in force; `hear` gets each event, `log` a line for each list that was
    refused, was left in the middle, or had entries that could not be read."""

    def __init__(
        self,
        directory: Directory,
        where: Address,
        hear: Callable[[EndpointList], None],
        rng: random.Random,
        log: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.directory, self.where, self.hear, self.rng, self.log = directory, where, hear, rng, log
        self.stream: _Stream | None = None
        self.task: asyncio.Task[None] | None = None
        self.asking = ResumePolicy()
        self.first = asyncio.Event()  # a list was heard to its end
        self.fails = 0
        self.opened = self.spoilt = 0

    @property
    def reading(self) -> bool:
        """A list is coming in."""
        return self.stream is not None and self.stream.reading is not None

    def start(self) -> None:
        self.task = self.loop.create_task(self._keep())

    def move(self, where: Address) -> None:
        """Another address is in force from now on."""
        self.close()
        self.where, self.fails = where, 0
        self.asking.discovery_moved()
        self.start()

    def close(self) -> None:
        if self.task:
            self.task.cancel()
        if self.stream:
            self.stream.end()
        self.stream = None

    def tell(self, entries: Iterable[Endpoint]) -> None:
        for event in told(entries):
            self.hear(event)

    def listed(self, reading: ListUpdate, small: bool) -> None:
        """A list has been read to its end, and is in force."""
        if reading.skipped:
            self.log("entries_skipped", skipped=reading.skipped, of=reading.entries, first=reading.fault)
        if reading.whole:
            self.asking.full_list_read(small)
        if not self.first.is_set():
            self.hear(EndpointList(ListKind.CHANGES))  # discovery has answered, whatever it said
            self.first.set()

    def refused(self, stream: _Stream, why: Exception) -> None:
        """What came is no list, or none that counts: the latest good one stays in force."""
        self.spoilt += 1
        part = stream.reading
        self.log("list_refused", why=str(why)[:200], entries=part.entries if part else 0)

    async def _keep(self) -> None:
        while True:
            useful, stream = False, None
            since = self.asking.resume_version(self.directory.versions.newest)
            try:
                async with asyncio.timeout(WATCH_CONNECT_TIMEOUT_S):
                    _, stream = await self.loop.create_connection(partial(_Stream, self, since), *self.where)
                await self._read(stream)
                useful = stream.useful
                if useful and stream.sound and (stream.listed or not stream.midway):
                    self.fails = 0
            except (OSError, TimeoutError, ValueError):  # the last: a name that can't be looked up
                pass
            self._ended(stream, useful)
            self.fails += 1
            await asyncio.sleep(backoff_ms(self.fails, WATCH_BACKOFF_MS, self.rng) / 1000)

    def _ended(self, stream: _Stream | None, useful: bool) -> None:
        if stream is None:  # discovery could not be reached
            self.asking.watch_ended(False, True, False)
            return
        self.asking.watch_ended(useful, stream.sound, stream.midway)
        if stream.sound and (stream.reading is not None or stream.objects.part):
            entries = stream.reading.entries if stream.reading else 0
            self.log("list_cut", entries=entries, why="expected the rest of the list")

    async def _read(self, stream: _Stream) -> None:
        """Until the stream has ended, or has been silent for too long."""
        self.stream = stream
        self.opened += 1
        host = f"{self.where[0]}:{self.where[1]}"
        query = "" if stream.since is None else f"&since={stream.since}"
        stream.put(http1.request("GET", f"/api/targets?follow=1{query}", [("Host", host)]))
        asked = self.loop.time()
        while not stream.over.done():
            now = self.loop.time()
            going = asked if stream.since is not None and stream.answered else None
            until = watch_deadline(stream.heard, stream.useful, stream.begun, going)
            if until <= now and not stream.planned:  # discovery is down, or this connection leads nowhere: it may stop
                stream.end()  # in the middle of a line
                return
            # Looked at again that often: a line may begin, and stop, at any moment.
            await asyncio.wait([stream.over], timeout=min(max(0.0, until - now), ELEMENT_STALL_S))
