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


class _WatchConnection(BufferedConnection):
    """One connection with a watch on it. What has come waits in `values` until its step: a long list is swept in steps,
    and nothing behind it is looked at, nor read from the kernel, before it is over."""

    def __init__(self, watch: Watch, since: int | None) -> None:
        self.watch, self.resume_version = watch, since
        self.parser = http1.Parser(client=True, limits=http1.Limits(body=1 << 60))
        self.parser.expect("GET")
        self.objects = Objects(LIST, "servers", ("version", "full"))
        self.last_byte_at = watch.loop.time()
        self.incomplete_since: float | None = None  # since when a part of something waits for its rest
        self.head_received = False  # the head of an answer that goes well came
        self.list_received = False  # a list came
        self.is_useful = False  # that, or it goes on from a version, and is alive
        self.is_valid = True  # nothing that could not be read
        self.pending_values: deque[object] = deque()  # objects, parts of them, faults, and None for the end
        self.update: ListUpdate | None = None  # the list that is coming in
        self.list_complete = False  # all of it has come: what it did not name goes
        self.is_small = True  # it came in one piece
        self.step_scheduled = self.reading_paused = False  # the next step follows; nothing is read meanwhile
        self.closed: asyncio.Future[None] = watch.loop.create_future()

    @property
    def is_midway(self) -> bool:
        """Something has begun and is not complete."""
        return self.parser.midway or self.objects.part or self.update is not None

    def received(self, data: memoryview) -> None:
        if self.closed.done():
            return
        self.last_byte_at = self.watch.loop.time()
        try:
            self._parse(self.parser.feed(data))
            if self.parser.failed:
                raise self.parser.failed
        except (http1.ProtocolError, ValueError) as error:
            self.pending_values.append(error)
        if not self.step_scheduled:
            self._run_steps()
        self.incomplete_since = (
            (self.last_byte_at if self.incomplete_since is None else self.incomplete_since) if self.is_midway else None
        )

    def _parse(self, events: list[http1.Event]) -> None:
        """Raises ValueError."""
        for event in events:
            if isinstance(event, http1.Response):
                if event.status != 200:
                    raise ValueError(f"the watch was answered {event.status}, expected 200")
                self.head_received = True
            elif isinstance(event, http1.Data):
                self.is_useful = self.is_useful or self.resume_version is not None
                self.pending_values.extend(self.objects.feed(event.data))
                if self.objects.failed:
                    raise self.objects.failed
            elif isinstance(event, http1.End):
                self.pending_values.append(None)

    def _run_steps(self) -> None:
        """Steps until all that has come is done with, or a sweep goes on in the next pass of the loop."""
        self.step_scheduled = False
        try:
            while not self.closed.done():
                if self.update is not None and self.list_complete:
                    self._finish_list(self.update)
                    if self.update is not None:
                        self._schedule_step()
                        return
                elif self.pending_values:
                    self._apply_value(self.pending_values.popleft())
                else:
                    break
        except (http1.ProtocolError, ValueError) as error:
            self.watch.list_rejected(self, error)
            self.is_valid = False
            self.close()

    def _schedule_step(self) -> None:
        if not self.reading_paused and not self.dead:
            self.transport.pause_reading()
            self.reading_paused = True
        self.step_scheduled = True
        self.watch.loop.call_soon(self._run_scheduled_step)

    def _run_scheduled_step(self) -> None:
        self.last_byte_at = self.watch.loop.time()  # it was not listened to
        self._run_steps()
        if self.reading_paused and not self.step_scheduled and not self.dead:
            self.transport.resume_reading()
            self.reading_paused = False
        if not self.step_scheduled:
            self.incomplete_since = self.last_byte_at if self.is_midway else None

    def _apply_value(self, value: object) -> None:
        """One value of those that came. Raises ValueError."""
        if value is None:
            self.close()
        elif isinstance(value, Exception):
            raise value
        elif isinstance(value, Part):
            if value.first:
                self.update = self.watch.directory.begin(value.head)
                self.is_small = False
            assert self.update is not None
            self.watch.publish(self.update.take(value.elements))
            self.list_complete, self.incomplete_since = value.last, None  # it goes forward
        else:
            servers = value.get("servers") if isinstance(value, dict) else None
            if not isinstance(servers, list):
                raise InvalidListError("servers: expected an object with a list of them")
            self.update, self.is_small = self.watch.directory.begin(value), True
            changed = self.update.take(servers)
            if len(changed) <= ENTRIES_PER_EVENT:
                changed += self.update.sweep()  # what replaces one and what it replaces are told together
            self.watch.publish(changed)
            self.list_complete, self.incomplete_since = True, None

    def _finish_list(self, update: ListUpdate) -> None:
        if not update.over:
            self.watch.publish(update.sweep())
        if update.over:
            self.update, self.is_useful, self.list_received = None, True, True
            self.watch.list_read(update, self.is_small)

    def close(self) -> None:
        """Whatever comes on it from now on is not heard."""
        if not self.closed.done():
            self.closed.set_result(None)
        if not self.lost:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.close()


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
        self.directory, self.address, self.on_event, self.rng, self.log = directory, where, hear, rng, log
        self.connection: _WatchConnection | None = None
        self.task: asyncio.Task[None] | None = None
        self.resume_policy = ResumePolicy()
        self.first = asyncio.Event()  # a list was heard to its end
        self.failures = 0
        self.watches_opened = self.lists_rejected = 0

    @property
    def is_reading_list(self) -> bool:
        """A list is coming in."""
        return self.connection is not None and self.connection.update is not None

    def start(self) -> None:
        self.task = self.loop.create_task(self._run())

    def move(self, where: Address) -> None:
        """Another address is in force from now on."""
        self.close()
        self.address, self.failures = where, 0
        self.resume_policy.discovery_moved()
        self.start()

    def close(self) -> None:
        if self.task:
            self.task.cancel()
        if self.connection:
            self.connection.close()
        self.connection = None

    def publish(self, entries: Iterable[Endpoint]) -> None:
        for event in told(entries):
            self.on_event(event)

    def list_read(self, update: ListUpdate, is_small: bool) -> None:
        """A list has been read to its end, and is in force."""
        if update.entries_skipped:
            self.log(
                "entries_skipped", skipped=update.entries_skipped, of=update.entries_read, first=update.first_fault
            )
        if update.is_full:
            self.resume_policy.full_list_read(is_small)
        if not self.first.is_set():
            self.on_event(EndpointList(ListKind.CHANGES))  # discovery has answered, whatever it said
            self.first.set()

    def list_rejected(self, connection: _WatchConnection, why: Exception) -> None:
        """What came is no list, or none that counts: the latest good one stays in force."""
        self.lists_rejected += 1
        part = connection.update
        self.log("list_refused", why=str(why)[:200], entries=part.entries_read if part else 0)

    async def _run(self) -> None:
        while True:
            useful, connection = False, None
            since = self.resume_policy.resume_version(self.directory.version_guard.newest)
            try:
                async with asyncio.timeout(WATCH_CONNECT_TIMEOUT_S):
                    _, connection = await self.loop.create_connection(
                        partial(_WatchConnection, self, since), *self.address
                    )
                await self._follow(connection)
                useful = connection.is_useful
                if useful and connection.is_valid and (connection.list_received or not connection.is_midway):
                    self.failures = 0
            except (OSError, TimeoutError, ValueError):  # the last: a name that can't be looked up
                pass
            self._connection_ended(connection, useful)
            self.failures += 1
            await asyncio.sleep(backoff_ms(self.failures, WATCH_BACKOFF_MS, self.rng) / 1000)

    def _connection_ended(self, connection: _WatchConnection | None, useful: bool) -> None:
        if connection is None:  # discovery could not be reached
            self.resume_policy.watch_ended(False, True, False)
            return
        self.resume_policy.watch_ended(useful, connection.is_valid, connection.is_midway)
        if connection.is_valid and (connection.update is not None or connection.objects.part):
            entries = connection.update.entries_read if connection.update else 0
            self.log("list_cut", entries=entries, why="expected the rest of the list")

    async def _follow(self, connection: _WatchConnection) -> None:
        """Until the stream has ended, or has been silent for too long."""
        self.connection = connection
        self.watches_opened += 1
        host = f"{self.address[0]}:{self.address[1]}"
        query = "" if connection.resume_version is None else f"&since={connection.resume_version}"
        connection.put(http1.request("GET", f"/api/targets?follow=1{query}", [("Host", host)]))
        asked = self.loop.time()
        while not connection.closed.done():
            now = self.loop.time()
            going = asked if connection.resume_version is not None and connection.head_received else None
            until = watch_deadline(connection.last_byte_at, connection.is_useful, connection.incomplete_since, going)
            if (
                until <= now and not connection.step_scheduled
            ):  # discovery is down, or this connection leads nowhere: it may stop
                connection.close()  # in the middle of a line
                return
            # Looked at again that often: a line may begin, and stop, at any moment.
            await asyncio.wait([connection.closed], timeout=min(max(0.0, until - now), ELEMENT_STALL_S))
